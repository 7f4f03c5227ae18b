//! Orders that make endpoints load and unload images until they match the desired state.
//!
//! Only the leader sends orders, and only for images that it has just observed to be missing or
//! superfluous. Endpoints that check fencing tokens reject the orders of an earlier leader
//! themselves. For endpoints that do not, no order of an earlier leader may arrive after one of a
//! later leader. The leader therefore sends an order only while its lease outlasts the deadline of
//! the order, and at most one order at a time to an endpoint. An order whose outcome is unknown
//! counts as in flight until its deadline. A new leader waits until every lease and every order of
//! earlier leaders must have expired, and then probes an endpoint before it sends the first order
//! there.

mod action;
mod load_limiter;
mod reconciler;
mod tracked_endpoint;

pub use self::{
    action::{ActionId, Observation, Order, OrderAction, OrderLimits, OrderReply},
    reconciler::{OrderProgress, Reconciler},
};

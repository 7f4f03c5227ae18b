//! Orders to endpoints, so that they come to carry what is intended.
//!
//! The leader alone orders, and only what it has just observed to be missing or superfluous. Endpoints that check
//! fencing numbers refuse the orders of an earlier leader themselves. For those that do not, no order of an earlier
//! leader may arrive after one of a later leader. So the leader sends only while its lease outlasts the order's own
//! deadline, at most one order at a time to an endpoint, and an order whose outcome is unknown counts as on its way until
//! its deadline; a new leader waits until every lease and order of an earlier one must have ended, and then looks at an
//! endpoint before it orders there.

mod action;
mod bucket;
mod reconciler;
mod unit;

pub use self::{
    action::{ActionId, Observation, Order, OrderAction, OrderLimits, OrderReply},
    reconciler::{OrderProgress, Reconciler},
};

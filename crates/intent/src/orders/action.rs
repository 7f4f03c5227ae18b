//! The inputs and outputs of the reconciler.

use {
    derive_more::{Debug, Display},
    model::{EndpointId, FencingToken, Image, MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// The timeouts and intervals of probes and orders.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OrderLimits {
    /// The maximum time that an order may be in flight, in microseconds; shorter than the lease of
    /// the leader.
    pub order_timeout: u64,
    /// The maximum time that a probe of an endpoint may take, in microseconds.
    pub probe_timeout: u64,
    /// How long a new leader waits until all leases and orders of earlier leaders have expired, in
    /// microseconds.
    pub takeover_delay: u64,
    /// The interval between probes of an endpoint that has nothing to do, in microseconds.
    pub idle_interval: u64,
    /// The interval between probes of an endpoint that is loading an image, in microseconds.
    pub busy_interval: u64,
    /// The time that the weight store needs for one image, in microseconds. It is the minimum
    /// interval between two loads.
    pub load_interval: u64,
}

impl Default for OrderLimits {
    fn default() -> OrderLimits {
        OrderLimits {
            order_timeout: 400 * MILLISECOND,
            probe_timeout: 2 * SECOND,
            takeover_delay: 3 * SECOND,
            idle_interval: 10 * SECOND,
            busy_interval: SECOND,
            load_interval: 16 * SECOND,
        }
    }
}

/// Matches a result to the action that led to it. Ids are not reused within a leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub struct ActionId(pub u64);

/// An order to an endpoint.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Order {
    /// Load an image.
    #[display("load {_0}")]
    Load(Image),
    /// Unload an image.
    #[display("unload {_0}")]
    Unload(Image),
}

/// An action requested by the reconciler.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OrderAction {
    /// Query which images an endpoint has loaded.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address on which it listens.
        addr: SocketAddr,
        /// The id to return with the observation.
        action_id: ActionId,
    },
    /// Send an order. No part of it may leave this process at or after the deadline, and the
    /// exchange must not continue past it.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address on which it listens.
        addr: SocketAddr,
        /// The id to return with the reply.
        action_id: ActionId,
        /// The fencing token.
        fence: FencingToken,
        /// The order.
        order: Order,
        /// When the order must no longer be in flight.
        deadline: Time,
    },
}

/// The observed state of an endpoint.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Observation {
    /// The loaded images.
    pub images: SmallVec<[Image; 2]>,
    /// The images that are being loaded.
    pub loading: SmallVec<[Image; 2]>,
    /// The highest fencing token that the endpoint has seen; zero if it does not check or report
    /// it.
    pub fence: FencingToken,
}

/// The reply of an endpoint to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderReply {
    /// The endpoint accepted the order.
    Taken,
    /// The endpoint refused the order because of its fencing token.
    Stale,
    /// The endpoint refused the order for another reason.
    Refused,
    /// There was no reply. The order may still arrive until its deadline.
    Unknown,
}

//! What the reconciler asks for and what it is told.

use {
    derive_more::{Debug, Display},
    model::{EndpointId, FencingToken, Image, MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// The times and rates that orders keep to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OrderLimits {
    /// How long an order may be on its way, in microseconds; shorter than the leader's lease.
    pub order_timeout: u64,
    /// How long a look at an endpoint may take, in microseconds.
    pub probe_timeout: u64,
    /// How long a new leader waits until all leases and orders of earlier ones have ended, in microseconds.
    pub takeover_delay: u64,
    /// How often an endpoint with nothing to do is looked at, in microseconds.
    pub idle_interval: u64,
    /// How often an endpoint is looked at that loads something, in microseconds.
    pub busy_interval: u64,
    /// The time that the weight store takes for one image, in microseconds: loads begin no more often.
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

/// Tells the answer to one action from answers to others; numbers are not reused within a leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub struct ActionId(pub u64);

/// What an endpoint should do.
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

/// What the reconciler asks for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OrderAction {
    /// Look at what an endpoint carries.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it listens.
        addr: SocketAddr,
        /// Comes back with what was seen.
        action_id: ActionId,
    },
    /// Send an order; nothing of it may leave this process at or after the deadline, nor go on after it.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it listens.
        addr: SocketAddr,
        /// Comes back with the reply.
        action_id: ActionId,
        /// The fencing number.
        fence: FencingToken,
        /// The order.
        order: Order,
        /// When it must no longer be on its way.
        deadline: Time,
    },
}

/// What an endpoint was seen to carry.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Observation {
    /// What it has loaded.
    pub images: SmallVec<[Image; 2]>,
    /// What it is loading.
    pub loading: SmallVec<[Image; 2]>,
    /// The highest fencing number that it has seen; zero if it does not check or does not say.
    pub fence: FencingToken,
}

/// How an endpoint replied to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderReply {
    /// It took the order.
    Taken,
    /// It refused the order for its fencing number.
    Stale,
    /// It refused the order for another reason.
    Refused,
    /// There was no reply; the order may still arrive until its deadline.
    Unknown,
}

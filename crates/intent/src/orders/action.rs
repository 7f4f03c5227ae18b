//! What the reconciler asks for and what it is told.

use {
    derive_more::{Debug, Display},
    model::{EndpointId, Fence, Image, MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// The times and rates that orders keep to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OrderLimits {
    /// How long an order may be on its way, in microseconds; shorter than the leader's lease.
    pub order: u64,
    /// How long a look at an endpoint may take, in microseconds.
    pub look: u64,
    /// How long a new leader waits until all leases and orders of earlier ones have ended, in microseconds.
    pub quiet: u64,
    /// How often an endpoint with nothing to do is looked at, in microseconds.
    pub idle: u64,
    /// How often an endpoint is looked at that loads something, in microseconds.
    pub busy: u64,
    /// The time that the weight store takes for one image, in microseconds: loads begin no more often.
    pub load: u64,
}

impl Default for OrderLimits {
    fn default() -> OrderLimits {
        OrderLimits {
            order: 400 * MILLISECOND,
            look: 2 * SECOND,
            quiet: 3 * SECOND,
            idle: 10 * SECOND,
            busy: SECOND,
            load: 16 * SECOND,
        }
    }
}

/// Tells the answer to one action from answers to others; numbers are not reused within a leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub struct Ticket(pub u64);

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
    Look {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it listens.
        addr: SocketAddr,
        /// Comes back with what was seen.
        ticket: Ticket,
    },
    /// Send an order; nothing of it may leave this process at or after the deadline, nor go on after it.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it listens.
        addr: SocketAddr,
        /// Comes back with the reply.
        ticket: Ticket,
        /// The fencing number.
        fence: Fence,
        /// The order.
        order: Order,
        /// When it must no longer be on its way.
        deadline: Time,
    },
}

/// What an endpoint was seen to carry.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Sight {
    /// What it has loaded.
    pub images: SmallVec<[Image; 2]>,
    /// What it is loading.
    pub loading: SmallVec<[Image; 2]>,
    /// The highest fencing number that it has seen; zero if it does not check or does not say.
    pub fence: Fence,
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

//! Which requests may run now, which wait, and which are refused at once.
//!
//! [`TeamLimiter`] stands at the entry and keeps each team to its own rate and running count. [`FairQueue`] stands at
//! the owner of an endpoint and shares the room on it among teams by weighted max-min fairness, so that a surge of a
//! few teams lengthens only their own queues. A request whose deadline cannot be met is refused when that is known,
//! with a time to come back computed from the queue and the rate at which it drains.

mod drain;
mod limits;
mod queue;

pub use crate::{
    limits::TeamLimiter,
    queue::{Capacity, DispatchedRequests, FairQueue, QueueConfig, QueuedRequest},
};

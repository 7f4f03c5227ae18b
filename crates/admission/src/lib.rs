//! Admission control: which requests run now, which wait, and which are refused at once.
//!
//! [`TeamLimiter`] runs at the entry router and limits the request rate and the running requests of each team.
//! [`FairQueue`] runs at the owner of an endpoint and shares the capacity of the endpoint among teams by weighted
//! max-min fairness, so that a burst of requests from a few teams lengthens only the queues of these teams. A request
//! whose deadline cannot be met is refused as soon as that is known, with a retry time computed from the queue and its
//! drain rate.

mod drain_rate;
mod limits;
mod queue;

pub use crate::{
    limits::TeamLimiter,
    queue::{Capacity, DispatchedRequests, FairQueue, QueueConfig, QueuedRequest},
};

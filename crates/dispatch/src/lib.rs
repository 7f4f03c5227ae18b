//! Placing requests on endpoints: which endpoint runs a request now, which requests wait, and which are refused.
//!
//! [`Dispatcher`] is a state machine without I/O. A router tells it what discovery lists, what other routers report,
//! and what became of each request; it answers with places. Load is counted in running requests and in tokens that
//! they hold in an endpoint's memory: this router's own are exact, those of others are as old as their last report.
//! [`RetryBudget`] bounds repeated sends, and [`CrashTracker`] keeps away requests that take down endpoints.

mod change;
mod crash_tracker;
mod dispatcher;
mod endpoint;
mod health;
mod load;
mod queue;
mod rendezvous;
mod retry_budget;
mod service;

pub use crate::{
    change::EndpointChange,
    crash_tracker::CrashTracker,
    dispatcher::{Dispatcher, SubmitResult},
    endpoint::EndpointHandle,
    health::AttemptOutcome,
    load::LoadReport,
    queue::WaiterId,
    retry_budget::{RetryBudget, RetryBudgetLimits},
    service::{Assignment, DispatchRequest, Prompt, PromptPart},
};

//! Placing requests on endpoints: which endpoint runs a request now, which requests wait, and which are refused.
//!
//! [`Dispatcher`] is a state machine without I/O. A router tells it what discovery lists, what other routers report,
//! and what became of each request; it answers with places. Load is counted in running requests and in tokens that
//! they hold in an endpoint's memory: this router's own are exact, those of others are as old as their last report.
//! [`RetryBudget`] bounds repeated sends, and [`CrashTracker`] keeps away requests that take down endpoints.

mod budget;
mod crashes;
mod dispatcher;
mod endpoint;
mod health;
mod listing;
mod load;
mod lobby;
mod order;
mod service;

pub use crate::{
    budget::{RetryBudget, RetryBudgetLimits},
    crashes::CrashTracker,
    dispatcher::{Dispatcher, SubmitResult},
    endpoint::EndpointHandle,
    health::AttemptOutcome,
    listing::EndpointChange,
    load::LoadReport,
    lobby::WaiterId,
    service::{Assignment, DispatchRequest, Prompt, PromptPart},
};

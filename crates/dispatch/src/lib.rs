//! Dispatching of requests to endpoints: which endpoint runs a request, which requests wait, and
//! which are refused.
//!
//! [`Dispatcher`] is a state machine without I/O. A router passes it the list of endpoints, the
//! reports of other routers, and the outcome of each request, and it returns assignments. Load is
//! counted in running requests and in the tokens that they hold in an endpoint's memory. This
//! router's own load is exact, and the load of other routers is as old as their last report.
//! [`RetryBudget`] limits retries, and [`Exchange`] says which routers get which reports.

mod admission;
mod brittle;
mod change;
mod cold;
mod demand;
mod dispatcher;
mod endpoint;
mod exchange;
mod health;
mod limit;
mod load;
mod placement;
mod rendezvous;
mod request;
mod retry_budget;
mod service;
mod unlisted_notices;
mod work;

pub use crate::{
    admission::{Cause, Policy, Refusal, WaiterId},
    change::EndpointChange,
    cold::ColdRate,
    demand::{DemandReport, DemandScope},
    dispatcher::{Dispatcher, SubmitResult},
    exchange::Exchange,
    health::AttemptOutcome,
    limit::{LimitChange, LimitReport},
    load::{LoadChunk, LoadReport, Reporter},
    request::{Assignment, DispatchRequest, EndpointHandle, Prompt, PromptPart},
    retry_budget::{RetryBudget, RetryBudgetLimits},
};

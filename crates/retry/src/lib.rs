//! Attempts at one request: outcomes, retries inside a budget, resume at an offset, and requests that crash endpoints.
//!
//! [`Attempts`] drives one request at its entry router. It has no sockets and no clock: it takes what the owners
//! answered and says what to do next. Three rules carry the promises of the system. An attempt counts as not run only
//! when its owner proved it, so `not-run` is never said too early. Each forward has its own attempt number and frames
//! of older numbers are dropped, so an answer is never mixed from two attempts except at an offset. Every byte is
//! placed by its offset, so it is delivered once and in order.
//!
//! [`RetryBudget`] keeps retries to a share of first attempts, [`SuspectTable`] keeps a request that crashes endpoints from
//! running on a third, and [`Isolation`] keeps struck requests of different callers apart.

mod answer;
mod attempts;
mod budget;
mod event;
mod isolation;
mod routes;
mod suspects;

pub use crate::{
    attempts::Attempts,
    budget::RetryBudget,
    event::{Action, Actions, Admission, Event, Reply, RequestSpec, RetryLimits},
    isolation::Isolation,
    suspects::{AdmitDecision, SuspectLimits, SuspectTable},
};

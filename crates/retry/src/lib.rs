//! Attempts at one request: outcomes, retries within a budget, resumption at an offset, and quarantine of requests that
//! crash endpoints.
//!
//! [`Attempts`] drives one request at its entry router. It performs no I/O and reads no clock: it takes the replies of
//! owners and returns the actions to execute. Three rules provide its guarantees. An attempt counts as not run only if
//! its owner proved so, which makes a `not-run` outcome reliable. Each forward has its own attempt number and frames of
//! older attempts are dropped, so a response combines two attempts only where one resumes the other at an offset. Each
//! byte is placed by its offset, so it is delivered once and in order.
//!
//! [`RetryBudget`] limits retries to a share of first attempts. [`SuspectTable`] quarantines a request after it crashed
//! two endpoints. [`Isolation`] keeps suspected requests of different callers on separate endpoints.

mod attempts;
mod budget;
mod event;
mod isolation;
mod response;
mod selector;
mod suspects;

pub use crate::{
    attempts::Attempts,
    budget::RetryBudget,
    event::{Action, Actions, Admission, Event, Reply, RequestSpec, RetryLimits},
    isolation::Isolation,
    suspects::{AdmitDecision, SuspectLimits, SuspectTable},
};

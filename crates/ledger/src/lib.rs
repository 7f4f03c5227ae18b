//! Claims for non-idempotent requests, so that each key runs at most once.
//!
//! A router claims a key before it sends the request to an endpoint, and sends nothing until the ledger replied
//! [`LedgerReply::Granted`]. Afterwards it records the answer, releases the claim if the request proved not to have run, or
//! gives it up as unknown. A resend through any router gets the recorded answer, or learns that the key is in progress
//! or unknown. [`Ledger`] is a replicated state machine without clock or I/O; its deadlines are wall-clock milliseconds
//! that the leader wrote into each call.

mod answer;
mod call;
mod claim;
mod shard;
mod state;

pub use crate::{
    answer::{AnswerBody, AnswerHeader, MAX_BODY_BYTES, RecordedAnswer},
    call::{ClaimStep, LedgerCall, LedgerReply},
    claim::{ClaimKey, ClaimState},
    state::Ledger,
};

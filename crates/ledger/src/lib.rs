//! Claims for non-idempotent requests, which ensure that each key runs at most once.
//!
//! A router claims a key before it sends the request to an endpoint, and sends nothing until the
//! ledger replies [`LedgerReply::Granted`]. Afterwards it records the answer, releases the claim if
//! the request provably did not run, or abandons it as unknown. A resend through any router gets
//! the recorded answer, or learns that the key is in progress or its outcome unknown. [`Ledger`] is
//! a replicated state machine without a clock or I/O; its deadlines are wall-clock milliseconds
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

//! Which requests must not be sent because they crash the endpoints that run them.
//!
//! A crash is evidence against all that the requests on the endpoint have in common with others: the
//! request itself, which may be sent again, and the parts of its prompt, which other requests share.
//! An answer is evidence for them. Routers tell each other what they have seen, and each derives the
//! verdicts from all evidence that it knows, so that routers with the same evidence agree.
//!
//! [`Quarantine`] is a state machine without I/O. A verdict ends with an answer that any router
//! gets, with another subject that explains the crashes, or with a trial that succeeds; it is
//! forgotten if neither a crash nor a trial has happened for a long time.

mod answered;
mod crashed_prompts;
mod evidence;
mod message;
mod quarantine;
mod subject;
mod verdict;

pub use crate::{
    message::{AnswerReport, Message, Report},
    quarantine::{Admission, Change, Quarantine},
    subject::Subject,
    verdict::Verdict,
};

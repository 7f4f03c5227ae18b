//! Which processes are asked for the fields of a configuration that its sender did not know.

use {
    derive_more::Debug,
    model::{MILLISECOND, Time},
    route::FIELD_LEVEL,
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// The protocol of the first build that sends fields beyond the frozen encoding.
pub(crate) const MIN_PROTOCOL: u32 = 1;

/// How long a process may take to send the configuration before the next one is asked.
const ANSWER_MS: u64 = 700;

/// What to do about missing fields.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum FieldRequest {
    /// Nothing: no field is missing, or this process has been asked.
    None,
    /// Ask the process now for the whole configuration.
    Now,
    /// Look again at this time, as another process has just been asked.
    At(Time),
}

/// The processes that were asked for the fields of the installed version. Each is asked once, one
/// after the other, as a group of old builds has no such fields and the whole configuration is large.
#[derive(Default, Debug)]
pub(crate) struct FieldRequests {
    /// The installed version, if fields of it are missing.
    incomplete: Option<u64>,
    asked: SmallVec<[SocketAddr; 4]>,
    next_at: Time,
}

impl FieldRequests {
    /// Records that a configuration was installed whose fields are known up to `level`.
    pub(crate) fn record_received(&mut self, version: u64, level: u32, sender: SocketAddr) {
        let incomplete = (level < FIELD_LEVEL).then_some(version);
        if self.incomplete != incomplete {
            *self = FieldRequests { incomplete, ..FieldRequests::default() };
        }
        if incomplete.is_some() && !self.asked.contains(&sender) {
            self.asked.push(sender);
        }
    }

    /// Returns whether to ask a process that has `version` or a later one.
    pub(crate) fn next(
        &mut self,
        now: Time,
        process: SocketAddr,
        version: Option<u64>,
    ) -> FieldRequest {
        if self.incomplete.is_none() || version < self.incomplete || self.asked.contains(&process) {
            return FieldRequest::None;
        }
        if now < self.next_at {
            return FieldRequest::At(self.next_at);
        }
        self.asked.push(process);
        self.next_at = now + ANSWER_MS * MILLISECOND;
        FieldRequest::Now
    }

    /// Returns whether fields of the installed version are missing.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.incomplete.is_some()
    }
}

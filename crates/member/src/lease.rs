//! The lease of one router, as the router sees it.

use {crate::LeaseTiming, model::Time};

/// What a router may do by its lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeasePhase {
    /// The lease is valid: the whole bound where it owns.
    Valid,
    /// The lease ran out, and others may not know it yet: nothing.
    Expired,
    /// All others leave room for it since this instant: its fixed shares.
    FixedShare(Time),
}

/// Heartbeats sent and answered.
///
/// A heartbeat is sent only when the one before was answered, and then its number is the next one. A router that
/// gives up pending skips a number. So the leader that sees two numbers in a row knows that its answer to the first
/// arrived, however long messages were on their way.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: LeaseTiming,
    seq: u64,
    /// The unanswered heartbeat and when it was sent.
    pending: Option<(u64, Time)>,
    /// When the last answered heartbeat was sent.
    last_contact: Option<Time>,
    expires_at: Time,
}

impl Lease {
    /// Returns a lease that was never valid.
    pub fn new(timing: LeaseTiming) -> Lease {
        Lease { timing, seq: 0, pending: None, last_contact: None, expires_at: Time(0) }
    }

    /// Returns the number of the heartbeat to send now; none while an answer is awaited.
    pub fn next_heartbeat(&mut self, now: Time) -> Option<u64> {
        if let Some((_, sent)) = self.pending {
            if now.since(sent) < self.timing.patience() {
                return None;
            }
            self.seq += 1;
        }
        self.seq += 1;
        self.pending = Some((self.seq, now));
        Some(self.seq)
    }

    /// Gives up the unanswered heartbeat, as after the connection to the leader was lost.
    pub fn on_disconnect(&mut self) {
        if self.pending.take().is_some() {
            self.seq += 1;
        }
    }

    /// Takes the answer to a heartbeat; false if it is not the one awaited.
    ///
    /// The deadline counts from when the heartbeat was sent, however long the answer took. A `lease_ms` of zero
    /// answers the heartbeat without renewing the lease.
    pub fn on_reply(&mut self, seq: u64, lease_ms: u32) -> bool {
        let Some((_, sent)) = self.pending.filter(|it| it.0 == seq) else { return false };
        self.pending = None;
        self.last_contact = Some(sent);
        if lease_ms > 0 {
            self.expires_at = self.expires_at.max(self.timing.holder_end(sent));
        }
        true
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// What the router may do now.
    pub fn phase(&self, now: Time) -> LeasePhase {
        if self.is_valid(now) {
            return LeasePhase::Valid;
        }
        match self.last_contact.map(|it| self.timing.share_start(it)) {
            Some(since) if now >= since => LeasePhase::FixedShare(since),
            _ => LeasePhase::Expired,
        }
    }

    /// When the lease ends, if nothing renews it.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }
}

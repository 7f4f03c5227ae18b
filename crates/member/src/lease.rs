//! The lease of one router, as the router sees it.

use {crate::Timing, model::Time};

/// What a router may do by its lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// The lease is valid: the whole bound where it owns.
    Full,
    /// The lease ran out, and others may not know it yet: nothing.
    Pause,
    /// All others leave room for it since this instant: its fixed shares.
    Share(Time),
}

/// Heartbeats sent and answered.
///
/// A heartbeat is sent only when the one before was answered, and then its number is the next one. A router that
/// gives up waiting skips a number. So the leader that sees two numbers in a row knows that its answer to the first
/// arrived, however long messages were on their way.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: Timing,
    seq: u64,
    /// The unanswered heartbeat and when it was sent.
    waiting: Option<(u64, Time)>,
    /// When the last answered heartbeat was sent.
    contact: Option<Time>,
    until: Time,
}

impl Lease {
    /// Returns a lease that was never valid.
    pub fn new(timing: Timing) -> Lease {
        Lease { timing, seq: 0, waiting: None, contact: None, until: Time(0) }
    }

    /// Returns the number of the heartbeat to send now; none while an answer is awaited.
    pub fn beat(&mut self, now: Time) -> Option<u64> {
        if let Some((_, sent)) = self.waiting {
            if now.since(sent) < self.timing.patience() {
                return None;
            }
            self.seq += 1;
        }
        self.seq += 1;
        self.waiting = Some((self.seq, now));
        Some(self.seq)
    }

    /// Gives up the unanswered heartbeat, as after the connection to the leader was lost.
    pub fn disconnected(&mut self) {
        if self.waiting.take().is_some() {
            self.seq += 1;
        }
    }

    /// Takes the answer to a heartbeat; false if it is not the one awaited.
    ///
    /// The deadline counts from when the heartbeat was sent, however long the answer took. A `lease_ms` of zero
    /// answers the heartbeat without renewing the lease.
    pub fn answered(&mut self, seq: u64, lease_ms: u32) -> bool {
        let Some((_, sent)) = self.waiting.filter(|it| it.0 == seq) else { return false };
        self.waiting = None;
        self.contact = Some(sent);
        if lease_ms > 0 {
            self.until = self.until.max(self.timing.holder_end(sent));
        }
        true
    }

    /// Whether the lease is valid.
    pub fn valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// What the router may do now.
    pub fn phase(&self, now: Time) -> Phase {
        if self.valid(now) {
            return Phase::Full;
        }
        match self.contact.map(|it| self.timing.share_start(it)) {
            Some(since) if now >= since => Phase::Share(since),
            _ => Phase::Pause,
        }
    }

    /// When the lease ends, if nothing renews it.
    pub fn until(&self) -> Time {
        self.until
    }
}

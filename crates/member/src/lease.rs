//! The lease of a router, from the point of view of that router.

use {crate::LeaseTiming, model::Time};

/// The state of a lease, which determines what its router may start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeasePhase {
    /// The lease is valid: the router may use the whole load bound of the endpoints that it owns.
    Valid,
    /// The lease expired, but other routers may not know this yet: the router may start nothing.
    Expired,
    /// All other routers have reserved the fixed shares of this router since this instant, so it
    /// may use them.
    FixedShare(Time),
}

/// The heartbeats and the lease of a router.
///
/// A heartbeat is sent only after the previous one was answered, and then has the next sequence
/// number. A router that abandons a heartbeat skips a number. A leader that receives two
/// consecutive numbers therefore knows that its reply to the first one arrived, regardless of
/// message delays.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: LeaseTiming,
    seq: u64,
    /// The sequence number of the unanswered heartbeat and when it was sent.
    pending: Option<(u64, Time)>,
    /// When the last answered heartbeat was sent.
    last_contact: Option<Time>,
    expires_at: Time,
}

impl Lease {
    /// Creates a lease that has not been granted yet.
    pub fn new(timing: LeaseTiming) -> Lease {
        Lease { timing, seq: 0, pending: None, last_contact: None, expires_at: Time(0) }
    }

    /// Returns the sequence number of the heartbeat to send now, or `None` while a reply is
    /// outstanding.
    pub fn next_heartbeat(&mut self, now: Time) -> Option<u64> {
        if let Some((_, sent)) = self.pending {
            if now.since(sent) < self.timing.reply_timeout() {
                return None;
            }
            self.seq += 1;
        }
        self.seq += 1;
        self.pending = Some((self.seq, now));
        Some(self.seq)
    }

    /// Abandons the unanswered heartbeat after the connection to the leader was lost.
    pub fn on_disconnect(&mut self) {
        if self.pending.take().is_some() {
            self.seq += 1;
        }
    }

    /// Handles the reply to a heartbeat. Returns false if it is not the expected one.
    ///
    /// The lease runs from the instant at which the heartbeat was sent, regardless of how long the
    /// reply took. A `lease_ms` of zero acknowledges the heartbeat without renewing the lease.
    pub fn on_reply(&mut self, seq: u64, lease_ms: u32) -> bool {
        let Some((_, sent)) = self.pending.filter(|it| it.0 == seq) else { return false };
        self.pending = None;
        self.last_contact = Some(sent);
        if lease_ms > 0 {
            self.expires_at = self.expires_at.max(self.timing.holder_expiry(sent));
        }
        true
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// Returns the state of the lease.
    pub fn phase(&self, now: Time) -> LeasePhase {
        if self.is_valid(now) {
            return LeasePhase::Valid;
        }
        match self.last_contact.map(|it| self.timing.fixed_share_start(it)) {
            Some(since) if now >= since => LeasePhase::FixedShare(since),
            _ => LeasePhase::Expired,
        }
    }

    /// Returns when the lease expires if it is not renewed.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }
}

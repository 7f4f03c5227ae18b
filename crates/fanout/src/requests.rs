//! Selects the replica that a router asks for a configuration.
//!
//! A replica that announced a configuration may not send it: it fails, its link is busy, or the router to which it
//! refers is slow. So the replicas that announced it are asked one after the other. One that owes an answer, or was too
//! slow with its last one, is asked only if the others do not answer.

use {
    derive_more::{Debug, Display},
    model::{MILLISECOND, Time},
    smallvec::SmallVec,
    std::{cmp::Reverse, net::SocketAddr},
};

/// How long a request may be outstanding before another replica is asked, in microseconds.
const ANSWER_TIME: u64 = 700 * MILLISECOND;

/// How long a replica that is not the next one in turn waits for that one to be asked, in microseconds.
const TURN_TIME: u64 = 50 * MILLISECOND;

/// Why a replica is asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum RequestCause {
    /// It announced a configuration, and no request is outstanding.
    #[display("announced")]
    Announced,
    /// The last request was not answered in time.
    #[display("no answer")]
    NoAnswer,
    /// The stream to a replica with an outstanding request ended.
    #[display("stream lost")]
    StreamLost,
    /// The router to which a replica referred did not send the configuration.
    #[display("referral failed")]
    ReferralFailed,
    /// An answer did not apply to the installed configuration.
    #[display("answer not applicable")]
    NotApplicable,
}

/// What to do about a replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Turn {
    /// Nothing, as it has announced no newer configuration than the installed one.
    Idle,
    /// Look again at this time.
    Wait(Time),
    /// Ask it now, and look again at this time.
    Ask {
        /// Why it is asked.
        cause: RequestCause,
        /// When it may be asked again, if the configuration is not installed by then.
        repeat_at: Time,
    },
}

/// A connected replica.
#[derive(Debug)]
struct Replica {
    addr: SocketAddr,
    /// The highest version that it announced.
    announced: u64,
    /// When it was last asked.
    asked_at: Option<Time>,
    /// Whether it owes an answer.
    is_pending: bool,
    /// Whether the configuration arrived from elsewhere when it had owed it for too long.
    is_slow: bool,
}

impl Replica {
    /// Returns whether others are asked before this one.
    fn is_last(&self) -> bool {
        self.is_pending || self.is_slow
    }

    /// Returns the position in the order in which replicas are asked.
    fn order(&self) -> impl Ord + use<> {
        (self.is_last(), self.asked_at, Reverse(self.announced), self.addr)
    }
}

/// The requests of a router for configurations that replicas announced.
#[derive(Debug)]
pub struct Requests {
    replicas: SmallVec<[Replica; 4]>,
    installed: Option<u64>,
    /// When another replica may be asked.
    due_at: Time,
    /// When a replica that owes an answer or was slow may be asked.
    repeat_at: Time,
    /// Why the next replica is asked.
    cause: RequestCause,
    /// When the first request since the last installation was sent.
    first_sent_at: Option<Time>,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            replicas: SmallVec::new(),
            installed: None,
            due_at: Time(0),
            repeat_at: Time(0),
            cause: RequestCause::Announced,
            first_sent_at: None,
        }
    }
}

impl Requests {
    /// Returns when the first request since the last installation was sent.
    pub fn first_sent_at(&self) -> Option<Time> {
        self.first_sent_at
    }

    /// Returns whether an announced version has not been installed in the time for an answer.
    pub fn is_overdue(&self, now: Time) -> bool {
        let is_late = self.first_sent_at.is_some_and(|it| it + ANSWER_TIME <= now);
        is_late && self.candidates().next().is_some()
    }

    /// Records that a replica announced a version.
    pub fn record_announced(&mut self, addr: SocketAddr, version: u64) {
        match self.replicas.iter_mut().find(|it| it.addr == addr) {
            Some(replica) => replica.announced = replica.announced.max(version),
            None => self.replicas.push(Replica {
                addr,
                announced: version,
                asked_at: None,
                is_pending: false,
                is_slow: false,
            }),
        }
    }

    /// Records that a version was installed, which a replica or another router sent.
    pub fn record_installed(&mut self, now: Time, version: u64, sender: SocketAddr) {
        self.installed = self.installed.max(Some(version));
        self.first_sent_at = None;
        self.repeat_at = now + ANSWER_TIME;
        for replica in &mut self.replicas {
            replica.is_slow &= replica.addr != sender;
            if replica.announced <= version && std::mem::take(&mut replica.is_pending) {
                let is_late = replica.asked_at.is_some_and(|it| it + ANSWER_TIME <= now);
                replica.is_slow |= is_late && replica.addr != sender;
                self.due_at = now;
                self.cause = RequestCause::Announced;
            }
        }
    }

    /// Records that a replica owes no answer any more. `cause` says why another request is sent, if a newer
    /// configuration was announced than the installed one.
    pub fn record_settled(&mut self, now: Time, addr: SocketAddr, cause: RequestCause) {
        let replica = self.replicas.iter_mut().find(|it| it.addr == addr);
        if replica.is_some_and(|it| std::mem::take(&mut it.is_pending)) {
            // What fails at once must not be repeated at once.
            self.due_at = self.due_at.min(now + TURN_TIME);
            self.cause = cause;
        }
    }

    /// Records that the stream to a replica ended, and with it a request to it.
    pub fn record_lost(&mut self, now: Time, addr: SocketAddr) {
        self.record_settled(now, addr, RequestCause::StreamLost);
        self.replicas.retain(|it| it.addr != addr);
    }

    /// Returns what to do about a replica. If that is to ask it, the request counts as sent.
    pub fn next(&mut self, now: Time, addr: SocketAddr) -> Turn {
        let Some(index) = self.candidates().find(|it| self.replicas[*it].addr == addr) else {
            return Turn::Idle;
        };
        let due_at = self.turn_at(index);
        if now < due_at {
            return Turn::Wait(due_at);
        }
        let replica = &mut self.replicas[index];
        replica.asked_at = Some(now);
        replica.is_pending = true;
        self.repeat_at = now + ANSWER_TIME;
        self.first_sent_at.get_or_insert(now);
        // A version that nobody else was asked for is requested before another request is due, and does not delay that.
        let cause = match now < self.due_at {
            true => RequestCause::Announced,
            false => {
                self.due_at = self.repeat_at;
                std::mem::replace(&mut self.cause, RequestCause::NoAnswer)
            }
        };
        Turn::Ask { cause, repeat_at: self.repeat_at }
    }

    /// Returns the replicas that announced a newer version than the installed one.
    fn candidates(&self) -> impl Iterator<Item = usize> + '_ {
        let is_newer = |it: &usize| Some(self.replicas[*it].announced) > self.installed;
        (0..self.replicas.len()).filter(is_newer)
    }

    /// Returns when a candidate may be asked.
    fn turn_at(&self, index: usize) -> Time {
        let pending = self.candidates().filter(|it| self.replicas[*it].is_pending);
        let newest_pending = pending.map(|it| self.replicas[it].announced).max();
        // The replicas that owe an answer may not know of this version.
        let is_ahead = |it: usize| {
            let replica = &self.replicas[it];
            !replica.is_last() && newest_pending.is_some_and(|it| it < replica.announced)
        };
        let is_ahead_itself = is_ahead(index);
        let mut rivals = self.candidates().filter(|it| !is_ahead_itself || is_ahead(*it));
        let is_first = rivals.all(|it| self.replicas[index].order() <= self.replicas[it].order());
        let due_at = match self.replicas[index].is_last() {
            true => self.due_at.max(self.repeat_at),
            false => self.due_at,
        };
        match (is_first, is_ahead_itself) {
            (true, true) => Time(0),
            (true, false) => due_at,
            (false, _) => due_at + TURN_TIME,
        }
    }
}

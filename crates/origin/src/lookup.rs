//! A search for the origin of one stream, and what those that were asked have answered.

use {
    crate::{
        message::{Origin, Wanted},
        origins::Source,
    },
    derive_more::Debug,
    directory::BuildId,
    model::{MILLISECOND, Time},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// The maximum number of routers that are asked for an origin. It is more than are told, as routers
/// may know different members.
pub(crate) const MAX_ASKED: usize = 6;

/// The maximum number of replicas that are asked for an origin. Two were told, and all of a usual
/// group can prove together which version alone was listed.
pub(crate) const MAX_ASKED_REPLICAS: usize = 5;

/// How long a known origin waits for the other answers, in milliseconds. One of them may tell that
/// the attempt began streams at several versions. Routers and replicas that are dead or of an older
/// build never answer.
pub(crate) const CONFIRM_MS: u64 = 60;

/// How long ago a list of endpoints that proves something was confirmed at most, in milliseconds.
/// Replicas read the list every 0.8 s and confirm it to routers every second, and gateways that were
/// killed take at least 1 s to serve again.
pub(crate) const MAX_LIST_AGE_MS: u64 = 1_500;

/// A process that was asked for an origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) addr: SocketAddr,
    pub(crate) is_replica: bool,
    pub(crate) is_silent: bool,
    /// The only version that can have begun the stream, by its lists.
    pub(crate) only: Option<BuildId>,
}

/// A search for the origin of a stream.
#[derive(Debug)]
pub(crate) struct Lookup {
    pub(crate) wanted: Wanted,
    /// When the stream had begun at the latest.
    pub(crate) began_by: Time,
    pub(crate) started_at: Time,
    pub(crate) asked: SmallVec<[Asked; MAX_ASKED + MAX_ASKED_REPLICAS]>,
    /// The origin with its source, if a process knows it.
    pub(crate) known: Option<(Origin, Source)>,
    /// Whether the attempt began streams at several versions.
    pub(crate) is_conflict: bool,
    /// When the silent ones are asked once more.
    pub(crate) resend_at: Time,
    pub(crate) give_up_at: Time,
}

impl Lookup {
    /// Records that a process has answered, with the only version that its lists prove. Returns
    /// whether it was asked.
    pub(crate) fn record_answer(&mut self, from: SocketAddr, only: Option<BuildId>) -> bool {
        let asked = self.asked.iter_mut().find(|it| it.addr == from);
        asked.map(|it| (it.is_silent, it.only) = (false, only)).is_some()
    }

    /// Returns the version that alone can have begun the stream by the lists of those that were
    /// asked, unless they differ.
    pub(crate) fn only(&self) -> Option<BuildId> {
        let mut builds = self.asked.iter().filter_map(|it| it.only);
        let first = builds.next()?;
        builds.all(|it| it == first).then_some(first)
    }

    pub(crate) fn set_known(&mut self, now: Time, origin: Origin, source: Source) {
        let (known, _) = *self.known.get_or_insert((origin, source));
        self.is_conflict |= known != origin;
        self.give_up_at = self.give_up_at.min(now + CONFIRM_MS * MILLISECOND);
    }

    pub(crate) fn is_ended(&self) -> bool {
        let is_proved = self.wanted.key.is_none() && self.asked.iter().any(|it| it.only.is_some());
        self.is_conflict || is_proved || !self.asked.iter().any(|it| it.is_silent)
    }

    /// Returns whether a router that may keep the origin has not answered.
    pub(crate) fn is_router_silent(&self) -> bool {
        self.asked.iter().any(|it| it.is_silent && !it.is_replica)
    }

    /// Returns from when on the list of a replica that is asked is from after the stream had begun.
    pub(crate) fn confirmed_at(&self) -> Time {
        self.began_by + MAX_LIST_AGE_MS * MILLISECOND
    }

    /// Returns whether no router that is silent now can have begun the stream at another version than
    /// `build`, by the lists of replicas, of which this router knows `known_replicas`. Routers get their lists from replicas, so it is enough if
    /// none of these has ever had another version. Otherwise one suffices that has read its list after
    /// the stream had begun, as a version doesn't leave so soon, unless another one contradicts it.
    pub(crate) fn is_confirmed(&self, build: BuildId, known_replicas: usize) -> bool {
        let replicas = || self.asked.iter().filter(|it| it.is_replica);
        let agrees = |it: &&Asked| it.only == Some(build);
        let is_contradicted = replicas().any(|it| !it.is_silent && !agrees(&it));
        let agreeing = replicas().filter(agrees).count();
        let have_read = self.started_at >= self.confirmed_at();
        agreeing > 0 && !is_contradicted && (have_read || agreeing == known_replicas)
    }
}

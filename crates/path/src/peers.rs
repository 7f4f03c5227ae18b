//! The other routers that may reach endpoints for this one.

use {
    derive_more::{Debug, Display},
    model::{Domain, MILLISECOND, Time, mix},
    std::{collections::HashMap, net::SocketAddr},
};

/// Why another router did not reach an endpoint for this one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum PeerFailure {
    /// It declined: it has lost its own path, is full, or is shutting down.
    #[display("declined")]
    Declined,
    /// It did not answer, or the connection to it broke.
    #[display("silent")]
    Silent,
}

/// How long a router that declined is not asked again, in milliseconds.
const DECLINED_MS: u64 = 1_000;

/// How long a router that did not answer is not asked again, in milliseconds.
const SILENT_MS: u64 = 2_000;

/// Which other routers are not asked for some time.
#[derive(Default, Debug)]
pub(crate) struct Peers {
    avoided: HashMap<SocketAddr, Time>,
}

impl Peers {
    /// Returns one of `members`, preferably in `domain`, or `None` if all are avoided.
    pub(crate) fn choose<'a, I>(
        &mut self,
        now: Time,
        members: I,
        domain: &Domain,
        random: u64,
    ) -> Option<SocketAddr>
    where
        I: IntoIterator<Item = (SocketAddr, &'a Domain)>,
    {
        self.avoided.retain(|_, until| now < *until);
        let usable = members.into_iter().filter(|it| !self.avoided.contains_key(&it.0));
        let (mut near, mut far): (Vec<_>, Vec<_>) = usable.partition(|it| it.1 == domain);
        let candidates = if near.is_empty() { &mut far } else { &mut near };
        // The order of the members is not fixed, but equal random numbers give equal choices.
        candidates.sort_unstable_by_key(|it| it.0);
        let at = mix(random) % candidates.len().max(1) as u64;
        candidates.get(at as usize).map(|it| it.0)
    }

    /// Records that a router did not reach an endpoint for this one. Returns whether it was usable
    /// before.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        peer: SocketAddr,
        failure: PeerFailure,
    ) -> bool {
        let avoid_ms = match failure {
            PeerFailure::Declined => DECLINED_MS,
            PeerFailure::Silent => SILENT_MS,
        };
        self.avoided.insert(peer, now + avoid_ms * MILLISECOND).is_none()
    }
}

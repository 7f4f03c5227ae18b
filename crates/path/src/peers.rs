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

/// How many routers of a domain must fail in a row for it not to be preferred.
const MAX_DOMAIN_FAILURES: u32 = 3;

/// How long a domain is not preferred, in milliseconds.
const DOMAIN_MS: u64 = 1_000;

/// How long a router that reached an endpoint is known to, in milliseconds.
const CARRIED_MS: u64 = 2_000;

/// A router that may reach endpoints for another one.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: &'a Domain,
}

/// The failures of the routers of a domain.
#[derive(Clone, Copy, Default, Debug)]
struct DomainState {
    failures: u32,
    avoid_until: Time,
}

/// What is known of other routers.
#[derive(Default, Debug)]
pub(crate) struct Peers {
    /// Until when routers are not asked.
    avoided: HashMap<SocketAddr, Time>,
    /// Until when routers are known to reach endpoints.
    carrying: HashMap<SocketAddr, Time>,
    domains: HashMap<Domain, DomainState>,
}

impl Peers {
    /// Returns one of `members`, or `None` if all are avoided. At first it is one of `domain`; after
    /// `failed` others have failed, one that reached an endpoint lately.
    pub(crate) fn choose<'a, I>(
        &mut self,
        now: Time,
        members: I,
        domain: &Domain,
        failed: usize,
        random: u64,
    ) -> Option<SocketAddr>
    where
        I: IntoIterator<Item = Member<'a>>,
    {
        self.avoided.retain(|_, until| now < *until);
        self.carrying.retain(|_, until| now < *until);
        let usable = members.into_iter().filter(|it| !self.avoided.contains_key(&it.addr));
        let mut usable: Vec<_> = usable.collect();
        // The order of the members is not fixed, but equal random numbers give equal choices.
        usable.sort_unstable_by_key(|it| it.addr);
        let is_domain_usable = self.domains.get(domain).is_none_or(|it| it.avoid_until <= now);
        let is_preferred = |it: &&Member<'_>| {
            if failed > 0 {
                self.carrying.contains_key(&it.addr)
            } else {
                is_domain_usable && it.domain == domain
            }
        };
        let preferred: Vec<_> = usable.iter().filter(is_preferred).copied().collect();
        let candidates = if preferred.is_empty() { &usable } else { &preferred };
        let at = mix(random) % candidates.len().max(1) as u64;
        candidates.get(at as usize).map(|it| it.addr)
    }

    /// Records that a router reached an endpoint for this one.
    pub(crate) fn record_carried(&mut self, now: Time, peer: Member<'_>) {
        self.carrying.insert(peer.addr, now + CARRIED_MS * MILLISECOND);
        self.domains.remove(peer.domain);
    }

    /// Records that a router did not reach an endpoint for this one. Returns whether it was usable
    /// before.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        peer: Member<'_>,
        failure: PeerFailure,
    ) -> bool {
        let avoid_ms = match failure {
            PeerFailure::Declined => DECLINED_MS,
            PeerFailure::Silent => SILENT_MS,
        };
        self.carrying.remove(&peer.addr);
        let domain = self.domains.entry(peer.domain.clone()).or_default();
        domain.failures += 1;
        if domain.failures >= MAX_DOMAIN_FAILURES {
            domain.avoid_until = now + DOMAIN_MS * MILLISECOND;
        }
        self.avoided.insert(peer.addr, now + avoid_ms * MILLISECOND).is_none()
    }
}

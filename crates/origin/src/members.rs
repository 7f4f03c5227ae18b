//! Which routers, or replicas of the control plane, keep the origin of a stream.

use {
    derive_more::Debug,
    model::{Domain, hash64, mix2},
    std::{cmp::Reverse, collections::HashMap, net::SocketAddr},
};

/// A router.
#[derive(Debug)]
struct Member {
    addr: SocketAddr,
    hash: u64,
    /// The index of its failure domain.
    domain: usize,
}

/// The known routers.
#[derive(Debug)]
pub(crate) struct Members {
    own: SocketAddr,
    members: Vec<Member>,
    domains: usize,
}

impl Members {
    pub(crate) fn new<'a, I>(own: SocketAddr, routers: I) -> Members
    where
        I: IntoIterator<Item = (SocketAddr, &'a Domain)>,
    {
        let mut domains: HashMap<&Domain, usize> = HashMap::new();
        let mut members: Vec<_> = routers
            .into_iter()
            .map(|(addr, domain)| {
                let next = domains.len();
                let domain = *domains.entry(domain).or_insert(next);
                Member { addr, hash: hash64(addr.to_string().as_bytes()), domain }
            })
            .collect();
        members.sort_unstable_by_key(|it| it.addr);
        members.dedup_by_key(|it| it.addr);
        Members { own, members, domains: domains.len() }
    }

    pub(crate) fn contains(&self, addr: SocketAddr) -> bool {
        self.members.binary_search_by_key(&addr, |it| it.addr).is_ok()
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the other routers in the order of preference for a stream: the first of each domain
    /// by rendezvous hashing, then the second of each, and so on.
    pub(crate) fn ranked(&self, key: u64) -> impl Iterator<Item = SocketAddr> {
        let mut scored: Vec<_> = self.members.iter().map(|it| (mix2(key, it.hash), it)).collect();
        scored.sort_unstable_by_key(|it| Reverse(it.0));
        let mut counts = vec![0_usize; self.domains];
        let mut ranked: Vec<_> = scored
            .into_iter()
            .enumerate()
            .map(|(at, (_, member))| {
                counts[member.domain] += 1;
                (counts[member.domain], at, member.addr)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.2).filter(|it| *it != self.own)
    }
}

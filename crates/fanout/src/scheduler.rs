//! Selects the sender of each copy of a configuration.
//!
//! A process with a slow link that sends every copy itself needs a time proportional to the number of routers. Here, a
//! router that has the configuration passes it on to others while the link of this process is busy, so the number of
//! copies in transit grows with the number of routers that have one.

use {
    derive_more::Debug,
    model::{Domain, MILLISECOND, Time},
    smallvec::SmallVec,
    std::{collections::VecDeque, net::SocketAddr},
};

/// How many routers a provider sends to at the same time. It sends them one copy each over its own link, which also
/// carries the traffic of callers.
const MAX_RECEIVERS: usize = 2;

/// How long a provider may take for one copy, in milliseconds. A provider that takes longer is not used again for the
/// same version.
const TRANSFER_TIMEOUT_MS: u64 = 1_000;

/// A router that gets configurations.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Router {
    /// The address on which other routers reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct WaiterId(u64);

/// Who sends a message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// This process. It must call [`Fanout::release`] once its link is free again.
    Local,
    /// The router at `addr`, which has this version or a later one.
    Router {
        /// The current version.
        version: u64,
        /// The internal address of the router.
        addr: SocketAddr,
    },
}

#[derive(Debug)]
struct Waiter {
    id: WaiterId,
    /// The router that waits for the configuration, or `None` for a message that only this process can send.
    router: Option<Router>,
}

/// A router that has the current version.
#[derive(Debug)]
struct Provider {
    router: Router,
    receivers: SmallVec<[Receiver; MAX_RECEIVERS]>,
}

/// A router that was referred to a provider and has not confirmed the version yet.
#[derive(Debug)]
struct Receiver {
    addr: SocketAddr,
    expires_at: Time,
}

/// Assigns a source to each router that requests the current configuration.
#[derive(Default, Debug)]
pub struct Fanout {
    version: u64,
    /// Whether this process is sending a message.
    sending: bool,
    waiters: VecDeque<Waiter>,
    providers: Vec<Provider>,
    last_waiter: u64,
}

impl Fanout {
    /// Sets the current version. Routers that have an older one are not used as providers any more.
    pub fn set_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.providers.clear();
        }
    }

    /// Queues a request for the current configuration by `router`, or for a message that only this process can send
    /// if `router` is `None`.
    pub fn request(&mut self, router: Option<Router>) -> WaiterId {
        if let Some(router) = &router {
            // A router that requests the version again did not get it from its provider.
            self.providers.retain(|it| it.receivers.iter().all(|it| it.addr != router.addr));
        }
        self.last_waiter += 1;
        let id = WaiterId(self.last_waiter);
        self.waiters.push_back(Waiter { id, router });
        id
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, id: WaiterId) {
        self.waiters.retain(|it| it.id != id);
    }

    /// Records that a router has a version in force.
    pub fn confirm(&mut self, router: &Router, version: u64) {
        if version < self.version {
            return;
        }
        for provider in &mut self.providers {
            provider.receivers.retain(|it| it.addr != router.addr);
        }
        if self.providers.iter().all(|it| it.router.addr != router.addr) {
            self.providers.push(Provider { router: router.clone(), receivers: SmallVec::new() });
        }
    }

    /// Removes a router that is no longer reachable.
    pub fn remove(&mut self, addr: SocketAddr) {
        self.providers.retain(|it| it.router.addr != addr);
    }

    /// Records that the link of this process is free again.
    pub fn release(&mut self) {
        self.sending = false;
    }

    /// Returns the next request that can be served, and by whom. Call it until it returns `None` after each other
    /// call.
    pub fn next_grant(&mut self, now: Time) -> Option<(WaiterId, Source)> {
        if !self.sending {
            let waiter = self.waiters.pop_front()?;
            self.sending = true;
            return Some((waiter.id, Source::Local));
        }
        let index = self.waiters.iter().position(|it| it.router.is_some())?;
        let router = self.waiters[index].router.clone()?;
        let version = self.version;
        let provider = self.find_provider(now, &router.domain)?;
        let expires_at = now + TRANSFER_TIMEOUT_MS * MILLISECOND;
        provider.receivers.push(Receiver { addr: router.addr, expires_at });
        let source = Source::Router { version, addr: provider.router.addr };
        self.waiters.remove(index).map(|it| (it.id, source))
    }

    /// Returns a provider that can send another copy, preferably one in `domain`.
    fn find_provider(&mut self, now: Time, domain: &Domain) -> Option<&mut Provider> {
        self.providers.retain(|it| it.receivers.iter().all(|it| now < it.expires_at));
        let available = |it: &Provider| it.receivers.len() < MAX_RECEIVERS;
        let same_domain = |it: &Provider| available(it) && it.router.domain == *domain;
        let found = self.providers.iter().position(same_domain);
        let found = found.or_else(|| self.providers.iter().position(available))?;
        self.providers.get_mut(found)
    }
}

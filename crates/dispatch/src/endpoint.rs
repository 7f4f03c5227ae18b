//! One endpoint as a router sees it.

use {
    crate::{health::Health, load::Load, service::PromptPart},
    derive_more::{Debug, Display},
    directory::ListedEndpoint,
    model::{Time, hash64, mix2},
    std::{collections::HashMap, net::SocketAddr},
};

/// An endpoint's number in one router; an endpoint that started again has another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("e{_0}")]
pub struct EndpointHandle(pub u32);

/// The most prompt parts that are remembered for one endpoint.
const MAX_PARTS: usize = 8_192;

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) handle: EndpointHandle,
    pub(crate) listed: ListedEndpoint,
    /// What its id hashes to: its place in the rendezvous order of each prompt.
    pub(crate) hash: u64,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// The prompt parts that routers sent there, and when last.
    parts: HashMap<u64, Time>,
}

impl Endpoint {
    pub(crate) fn new(handle: EndpointHandle, listed: ListedEndpoint) -> Endpoint {
        let hash = hash64(listed.id.as_bytes());
        Endpoint {
            handle,
            hash,
            listed,
            load: Load::default(),
            health: Health::default(),
            parts: HashMap::new(),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listed.addr
    }

    /// What distinguishes this start of the endpoint from others.
    pub(crate) fn incarnation(&self) -> u64 {
        mix2(self.hash, self.listed.started_at_ms.unwrap_or(u64::from(self.handle.0)))
    }

    /// How many tokens at the beginning of a prompt it should have in memory.
    pub(crate) fn cached_tokens(&self, shared: &[PromptPart]) -> u32 {
        let cached = shared.iter().take_while(|it| self.parts.contains_key(&it.id));
        cached.map(|it| it.tokens).sum()
    }

    /// Takes note of a prompt part that it reads; returns whether that is new.
    pub(crate) fn record_part(&mut self, now: Time, part: u64) -> bool {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            // Half of the parts go, so that this is rare.
            let mut times: Vec<_> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, at| *at > middle);
        }
        self.parts.insert(part, now).is_none()
    }
}

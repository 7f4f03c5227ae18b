//! One endpoint as a router sees it.

use {
    crate::{health::Health, listing::Listed, load::Load},
    derive_more::{Debug, Display},
    model::{Time, hash64, mix2},
    std::{
        collections::HashMap,
        net::SocketAddr,
    },
};

/// An endpoint's number in one router; an endpoint that started again has another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("e{_0}")]
pub struct EndpointNo(pub u32);

/// The most prompt parts that are remembered for one endpoint.
const MAX_PARTS: usize = 8_192;

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) no: EndpointNo,
    pub(crate) listed: Listed,
    /// What its id hashes to: its place in the rendezvous order of each prompt.
    pub(crate) hash: u64,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Whether it joined while others were at work, and until when it counts as having no prompts in memory.
    pub(crate) young_until: Time,
    /// The prompt parts that this router sent there, and when last.
    parts: HashMap<u64, Time>,
}

impl Endpoint {
    pub(crate) fn new(no: EndpointNo, listed: Listed, young_until: Time) -> Endpoint {
        let hash = hash64(listed.id.as_bytes());
        Endpoint {
            no,
            hash,
            listed,
            load: Load::default(),
            health: Health::default(),
            young_until,
            parts: HashMap::new(),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listed.addr
    }

    /// What distinguishes this start of the endpoint from others.
    pub(crate) fn incarnation(&self) -> u64 {
        mix2(self.hash, self.listed.born.unwrap_or(u64::from(self.no.0)))
    }

    /// Whether this router sent a prompt part there.
    pub(crate) fn holds(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Takes note of a prompt part that it reads.
    pub(crate) fn remember(&mut self, now: Time, part: u64) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            // Half of the parts go, so that this is rare.
            let mut times: Vec<_> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, at| *at > middle);
        }
        self.parts.insert(part, now);
    }
}

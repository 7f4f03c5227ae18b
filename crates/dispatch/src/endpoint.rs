//! One endpoint, as a router sees it.

use {
    crate::{
        brittle::Brittle,
        cold::{Cold, ColdRate},
        health::{AttemptOutcome, Health},
        limit::{Fleet, Limit, LimitChange},
        load::Load,
        outage::{Outage, OutageReport, PeerReports},
        request::{Assignment, Eligibility, EndpointHandle, PromptPart},
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    model::{MILLISECOND, Name, Time, hash64, mix2},
    std::{collections::HashMap, net::SocketAddr},
};

/// The maximum number of prompt parts that are tracked per endpoint.
const MAX_PARTS: usize = 8_192;

/// How long a response of an endpoint outweighs reports that it is unreachable, in microseconds.
const RESPONSE_PROOF_TIME: u64 = 300 * MILLISECOND;

/// What an endpoint asked of this router in its responses.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Notice {
    /// The endpoint is leaving and wants no further requests.
    pub(crate) leaving: bool,
    /// Until when the endpoint wants no requests.
    pub(crate) closed_until: Time,
    /// How many requests the endpoint takes.
    pub(crate) limit: Limit,
    /// How many rejections the endpoint bears.
    pub(crate) brittle: Brittle,
    /// Whether the endpoint is cold.
    pub(crate) cold: Cold,
}

/// An endpoint and its load, health and cached prompt parts.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) handle: EndpointHandle,
    pub(crate) listed: ListedEndpoint,
    /// The hash of the endpoint's id, which determines its rank for each prompt.
    pub(crate) hash: u64,
    pub(crate) load: Load,
    pub(crate) health: Health,
    pub(crate) peer_reports: PeerReports,
    /// When the endpoint last responded to this router.
    responded_at: Option<Time>,
    pub(crate) notice: Notice,
    /// Whether the endpoint's domain is evacuated.
    pub(crate) evacuated: bool,
    /// The region of the endpoint's domain, if it has one.
    pub(crate) region: Option<Name>,
    /// The prompt parts that routers sent to the endpoint, and when they were last sent.
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
            peer_reports: PeerReports::default(),
            responded_at: None,
            notice: Notice::default(),
            evacuated: false,
            region: None,
            parts: HashMap::new(),
        }
    }

    /// Returns whether the endpoint takes new requests, now or later.
    pub(crate) fn is_staying(&self) -> bool {
        !self.listed.draining && !self.notice.leaving && !self.evacuated
    }

    /// Returns whether the endpoint has not asked this router to send nothing. Its limit is shared by
    /// all routers and is not looked at.
    pub(crate) fn accepts(&self, now: Time) -> bool {
        self.is_staying() && self.notice.closed_until <= now
    }

    /// Returns whether the endpoint takes new requests now.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.is_staying() && self.opens_at() <= now
    }

    /// Returns whether another request of one of `routers` is unlikely to be rejected, if rejections
    /// make the endpoint fail.
    pub(crate) fn bears_another(&self, now: Time, routers: usize) -> bool {
        let max_requests = self.notice.brittle.max_requests(self.listed.slots, routers);
        max_requests.is_none_or(|max| {
            self.load.own.requests < max && self.load.requests(now) < self.listed.slots
        })
    }

    /// Returns when the endpoint takes the next request of this router, if it is staying.
    pub(crate) fn opens_at(&self) -> Time {
        let Notice { closed_until, limit, cold, .. } = &self.notice;
        limit.opens_at().max(cold.opens_at()).max(*closed_until)
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.notice.cold.is_cold(now)
    }

    /// Returns how many requests per second this router may send here, or `None` if any number.
    pub(crate) fn max_rate(&self, now: Time) -> Option<f64> {
        let Notice { limit, cold, .. } = &self.notice;
        let named = limit.rate().map(|_| limit.share());
        [named, cold.share(now)].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Records the start of a request.
    pub(crate) fn take(&mut self, now: Time, tokens: u32) {
        self.load.add(tokens);
        self.notice.limit.take(now);
        self.notice.cold.take(now);
    }

    /// Determines this router's share of what the endpoint takes while it is cold.
    pub(crate) fn set_cold_share(&mut self, now: Time, rate: Option<ColdRate>, fleet: &Fleet) {
        match rate {
            Some(rate) => self.notice.cold.set_share(now, rate, fleet, self.hash),
            None => self.notice.cold.clear(),
        }
    }

    /// Returns whether the endpoint may run a request, whatever its state is.
    pub(crate) fn is_eligible(&self, eligibility: Eligibility<'_>) -> bool {
        let Eligibility { build, regions } = eligibility;
        build.is_none_or(|it| self.listed.build_id() == it) && self.is_in(regions)
    }

    /// Returns whether the endpoint is in one of `regions`. `None` allows all endpoints.
    pub(crate) fn is_in(&self, regions: Option<&[Name]>) -> bool {
        regions.is_none_or(|it| self.region.as_ref().is_some_and(|region| it.contains(region)))
    }

    /// Records how an attempt ended. Returns what other routers should know, unless they said so.
    pub(crate) fn record_outcome(
        &mut self,
        now: Time,
        outcome: AttemptOutcome,
    ) -> Option<OutageReport> {
        self.health.record(now, outcome);
        let outage = match outcome {
            AttemptOutcome::Misdirected => Outage::Replaced,
            AttemptOutcome::Unreachable => Outage::Unreachable,
            AttemptOutcome::Served | AttemptOutcome::Failed | AttemptOutcome::Full => {
                self.responded_at = Some(now);
                self.peer_reports.clear();
                return None;
            }
            AttemptOutcome::Broken | AttemptOutcome::Abandoned => return None,
        };
        let is_known = self.peer_reports.is_avoided(now);
        (!is_known).then(|| OutageReport { incarnation: self.incarnation(), outage })
    }

    /// Applies a report of another router. An endpoint that responded to this router just now is
    /// not unreachable. Returns whether it is avoided from now on.
    pub(crate) fn apply_outage(&mut self, now: Time, domain: u64, outage: Outage) -> bool {
        let has_responded = self.responded_at.is_some_and(|it| now.since(it) < RESPONSE_PROOF_TIME);
        let is_refuted = outage == Outage::Unreachable && has_responded;
        !is_refuted && self.peer_reports.record(now, domain, outage)
    }

    /// Returns whether requests should prefer other endpoints.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        self.health.is_avoided(now) || self.peer_reports.is_avoided(now)
    }

    /// Determines this router's share of the endpoint's limit, which has changed.
    pub(crate) fn set_share(&mut self, now: Time, fleet: &Fleet) -> LimitChange {
        let limit = &mut self.notice.limit;
        limit.set_share(now, fleet, self.hash);
        LimitChange { endpoint: self.listed.id.clone(), rate: limit.rate(), share: limit.share() }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listed.addr
    }

    /// Returns a value that distinguishes this run of the endpoint from its earlier and later ones. All
    /// routers agree on it.
    pub(crate) fn incarnation(&self) -> u64 {
        mix2(self.hash, self.listed.started_at_ms.unwrap_or_default())
    }

    /// Returns how to send a request of `tokens` tokens here.
    pub(crate) fn assignment(&self, now: Time, tokens: u32) -> Assignment {
        Assignment {
            handle: self.handle,
            id: self.listed.id.clone(),
            addr: self.addr(),
            domain: self.listed.domain.clone(),
            build: self.listed.build_id(),
            incarnation: self.incarnation(),
            fetch_from: None,
            tokens,
            unread: 0,
            load: self.load.requests(now),
        }
    }

    /// Returns how many tokens at the beginning of a prompt are expected to be in the endpoint's
    /// memory. An endpoint that processed a part has processed those before it.
    pub(crate) fn cached_tokens(&self, shared: &[PromptPart]) -> u32 {
        let last = shared.iter().rposition(|it| self.parts.contains_key(&it.id));
        last.map_or(0, |it| shared[..=it].iter().map(|it| it.tokens).sum())
    }

    /// Records that the endpoint processes a prompt part. Returns whether the part is new.
    pub(crate) fn record_part(&mut self, now: Time, part: u64) -> bool {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            // Drops half of the parts, so that this happens rarely.
            let mut times: Vec<_> = self.parts.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.parts.retain(|_, at| *at > median);
        }
        self.parts.insert(part, now).is_none()
    }
}

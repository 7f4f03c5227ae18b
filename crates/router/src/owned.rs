//! The owner's side of a router: which endpoints it may start work on, what runs there, and what waits.
//!
//! One table under one lock: the decisions of `member`, `placement`, `admission` and `retry` for one endpoint must
//! see one state. Every method takes `now` and does no I/O; what is to be sent is returned or put into a channel.

mod queue;

use {
    self::queue::QueuedAttempt,
    admission::FairQueue,
    member::{LeaseTiming, MembershipView},
    model::{
        AttemptNo, ChatKey, Config, Digest, EndpointId, Epoch, MILLISECOND, Reason, Refusal,
        RequestId, Revision, SECOND, Time, Work,
    },
    placement::{CacheEvent, EndpointTable, RendezvousHash, Settings, StartRequest, StartResult},
    retry::{AdmitDecision, Isolation, SuspectLimits, SuspectTable},
    smallvec::SmallVec,
    std::collections::{HashMap, VecDeque},
    wire::msg::{LoadSum, Mean, ToControl},
};

/// How long an endpoint that refused a connection gets nothing new, in microseconds.
const UNAVAILABLE_US: u64 = SECOND / 2;

/// How long a request waits for each cached token of its prompt before it spills, in microseconds.
const PREFIX_WAIT_PER_TOKEN_US: u64 = 300;

/// The longest that a request waits before it spills, in microseconds.
const MAX_PREFIX_WAIT_US: u64 = SECOND * 3 / 5;

/// A shorter cached prefix is computed again rather than waited for, in tokens.
const MIN_PREFIX_TOKENS: u32 = 64;

/// Requests whose chats are remembered, so that cache events can name them.
const MAX_RECENT_REQUESTS: usize = 1 << 16;

/// A request that an endpoint of this router runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNo,
    /// The work that it counted with at its start.
    pub(crate) cost: Work,
    /// The part of that work which is the prompt.
    pub(crate) prompt: Work,
    /// Whether an endpoint died under it before.
    pub(crate) suspected: bool,
}

/// Why a request did not start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum StartError {
    /// Another router may start it.
    NotOwner(Epoch),
    /// It may be tried at these.
    NoCapacity(SmallVec<[EndpointId; 4]>),
    /// It is given up.
    Refused(Refusal),
}

/// What a waiting request is told.
pub(crate) type QueueOutcome = Result<RunningAttempt, StartError>;

/// The owner's side of a router.
pub(crate) struct OwnedEndpoints {
    pub(crate) membership: MembershipView,
    pub(crate) table: EndpointTable,
    pub(crate) suspects: SuspectTable,
    isolation: Isolation,
    queues: HashMap<EndpointId, FairQueue>,
    queued: HashMap<(EndpointId, RequestId), QueuedAttempt>,
    unavailable_until: HashMap<EndpointId, Time>,
    /// Since when a queue has not moved.
    stalled_since: HashMap<EndpointId, Time>,
    reported_loads: HashMap<EndpointId, Work>,
    chats_by_request: HashMap<RequestId, ChatKey>,
    recent_requests: VecDeque<RequestId>,
    pending_quarantines: SmallVec<[Digest; 2]>,
    /// The sums of the last heartbeat.
    last_sent_sums: SmallVec<[LoadSum; 4]>,
}

impl OwnedEndpoints {
    /// Returns the tables of a router that owns nothing.
    pub(crate) fn new() -> OwnedEndpoints {
        OwnedEndpoints {
            membership: MembershipView::new(LeaseTiming::default()),
            table: EndpointTable::new(placement_settings()),
            suspects: SuspectTable::new(SuspectLimits::default()),
            isolation: Isolation::default(),
            queues: HashMap::new(),
            queued: HashMap::new(),
            unavailable_until: HashMap::new(),
            stalled_since: HashMap::new(),
            reported_loads: HashMap::new(),
            chats_by_request: HashMap::new(),
            recent_requests: VecDeque::new(),
            pending_quarantines: SmallVec::new(),
            last_sent_sums: SmallVec::new(),
        }
    }

    /// Takes a new configuration.
    pub(crate) fn update_config(&mut self, now: Time, config: &Config) {
        self.membership.update_config(now, config);
        self.table.update_config(now, config);
        let known = |id: &EndpointId| config.endpoints.contains_key(id);
        self.unavailable_until.retain(|id, _| known(id));
        self.reported_loads.retain(|id, _| known(id));
        self.queues.retain(|id, queue| known(id) || !queue.is_empty());
    }

    /// Returns the heartbeat to send now, unless the one before is unanswered.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        revision: Revision,
        leaving: bool,
    ) -> Option<ToControl> {
        let (seq, epoch) = self.membership.next_heartbeat(now)?;
        let (sums, held) = (self.load_sums(), self.table.unowned_work(&self.membership));
        self.last_sent_sums = sums.clone();
        Some(ToControl::Heartbeat {
            seq,
            revision,
            epoch,
            leaving,
            busy: self.table.has_running(),
            sums,
            held,
        })
    }

    /// Whether the mean may be old: requests wait, or a sum moved by an eighth since the last heartbeat.
    pub(crate) fn needs_fresh_mean(&self) -> bool {
        let has_changed = |now: &LoadSum| {
            let last = self.last_sent_sums.iter().find(|it| it.service == now.service);
            let before = last.map_or(Work::ZERO, |it| it.sum);
            now.sum.0.abs_diff(before.0) > before.0 / 8
        };
        !self.queued.is_empty() || self.load_sums().iter().any(has_changed)
    }

    /// The loads of the endpoints that this router owns.
    pub(crate) fn load_sums(&self) -> SmallVec<[LoadSum; 4]> {
        let loads = self.table.owned_loads(&self.membership);
        let sum = |it: placement::OwnedLoad| LoadSum {
            service: it.service,
            sum: it.total,
            count: it.count,
            least: it.least_loaded,
            low: it.min_load,
        };
        loads.into_iter().map(sum).collect()
    }

    /// Takes the answer to a heartbeat.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Time,
        seq: u64,
        lease_ms: u32,
        settled: Epoch,
        held: &[(EndpointId, Work)],
        means: &[Mean],
    ) {
        if !self.membership.on_heartbeat_reply(now, seq, lease_ms, settled) {
            return;
        }
        if settled == self.membership.epoch() {
            self.table.update_remote_work(held);
        }
        for mean in means {
            self.table.update_mean(mean.service, mean.sum, mean.count, &mean.hints);
        }
        self.tick(now);
    }

    /// Takes an endpoint's load report.
    pub(crate) fn apply_load_report(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        requested_at: Time,
        load: Work,
    ) {
        self.unavailable_until.remove(&endpoint);
        self.reported_loads.insert(endpoint, load);
        self.table.apply_load_report(now, endpoint, requested_at, load);
        self.serve_queue(now, endpoint);
    }

    /// The load that an endpoint last reported.
    pub(crate) fn reported_load(&self, endpoint: EndpointId) -> Work {
        self.reported_loads.get(&endpoint).copied().unwrap_or_default()
    }

    /// Takes what an engine published about the prefix that a request left in its cache.
    pub(crate) fn apply_cache_event(
        &mut self,
        endpoint: EndpointId,
        request: RequestId,
        tokens: u32,
    ) {
        if let Some(chat) = self.chats_by_request.get(&request) {
            self.table.apply_cache_event(endpoint, CacheEvent::Holds { chat: *chat, tokens });
        }
    }

    /// Says whether a request that crashed endpoints before may run.
    pub(crate) fn check_suspect(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        crashed_endpoints: &[EndpointId],
        deadline: Time,
    ) -> Result<bool, Refusal> {
        match self.suspects.admit(now, fingerprint, request, crashed_endpoints, deadline) {
            AdmitDecision::Allow => Ok(false),
            AdmitDecision::Trial => Ok(true),
            AdmitDecision::Busy { retry_ms } => Err(Refusal::not_run(Reason::InProgress, retry_ms)),
            AdmitDecision::Quarantined { retry_ms } => {
                Err(Refusal::not_run(Reason::Quarantined, retry_ms))
            }
        }
    }

    /// Starts a request if its endpoint has room.
    pub(crate) fn try_start(
        &mut self,
        now: Time,
        rendezvous: &RendezvousHash,
        start: &StartRequest,
        suspected: bool,
    ) -> Result<RunningAttempt, StartError> {
        if self.unavailable_until.get(&start.endpoint).is_some_and(|it| now < *it) {
            return Err(StartError::NoCapacity(SmallVec::new()));
        }
        if suspected && !self.isolation.try_acquire(start.endpoint, start.request) {
            return Err(StartError::NoCapacity(SmallVec::new()));
        }
        let started = self.table.try_start(now, &self.membership, rendezvous, start);
        if suspected && !matches!(started, StartResult::Started { .. }) {
            self.isolation.release(start.endpoint, start.request);
        }
        match started {
            StartResult::Started { cached, cost } => {
                self.record_chat(start.request, start.chat);
                let prompt = Work(u64::from(start.prompt.saturating_sub(cached)));
                let StartRequest { endpoint, request, attempt, .. } = *start;
                Ok(RunningAttempt { endpoint, request, attempt, cost, prompt, suspected })
            }
            StartResult::NoCapacity { alternatives } => Err(StartError::NoCapacity(alternatives)),
            StartResult::NotOwner => Err(StartError::NotOwner(self.membership.epoch())),
        }
    }

    /// Notes how much work of a running request is left.
    pub(crate) fn update_progress(&mut self, running: &RunningAttempt, left: Work) {
        self.table.update_progress(running.endpoint, running.request, running.attempt, left);
    }

    /// Ends a running request and starts what has room now.
    pub(crate) fn finish(&mut self, now: Time, running: &RunningAttempt) {
        let RunningAttempt { endpoint, request, attempt, .. } = *running;
        self.table.finish(now, endpoint, request, attempt);
        if running.suspected {
            self.isolation.release(endpoint, request);
        }
        if let Some(queue) = self.queues.get_mut(&endpoint) {
            queue.record_completed(now, running.cost);
        }
        self.serve_queue(now, endpoint);
    }

    /// Keeps new work from an endpoint that refused a connection.
    pub(crate) fn mark_unavailable(&mut self, now: Time, endpoint: EndpointId) {
        self.unavailable_until.insert(endpoint, now + UNAVAILABLE_US);
    }

    /// Counts the death of an endpoint under a request that is given up at `deadline`.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        endpoint: EndpointId,
        deadline: Time,
    ) {
        self.mark_unavailable(now, endpoint);
        self.suspects.record_local_crash(now, fingerprint, request, endpoint, deadline);
    }

    /// Quarantines a request that this router saw crash two endpoints.
    pub(crate) fn quarantine(&mut self, now: Time, fingerprint: Digest) {
        self.suspects.quarantine(now, fingerprint, now + SuspectLimits::default().retention);
        self.pending_quarantines.push(fingerprint);
    }

    /// The fingerprints that control must be told.
    pub(crate) fn take_quarantined(&mut self) -> SmallVec<[Digest; 2]> {
        let mut pending_quarantines = std::mem::take(&mut self.pending_quarantines);
        pending_quarantines.extend(self.suspects.take_quarantined());
        pending_quarantines
    }

    fn record_chat(&mut self, request: RequestId, chat: ChatKey) {
        if self.chats_by_request.insert(request, chat).is_none() {
            self.recent_requests.push_back(request);
        }
        if self.recent_requests.len() > MAX_RECENT_REQUESTS
            && let Some(old) = self.recent_requests.pop_front()
        {
            self.chats_by_request.remove(&old);
        }
    }
}

fn placement_settings() -> Settings {
    Settings::default()
        .with_prefix_wait(PREFIX_WAIT_PER_TOKEN_US, MAX_PREFIX_WAIT_US)
        .with_min_prefix(MIN_PREFIX_TOKENS)
}

/// Milliseconds of a budget as a deadline.
pub(crate) fn deadline_after(now: Time, budget_ms: u32) -> Time {
    now + u64::from(budget_ms) * MILLISECOND
}

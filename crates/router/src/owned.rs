//! The state of the endpoints that a router owns: whether it may start work on them, what runs on them, and what is
//! queued for them.
//!
//! All of it is under one lock, because the decisions of `member`, `placement`, `admission` and `retry` for an endpoint
//! must be based on the same state. Every method takes `now` and performs no I/O; messages are returned or sent to a
//! channel.

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
    wire::msg::{LoadSum, ServiceTotal, ToControl},
};

/// Time for which an endpoint receives no new work after a refused connection or a crash, in microseconds.
const UNAVAILABLE_US: u64 = SECOND / 2;

/// Time that a request waits per cached token of its prompt before it spills, in microseconds.
const PREFIX_WAIT_PER_TOKEN_US: u64 = 300;

/// Maximum time that a request waits before it spills, in microseconds.
const MAX_PREFIX_WAIT_US: u64 = SECOND * 3 / 5;

/// Minimum length of a cached prefix that a request waits for, in tokens; a shorter one is computed again.
const MIN_PREFIX_TOKENS: u32 = 64;

/// Number of recent requests whose chats are kept, so that cache events can be attributed to them.
const MAX_RECENT_REQUESTS: usize = 1 << 16;

/// An attempt that runs on an endpoint of this router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNo,
    /// The work that was accounted for at the start.
    pub(crate) cost: Work,
    /// The part of `cost` that is due to the prompt.
    pub(crate) prompt: Work,
    /// Whether an endpoint crashed before while running the request.
    pub(crate) suspected: bool,
}

/// The reason why an attempt did not start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum StartError {
    /// This router does not own the endpoint under the roster of this epoch.
    NotOwner(Epoch),
    /// The endpoint has no capacity; the request may be tried on these endpoints.
    NoCapacity(SmallVec<[EndpointId; 4]>),
    /// The request is refused.
    Refused(Refusal),
}

/// The result of waiting in a queue.
pub(crate) type QueueOutcome = Result<RunningAttempt, StartError>;

/// The state of the endpoints that a router owns.
pub(crate) struct OwnedEndpoints {
    pub(crate) membership: MembershipView,
    pub(crate) table: EndpointTable,
    pub(crate) suspects: SuspectTable,
    isolation: Isolation,
    queues: HashMap<EndpointId, FairQueue>,
    queued: HashMap<(EndpointId, RequestId), QueuedAttempt>,
    unavailable_until: HashMap<EndpointId, Time>,
    /// When each queue that makes no progress was first found stalled.
    stalled_since: HashMap<EndpointId, Time>,
    reported_loads: HashMap<EndpointId, Work>,
    chats_by_request: HashMap<RequestId, ChatKey>,
    recent_requests: VecDeque<RequestId>,
    pending_quarantines: SmallVec<[Digest; 2]>,
    /// The load sums in the last heartbeat.
    last_sent_sums: SmallVec<[LoadSum; 4]>,
}

impl OwnedEndpoints {
    /// Creates the state of a router that owns no endpoint.
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

    /// Applies a new configuration.
    pub(crate) fn update_config(&mut self, now: Time, config: &Config) {
        self.membership.update_config(now, config);
        self.table.update_config(now, config);
        let known = |id: &EndpointId| config.endpoints.contains_key(id);
        self.unavailable_until.retain(|id, _| known(id));
        self.reported_loads.retain(|id, _| known(id));
        self.queues.retain(|id, queue| known(id) || !queue.is_empty());
    }

    /// Returns the next heartbeat, or `None` while the previous one is unanswered.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        revision: Revision,
        leaving: bool,
    ) -> Option<ToControl> {
        let (seq, epoch) = self.membership.next_heartbeat(now)?;
        let (sums, residual_work) = (self.load_sums(), self.table.unowned_work(&self.membership));
        self.last_sent_sums = sums.clone();
        Some(ToControl::Heartbeat {
            seq,
            revision,
            epoch,
            leaving,
            busy: self.table.has_running(),
            sums,
            residual_work,
        })
    }

    /// Whether the mean load may be outdated: requests are queued, or a load sum changed by more than an eighth since the
    /// last heartbeat.
    pub(crate) fn needs_fresh_mean(&self) -> bool {
        let has_changed = |now: &LoadSum| {
            let last = self.last_sent_sums.iter().find(|it| it.service == now.service);
            let before = last.map_or(Work::ZERO, |it| it.sum);
            now.sum.0.abs_diff(before.0) > before.0 / 8
        };
        !self.queued.is_empty() || self.load_sums().iter().any(has_changed)
    }

    /// Returns the loads of the endpoints that this router owns, summed per service.
    pub(crate) fn load_sums(&self) -> SmallVec<[LoadSum; 4]> {
        let loads = self.table.owned_loads(&self.membership);
        let sum = |it: placement::OwnedLoad| LoadSum {
            service: it.service,
            sum: it.total,
            count: it.count,
            least_loaded: it.least_loaded,
            min_load: it.min_load,
        };
        loads.into_iter().map(sum).collect()
    }

    /// Handles the reply to a heartbeat.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Time,
        seq: u64,
        lease_ms: u32,
        settled_epoch: Epoch,
        residual_work: &[(EndpointId, Work)],
        totals: &[ServiceTotal],
    ) {
        if !self.membership.on_heartbeat_reply(now, seq, lease_ms, settled_epoch) {
            return;
        }
        if settled_epoch == self.membership.epoch() {
            self.table.update_remote_work(residual_work);
        }
        for total in totals {
            self.table.update_mean(total.service, total.sum, total.count, &total.hints);
        }
        self.tick(now);
    }

    /// Applies the load report of an endpoint, requested at `requested_at`.
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

    /// Returns the load that an endpoint last reported.
    pub(crate) fn reported_load(&self, endpoint: EndpointId) -> Work {
        self.reported_loads.get(&endpoint).copied().unwrap_or_default()
    }

    /// Applies a cache event of an engine: the prefix of the request's chat that remains in its cache, in tokens.
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

    /// Decides whether a request that may have crashed endpoints can run; returns whether it is suspected.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is quarantined or another copy of it is on trial.
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

    /// Starts an attempt if this router owns its endpoint and the endpoint has capacity.
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

    /// Updates the remaining work of a running attempt.
    pub(crate) fn update_progress(&mut self, running: &RunningAttempt, remaining: Work) {
        self.table.update_progress(running.endpoint, running.request, running.attempt, remaining);
    }

    /// Ends a running attempt and starts queued attempts that now have capacity.
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

    /// Sends no new work to an endpoint for [`UNAVAILABLE_US`].
    pub(crate) fn mark_unavailable(&mut self, now: Time, endpoint: EndpointId) {
        self.unavailable_until.insert(endpoint, now + UNAVAILABLE_US);
    }

    /// Records that an endpoint crashed while running a request, whose deadline is `deadline`.
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

    /// Quarantines a request that crashed two endpoints, as seen by this router.
    pub(crate) fn quarantine(&mut self, now: Time, fingerprint: Digest) {
        self.suspects.quarantine(now, fingerprint, now + SuspectLimits::default().retention);
        self.pending_quarantines.push(fingerprint);
    }

    /// Removes and returns the quarantined fingerprints that are to be reported to the control service.
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

/// Returns the deadline that is `budget_ms` milliseconds after `now`.
pub(crate) fn deadline_after(now: Time, budget_ms: u32) -> Time {
    now + u64::from(budget_ms) * MILLISECOND
}

//! The owner's side of a router: which endpoints it may start work on, what runs there, and what waits.
//!
//! One table under one lock: the decisions of `member`, `placement`, `admission` and `retry` for one endpoint must
//! see one state. Every method takes `now` and does no I/O; what is to be sent is returned or put into a channel.

mod waiting;

use {
    self::waiting::Queued,
    admission::FairQueue,
    member::{LeaseTiming, MembershipView as Member},
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

/// How long an endpoint that refused a connection gets nothing new, in microseconds.
const DOWN_US: u64 = SECOND / 2;

/// How long a request waits for each cached token of its prompt before it spills, in microseconds.
const HOLD_US: u64 = 300;

/// The longest that a request waits before it spills, in microseconds.
const HOLD_LIMIT_US: u64 = SECOND * 3 / 5;

/// A shorter cached prefix is computed again rather than waited for, in tokens.
const SEEK_TOKENS: u32 = 64;

/// Requests whose chats are remembered, so that cache events can name them.
const RECENT: usize = 1 << 16;

/// A request that an endpoint of this router runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) endpoint: EndpointId,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNo,
    /// The work that it counted with at its start.
    pub(crate) cost: Work,
    /// The part of that work which is the prompt.
    pub(crate) prompt: Work,
    /// Whether an endpoint died under it before.
    pub(crate) struck: bool,
}

/// Why a request did not start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum NotStarted {
    /// Another router may start it.
    Moved(Epoch),
    /// It may be tried at these.
    Elsewhere(SmallVec<[EndpointId; 4]>),
    /// It is given up.
    Refused(Refusal),
}

/// What a waiting request is told.
pub(crate) type Turn = Result<Running, NotStarted>;

/// The owner's side of a router.
pub(crate) struct Owned {
    pub(crate) member: Member,
    pub(crate) table: EndpointTable,
    pub(crate) suspects: SuspectTable,
    isolation: Isolation,
    queues: HashMap<EndpointId, FairQueue>,
    waiting: HashMap<(EndpointId, RequestId), Queued>,
    down: HashMap<EndpointId, Time>,
    /// Since when a queue has not moved.
    stalled: HashMap<EndpointId, Time>,
    reports: HashMap<EndpointId, Work>,
    chats: HashMap<RequestId, ChatKey>,
    recent: VecDeque<RequestId>,
    crashers: SmallVec<[Digest; 2]>,
    /// The sums of the last heartbeat.
    told: SmallVec<[LoadSum; 4]>,
}

impl Owned {
    /// Returns the tables of a router that owns nothing.
    pub(crate) fn new() -> Owned {
        Owned {
            member: Member::new(LeaseTiming::default()),
            table: EndpointTable::new(settings()),
            suspects: SuspectTable::new(SuspectLimits::default()),
            isolation: Isolation::default(),
            queues: HashMap::new(),
            waiting: HashMap::new(),
            down: HashMap::new(),
            stalled: HashMap::new(),
            reports: HashMap::new(),
            chats: HashMap::new(),
            recent: VecDeque::new(),
            crashers: SmallVec::new(),
            told: SmallVec::new(),
        }
    }

    /// Takes a new configuration.
    pub(crate) fn take_config(&mut self, now: Time, config: &Config) {
        self.member.update_config(now, config);
        self.table.update_config(now, config);
        let known = |id: &EndpointId| config.endpoints.contains_key(id);
        self.down.retain(|id, _| known(id));
        self.reports.retain(|id, _| known(id));
        self.queues.retain(|id, queue| known(id) || !queue.is_empty());
    }

    /// Returns the heartbeat to send now, unless the one before is unanswered.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        revision: Revision,
        leaving: bool,
    ) -> Option<ToControl> {
        let (seq, epoch) = self.member.next_heartbeat(now)?;
        let (sums, residual_work) = (self.sums(), self.table.unowned_work(&self.member));
        self.told = sums.clone();
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

    /// Whether the mean may be old: requests wait, or a sum moved by an eighth since the last heartbeat.
    pub(crate) fn wants_news(&self) -> bool {
        let moved = |now: &LoadSum| {
            let told = self.told.iter().find(|it| it.service == now.service);
            let before = told.map_or(Work::ZERO, |it| it.sum);
            now.sum.0.abs_diff(before.0) > before.0 / 8
        };
        !self.waiting.is_empty() || self.sums().iter().any(moved)
    }

    /// The loads of the endpoints that this router owns.
    pub(crate) fn sums(&self) -> SmallVec<[LoadSum; 4]> {
        let sums = self.table.owned_loads(&self.member);
        let sum = |it: placement::OwnedLoad| LoadSum {
            service: it.service,
            sum: it.total,
            count: it.count,
            least_loaded: it.least_loaded,
            min_load: it.min_load,
        };
        sums.into_iter().map(sum).collect()
    }

    /// Takes the answer to a heartbeat.
    pub(crate) fn granted(
        &mut self,
        now: Time,
        seq: u64,
        lease_ms: u32,
        settled_epoch: Epoch,
        residual_work: &[(EndpointId, Work)],
        totals: &[ServiceTotal],
    ) {
        if !self.member.on_heartbeat_reply(now, seq, lease_ms, settled_epoch) {
            return;
        }
        if settled_epoch == self.member.epoch() {
            self.table.update_remote_work(residual_work);
        }
        for total in totals {
            self.table.update_mean(total.service, total.sum, total.count, &total.hints);
        }
        self.tick(now);
    }

    /// Takes an endpoint's load report.
    pub(crate) fn report(&mut self, now: Time, endpoint: EndpointId, asked: Time, load: Work) {
        self.down.remove(&endpoint);
        self.reports.insert(endpoint, load);
        self.table.apply_load_report(now, endpoint, asked, load);
        self.serve_queue(now, endpoint);
    }

    /// The load that an endpoint last reported.
    pub(crate) fn reported(&self, endpoint: EndpointId) -> Work {
        self.reports.get(&endpoint).copied().unwrap_or_default()
    }

    /// Takes what an engine published about the prefix that a request left in its cache.
    pub(crate) fn cache_event(&mut self, endpoint: EndpointId, request: RequestId, tokens: u32) {
        if let Some(chat) = self.chats.get(&request) {
            self.table.apply_cache_event(endpoint, CacheEvent::Holds { chat: *chat, tokens });
        }
    }

    /// Says whether a request that crashed endpoints before may run.
    pub(crate) fn vet(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        strikes: &[EndpointId],
        deadline: Time,
    ) -> Result<bool, Refusal> {
        match self.suspects.admit(now, fingerprint, request, strikes, deadline) {
            AdmitDecision::Allow => Ok(false),
            AdmitDecision::Trial => Ok(true),
            AdmitDecision::Busy { retry_ms } => Err(Refusal::not_run(Reason::InProgress, retry_ms)),
            AdmitDecision::Quarantined { retry_ms } => {
                Err(Refusal::not_run(Reason::Quarantined, retry_ms))
            }
        }
    }

    /// Starts a request if its endpoint has room.
    pub(crate) fn start(
        &mut self,
        now: Time,
        homes: &RendezvousHash,
        start: &StartRequest,
        struck: bool,
    ) -> Result<Running, NotStarted> {
        if self.down.get(&start.endpoint).is_some_and(|it| now < *it) {
            return Err(NotStarted::Elsewhere(SmallVec::new()));
        }
        if struck && !self.isolation.try_acquire(start.endpoint, start.request) {
            return Err(NotStarted::Elsewhere(SmallVec::new()));
        }
        let started = self.table.try_start(now, &self.member, homes, start);
        if struck && !matches!(started, StartResult::Started { .. }) {
            self.isolation.release(start.endpoint, start.request);
        }
        match started {
            StartResult::Started { cached, cost } => {
                self.remember(start.request, start.chat);
                let prompt = Work(u64::from(start.prompt.saturating_sub(cached)));
                let StartRequest { endpoint, request, attempt, .. } = *start;
                Ok(Running { endpoint, request, attempt, cost, prompt, struck })
            }
            StartResult::NoCapacity { alternatives } => Err(NotStarted::Elsewhere(alternatives)),
            StartResult::NotOwner => Err(NotStarted::Moved(self.member.epoch())),
        }
    }

    /// Notes how much work of a running request is left.
    pub(crate) fn progress(&mut self, running: &Running, left: Work) {
        self.table.update_progress(running.endpoint, running.request, running.attempt, left);
    }

    /// Ends a running request and starts what has room now.
    pub(crate) fn ended(&mut self, now: Time, running: &Running) {
        let Running { endpoint, request, attempt, .. } = *running;
        self.table.finish(now, endpoint, request, attempt);
        if running.struck {
            self.isolation.release(endpoint, request);
        }
        if let Some(queue) = self.queues.get_mut(&endpoint) {
            queue.record_completed(now, running.cost);
        }
        self.serve_queue(now, endpoint);
    }

    /// Keeps new work from an endpoint that refused a connection.
    pub(crate) fn down(&mut self, now: Time, endpoint: EndpointId) {
        self.down.insert(endpoint, now + DOWN_US);
    }

    /// Counts the death of an endpoint under a request that is given up at `deadline`.
    pub(crate) fn strike(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        endpoint: EndpointId,
        deadline: Time,
    ) {
        self.down(now, endpoint);
        self.suspects.record_local_crash(now, fingerprint, request, endpoint, deadline);
    }

    /// Quarantines a request that this router saw crash two endpoints.
    pub(crate) fn crashed(&mut self, now: Time, fingerprint: Digest) {
        self.suspects.quarantine(now, fingerprint, now + SuspectLimits::default().retention);
        self.crashers.push(fingerprint);
    }

    /// The fingerprints that control must be told.
    pub(crate) fn take_crashers(&mut self) -> SmallVec<[Digest; 2]> {
        let mut crashers = std::mem::take(&mut self.crashers);
        crashers.extend(self.suspects.take_quarantined());
        crashers
    }

    fn remember(&mut self, request: RequestId, chat: ChatKey) {
        if self.chats.insert(request, chat).is_none() {
            self.recent.push_back(request);
        }
        if self.recent.len() > RECENT
            && let Some(old) = self.recent.pop_front()
        {
            self.chats.remove(&old);
        }
    }
}

fn settings() -> Settings {
    Settings::default().with_prefix_wait(HOLD_US, HOLD_LIMIT_US).with_min_prefix(SEEK_TOKENS)
}

/// Milliseconds of a budget as a deadline.
pub(crate) fn deadline(now: Time, budget_ms: u32) -> Time {
    now + u64::from(budget_ms) * MILLISECOND
}

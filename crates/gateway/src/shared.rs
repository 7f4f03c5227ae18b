//! State shared by all tasks of a gateway.
//!
//! Lock order: `layout_history`, `dispatcher`, `waiters`; `evacuations`, `dispatcher`; `membership`, `origins`, `lookups`; `membership`, `quarantine`; `membership`, `paths`. All other locks are leaves. No lock is held across an await.

use {
    crate::{
        evacuations::EvacuationSet, field_requests::FieldRequests, header_names::HeaderNames,
        metrics::Metrics, sampler::Sampler,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    derive_more::Debug,
    dispatch::{
        Assignment, AttemptOutcome, DispatchRequest, Dispatcher, RetryBudget, RetryBudgetLimits,
        SubmitResult, WaiterId,
    },
    edge::{ConnectionSlots, ResponseMemory, UploadMemory},
    fanout::{ConfigHistory, Requests},
    model::{Domain, MILLISECOND, Name, Time},
    origin::{LookupId, Origins, Resolution},
    parking_lot::Mutex,
    path::Paths,
    quarantine::Quarantine,
    route::RouteTable,
    settings::GatewaySettings,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::{
        net::UdpSocket,
        sync::{Notify, oneshot, watch},
        time::{Instant, sleep_until},
    },
    wire::{Clock, Dialer, Peer},
};

/// How long a gateway that is shutting down still receives requests as before, in milliseconds:
/// until its load balancer has noticed and the requests in transit have arrived.
pub(crate) const DEREGISTER_MS: u64 = 3_000;

/// How late a process may handle the signal to shut down, in milliseconds.
const SIGNAL_DELAY_MS: u64 = 500;

/// How long before the end of the grace period a gateway gives up on running requests, in
/// milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 300;

/// The result of waiting for a slot.
pub(crate) type PlacementResult = Result<Assignment, Rejected>;

/// The request was rejected and did not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Rejected {
    pub(crate) retry_ms: u64,
}

/// The other processes, as reported by the control plane.
#[derive(PartialEq, Eq, Default, Debug)]
pub(crate) struct Membership {
    pub(crate) routers: HashSet<(SocketAddr, Domain)>,
    pub(crate) replicas: HashSet<SocketAddr>,
}

/// A version of the configuration that a control replica announced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement {
    pub(crate) version: u64,
    /// When a replica first announced this version or a later one.
    pub(crate) heard_at: Instant,
}

/// The stage of a shutdown.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub(crate) enum ShutdownPhase {
    /// The gateway is not shutting down.
    #[default]
    Running,
    /// Every response closes its connection.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// The listener is closed.
    Unbound,
    /// Requests in progress are answered with a failure, and streams are cut off.
    Expired,
}

/// State shared by all tasks.
pub(crate) struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) names: HeaderNames,
    pub(crate) clock: Clock,
    /// How this process connects to control replicas and other gateways.
    pub(crate) dialer: Dialer,
    pub(crate) started: Time,
    /// A random number that identifies this process among gateways.
    pub(crate) instance_id: u64,
    pub(crate) table: ArcSwapOption<RouteTable>,
    /// The routes, by host and prefix, that have got requests of another service, and when.
    pub(crate) moved_routes: Mutex<HashMap<(Name, Name), Time>>,
    /// The messages that update other gateways to the installed configuration.
    pub(crate) layout_history: Mutex<Option<Arc<ConfigHistory>>>,
    /// The region of each failure domain, from the settings.
    pub(crate) regions: ArcSwap<BTreeMap<Domain, Name>>,
    /// The requests for fields that the installed configuration lacks.
    pub(crate) field_requests: Mutex<FieldRequests>,
    pub(crate) dispatcher: Mutex<Dispatcher>,
    pub(crate) waiters: Mutex<HashMap<WaiterId, oneshot::Sender<PlacementResult>>>,
    pub(crate) budgets: Mutex<HashMap<Name, RetryBudget>>,
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Which endpoints this gateway reaches by itself.
    pub(crate) paths: Mutex<Paths>,
    /// Notified when a path to endpoints was lost.
    pub(crate) path_lost: watch::Sender<()>,
    /// The connections to other gateways that reach endpoints for this one.
    pub(crate) peers: Mutex<HashMap<SocketAddr, Peer>>,
    /// Wakes the task that tells other gateways of the limits of endpoints.
    pub(crate) limit_news: Notify,
    /// Wakes the task that tells other gateways of endpoints that cannot be used.
    pub(crate) outage_news: Notify,
    /// Wakes the task that logs which endpoints are believed to be cold and tells other gateways.
    pub(crate) cold_news: Notify,
    /// Wakes the task that tells other gateways of crashes.
    pub(crate) crash_news: Notify,
    /// Notified when a verdict began.
    pub(crate) convicted: watch::Sender<()>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) origins: Mutex<Origins>,
    /// The requests that wait for the origin of a stream.
    pub(crate) lookups: Mutex<HashMap<LookupId, oneshot::Sender<Resolution>>>,
    /// The socket for messages between gateways.
    pub(crate) gossip: Arc<UdpSocket>,
    /// Whether this gateway exchanges the sums of its domain's loads with other domains.
    pub(crate) is_relay: AtomicBool,
    /// When shutdown was requested, in microseconds of this process's clock. Zero if it was not.
    pub(crate) shutdown_at: AtomicU64,
    pub(crate) shutdown_phase: watch::Sender<ShutdownPhase>,
    /// When the installed configuration was installed.
    pub(crate) layout_installed_at: Mutex<Option<Instant>>,
    /// The newest announced configuration.
    pub(crate) announcement: Mutex<Option<Announcement>>,
    /// The requests for configurations.
    pub(crate) layout_requests: Mutex<Requests>,
    /// Notified when a configuration was installed or a request for one ended.
    pub(crate) layout_changed: watch::Sender<()>,
    /// Notified when a configuration or the first list of endpoints was applied, and when others had time to report a
    /// newer configuration.
    pub(crate) progress: watch::Sender<()>,
    /// The number of requests held until this gateway has started.
    pub(crate) held: AtomicUsize,
    /// Whether so few control replicas are healthy that a new configuration may not be announced here.
    pub(crate) control_in_doubt: AtomicBool,
    /// When the control plane last confirmed the endpoint list, in microseconds of this process's
    /// clock.
    pub(crate) catalog_updated_at: AtomicU64,
    /// Whether an endpoint list has been applied.
    pub(crate) endpoints_loaded: AtomicBool,
    /// The evacuated domains; `None` until a set has been received.
    pub(crate) evacuations: Mutex<Option<EvacuationSet>>,
    /// The cold endpoints by the last list, and until when.
    pub(crate) cold: Mutex<Vec<(Name, Time)>>,
    /// Whether other replicas had time to report a newer configuration than the first one, and a set of evacuated
    /// domains.
    pub(crate) layout_settled: AtomicBool,
    /// The number of open client connections.
    pub(crate) connections: AtomicUsize,
    /// The same connections, by what each waits for.
    pub(crate) connection_slots: Arc<ConnectionSlots>,
    pub(crate) response_memory: Arc<ResponseMemory>,
    /// The memory for the bodies of requests.
    pub(crate) upload_memory: Arc<UploadMemory>,
    /// The number of connections with a request in progress.
    pub(crate) busy_connections: AtomicUsize,
    /// Wakes the task that expires waiting requests.
    pub(crate) waiter_added: Notify,
    pub(crate) metrics: Metrics,
    pub(crate) sampler: Sampler,
}

impl Shared {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Replaces the regions of the failure domains.
    pub(crate) fn set_regions(&self, regions: BTreeMap<Domain, Name>) {
        let by_domain: HashMap<_, _> = regions.clone().into_iter().collect();
        // First where requests are checked last, so that none is sent by the earlier regions.
        self.regions.store(Arc::new(regions));
        self.paths.lock().set_regions(&self.settings.domain, by_domain.clone());
        self.dispatcher.lock().set_regions(by_domain);
    }

    /// Returns when shutdown was requested.
    pub(crate) fn shutdown_at(&self) -> Option<Time> {
        let at = self.shutdown_at.load(Ordering::Relaxed);
        (at > 0).then_some(Time(at))
    }

    /// Returns the time until which running requests are served after shutdown was requested.
    pub(crate) fn shutdown_deadline(&self, shutdown_at: Time) -> Time {
        shutdown_at + self.settings.grace_ms.saturating_sub(SHUTDOWN_MARGIN_MS) * MILLISECOND
    }

    /// Returns whether a request that was not sent yet and must be answered by `deadline` must be rejected, because the
    /// process could exit before that.
    ///
    /// Requests that were already in transit when shutdown was requested are still sent. That time ends early by the
    /// delay with which the request to shut down may have been handled.
    pub(crate) fn would_outlive_shutdown(&self, deadline: Time) -> bool {
        let Some(shutdown_at) = self.shutdown_at() else { return false };
        self.now() >= last_send_at(shutdown_at) && deadline > self.shutdown_deadline(shutdown_at)
    }

    /// Waits until [`Shared::would_outlive_shutdown`] holds, forever if it never does.
    pub(crate) async fn until_outlives_shutdown(&self, deadline: Time) {
        let mut phase = self.shutdown_phase.subscribe();
        // The sender lives as long as any request.
        let _ = phase.wait_for(|it| *it >= ShutdownPhase::Draining).await;
        if let Some(shutdown_at) = self.shutdown_at() {
            sleep_until(self.clock.deadline(last_send_at(shutdown_at))).await;
        }
        if !self.would_outlive_shutdown(deadline) {
            std::future::pending().await
        }
    }

    /// Waits for a slot at an endpoint.
    pub(crate) async fn acquire_slot(&self, ask: DispatchRequest) -> PlacementResult {
        let service = ask.service.clone();
        let receiver = {
            let mut dispatcher = self.dispatcher.lock();
            match dispatcher.submit(self.now(), ask) {
                SubmitResult::Started(pick) => return Ok(pick),
                SubmitResult::Refused { retry_ms } => return Err(Rejected { retry_ms }),
                SubmitResult::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    self.waiters.lock().insert(ticket, sender);
                    QueuedRequest { shared: self, service, ticket, receiver }
                }
            }
        };
        self.waiter_added.notify_one();
        receiver.wait().await
    }

    /// Releases the slot of a finished request and starts requests that waited for it.
    pub(crate) fn release_slot(&self, pick: &Assignment, ending: AttemptOutcome, started: Time) {
        let now = self.now();
        let hold_ms = now.since(started) as f64 / 1_000.0;
        let mut dispatcher = self.dispatcher.lock();
        let next = dispatcher.finish(now, pick, ending, hold_ms);
        if dispatcher.has_outages() {
            self.outage_news.notify_one();
        }
        self.notify_waiters(&mut dispatcher, next);
    }

    /// Hands slots to the requests waiting for them.
    pub(crate) fn notify_waiters(
        &self,
        dispatcher: &mut Dispatcher,
        mut next: Vec<(WaiterId, Assignment)>,
    ) {
        let now = self.now();
        while let Some((ticket, pick)) = next.pop() {
            let waiter = self.waiters.lock().remove(&ticket);
            let unused = match waiter {
                Some(waiter) => waiter.send(Ok(pick)).err().and_then(Result::ok),
                None => Some(pick),
            };
            if let Some(pick) = unused {
                next.extend(dispatcher.finish(now, &pick, AttemptOutcome::Abandoned, 0.0));
            }
        }
    }

    /// Credits a request to the retry budget of its service.
    pub(crate) fn fund_retries(&self, service: &Name) {
        self.with_budget(service, RetryBudget::record_request);
    }

    /// Returns whether the budget of a service allows a retry.
    pub(crate) fn can_spend_retry(&self, service: &Name) -> bool {
        self.with_budget(service, |it| it.can_spend())
    }

    /// Charges a retry to the budget of its service; returns false if the budget is exhausted.
    pub(crate) fn try_spend_retry(&self, service: &Name) -> bool {
        self.with_budget(service, RetryBudget::try_spend)
    }

    fn with_budget<F, T>(&self, service: &Name, action: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let routers = self.membership.lock().routers.len().max(1);
        let mut budgets = self.budgets.lock();
        let retries = &self.settings.retries;
        let limits = RetryBudgetLimits { ratio: retries.ratio, slack: retries.slack };
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits, routers));
        budget.set_routers(routers);
        action(budget)
    }
}

/// Returns until when requests are sent that the process may not outlive, after shutdown was requested.
fn last_send_at(shutdown_at: Time) -> Time {
    shutdown_at + (DEREGISTER_MS - SIGNAL_DELAY_MS) * MILLISECOND
}

/// A waiting request. It leaves the queue when dropped.
struct QueuedRequest<'a> {
    shared: &'a Shared,
    service: Name,
    ticket: WaiterId,
    receiver: oneshot::Receiver<PlacementResult>,
}

impl QueuedRequest<'_> {
    async fn wait(mut self) -> PlacementResult {
        let placement = (&mut self.receiver).await;
        placement.unwrap_or(Err(Rejected { retry_ms: 0 }))
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut dispatcher = self.shared.dispatcher.lock();
        dispatcher.cancel(&self.service, self.ticket);
        self.shared.waiters.lock().remove(&self.ticket);
        // A slot that was granted just now must be released.
        if let Ok(Ok(pick)) = self.receiver.try_recv() {
            let next = dispatcher.finish(self.shared.now(), &pick, AttemptOutcome::Abandoned, 0.0);
            self.shared.notify_waiters(&mut dispatcher, next);
        }
    }
}

/// A request running at an endpoint. Its slot is released when this is dropped.
pub(crate) struct RunningRequest {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pick: Assignment,
    pub(crate) started: Time,
    pub(crate) ending: AttemptOutcome,
}

impl RunningRequest {
    pub(crate) fn new(shared: &Arc<Shared>, pick: Assignment) -> RunningRequest {
        let started = shared.now();
        RunningRequest { shared: shared.clone(), pick, started, ending: AttemptOutcome::Abandoned }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.release_slot(&self.pick, self.ending, self.started);
    }
}

//! Watch streams: push routing configurations, the endpoint catalog and the cluster members to routers.
//!
//! Every replica serves watch streams, not only the leader. A replica sends only what it knows to be committed, and a
//! router that watches several replicas uses the highest version, so a change reaches the router even if the replicas
//! cannot reach each other. Replicas announce only the version of a configuration; the router then requests the
//! configuration from one of them, because links are slow and a configuration can be large. A replica that is busy
//! sending a large message refers the router to another router that has the configuration. Each change is encoded once
//! and shared by all streams.

use {
    crate::{
        bulk_limiter::{BulkGrant, BulkLimiter, BulkPermit},
        control::Shared,
        discovery,
        evacuations::{self, EvacuationSet},
        topic::Topic,
    },
    derive_more::Debug,
    directory::Catalog,
    fanout::Router,
    model::Domain,
    parking_lot::Mutex,
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr, pin::Pin, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until, timeout},
    },
    wire::{
        Encoded, RecvHalf, SendHalf, Stream, WireError,
        msg::{WatchHello, WatchRequest, WatchUpdate},
    },
};

/// Time limit for receiving the first message of a router.
const HELLO_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval between heartbeats to a router. A router reconnects elsewhere after three intervals without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time limit for sending a large message, because other routers wait for the permit meanwhile.
const BULK_SEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum interval between two updates of the cluster members, in milliseconds.
const MEMBERS_INTERVAL_MS: u64 = 300;

/// Increase of that interval per router, in milliseconds, because every update is sent to every router.
const MEMBERS_INTERVAL_PER_ROUTER_MS: u64 = 10;

/// The routers and replicas of the cluster, as sent to routers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct ClusterMembers {
    routers: Vec<(SocketAddr, Domain)>,
    replicas: Vec<SocketAddr>,
}

/// The routers with a watch stream to this replica.
#[derive(Default, Debug)]
pub(crate) struct Watchers {
    #[debug(skip)]
    routers: Mutex<BTreeMap<SocketAddr, (Domain, usize)>>,
    #[debug(skip)]
    members: watch::Sender<Option<Arc<Topic<ClusterMembers>>>>,
}

impl Watchers {
    fn add(&self, addr: SocketAddr, domain: Domain) {
        self.routers.lock().entry(addr).or_insert((domain, 0)).1 += 1;
    }

    fn remove(&self, addr: SocketAddr) {
        let mut routers = self.routers.lock();
        if let Some((_, streams)) = routers.get_mut(&addr) {
            *streams -= 1;
        }
        routers.retain(|_, (_, streams)| *streams > 0);
    }

    fn count(&self) -> usize {
        self.routers.lock().len()
    }

    fn list(&self) -> Vec<(SocketAddr, Domain)> {
        let routers = self.routers.lock();
        routers.iter().map(|(addr, (domain, _))| (*addr, domain.clone())).collect()
    }
}

/// Publishes the cluster members whenever they change. Runs until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let members =
            ClusterMembers { routers: shared.watchers.list(), replicas: shared.log.member_addrs() };
        let delay_ms =
            MEMBERS_INTERVAL_MS + MEMBERS_INTERVAL_PER_ROUTER_MS * members.routers.len() as u64;
        shared.watchers.members.send_if_modified(|topic| {
            let next = match topic {
                None => Topic::new(members, encode_members),
                Some(topic) if *topic.value() == members => return false,
                Some(topic) => {
                    let delta = members_delta(topic.value(), &members);
                    topic.next(members, delta)
                }
            };
            *topic = Some(Arc::new(next));
            true
        });
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

fn encode_members(members: &ClusterMembers) -> Option<Encoded> {
    let ClusterMembers { routers, replicas } = members.clone();
    Encoded::new(&WatchUpdate::Fleet { routers, replicas })
}

fn members_delta(from: &ClusterMembers, to: &ClusterMembers) -> Option<Encoded> {
    let added = to.routers.iter().filter(|it| !from.routers.contains(it)).cloned().collect();
    let is_present = |addr: &SocketAddr| to.routers.iter().any(|it| it.0 == *addr);
    let removed = from.routers.iter().map(|it| it.0).filter(|it| !is_present(it)).collect();
    Encoded::new(&WatchUpdate::FleetDelta { added, removed, replicas: to.replicas.clone() })
}

/// Serves one watch stream until either side closes it.
pub(crate) async fn serve(shared: Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let protocol = stream.protocol;
    let (mut send, mut recv) = stream.split();
    let Ok(hello) = timeout(HELLO_TIMEOUT, recv.recv::<WatchHello>()).await else { return Ok(()) };
    let Some(hello) = hello? else { return Ok(()) };
    let WatchHello { addr, domain, version } = hello;
    tracing::info!(
        event = "router-watches",
        router = %addr,
        version,
        protocol,
        "control: router opened a watch stream"
    );
    shared.watchers.add(addr, domain.clone());
    let router = Router { addr, domain };
    if let Some(version) = version {
        shared.bulk_limiter.confirm(&router, version);
    }
    let result = stream_updates(&shared, router, protocol, &mut send, &mut recv).await;
    shared.watchers.remove(addr);
    shared.bulk_limiter.remove(addr);
    tracing::info!(
        event = "router-left",
        router = %addr,
        "control: router closed its watch stream"
    );
    result
}

/// What a router requested on its watch stream and which versions it was sent.
#[derive(Default, Debug)]
struct WatchState {
    announced_version: Option<u64>,
    /// Set while the router waits for a routing configuration; the inner value is the version it has installed.
    installed: Option<Option<u64>>,
    /// Set once the router requested the catalog; the inner value is the version it was last sent.
    catalog_version: Option<Option<u64>>,
    members_version: Option<u64>,
    evacuations_revision: Option<u64>,
    /// The version of the cold endpoints that the router was last sent.
    cold_version: u64,
    /// Whether the router knows evacuations. One that does not gets the endpoints of evacuated domains as draining.
    knows_evacuations: bool,
}

impl WatchState {
    fn on_request(&mut self, request: WatchRequest) {
        match request {
            WatchRequest::Layout { installed_version } => self.installed = Some(installed_version),
            WatchRequest::Catalog => {
                self.catalog_version = Some(None);
                self.cold_version = 0;
            }
        }
    }

    /// Returns the pending messages for the router: those of the routing configuration and those of the catalog.
    fn pending(&self, shared: &Shared) -> [PendingMessages; 2] {
        let (mut config, mut catalog) = (PendingMessages::default(), PendingMessages::default());
        if let (Some(since), Some(topic)) =
            (self.installed, shared.routing_config.borrow().as_ref())
        {
            config.messages.extend(topic.messages_since(since).into_iter().cloned());
            config.answers_request = true;
        }
        let topic = catalog_sender(shared, self.knows_evacuations).borrow();
        if let (Some(last_sent), Some(topic)) = (self.catalog_version, topic.as_ref()) {
            catalog.messages.extend(topic.message_since(last_sent).cloned());
            catalog.catalog_version = Some(topic.version());
        }
        [config, catalog]
    }
}

/// Returns the catalog that a router gets.
fn catalog_sender(
    shared: &Shared,
    knows_evacuations: bool,
) -> &watch::Sender<Option<Arc<Topic<Catalog>>>> {
    match knows_evacuations {
        true => &shared.discovery.catalog,
        false => &shared.discovery.legacy_catalog,
    }
}

/// Messages to send to a router.
#[derive(Default, Debug)]
struct PendingMessages {
    messages: SmallVec<[Encoded; 4]>,
    /// Whether sending `messages` completes the router's configuration request. `messages` is empty if the router
    /// received that version from another replica in the meantime.
    answers_request: bool,
    /// The catalog version that the router has after receiving `messages`.
    catalog_version: Option<u64>,
}

impl PendingMessages {
    fn bytes(&self) -> usize {
        self.messages.iter().map(Encoded::size).sum()
    }

    async fn send(&self, state: &mut WatchState, send: &mut SendHalf) -> Result<(), WireError> {
        for message in &self.messages {
            send.send_encoded(message).await?;
        }
        state.installed = state.installed.filter(|_| !self.answers_request);
        if let (Some(version), Some(_)) = (self.catalog_version, state.catalog_version) {
            state.catalog_version = Some(Some(version));
        }
        Ok(())
    }
}

/// Sends changes to a router and answers its requests until either side closes the stream.
async fn stream_updates(
    shared: &Shared,
    router: Router,
    protocol: u32,
    send: &mut SendHalf,
    recv: &mut RecvHalf,
) -> Result<(), WireError> {
    let knows_evacuations = protocol >= evacuations::MIN_PROTOCOL;
    if !knows_evacuations {
        discovery::provide_legacy_catalog(shared);
    }
    let mut evacuations = shared.evacuations.subscribe();
    let mut cold = shared.discovery.cold.subscribe();
    let mut configs = shared.routing_config.subscribe();
    let mut catalogs = catalog_sender(shared, knows_evacuations).subscribe();
    let mut members = shared.watchers.members.subscribe();
    let mut state = WatchState { knows_evacuations, ..WatchState::default() };
    let mut pending: Option<PendingGrant> = None;
    let mut next_heartbeat = Instant::now();
    loop {
        let set = evacuations.borrow_and_update().clone();
        send_evacuations(set.as_deref(), &mut state, send).await?;
        let version = configs.borrow_and_update().as_ref().map(|it| it.version());
        if let Some(version) = version.filter(|_| version != state.announced_version) {
            state.announced_version = Some(version);
            send.send(&WatchUpdate::Announce { version }).await?;
        }
        let topic = members.borrow_and_update().clone();
        send_topic(topic.as_deref(), &mut state.members_version, send).await?;
        catalogs.mark_unchanged();
        let routers = shared.watchers.count();
        let mut large = [false; 2];
        for (batch, large) in state.pending(shared).iter().zip(&mut large) {
            match shared.bulk_limiter.is_large(batch.bytes(), routers) {
                true => *large = true,
                false => batch.send(&mut state, send).await?,
            }
        }
        cold.mark_unchanged();
        send_cold(shared, &mut state, send).await?;
        let [config_is_large, catalog_is_large] = large;
        let wanted = match (config_is_large, catalog_is_large) {
            (true, _) => Some(BulkMessage::Config),
            (false, true) => Some(BulkMessage::Catalog),
            (false, false) => None,
        };
        if pending.as_ref().map(|it| it.message) != wanted {
            if let Some(withdrawn) = pending.take() {
                log_withdrawal(&router, &withdrawn);
            }
            pending = wanted.map(|it| PendingGrant::request(it, &shared.bulk_limiter, &router));
        }
        if Instant::now() >= next_heartbeat {
            next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
            send.send(&heartbeat(shared)).await?;
        }
        let ended = tokio::select! {
            changed = configs.changed() => changed.is_err(),
            changed = catalogs.changed() => changed.is_err(),
            changed = members.changed() => changed.is_err(),
            changed = evacuations.changed() => changed.is_err(),
            changed = cold.changed() => changed.is_err(),
            request = recv.recv::<WatchRequest>() => match request? {
                Some(request) => {
                    state.on_request(request);
                    if let WatchRequest::Layout { installed_version: Some(version) } = request {
                        shared.bulk_limiter.confirm(&router, version);
                    }
                    false
                }
                None => true,
            },
            (grant, waited_ms) = wait_for_grant(&mut pending) => {
                pending = None;
                match grant {
                    BulkGrant::Refer { version, router: provider } => {
                        log_referral(&router, provider, version, waited_ms);
                        state.installed = None;
                        let referral = WatchUpdate::Refer { version, router: provider };
                        send.send(&referral).await?;
                        false
                    }
                    BulkGrant::Send(permit) => {
                        let batches = state.pending(shared);
                        let sent = send_large(&batches, permit, &mut state, send).await;
                        log_large_message(&router, &state, &batches, waited_ms, sent.is_none());
                        sent.transpose()?.is_none()
                    }
                }
            }
            () = sleep_until(next_heartbeat) => false,
        };
        if ended {
            return Ok(());
        }
    }
}

/// Sends large messages and releases the permit. Returns `None` if the router does not read from the stream, which must
/// then be closed so that other routers do not wait.
async fn send_large(
    batches: &[PendingMessages],
    permit: BulkPermit,
    state: &mut WatchState,
    send: &mut SendHalf,
) -> Option<Result<(), WireError>> {
    let sent = timeout(BULK_SEND_TIMEOUT, async {
        for batch in batches {
            batch.send(state, send).await?;
        }
        Ok(())
    });
    let sent = sent.await;
    permit.release_after(batches.iter().map(PendingMessages::bytes).sum());
    sent.ok()
}

fn log_large_message(
    router: &Router,
    state: &WatchState,
    batches: &[PendingMessages],
    waited_ms: u64,
    timed_out: bool,
) {
    tracing::info!(
        event = "bulk-sent",
        router = %router.addr,
        version = state.announced_version,
        bytes = batches.iter().map(PendingMessages::bytes).sum::<usize>(),
        waited_ms,
        timed_out,
        "control: sent a large message to a router"
    );
}

fn log_referral(router: &Router, provider: SocketAddr, version: u64, waited_ms: u64) {
    tracing::info!(
        event = "router-referred",
        router = %router.addr,
        version,
        %provider,
        waited_ms,
        "control: referred a router to another one for a configuration"
    );
}

fn log_withdrawal(router: &Router, withdrawn: &PendingGrant) {
    tracing::info!(
        event = "bulk-withdrawn",
        router = %router.addr,
        message = ?withdrawn.message,
        waited_ms = withdrawn.requested_at.elapsed().as_millis() as u64,
        "control: a router got a large message from elsewhere while it waited"
    );
}

/// A large message that waits to be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum BulkMessage {
    Config,
    Catalog,
}

/// A request to send a large message, or to refer the router to another one.
struct PendingGrant {
    message: BulkMessage,
    requested_at: Instant,
    grant: Pin<Box<dyn Future<Output = BulkGrant> + Send>>,
}

impl PendingGrant {
    fn request(message: BulkMessage, limiter: &BulkLimiter, router: &Router) -> PendingGrant {
        let (limiter, router) = (limiter.clone(), router.clone());
        let grant: Pin<Box<dyn Future<Output = BulkGrant> + Send>> = match message {
            BulkMessage::Config => Box::pin(limiter.acquire_for(router)),
            BulkMessage::Catalog => Box::pin(async { BulkGrant::Send(limiter.acquire().await) }),
        };
        PendingGrant { message, requested_at: Instant::now(), grant }
    }
}

/// Waits for the grant and returns it with the time since it was requested, in milliseconds. Never returns if none was
/// requested.
async fn wait_for_grant(pending: &mut Option<PendingGrant>) -> (BulkGrant, u64) {
    match pending {
        Some(pending) => {
            let grant = pending.grant.as_mut().await;
            (grant, pending.requested_at.elapsed().as_millis() as u64)
        }
        None => std::future::pending().await,
    }
}

fn heartbeat(shared: &Shared) -> WatchUpdate {
    let has_leader = shared.log.is_leader() || shared.log.leader_internal_addr().is_some();
    WatchUpdate::Heartbeat {
        has_leader,
        listing_is_recent: shared.discovery.is_fresh(shared.clock.now()),
    }
}

async fn send_evacuations(
    set: Option<&EvacuationSet>,
    state: &mut WatchState,
    send: &mut SendHalf,
) -> Result<(), WireError> {
    let Some(set) = set.filter(|it| state.evacuations_revision != Some(it.revision)) else {
        return Ok(());
    };
    if let Some(message) = set.message.as_ref().filter(|_| state.knows_evacuations) {
        send.send_encoded(message).await?;
    }
    state.evacuations_revision = Some(set.revision);
    Ok(())
}

/// Sends the cold endpoints to a router that has the catalog from this stream.
async fn send_cold(
    shared: &Shared,
    state: &mut WatchState,
    send: &mut SendHalf,
) -> Result<(), WireError> {
    let has_catalog = matches!(state.catalog_version, Some(Some(_)));
    let (version, endpoints) = {
        let cold = shared.discovery.cold.borrow();
        if !has_catalog || !state.knows_evacuations || cold.version() == state.cold_version {
            return Ok(());
        }
        (cold.version(), cold.remaining(shared.clock.now()))
    };
    send.send(&WatchUpdate::Cold { endpoints }).await?;
    state.cold_version = version;
    Ok(())
}

async fn send_topic<T>(
    topic: Option<&Topic<T>>,
    last_sent: &mut Option<u64>,
    send: &mut SendHalf,
) -> Result<(), WireError> {
    let Some(topic) = topic else { return Ok(()) };
    if let Some(message) = topic.message_since(*last_sent) {
        send.send_encoded(message).await?;
    }
    *last_sent = Some(topic.version());
    Ok(())
}

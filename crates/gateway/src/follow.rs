//! The stream by which one control replica tells this router what changes.

use {
    crate::shared::{Asked, Shared},
    directory::Catalog,
    dispatch::Dispatcher,
    model::Domain,
    route::{RouteDelta, RouteTable, RoutingConfig},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout, timeout_at},
    },
    wire::{
        PackError, Peer, Step, WireError,
        msg::{WATCH_PATH, WatchAsk, WatchHello, WatchNews},
    },
};

/// How long a replica may be silent before its connection is replaced: three of its beats.
const SILENCE: Duration = Duration::from_millis(3_000);

/// How long opening a stream may take.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);

/// The pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a replica may take to tell a configuration before another one is asked for it. Once each of those that are
/// watched was asked it doubles each time, as replicas whose links are busy tell one router after the other.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How many are asked before that interval doubles: two of three may be lost right after they announced.
const PLAIN_ASKS: u32 = 2;

/// How often that interval doubles at most.
const MAX_DOUBLINGS: u32 = 3;

/// How long a router waits for further replicas once it has a configuration, to know the newest one.
const SETTLE: Duration = Duration::from_millis(1_000);

/// What a stream reports.
pub(crate) struct Report {
    pub(crate) replica: SocketAddr,
    pub(crate) event: Event,
}

/// What it reports.
pub(crate) enum Event {
    Fleet { routers: Vec<(SocketAddr, Domain)>, replicas: Vec<SocketAddr> },
    Catalog(Catalog),
    Beat { current: bool, listed: bool },
    Lost,
}

/// Follows one replica, again and again, and reports what it tells.
pub(crate) async fn watch_replica(
    shared: Arc<Shared>,
    peer: Peer,
    sender: mpsc::Sender<Report>,
    mut chosen: watch::Receiver<bool>,
) {
    let replica = peer.addr();
    loop {
        match follow(&shared, &peer, &sender, &mut chosen).await {
            Ok(()) => tracing::info!(event = "control-lost", %replica, "gateway: stream ended"),
            Err(err) => {
                tracing::info!(event = "control-lost", %replica, %err, "gateway: not watching");
            }
        }
        // The receiver ends with the process.
        let _ = sender.send(Report { replica, event: Event::Lost }).await;
        peer.retire().await;
        sleep(PAUSE).await;
    }
}

/// Follows one replica until its stream ends or goes silent.
async fn follow(
    shared: &Arc<Shared>,
    peer: &Peer,
    sender: &mpsc::Sender<Report>,
    chosen: &mut watch::Receiver<bool>,
) -> Result<(), WireError> {
    let replica = peer.addr();
    let Ok(stream) = timeout(OPEN_LIMIT, peer.open(WATCH_PATH)).await else { return Ok(()) };
    let (mut send, mut recv) = stream?.split();
    let version = version_in_force(shared);
    let (addr, domain) = (shared.settings.inner, shared.settings.domain.clone());
    send.send(&WatchHello { addr, domain, version }).await?;
    tracing::info!(event = "control-found", %replica, version, "gateway: watching");
    let mut told = Told::default();
    let mut silent_at = Instant::now() + SILENCE;
    let mut received = recv.received();
    loop {
        if *chosen.borrow_and_update() && !told.listing {
            told.listing = true;
            send.send(&WatchAsk::Catalog).await?;
        }
        if let Some(have) = told.question(shared) {
            send.send(&WatchAsk::Layout { have }).await?;
        }
        let wake_at = told.ask_at.unwrap_or(silent_at).min(silent_at);
        let news = tokio::select! {
            news = timeout_at(wake_at, recv.recv::<WatchNews>()) => news,
            changed = chosen.changed() => match changed {
                Ok(()) => continue,
                // The watcher has gone, and with it the process.
                Err(_) => return Ok(()),
            },
        };
        if recv.received() > received {
            // A message that takes long on a slow link is no silence.
            received = recv.received();
            silent_at = Instant::now() + SILENCE;
        }
        let Ok(news) = news else {
            if Instant::now() >= silent_at {
                return Ok(());
            }
            continue;
        };
        let Some(news) = news? else { return Ok(()) };
        let event = told.take(shared, replica, news);
        let event = event.map_err(|it| WireError::new(Step::Receive, replica, it))?;
        if let Some(event) = event
            && sender.send(Report { replica, event }).await.is_err()
        {
            return Ok(());
        }
    }
}

fn version_in_force(shared: &Shared) -> Option<u64> {
    shared.table.load().as_ref().map(|it| it.config().version)
}

/// What one replica told and was asked so far.
#[derive(Default, Debug)]
struct Told {
    /// The highest version that it announced.
    announced: Option<u64>,
    /// When it is asked for that version, if it is not in force by then.
    ask_at: Option<Instant>,
    /// Whether it owes a configuration.
    owes: bool,
    /// Whether it was asked for the endpoints.
    listing: bool,
    catalog: Option<Catalog>,
    routers: Vec<(SocketAddr, Domain)>,
}

impl Told {
    /// Returns the version to tell with a question for the configuration, if one is due now: this replica announced a
    /// newer one than is in force, and no other replica was asked for it just now; or what it was asked for came from
    /// another one.
    fn question(&mut self, shared: &Shared) -> Option<Option<u64>> {
        let held = version_in_force(shared);
        if self.announced <= held {
            self.ask_at = None;
            return std::mem::take(&mut self.owes).then_some(held);
        }
        let now = Instant::now();
        if self.ask_at.is_some_and(|it| now < it) {
            return None;
        }
        let mut asked = shared.asked.lock();
        let last = asked.filter(|it| self.announced <= Some(it.version));
        let pending = last.is_some_and(|it| now < it.until);
        let again = last.map_or(0, |it| it.again + u32::from(!pending));
        let doublings = again.saturating_sub(PLAIN_ASKS).min(MAX_DOUBLINGS);
        let until = now + ASK_INTERVAL * 2u32.pow(doublings);
        self.ask_at = Some(if pending { now + ASK_INTERVAL } else { until });
        if pending {
            return None;
        }
        *asked = self.announced.map(|version| Asked { version, until, again });
        self.owes = true;
        Some(held)
    }

    /// Takes one message; returns what the watcher should know.
    fn take(
        &mut self,
        shared: &Arc<Shared>,
        replica: SocketAddr,
        news: WatchNews,
    ) -> Result<Option<Event>, PackError> {
        match news {
            WatchNews::Announce { version } => {
                self.announced = self.announced.max(Some(version));
                self.ask_at = None;
            }
            WatchNews::Layout(packed) => put_in_force(shared, replica, packed.get()?),
            WatchNews::LayoutStep(packed) => {
                let step: RouteDelta = packed.get()?;
                let held = shared.table.load_full();
                // Another replica may have told the same meanwhile.
                let next = held.and_then(|it| step.apply(it.config()).ok());
                next.into_iter().for_each(|it| put_in_force(shared, replica, it));
            }
            WatchNews::Catalog(packed) => {
                let catalog: Catalog = packed.get()?;
                self.catalog = Some(catalog.clone());
                return Ok(Some(Event::Catalog(catalog)));
            }
            WatchNews::CatalogStep(step) => {
                let Some(catalog) = &mut self.catalog else { return Ok(None) };
                catalog.apply(&step);
                return Ok(Some(Event::Catalog(catalog.clone())));
            }
            WatchNews::Fleet { routers, replicas } => {
                self.routers.clone_from(&routers);
                return Ok(Some(Event::Fleet { routers, replicas }));
            }
            WatchNews::FleetStep { joined, gone, replicas } => {
                let stays =
                    |it: &SocketAddr| !gone.contains(it) && !joined.iter().any(|new| new.0 == *it);
                self.routers.retain(|it| stays(&it.0));
                self.routers.extend(joined);
                return Ok(Some(Event::Fleet { routers: self.routers.clone(), replicas }));
            }
            WatchNews::Beat { current, listed } => {
                return Ok(Some(Event::Beat { current, listed }));
            }
        }
        Ok(None)
    }
}

/// Puts a configuration in force if it is newer than the present one.
fn put_in_force(shared: &Arc<Shared>, replica: SocketAddr, layout: RoutingConfig) {
    let held = version_in_force(shared);
    if held.is_some_and(|it| it >= layout.version) {
        return;
    }
    tracing::info!(
        event = "configuration",
        version = layout.version,
        before = held,
        %replica,
        routes = layout.routes.len(),
        "gateway: configuration in force"
    );
    set_services(&mut shared.dispatcher.lock(), &layout);
    shared.table.store(Some(Arc::new(RouteTable::new(Arc::new(layout)))));
    if held.is_none() {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(SETTLE).await;
            shared.settled.store(true, Ordering::Relaxed);
        });
    }
}

fn set_services(dispatcher: &mut Dispatcher, layout: &RoutingConfig) {
    for service in &layout.services {
        dispatcher.set_kv_capacity(&service.name, service.engine.as_ref().map(|it| it.kv_tokens));
    }
}

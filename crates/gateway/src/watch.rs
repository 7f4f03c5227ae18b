//! Watching control for routing configurations, endpoints and other gateways.
//!
//! Some replicas are watched, chosen by a hash of both addresses so that replicas share the routers, and others beside
//! them while one of these is not reached or hears of no leader. The highest version that any of them tells is in
//! force; a version never goes down. Endpoints are taken from one replica at a time, so that lists that were read at
//! different moments do not alternate.

use {
    crate::{listing, shared::Shared},
    derive_more::Debug,
    directory::Catalog,
    dispatch::Dispatcher,
    model::{Domain, MILLISECOND, Time, hash64, mix2},
    route::{Layout, RouteDelta, Table},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::AbortHandle,
        time::{Instant, sleep, timeout, timeout_at},
    },
    wire::{
        Dialer, PackError, Peer, Step, WireError,
        msg::{WATCH_PATH, WatchAsk, WatchHello, WatchNews},
    },
};

/// How many replicas are watched while all of them are sound: with two lost, one still tells.
const WATCHED: usize = 3;

/// How long a replica may be silent before its connection is replaced: three of its beats.
const SILENCE: Duration = Duration::from_millis(3_000);

/// How long opening a stream may take.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a replica may take to become sound before another one is watched beside it, in milliseconds.
const TRIAL_MS: u64 = 1_500;

/// The pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(250);

/// How often the choice of replicas is made again.
const REVIEW: Duration = Duration::from_millis(500);

/// How long a replica may take to tell a configuration before another one is asked for it.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a router waits for further replicas once it has a configuration, to know the newest one.
const SETTLE: Duration = Duration::from_millis(1_000);

/// What a stream reports.
struct Report {
    replica: SocketAddr,
    event: Event,
}

enum Event {
    Fleet { routers: Vec<(SocketAddr, Domain)>, replicas: Vec<SocketAddr> },
    Catalog(Catalog),
    Beat { current: bool, listed: bool },
    Lost,
}

/// What is known of one replica.
#[derive(Debug)]
struct Watched {
    #[debug(skip)]
    task: AbortHandle,
    /// Until when it counts as sound without having proved it.
    trial_until: Time,
    current: bool,
    listed: bool,
    routers: Vec<(SocketAddr, Domain)>,
    replicas: Vec<SocketAddr>,
    catalog: Option<Catalog>,
}

/// Watches replicas for as long as the process runs; `seeds` are those known by settings.
pub(crate) async fn run(
    shared: Arc<Shared>,
    dialer: Dialer,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let (sender, mut reports) = mpsc::channel(64);
    let mut watcher = Watcher { shared, dialer, sender, watched: BTreeMap::new(), primary: None };
    loop {
        let addrs = seeds.borrow_and_update().clone();
        watcher.review(&addrs);
        tokio::select! {
            report = reports.recv() => match report {
                Some(report) => watcher.take(report),
                None => return,
            },
            changed = seeds.changed() => if changed.is_err() {
                // The settings are not watched any more; the seeds stay as they are.
                sleep(REVIEW).await;
            },
            () = sleep(REVIEW) => {}
        }
    }
}

struct Watcher {
    shared: Arc<Shared>,
    dialer: Dialer,
    sender: mpsc::Sender<Report>,
    watched: BTreeMap<SocketAddr, Watched>,
    /// The replica whose list of endpoints is in force.
    primary: Option<SocketAddr>,
}

impl Watcher {
    /// Watches the replicas that should be watched, and no others.
    fn review(&mut self, seeds: &[SocketAddr]) {
        let wanted = self.wanted(seeds);
        self.watched.retain(|addr, it| {
            let kept = wanted.contains(addr);
            if !kept {
                it.task.abort();
            }
            kept
        });
        for addr in wanted {
            if !self.watched.contains_key(&addr) {
                let watched = self.spawn(addr);
                self.watched.insert(addr, watched);
            }
        }
    }

    fn wanted(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let now = self.shared.now();
        let learned = self.watched.values().flat_map(|it| it.replicas.iter().copied());
        let mut learned: BTreeSet<_> = learned.collect();
        if learned.is_empty() {
            learned.extend(seeds);
        }
        let own = hash64(self.shared.settings.inner.to_string().as_bytes());
        let mut ranked: Vec<_> = learned.into_iter().collect();
        ranked.sort_unstable_by_key(|it| mix2(own, hash64(it.to_string().as_bytes())));
        let mut sound = 0;
        let mut wanted = BTreeSet::new();
        for addr in ranked {
            if sound == WATCHED {
                break;
            }
            let known = self.watched.get(&addr);
            sound += usize::from(known.is_none_or(|it| it.current || now < it.trial_until));
            wanted.insert(addr);
        }
        // With none that answers, the seeds may name replicas that nobody has told of.
        if !self.watched.values().any(|it| it.current) {
            wanted.extend(seeds);
        }
        wanted
    }

    fn spawn(&self, addr: SocketAddr) -> Watched {
        let peer = Peer::new(addr, self.dialer.clone());
        let task = tokio::spawn(watch_replica(self.shared.clone(), peer, self.sender.clone()));
        Watched {
            task: task.abort_handle(),
            trial_until: self.shared.now() + TRIAL_MS * MILLISECOND,
            current: false,
            listed: false,
            routers: Vec::new(),
            replicas: Vec::new(),
            catalog: None,
        }
    }

    fn take(&mut self, report: Report) {
        let Report { replica, event } = report;
        let Some(watched) = self.watched.get_mut(&replica) else { return };
        match event {
            Event::Fleet { routers, replicas } => {
                (watched.routers, watched.replicas) = (routers, replicas);
                self.update_fleet();
            }
            Event::Catalog(catalog) => {
                watched.catalog = Some(catalog);
                if self.primary == Some(replica) {
                    self.take_catalog(replica);
                }
            }
            Event::Beat { current, listed } => {
                (watched.current, watched.listed) = (current, listed);
                self.update_primary();
            }
            Event::Lost => {
                (watched.current, watched.listed) = (false, false);
                self.update_primary();
            }
        }
    }

    fn update_fleet(&self) {
        let watched = || self.watched.values();
        let mut fleet = self.shared.fleet.lock();
        fleet.routers = watched().flat_map(|it| it.routers.iter().cloned()).collect();
        fleet.replicas = watched().flat_map(|it| it.replicas.iter().copied()).collect();
    }

    /// Keeps the present replica's list of endpoints as long as that replica reads it.
    fn update_primary(&mut self) {
        let listed = |it: &Watched| it.listed && it.catalog.is_some();
        let present = self.primary.and_then(|it| self.watched.get(&it));
        if !present.is_some_and(listed) {
            let found = self.watched.iter().find(|it| listed(it.1)).map(|it| *it.0);
            if found.is_some() && found != self.primary {
                self.primary = found;
                found.into_iter().for_each(|it| self.take_catalog(it));
            }
        }
        let primary = self.primary.and_then(|it| self.watched.get(&it));
        if primary.is_some_and(listed) {
            self.shared.told_at.store(self.shared.now().0, Ordering::Relaxed);
        }
    }

    fn take_catalog(&self, replica: SocketAddr) {
        let catalog = self.watched.get(&replica).and_then(|it| it.catalog.as_ref());
        if let Some(catalog) = catalog {
            listing::take(&self.shared, &catalog.endpoints());
        }
    }
}

async fn watch_replica(shared: Arc<Shared>, peer: Peer, sender: mpsc::Sender<Report>) {
    let replica = peer.addr();
    loop {
        match follow(&shared, &peer, &sender).await {
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
) -> Result<(), WireError> {
    let replica = peer.addr();
    let Ok(stream) = timeout(OPEN_LIMIT, peer.open(WATCH_PATH)).await else { return Ok(()) };
    let (mut send, mut recv) = stream?.split();
    let version = version_in_force(shared);
    let (addr, domain) = (shared.settings.inner, shared.settings.domain.clone());
    send.send(&WatchHello { addr, domain, version }).await?;
    tracing::info!(event = "control-found", %replica, version, "gateway: watching");
    let mut told = Told { announced: None, ask_at: None, catalog: None };
    let mut silent_at = Instant::now() + SILENCE;
    loop {
        if told.is_due(shared) {
            send.send(&WatchAsk { have: version_in_force(shared) }).await?;
        }
        let wake_at = told.ask_at.unwrap_or(silent_at).min(silent_at);
        let Ok(news) = timeout_at(wake_at, recv.recv::<WatchNews>()).await else {
            if Instant::now() >= silent_at {
                return Ok(());
            }
            continue;
        };
        let Some(news) = news? else { return Ok(()) };
        silent_at = Instant::now() + SILENCE;
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
    shared.table.load().as_ref().map(|it| it.layout().version)
}

/// What one replica told so far.
struct Told {
    /// The highest version that it announced.
    announced: Option<u64>,
    /// When it is asked for that version, if it is not in force by then.
    ask_at: Option<Instant>,
    catalog: Option<Catalog>,
}

impl Told {
    /// Whether this replica is to be asked for a configuration now: it announced a newer one than is in force, and no
    /// other replica was asked for it just now.
    fn is_due(&mut self, shared: &Shared) -> bool {
        let newer = self.announced > version_in_force(shared);
        if !newer {
            self.ask_at = None;
            return false;
        }
        let now = Instant::now();
        if self.ask_at.is_some_and(|it| now < it) {
            return false;
        }
        self.ask_at = Some(now + ASK_INTERVAL);
        let mut asked = shared.asked.lock();
        let pending =
            asked.is_some_and(|(version, until)| self.announced <= Some(version) && now < until);
        if !pending {
            *asked = self.announced.map(|it| (it, now + ASK_INTERVAL));
        }
        !pending
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
                let next = held.and_then(|it| step.apply(it.layout()).ok());
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
                return Ok(Some(Event::Fleet { routers, replicas }));
            }
            WatchNews::Beat { current, listed } => {
                return Ok(Some(Event::Beat { current, listed }));
            }
        }
        Ok(None)
    }
}

/// Puts a configuration in force if it is newer than the present one.
fn put_in_force(shared: &Arc<Shared>, replica: SocketAddr, layout: Layout) {
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
    shared.table.store(Some(Arc::new(Table::new(Arc::new(layout)))));
    if held.is_none() {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(SETTLE).await;
            shared.settled.store(true, Ordering::Relaxed);
        });
    }
}

fn set_services(dispatcher: &mut Dispatcher, layout: &Layout) {
    for service in &layout.services {
        dispatcher.set_memory(&service.name, service.engine.as_ref().map(|it| it.kv_tokens));
    }
}

//! Watching control for routing configurations and for other gateways.
//!
//! Every replica is watched, and the highest version that any of them tells is in force: a change that a majority
//! holds reaches this router as long as it reaches one replica that knows of it. A version never goes down.

use {
    crate::shared::Shared,
    dispatch::Dispatcher,
    model::Domain,
    route::{Layout, Table},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
    wire::{
        Dialer, Peer, WireError,
        msg::{WATCH_PATH, WatchHello, WatchNews},
    },
};

/// How long a replica may be silent before its connection is replaced: three of its beats.
const SILENCE: Duration = Duration::from_millis(2_400);

/// How long opening a stream may take.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);

/// The pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a router waits for further replicas once it has a configuration, to know the newest one.
const SETTLE: Duration = Duration::from_millis(1_500);

/// What one replica tells of the fleet.
struct Told {
    replica: SocketAddr,
    routers: Vec<(SocketAddr, Domain)>,
    replicas: Vec<SocketAddr>,
}

/// Watches all replicas for as long as the process runs; `seeds` are those known by settings.
pub(crate) async fn run(
    shared: Arc<Shared>,
    dialer: Dialer,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let (sender, mut news) = mpsc::channel(64);
    let mut watched: HashMap<SocketAddr, tokio::task::AbortHandle> = HashMap::new();
    let mut told: HashMap<SocketAddr, Told> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let wanted = wanted(&seeds.borrow_and_update(), &told);
        watched.retain(|addr, task| {
            let kept = wanted.contains(addr);
            if !kept {
                task.abort();
            }
            kept
        });
        told.retain(|addr, _| wanted.contains(addr));
        for addr in wanted {
            let spawn = || {
                let peer = Peer::new(addr, dialer.clone());
                tasks.spawn(watch_replica(shared.clone(), peer, sender.clone()))
            };
            watched.entry(addr).or_insert_with(spawn);
        }
        tokio::select! {
            news = news.recv() => {
                let Some(news) = news else { return };
                told.insert(news.replica, news);
                let routers = told.values().flat_map(|it| it.routers.iter().cloned()).collect();
                let replicas = told.values().flat_map(|it| it.replicas.iter().copied()).collect();
                let mut fleet = shared.fleet.lock();
                fleet.routers = routers;
                fleet.replicas = replicas;
            }
            changed = seeds.changed() => if changed.is_err() {
                // The settings are not watched any more; the seeds stay as they are.
                std::future::pending::<()>().await;
            },
        }
    }
}

fn wanted(seeds: &[SocketAddr], told: &HashMap<SocketAddr, Told>) -> HashSet<SocketAddr> {
    let learned = told.values().flat_map(|it| it.replicas.iter().copied());
    seeds.iter().copied().chain(learned).collect()
}

async fn watch_replica(shared: Arc<Shared>, peer: Peer, sender: mpsc::Sender<Told>) {
    let replica = peer.addr();
    loop {
        match follow(&shared, &peer, &sender).await {
            Ok(()) => tracing::info!(event = "control-lost", %replica, "gateway: stream ended"),
            Err(err) => {
                tracing::info!(event = "control-lost", %replica, %err, "gateway: not watching");
            }
        }
        peer.retire().await;
        sleep(PAUSE).await;
    }
}

/// Follows one replica until its stream ends or goes silent.
async fn follow(
    shared: &Arc<Shared>,
    peer: &Peer,
    sender: &mpsc::Sender<Told>,
) -> Result<(), WireError> {
    let Ok(stream) = timeout(OPEN_LIMIT, peer.open(WATCH_PATH)).await else { return Ok(()) };
    let (mut send, mut recv) = stream?.split();
    let version = shared.table.load().as_ref().map(|it| it.layout().version);
    let (addr, domain) = (shared.settings.inner, shared.settings.domain.clone());
    send.send(&WatchHello { addr, domain, version }).await?;
    let mut held: Option<Arc<Layout>> = None;
    let mut greeted = false;
    loop {
        let Ok(news) = timeout(SILENCE, recv.recv::<WatchNews>()).await else { return Ok(()) };
        match news? {
            None => return Ok(()),
            Some(WatchNews::Beat) => {}
            Some(WatchNews::Layout(layout)) => {
                put_in_force(shared, peer.addr(), &layout);
                held = Some(layout);
            }
            Some(WatchNews::Delta(delta)) => {
                let applied = held.as_ref().map(|it| delta.apply(it));
                let Some(Ok(layout)) = applied else {
                    tracing::warn!(event = "delta-misfit", "gateway: delta does not fit");
                    return Ok(());
                };
                let layout = Arc::new(layout);
                put_in_force(shared, peer.addr(), &layout);
                held = Some(layout);
            }
            Some(WatchNews::Fleet { routers, replicas }) => {
                if !greeted {
                    greeted = true;
                    tracing::info!(event = "control-found", replica = %peer.addr(), "gateway: watching");
                }
                let told = Told { replica: peer.addr(), routers, replicas };
                if sender.send(told).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the present one.
fn put_in_force(shared: &Arc<Shared>, replica: SocketAddr, layout: &Arc<Layout>) {
    let held = shared.table.load().as_ref().map(|it| it.layout().version);
    if held.is_some_and(|it| it >= layout.version) {
        return;
    }
    set_services(&mut shared.dispatcher.lock(), layout);
    shared.table.store(Some(Arc::new(Table::new((**layout).clone()))));
    tracing::info!(
        event = "configuration",
        version = layout.version,
        before = held,
        %replica,
        routes = layout.routes.len(),
        "gateway: configuration in force"
    );
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

//! Telling routers of routing configurations, of each other and of the replicas.
//!
//! Any replica serves this: it tells only what it knows to be committed, and a router that watches all replicas takes
//! the highest version, so that a change reaches it however the replicas see each other.

use {
    crate::control::Shared,
    derive_more::Debug,
    model::Domain,
    parking_lot::Mutex,
    route::{Layout, RouteDelta},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until, timeout},
    },
    wire::{
        SendHalf, Stream, WireError,
        msg::{WatchHello, WatchNews},
    },
};

/// How long a router may take to introduce itself.
const HELLO_LIMIT: Duration = Duration::from_millis(3_000);

/// How often a router hears from this replica at least; it looks for another connection after three of these.
const BEAT: Duration = Duration::from_millis(800);

/// The routers that watch this replica.
#[derive(Default, Debug)]
pub(crate) struct Watchers {
    #[debug(skip)]
    routers: Mutex<BTreeMap<SocketAddr, (Domain, usize)>>,
    #[debug(skip)]
    changed: watch::Sender<u64>,
}

impl Watchers {
    fn enter(&self, addr: SocketAddr, domain: Domain) {
        self.routers.lock().entry(addr).or_insert((domain, 0)).1 += 1;
        self.changed.send_modify(|it| *it += 1);
    }

    fn leave(&self, addr: SocketAddr) {
        let mut routers = self.routers.lock();
        if let Some((_, streams)) = routers.get_mut(&addr) {
            *streams -= 1;
        }
        routers.retain(|_, (_, streams)| *streams > 0);
        drop(routers);
        self.changed.send_modify(|it| *it += 1);
    }

    fn list(&self) -> Vec<(SocketAddr, Domain)> {
        let routers = self.routers.lock();
        routers.iter().map(|(addr, (domain, _))| (*addr, domain.clone())).collect()
    }
}

/// Serves a router until either end closes the stream.
pub(crate) async fn serve(shared: Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let Ok(hello) = timeout(HELLO_LIMIT, recv.recv::<WatchHello>()).await else { return Ok(()) };
    let Some(hello) = hello? else { return Ok(()) };
    let addr = hello.addr;
    tracing::info!(event = "router-watches", router = %addr, version = ?hello.version, "control: watched");
    shared.watchers.enter(addr, hello.domain);
    let served = tokio::select! {
        sent = tell(&shared, hello.version, &mut send) => sent,
        // A router says nothing more; this ends when it closes the stream.
        closed = recv.recv::<WatchHello>() => closed.map(drop),
    };
    shared.watchers.leave(addr);
    tracing::info!(event = "router-left", router = %addr, "control: no longer watched");
    served
}

async fn tell(shared: &Shared, version: Option<u64>, send: &mut SendHalf) -> Result<(), WireError> {
    let mut layouts = shared.layout.subscribe();
    let mut fleet = shared.watchers.changed.subscribe();
    let mut sent = Sent::new(version);
    send.send(&fleet_news(shared)).await?;
    fleet.mark_unchanged();
    loop {
        let layout = layouts.borrow_and_update().clone();
        if let Some(news) = sent.news(layout) {
            send.send(&news).await?;
        }
        let beat_at = Instant::now() + BEAT;
        tokio::select! {
            changed = layouts.changed() => if changed.is_err() { return Ok(()) },
            changed = fleet.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                send.send(&fleet_news(shared)).await?;
            }
            () = sleep_until(beat_at) => send.send(&WatchNews::Beat).await?,
        }
    }
}

fn fleet_news(shared: &Shared) -> WatchNews {
    WatchNews::Fleet { routers: shared.watchers.list(), replicas: shared.log.replicas() }
}

/// What a router was sent on one stream.
struct Sent {
    version: Option<u64>,
    layout: Option<Arc<Layout>>,
}

impl Sent {
    fn new(version: Option<u64>) -> Sent {
        Sent { version, layout: None }
    }

    /// Returns what the router lacks of a configuration.
    fn news(&mut self, layout: Option<Arc<Layout>>) -> Option<WatchNews> {
        let layout = layout?;
        if self.version.is_some_and(|it| it >= layout.version) {
            return None;
        }
        self.version = Some(layout.version);
        let before = self.layout.replace(layout.clone());
        Some(match before {
            Some(before) => WatchNews::Delta(RouteDelta::between(&before, &layout)),
            None => WatchNews::Layout(layout),
        })
    }
}

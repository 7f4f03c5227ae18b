//! Telling routers of routing configurations, of endpoints, of each other and of the replicas.
//!
//! Any replica serves this: it tells only what it knows to be committed, and a router that watches some replicas takes
//! the highest version, so that a change reaches it however the replicas see each other. A replica announces a version,
//! and a router asks one of the replicas that did for it: links are slow, and a configuration can be large. Each change
//! is encoded once for all streams.

use {
    crate::{
        bulk::{Bulk, Turn},
        control::Shared,
        topic::Topic,
    },
    derive_more::Debug,
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

/// How long a router may take to introduce itself.
const HELLO_LIMIT: Duration = Duration::from_millis(3_000);

/// How often a router hears from this replica; it looks for another connection after three of these.
const BEAT: Duration = Duration::from_millis(1_000);

/// How long a router may take to accept a large message while others wait.
const SEND_LIMIT: Duration = Duration::from_millis(2_000);

/// The shortest time between two lists of routers, in milliseconds.
const FLEET_MS: u64 = 300;

/// By how much that grows with each router, in milliseconds: each list goes to all of them.
const FLEET_EACH_MS: u64 = 10;

/// The routers and replicas, as they are told.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct FleetList {
    routers: Vec<(SocketAddr, Domain)>,
    replicas: Vec<SocketAddr>,
}

/// The routers that watch this replica.
#[derive(Default, Debug)]
pub(crate) struct Watchers {
    #[debug(skip)]
    routers: Mutex<BTreeMap<SocketAddr, (Domain, usize)>>,
    #[debug(skip)]
    fleet: watch::Sender<Option<Arc<Topic<FleetList>>>>,
}

impl Watchers {
    fn enter(&self, addr: SocketAddr, domain: Domain) {
        self.routers.lock().entry(addr).or_insert((domain, 0)).1 += 1;
    }

    fn leave(&self, addr: SocketAddr) {
        let mut routers = self.routers.lock();
        if let Some((_, streams)) = routers.get_mut(&addr) {
            *streams -= 1;
        }
        routers.retain(|_, (_, streams)| *streams > 0);
    }

    fn list(&self) -> Vec<(SocketAddr, Domain)> {
        let routers = self.routers.lock();
        routers.iter().map(|(addr, (domain, _))| (*addr, domain.clone())).collect()
    }
}

/// Makes the list of routers and replicas known when it changed, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let list = FleetList { routers: shared.watchers.list(), replicas: shared.log.replicas() };
        let pause_ms = FLEET_MS + FLEET_EACH_MS * list.routers.len() as u64;
        shared.watchers.fleet.send_if_modified(|topic| {
            let next = match topic {
                None => Topic::first(list, encode_fleet),
                Some(topic) if *topic.value() == list => return false,
                Some(topic) => {
                    let step = fleet_step(topic.value(), &list);
                    topic.next(list, step)
                }
            };
            *topic = Some(Arc::new(next));
            true
        });
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn encode_fleet(list: &FleetList) -> Option<Encoded> {
    let FleetList { routers, replicas } = list.clone();
    Encoded::new(&WatchUpdate::Fleet { routers, replicas })
}

fn fleet_step(from: &FleetList, to: &FleetList) -> Option<Encoded> {
    let added = to.routers.iter().filter(|it| !from.routers.contains(it)).cloned().collect();
    let stays = |addr: &SocketAddr| to.routers.iter().any(|it| it.0 == *addr);
    let removed = from.routers.iter().map(|it| it.0).filter(|it| !stays(it)).collect();
    Encoded::new(&WatchUpdate::FleetDelta { added, removed, replicas: to.replicas.clone() })
}

/// Serves a router until either end closes the stream.
pub(crate) async fn serve(shared: Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let Ok(hello) = timeout(HELLO_LIMIT, recv.recv::<WatchHello>()).await else { return Ok(()) };
    let Some(hello) = hello? else { return Ok(()) };
    let addr = hello.addr;
    tracing::info!(event = "router-watches", router = %addr, version = hello.version, "control: watched");
    shared.watchers.enter(addr, hello.domain);
    let served = tell(&shared, &mut send, &mut recv).await;
    shared.watchers.leave(addr);
    tracing::info!(event = "router-left", router = %addr, "control: no longer watched");
    served
}

/// What a router has asked for and what it was told.
#[derive(Default, Debug)]
struct Told {
    announced: Option<u64>,
    /// That it waits for a configuration, and the version that it has.
    asked: Option<Option<u64>>,
    /// That it wants the endpoints, and the number of the list that it was told last.
    catalog: Option<Option<u64>>,
    fleet: Option<u64>,
}

impl Told {
    fn take(&mut self, ask: WatchRequest) {
        match ask {
            WatchRequest::Layout { installed_version } => self.asked = Some(installed_version),
            WatchRequest::Catalog => self.catalog = Some(None),
        }
    }

    /// What the router waits for: a configuration, and news of the endpoints.
    fn due(&self, shared: &Shared) -> [Due; 2] {
        let (mut layout, mut catalog) = (Due::default(), Due::default());
        if let (Some(have), Some(topic)) = (self.asked, shared.layout.borrow().as_ref()) {
            layout.messages.extend(topic.answer(have).into_iter().cloned());
            layout.answered = true;
        }
        let topic = shared.discovery.catalog.borrow();
        if let (Some(told), Some(topic)) = (self.catalog, topic.as_ref()) {
            catalog.messages.extend(topic.news(told).cloned());
            catalog.catalog = Some(topic.number());
        }
        [layout, catalog]
    }
}

/// Messages that a router waits for.
#[derive(Default, Debug)]
struct Due {
    messages: SmallVec<[Encoded; 4]>,
    /// Whether they answer what was asked; none do if the router has that version by another replica.
    answered: bool,
    /// The number of the list of endpoints that the router has with them.
    catalog: Option<u64>,
}

impl Due {
    fn bytes(&self) -> usize {
        self.messages.iter().map(Encoded::size).sum()
    }

    async fn send(&self, told: &mut Told, send: &mut SendHalf) -> Result<(), WireError> {
        for message in &self.messages {
            send.send_encoded(message).await?;
        }
        told.asked = told.asked.filter(|_| !self.answered);
        if let (Some(number), Some(_)) = (self.catalog, told.catalog) {
            told.catalog = Some(Some(number));
        }
        Ok(())
    }
}

/// Tells a router what changes, and answers what it asks for, until either end closes the stream.
async fn tell(shared: &Shared, send: &mut SendHalf, recv: &mut RecvHalf) -> Result<(), WireError> {
    let mut layouts = shared.layout.subscribe();
    let mut catalogs = shared.discovery.catalog.subscribe();
    let mut fleets = shared.watchers.fleet.subscribe();
    let mut told = Told::default();
    let mut turn: Option<Pin<Box<dyn Future<Output = Turn> + Send>>> = None;
    let mut beat_at = Instant::now();
    loop {
        let version = layouts.borrow_and_update().as_ref().map(|it| it.version());
        if let Some(version) = version.filter(|_| version != told.announced) {
            told.announced = Some(version);
            send.send(&WatchUpdate::Announce { version }).await?;
        }
        let topic = fleets.borrow_and_update().clone();
        tell_topic(topic.as_deref(), &mut told.fleet, send).await?;
        catalogs.mark_unchanged();
        let mut large = false;
        for due in told.due(shared) {
            match Bulk::is_large(due.bytes()) {
                true => large = true,
                false => due.send(&mut told, send).await?,
            }
        }
        turn = turn.filter(|_| large);
        if large {
            let waiting = || Box::pin(shared.bulk.clone().turn()) as Pin<Box<_>>;
            turn.get_or_insert_with(waiting);
        }
        if Instant::now() >= beat_at {
            beat_at = Instant::now() + BEAT;
            send.send(&beat(shared)).await?;
        }
        let ended = tokio::select! {
            changed = layouts.changed() => changed.is_err(),
            changed = catalogs.changed() => changed.is_err(),
            changed = fleets.changed() => changed.is_err(),
            asked = recv.recv::<WatchRequest>() => match asked? {
                Some(ask) => {
                    told.take(ask);
                    false
                }
                None => true,
            },
            granted = granted(&mut turn) => {
                turn = None;
                let dues = told.due(shared);
                let sent = timeout(SEND_LIMIT, async {
                    for due in &dues {
                        due.send(&mut told, send).await?;
                    }
                    Ok::<_, WireError>(())
                });
                let sent = sent.await;
                granted.sent(dues.iter().map(Due::bytes).sum());
                match sent {
                    Ok(sent) => {
                        sent?;
                        false
                    }
                    // The router takes nothing: others must not wait for it.
                    Err(_) => true,
                }
            }
            () = sleep_until(beat_at) => false,
        };
        if ended {
            return Ok(());
        }
    }
}

/// Waits for the turn; for ever if none is wanted.
async fn granted(turn: &mut Option<Pin<Box<dyn Future<Output = Turn> + Send>>>) -> Turn {
    match turn {
        Some(turn) => turn.await,
        None => std::future::pending().await,
    }
}

fn beat(shared: &Shared) -> WatchUpdate {
    let has_leader = shared.log.leads() || shared.log.leader_inner().is_some();
    WatchUpdate::Heartbeat {
        has_leader,
        listing_is_recent: shared.discovery.is_recent(shared.clock.now()),
    }
}

async fn tell_topic<T>(
    topic: Option<&Topic<T>>,
    told: &mut Option<u64>,
    send: &mut SendHalf,
) -> Result<(), WireError> {
    let Some(topic) = topic else { return Ok(()) };
    if let Some(news) = topic.news(*told) {
        send.send_encoded(news).await?;
    }
    *told = Some(topic.number());
    Ok(())
}

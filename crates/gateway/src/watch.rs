//! Watching control for routing configurations, endpoints and other gateways.
//!
//! Some replicas are watched, chosen by a hash of both addresses so that replicas share the routers, and others beside
//! them while one of these is not reached or hears of no leader. The highest version that any of them tells is in
//! force; a version never goes down. Endpoints are asked of one replica and taken from one at a time: a list can be
//! large, and lists that were read at different moments must not alternate.

use {
    crate::{
        follow::{Event, Report, watch_replica},
        listing,
        shared::Shared,
    },
    derive_more::Debug,
    directory::Catalog,
    model::{Domain, MILLISECOND, Time, hash64, mix2},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::AbortHandle,
        time::sleep,
    },
    wire::{Dialer, Peer},
};

/// How many replicas are watched while all of them are sound: with two lost, one still tells.
const WATCHED: usize = 3;

/// How long a replica may take to become sound before another one is watched beside it, in milliseconds.
const TRIAL_MS: u64 = 1_500;

/// How often the choice of replicas is made again.
const REVIEW: Duration = Duration::from_millis(500);

/// What is known of one replica.
#[derive(Debug)]
struct Watched {
    #[debug(skip)]
    task: AbortHandle,
    /// Whether the endpoints are asked of it.
    chosen: watch::Sender<bool>,
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
        let mut ranked: Vec<_> = learned.into_iter().collect();
        ranked.sort_unstable_by_key(|it| self.rank(*it));
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

    /// The place of a replica in this router's order, which differs between routers.
    fn rank(&self, replica: SocketAddr) -> u64 {
        let own = hash64(self.shared.settings.inner.to_string().as_bytes());
        mix2(own, hash64(replica.to_string().as_bytes()))
    }

    fn spawn(&self, addr: SocketAddr) -> Watched {
        let peer = Peer::new(addr, self.dialer.clone());
        let chosen = watch::Sender::new(false);
        let watching =
            watch_replica(self.shared.clone(), peer, self.sender.clone(), chosen.subscribe());
        let task = tokio::spawn(watching);
        Watched {
            task: task.abort_handle(),
            chosen,
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
                watched.catalog = None;
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

    /// Keeps to the present replica's list of endpoints as long as that replica reads it.
    fn update_primary(&mut self) {
        let present = self.primary.and_then(|it| self.watched.get(&it));
        if !present.is_some_and(|it| it.listed) {
            let listed = self.watched.iter().filter(|it| it.1.listed);
            let order = |it: &(&SocketAddr, &Watched)| (it.1.catalog.is_none(), self.rank(*it.0));
            let found = listed.min_by_key(order).map(|it| *it.0);
            if let Some(replica) = found.filter(|it| self.primary != Some(*it)) {
                self.primary = Some(replica);
                self.take_catalog(replica);
            }
        }
        for (replica, watched) in &self.watched {
            let chosen = self.primary == Some(*replica);
            watched.chosen.send_if_modified(|it| std::mem::replace(it, chosen) != chosen);
        }
        let primary = self.primary.and_then(|it| self.watched.get(&it));
        if primary.is_some_and(|it| it.listed && it.catalog.is_some()) {
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

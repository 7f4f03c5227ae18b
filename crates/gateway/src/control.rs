//! Watches the control plane for routing configurations, endpoints and other gateways.
//!
//! The gateway watches a few control replicas, ranked by a hash of both addresses so that the
//! gateways are spread over the replicas. It watches more of them while one of the preferred
//! replicas is unreachable or sees no leader. The highest configuration version reported by any
//! replica is applied; the version never decreases. The endpoint list is requested from a single
//! replica at a time, because lists can be large and because lists read at different times must not
//! alternate.

use {
    crate::{
        discovery,
        shared::Shared,
        subscription::{ReplicaUpdate, Update, watch_replica},
    },
    derive_more::Debug,
    directory::Catalog,
    model::{Domain, MILLISECOND, Name, Time, hash64, mix2},
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
    wire::Peer,
};

/// How many replicas are watched while all of them are healthy. With two of them lost, one still
/// reports.
const WATCHED_REPLICAS: usize = 3;

/// How many of the watched replicas must hear of a leader. A single one may lag behind it.
const MIN_HEALTHY_REPLICAS: usize = 2;

/// How long a replica may take to become healthy before an additional one is watched, in
/// milliseconds.
const PROBATION_MS: u64 = 1_500;

/// How long the replica whose endpoint list is applied may be silent before that of another one is
/// requested, in milliseconds: until the second heartbeat in a row would be late.
const LIST_SILENCE_MS: u64 = 1_500;

/// How often the set of watched replicas is recomputed.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a watched replica.
#[derive(Debug)]
struct WatchedReplica {
    #[debug(skip)]
    task: AbortHandle,
    /// Whether to request the endpoint list from this replica.
    catalog_wanted: watch::Sender<bool>,
    /// Until this time the replica counts as healthy even without a heartbeat that shows it.
    probation_until: Time,
    /// When the replica last sent an update.
    heard_at: Time,
    /// Whether the replica hears of a leader, so that it would know of a newer configuration.
    has_leader: bool,
    /// Whether the replica has read the endpoint list recently.
    listing_is_recent: bool,
    routers: Vec<(SocketAddr, Domain)>,
    replicas: Vec<SocketAddr>,
    catalog: Option<Catalog>,
    /// The cold endpoints by that list, and until when; `None` if the replica has not said.
    cold: Option<Vec<(Name, Time)>>,
}

/// Watches replicas for as long as the process runs. `seeds` are the configured addresses.
pub(crate) async fn run(shared: Arc<Shared>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    let (sender, mut updates) = mpsc::channel(64);
    let mut watcher =
        ReplicaWatcher { shared, sender, watched: BTreeMap::new(), catalog_source: None };
    loop {
        let addrs = seeds.borrow_and_update().clone();
        watcher.reconcile(&addrs);
        watcher.update_doubt();
        watcher.update_catalog_source();
        tokio::select! {
            update = updates.recv() => match update {
                Some(update) => watcher.apply(update),
                None => return,
            },
            changed = seeds.changed() => if changed.is_err() {
                // The sender is gone, so the seeds can no longer change.
                sleep(RECONCILE_INTERVAL).await;
            },
            () = sleep(RECONCILE_INTERVAL) => {}
        }
    }
}

impl WatchedReplica {
    /// Returns whether the endpoint list of this replica is up to date.
    fn has_recent_list(&self, now: Time) -> bool {
        self.listing_is_recent && now < self.heard_at + LIST_SILENCE_MS * MILLISECOND
    }
}

struct ReplicaWatcher {
    shared: Arc<Shared>,
    sender: mpsc::Sender<ReplicaUpdate>,
    watched: BTreeMap<SocketAddr, WatchedReplica>,
    /// The replica whose endpoint list is applied.
    catalog_source: Option<SocketAddr>,
}

impl ReplicaWatcher {
    /// Starts and stops tasks so that exactly the selected replicas are watched.
    fn reconcile(&mut self, seeds: &[SocketAddr]) {
        let wanted = self.select_replicas(seeds);
        if !self.watched.keys().eq(&wanted) {
            tracing::info!(
                event = "control-selected",
                replicas = ?wanted,
                before = ?self.watched.keys(),
                healthy = self.watched.values().filter(|it| it.has_leader).count(),
                "gateway: watches other control replicas"
            );
        }
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

    /// Records whether enough replicas hear of a leader to announce a new configuration.
    fn update_doubt(&self) {
        let known = self.watched.values().map(|it| it.replicas.len()).max().unwrap_or(0);
        let healthy = self.watched.values().filter(|it| it.has_leader).count();
        let in_doubt = healthy < MIN_HEALTHY_REPLICAS.min(known.max(1));
        if self.shared.control_in_doubt.swap(in_doubt, Ordering::Relaxed) != in_doubt {
            tracing::info!(
                event = "control-doubted",
                in_doubt,
                healthy,
                known,
                "gateway: changed whether other gateways are asked for newer configurations"
            );
        }
    }

    fn select_replicas(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let now = self.shared.now();
        let candidates = self.watched.values().flat_map(|it| it.replicas.iter().copied());
        let mut candidates: BTreeSet<_> = candidates.collect();
        if candidates.is_empty() {
            candidates.extend(seeds);
        }
        let mut by_rank: Vec<_> = candidates.into_iter().collect();
        by_rank.sort_unstable_by_key(|it| self.rank(*it));
        let mut healthy = 0;
        let mut wanted = BTreeSet::new();
        for addr in by_rank {
            if healthy == WATCHED_REPLICAS {
                break;
            }
            let watched = self.watched.get(&addr);
            healthy +=
                usize::from(watched.is_none_or(|it| it.has_leader || now < it.probation_until));
            wanted.insert(addr);
        }
        // If no replica is healthy, fall back to the seeds, which may include replicas that no
        // other replica has reported.
        if !self.watched.values().any(|it| it.has_leader) {
            wanted.extend(seeds);
        }
        wanted
    }

    /// Ranks a replica by rendezvous hashing, so that the order differs between gateways.
    fn rank(&self, replica: SocketAddr) -> u64 {
        let own = hash64(self.shared.settings.inner.to_string().as_bytes());
        mix2(own, hash64(replica.to_string().as_bytes()))
    }

    fn spawn(&self, addr: SocketAddr) -> WatchedReplica {
        let peer = Peer::new(addr, self.shared.dialer.clone());
        let catalog_wanted = watch::Sender::new(false);
        let watching = watch_replica(
            self.shared.clone(),
            peer,
            self.sender.clone(),
            catalog_wanted.subscribe(),
        );
        let task = tokio::spawn(watching);
        WatchedReplica {
            task: task.abort_handle(),
            catalog_wanted,
            probation_until: self.shared.now() + PROBATION_MS * MILLISECOND,
            heard_at: self.shared.now(),
            has_leader: false,
            listing_is_recent: false,
            routers: Vec::new(),
            replicas: Vec::new(),
            catalog: None,
            cold: None,
        }
    }

    fn apply(&mut self, update: ReplicaUpdate) {
        let ReplicaUpdate { replica, update } = update;
        let Some(watched) = self.watched.get_mut(&replica) else { return };
        watched.heard_at = self.shared.now();
        match update {
            Update::Membership { routers, replicas } => {
                if replicas != watched.replicas {
                    tracing::info!(
                        event = "control-members",
                        %replica,
                        members = ?replicas,
                        before = ?watched.replicas,
                        has_leader = watched.has_leader,
                        "gateway: a control replica reported other members of its group"
                    );
                }
                (watched.routers, watched.replicas) = (routers, replicas);
                self.update_membership();
            }
            Update::Catalog(catalog) => {
                watched.catalog = Some(catalog);
                if self.catalog_source == Some(replica) {
                    self.apply_catalog(replica);
                }
            }
            Update::Cold(endpoints) => {
                watched.cold = Some(discovery::cold_until(self.shared.now(), &endpoints));
                if self.catalog_source == Some(replica) {
                    self.apply_cold(replica);
                }
            }
            Update::Heartbeat { has_leader, listing_is_recent } => {
                (watched.has_leader, watched.listing_is_recent) = (has_leader, listing_is_recent);
            }
            Update::Disconnected => {
                (watched.has_leader, watched.listing_is_recent) = (false, false);
                (watched.catalog, watched.cold) = (None, None);
            }
        }
    }

    fn update_membership(&self) {
        let watched = || self.watched.values();
        let mut membership = self.shared.membership.lock();
        membership.routers = watched().flat_map(|it| it.routers.iter().cloned()).collect();
        membership.replicas = watched().flat_map(|it| it.replicas.iter().copied()).collect();
        let routers = membership.routers.iter().map(|it| (it.0, &it.1));
        let mut origins = self.shared.origins.lock();
        origins.set_members(self.shared.settings.inner, routers);
        if !membership.replicas.is_empty() {
            let replicas = membership.replicas.iter().copied();
            origins.set_replicas(self.shared.settings.inner, replicas);
        }
        drop(origins);
        let routers = membership.routers.iter().map(|it| it.0);
        self.shared.quarantine.lock().set_members(routers);
        let routers: Vec<_> = membership.routers.iter().map(|it| it.0).collect();
        drop(membership);
        let (now, own) = (self.shared.now(), self.shared.settings.inner);
        self.shared.dispatcher.lock().set_routers(now, own, routers);
    }

    /// Keeps the current source of the endpoint list for as long as its list is up to date.
    fn update_catalog_source(&mut self) {
        let now = self.shared.now();
        self.shared.origins.lock().record_run(now);
        let present = self.catalog_source.and_then(|it| self.watched.get(&it));
        if !present.is_some_and(|it| it.has_recent_list(now)) {
            let listed = self.watched.iter().filter(|it| it.1.has_recent_list(now));
            let order =
                |it: &(&SocketAddr, &WatchedReplica)| (it.1.catalog.is_none(), self.rank(*it.0));
            let best = listed.min_by_key(order).map(|it| *it.0);
            if let Some(replica) = best {
                tracing::info!(
                    event = "list-source",
                    before = ?self.catalog_source,
                    %replica,
                    "gateway: applies the list of endpoints of another control replica"
                );
                self.catalog_source = Some(replica);
                self.apply_catalog(replica);
                self.apply_cold(replica);
            }
        }
        for (replica, watched) in &self.watched {
            let catalog_wanted = self.catalog_source == Some(*replica);
            watched
                .catalog_wanted
                .send_if_modified(|it| std::mem::replace(it, catalog_wanted) != catalog_wanted);
        }
        let catalog_source = self.catalog_source.and_then(|it| self.watched.get(&it));
        if let Some(source) = catalog_source
            && source.has_recent_list(now)
            && source.catalog.is_some()
        {
            self.shared.catalog_updated_at.store(now.0, Ordering::Relaxed);
            self.shared.origins.lock().confirm_endpoints(source.heard_at);
        }
    }

    fn apply_catalog(&self, replica: SocketAddr) {
        let catalog = self.watched.get(&replica).and_then(|it| it.catalog.as_ref());
        if let Some(catalog) = catalog {
            discovery::apply(&self.shared, &catalog.endpoints());
        }
    }

    fn apply_cold(&self, replica: SocketAddr) {
        let cold = self.watched.get(&replica).and_then(|it| it.cold.clone());
        if let Some(cold) = cold {
            discovery::apply_cold(&self.shared, cold);
        }
    }
}

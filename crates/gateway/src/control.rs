//! Watches the control plane for routing configurations, endpoints and other gateways.
//!
//! The gateway watches a few control replicas ([`Group`]). The highest configuration version reported by any
//! replica is applied; the version never decreases. The endpoint list is requested from a single
//! replica at a time, because lists can be large and because lists read at different times must not
//! alternate.

use {
    crate::{
        discovery,
        shared::{Membership, Shared},
        subscription::{ReplicaUpdate, Update, watch_replica},
    },
    derive_more::Debug,
    directory::Catalog,
    fanout::Group,
    model::{MILLISECOND, Name, Time},
    std::{
        collections::BTreeMap,
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
    /// When the replica last sent an update.
    heard_at: Time,
    /// Whether the replica has read the endpoint list recently.
    listing_is_recent: bool,
    catalog: Option<Catalog>,
    /// The cold endpoints by that list, and until when; `None` if the replica has not said.
    cold: Option<Vec<(Name, Time)>>,
}

/// Watches replicas for as long as the process runs. `seeds` are the configured addresses.
pub(crate) async fn run(shared: Arc<Shared>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    let (sender, mut updates) = mpsc::channel(64);
    let group = Group::new(shared.settings.inner, &seeds.borrow());
    let watched = BTreeMap::new();
    let mut watcher = ReplicaWatcher { shared, sender, group, watched, catalog_source: None };
    loop {
        watcher.group.set_seeds(&seeds.borrow_and_update());
        watcher.reconcile();
        watcher.update_membership();
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
    group: Group,
    watched: BTreeMap<SocketAddr, WatchedReplica>,
    /// The replica whose endpoint list is applied.
    catalog_source: Option<SocketAddr>,
}

impl ReplicaWatcher {
    /// Starts and stops tasks so that exactly the selected replicas are watched.
    fn reconcile(&mut self) {
        let selected = self.group.select(self.shared.now());
        if !self.watched.keys().eq(&selected) {
            tracing::info!(
                event = "control-selected",
                replicas = ?selected,
                before = ?self.watched.keys(),
                healthy = self.group.healthy(),
                "gateway: changed the control replicas that it watches"
            );
        }
        self.watched.retain(|addr, it| {
            let kept = selected.contains(addr);
            if !kept {
                it.task.abort();
            }
            kept
        });
        for addr in selected {
            if !self.watched.contains_key(&addr) {
                let watched = self.spawn(addr);
                self.watched.insert(addr, watched);
            }
        }
    }

    /// Records whether enough replicas hear of a leader to announce a new configuration.
    fn update_doubt(&self) {
        let in_doubt = self.group.is_in_doubt();
        if self.shared.control_in_doubt.swap(in_doubt, Ordering::Relaxed) != in_doubt {
            self.shared.progress.send_replace(());
            tracing::info!(
                event = "control-doubted",
                in_doubt,
                healthy = self.group.healthy(),
                known = self.group.members().len(),
                "gateway: changed whether other gateways are asked for newer configurations"
            );
        }
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
            heard_at: self.shared.now(),
            listing_is_recent: false,
            catalog: None,
            cold: None,
        }
    }

    fn apply(&mut self, update: ReplicaUpdate) {
        let ReplicaUpdate { replica, update } = update;
        let Some(watched) = self.watched.get_mut(&replica) else { return };
        let now = self.shared.now();
        watched.heard_at = now;
        match update {
            Update::Membership { routers, replicas } => {
                if self.group.record_report(now, replica, &replicas, routers) {
                    tracing::info!(
                        event = "control-members",
                        %replica,
                        members = ?replicas,
                        has_leader = self.group.has_leader(replica),
                        "gateway: a control replica reported other members of its group"
                    );
                }
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
                watched.listing_is_recent = listing_is_recent;
                self.group.record_leader(replica, has_leader);
            }
            Update::Disconnected => {
                watched.listing_is_recent = false;
                (watched.catalog, watched.cold) = (None, None);
                self.group.record_lost(replica);
            }
        }
    }

    /// Tells the other parts of the gateway which processes exist, if that has changed.
    fn update_membership(&self) {
        let routers = self.group.routers().cloned().collect();
        let replicas = self.group.members().into_iter().collect();
        let current = Membership { routers, replicas };
        let mut membership = self.shared.membership.lock();
        if *membership == current {
            return;
        }
        *membership = current;
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
            let order = |it: &(&SocketAddr, &WatchedReplica)| {
                (it.1.catalog.is_none(), self.group.rank(*it.0))
            };
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
        let source = self.catalog_source.and_then(|it| Some((it, self.watched.get(&it)?)));
        if let Some((replica, source)) = source
            && source.has_recent_list(now)
            && source.catalog.is_some()
        {
            if discovery::is_control_silent(&self.shared) {
                // The gateway may have applied a list that it read itself.
                self.apply_catalog(replica);
                self.apply_cold(replica);
            }
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

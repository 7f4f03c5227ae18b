//! Three replicas in one process, over loopback and real files.

mod proxy;

use {
    proxy::Proxy,
    replica::{Replica, ReplicaConfig, ReplicaStatus, RestoreError, StateMachine},
    std::{
        net::SocketAddr,
        path::PathBuf,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::timeout,
    wire::{Class, Clock, Dialer, Listener, Traffic},
};

const LIMIT: Duration = Duration::from_secs(20);

/// Keeps every command.
#[derive(Default)]
pub(crate) struct Journal(pub(crate) Vec<Vec<u8>>);

impl StateMachine for Journal {
    fn apply(&mut self, _: u64, command: &[u8]) -> Vec<u8> {
        self.0.push(command.to_vec());
        self.0.len().to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.join(&b' ')
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let words = snapshot.split(|it| *it == b' ').filter(|it| !it.is_empty());
        self.0 = words.map(<[u8]>::to_vec).collect();
        Ok(())
    }
}

type Slot = Arc<Mutex<Option<Replica<Journal>>>>;

/// Hosts whose listeners outlive their replicas.
pub(crate) struct Group {
    pub(crate) folders: Vec<TempDir>,
    pub(crate) addrs: Vec<SocketAddr>,
    slots: Vec<Slot>,
    proxies: Vec<Proxy>,
    snapshot: u64,
    batching: bool,
    /// Heartbeat and election timeout, in milliseconds.
    timeouts: (u64, u64),
}

pub(crate) async fn within<F>(future: F) -> F::Output
where
    F: Future,
{
    timeout(LIMIT, future).await.expect("in time")
}

impl Group {
    /// Binds `count` hosts and opens a replica on each; a snapshot is taken every so many bytes.
    pub(crate) async fn start(count: usize, snapshot: u64) -> Group {
        Group::open_with(count, snapshot, true, (50, 600)).await
    }

    /// As [`Group::start`], with group commit on or off and a heartbeat and election timeout in milliseconds.
    pub(crate) async fn open_with(
        count: usize,
        snapshot: u64,
        batching: bool,
        timeouts: (u64, u64),
    ) -> Group {
        let (folders, addrs, slots) = (Vec::new(), Vec::new(), Vec::new());
        let proxies = Vec::new();
        let mut group = Group { folders, addrs, slots, proxies, snapshot, batching, timeouts };
        group.bind(count, false).await;
        group
    }

    /// As [`Group::start`], with connections that [`Group::silence`] can make go silent.
    pub(crate) async fn behind_proxies(count: usize) -> Group {
        let (folders, addrs, slots) = (Vec::new(), Vec::new(), Vec::new());
        let proxies = Vec::new();
        let (snapshot, batching, timeouts) = (u64::MAX, true, (50, 600));
        let mut group = Group { folders, addrs, slots, proxies, snapshot, batching, timeouts };
        group.bind(count, true).await;
        group
    }

    /// Lets all present connections between replicas carry nothing any more, without closing them.
    pub(crate) fn silence(&self) {
        self.proxies.iter().for_each(Proxy::silence);
    }

    async fn bind(&mut self, count: usize, proxied: bool) {
        for _ in 0..count {
            let any = "127.0.0.1:0".parse().unwrap();
            let listener = Listener::bind(any, None, Traffic::default()).await.unwrap();
            let mut addr = listener.addr();
            if proxied {
                let proxy = Proxy::spawn(addr).await;
                addr = proxy.addr;
                self.proxies.push(proxy);
            }
            self.addrs.push(addr);
            self.folders.push(tempfile::tempdir().unwrap());
            let slot = Slot::default();
            self.slots.push(slot.clone());
            tokio::spawn(serve(listener, slot));
        }
        for at in 0..count {
            self.open(at).await;
        }
    }

    pub(crate) fn config(&self, at: usize) -> ReplicaConfig {
        let peers = self.addrs.iter().copied().filter(|it| *it != self.addrs[at]).collect();
        let folder: PathBuf = self.folders[at].path().join("data");
        let mut config = ReplicaConfig::new(folder, self.addrs[at], peers);
        config.set_timeouts(self.timeouts.0, self.timeouts.1).unwrap();
        config.set_batching(self.batching);
        config.set_snapshot_log_bytes(self.snapshot);
        config
    }

    pub(crate) async fn open(&self, at: usize) -> Replica<Journal> {
        let dialer = Dialer { identity: None, traffic: Traffic::default(), class: Class::Control };
        let machine = Journal::default();
        let opened = Replica::open(self.config(at), machine, dialer, Clock::start()).await;
        let replica = opened.unwrap();
        *self.slots[at].lock().unwrap() = Some(replica.clone());
        replica
    }

    pub(crate) fn get(&self, at: usize) -> Replica<Journal> {
        self.slots[at].lock().unwrap().clone().expect("open")
    }

    pub(crate) async fn stop(&self, at: usize) {
        let replica = self.slots[at].lock().unwrap().take();
        replica.expect("open").shutdown().await;
    }

    /// Empties the disk of a stopped replica.
    pub(crate) fn lose_disk(&self, at: usize) {
        std::fs::remove_dir_all(self.folders[at].path().join("data")).unwrap();
    }

    /// Waits until one of the open replicas leads.
    pub(crate) async fn leader(&self) -> usize {
        let open: Vec<_> = (0..self.slots.len())
            .filter_map(|it| Some((it, self.slots[it].lock().unwrap().clone()?)))
            .collect();
        let lead = open
            .iter()
            .map(|(at, replica)| Box::pin(wait(*at, replica, |it| it.leading_term.is_some())));
        within(select(lead.collect())).await
    }

    /// Waits until the leader has committed that all open replicas vote, and returns it.
    pub(crate) async fn whole(&self) -> usize {
        let at = self.leader().await;
        let leader = self.get(at);
        let open = self.slots.iter().filter_map(|it| it.lock().unwrap().clone());
        let ids: Vec<_> = open.map(|it| it.id()).collect();
        let all = |_: &ReplicaStatus| ids.iter().all(|it| leader.is_voter(*it));
        within(wait(at, &leader, all)).await
    }

    /// Waits until a replica has applied this many commands.
    pub(crate) async fn applied(&self, at: usize, commands: usize) {
        let replica = self.get(at);
        let mut status = replica.subscribe();
        let has = |_: &ReplicaStatus| replica.with(|it| it.0.len()) >= commands;
        within(status.wait_for(has)).await.unwrap();
    }
}

async fn serve(mut listener: Listener, slot: Slot) {
    while let Some(incoming) = listener.accept().await {
        let replica = slot.lock().unwrap().clone();
        if let Some(replica) = replica {
            replica.handle_stream(incoming.stream);
        }
    }
}

pub(crate) async fn wait<F>(at: usize, replica: &Replica<Journal>, until: F) -> usize
where
    F: Fn(&ReplicaStatus) -> bool,
{
    replica.subscribe().wait_for(until).await.unwrap();
    at
}

/// Returns the result of the future that is ready first.
async fn select<F>(mut futures: Vec<F>) -> F::Output
where
    F: Future + Unpin,
{
    std::future::poll_fn(|cx| {
        let mut ready = futures.iter_mut().map(|it| std::pin::Pin::new(it).poll(cx));
        ready.find(|it| it.is_ready()).unwrap_or(std::task::Poll::Pending)
    })
    .await
}

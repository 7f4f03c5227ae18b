//! A group of replicas in one process, with loopback sockets and real files.

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
    wire::{Clock, Dialer, Listener, Traffic, TrafficClass},
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A state machine that records every command.
#[derive(Default)]
pub(crate) struct CommandRecorder(pub(crate) Vec<Vec<u8>>);

impl StateMachine for CommandRecorder {
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

type ReplicaSlot = Arc<Mutex<Option<Replica<CommandRecorder>>>>;

/// A group of replicas whose listeners stay open while a replica is stopped.
pub(crate) struct Group {
    pub(crate) folders: Vec<TempDir>,
    pub(crate) addrs: Vec<SocketAddr>,
    slots: Vec<ReplicaSlot>,
    proxies: Vec<Proxy>,
    snapshot_log_bytes: u64,
    batching: bool,
    /// Heartbeat interval and election timeout, in milliseconds.
    timeouts: (u64, u64),
}

pub(crate) async fn with_timeout<F>(future: F) -> F::Output
where
    F: Future,
{
    timeout(TIMEOUT, future).await.expect("in time")
}

impl Group {
    /// Binds `count` listeners and opens a replica on each. A snapshot is taken every `snapshot_log_bytes` bytes.
    pub(crate) async fn start(count: usize, snapshot_log_bytes: u64) -> Group {
        Group::open_with(count, snapshot_log_bytes, true, (50, 600)).await
    }

    /// As [`Group::start`], with group commit on or off, and with `timeouts` as the heartbeat interval and election
    /// timeout in milliseconds.
    pub(crate) async fn open_with(
        count: usize,
        snapshot_log_bytes: u64,
        batching: bool,
        timeouts: (u64, u64),
    ) -> Group {
        let (folders, addrs, slots) = (Vec::new(), Vec::new(), Vec::new());
        let proxies = Vec::new();
        let mut group =
            Group { folders, addrs, slots, proxies, snapshot_log_bytes, batching, timeouts };
        group.bind(count, false).await;
        group
    }

    /// As [`Group::start`], with proxied connections that [`Group::stall_connections`] can stall.
    pub(crate) async fn start_with_proxies(count: usize) -> Group {
        let (folders, addrs, slots) = (Vec::new(), Vec::new(), Vec::new());
        let proxies = Vec::new();
        let (snapshot_log_bytes, batching, timeouts) = (u64::MAX, true, (50, 600));
        let mut group =
            Group { folders, addrs, slots, proxies, snapshot_log_bytes, batching, timeouts };
        group.bind(count, true).await;
        group
    }

    /// Makes all current connections between replicas stop carrying data, without closing them.
    pub(crate) fn stall_connections(&self) {
        self.proxies.iter().for_each(Proxy::stall);
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
            let slot = ReplicaSlot::default();
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
        config.set_snapshot_log_bytes(self.snapshot_log_bytes);
        config
    }

    pub(crate) async fn open(&self, at: usize) -> Replica<CommandRecorder> {
        let dialer =
            Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control };
        let machine = CommandRecorder::default();
        let opened = Replica::open(self.config(at), machine, dialer, Clock::start()).await;
        let replica = opened.unwrap();
        *self.slots[at].lock().unwrap() = Some(replica.clone());
        replica
    }

    pub(crate) fn replica(&self, at: usize) -> Replica<CommandRecorder> {
        self.slots[at].lock().unwrap().clone().expect("open")
    }

    pub(crate) async fn stop(&self, at: usize) {
        let replica = self.slots[at].lock().unwrap().take();
        replica.expect("open").shutdown().await;
    }

    /// Removes the data folder of a stopped replica.
    pub(crate) fn wipe_disk(&self, at: usize) {
        std::fs::remove_dir_all(self.folders[at].path().join("data")).unwrap();
    }

    /// Makes each write of the metadata of a replica fail as on a full disk.
    pub(crate) fn fill_disk(&self, at: usize) {
        // The file exists while the replica replaces its metadata.
        while let Err(err) = std::os::unix::fs::symlink("/dev/full", self.temp_file(at)) {
            assert_eq!(err.kind(), std::io::ErrorKind::AlreadyExists);
        }
    }

    /// Ends the effect of [`Group::fill_disk`].
    pub(crate) fn free_disk(&self, at: usize) {
        std::fs::remove_file(self.temp_file(at)).unwrap();
    }

    /// The file through which a replica replaces its metadata.
    fn temp_file(&self, at: usize) -> PathBuf {
        self.folders[at].path().join("data").join("aside.tmp")
    }

    /// Waits until one of the open replicas leads, and returns its index.
    pub(crate) async fn wait_for_leader(&self) -> usize {
        let open: Vec<_> = (0..self.slots.len())
            .filter_map(|it| Some((it, self.slots[it].lock().unwrap().clone()?)))
            .collect();
        let lead = open.iter().map(|(at, replica)| {
            Box::pin(wait_for_status(*at, replica, |it| it.leading_term.is_some()))
        });
        with_timeout(select(lead.collect())).await
    }

    /// Waits until a committed membership has all open replicas as voters, and returns the index of the leader.
    pub(crate) async fn wait_for_all_voters(&self) -> usize {
        let at = self.wait_for_leader().await;
        let leader = self.replica(at);
        let open = self.slots.iter().filter_map(|it| it.lock().unwrap().clone());
        let ids: Vec<_> = open.map(|it| it.id()).collect();
        let all = |_: &ReplicaStatus| ids.iter().all(|it| leader.is_voter(*it));
        with_timeout(wait_for_status(at, &leader, all)).await
    }

    /// Waits until a replica has applied at least `commands` commands.
    pub(crate) async fn wait_for_applied(&self, at: usize, commands: usize) {
        let replica = self.replica(at);
        let mut status = replica.subscribe();
        let has = |_: &ReplicaStatus| replica.with(|it| it.0.len()) >= commands;
        with_timeout(status.wait_for(has)).await.unwrap();
    }
}

async fn serve(mut listener: Listener, slot: ReplicaSlot) {
    while let Some(incoming) = listener.accept().await {
        let replica = slot.lock().unwrap().clone();
        if let Some(replica) = replica {
            replica.handle_stream(incoming.stream);
        }
    }
}

pub(crate) async fn wait_for_status<F>(
    at: usize,
    replica: &Replica<CommandRecorder>,
    until: F,
) -> usize
where
    F: Fn(&ReplicaStatus) -> bool,
{
    replica.subscribe().wait_for(until).await.unwrap();
    at
}

/// Returns the output of the first future that completes.
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

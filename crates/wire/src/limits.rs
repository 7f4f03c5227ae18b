//! Limits on what other processes make a listener hold.

use {
    derive_more::Debug,
    intake::{ConnectionId, Connections, Displaced, Phase, SharedUploads, Uploads},
    model::Time,
    opentelemetry::{KeyValue, metrics::Counter},
    parking_lot::Mutex,
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// The minimum interval between two warnings about too many connections.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// The default of [`ListenerLimits::connections`].
const DEFAULT_CONNECTIONS: usize = 1_024;

/// The default memory for incomplete messages, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// Limits on what other processes make a listener hold.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    /// The maximum number of concurrent connections. Beyond it, one without a stream gives way to a new one.
    pub connections: usize,
    /// The memory that messages take while they are received.
    #[debug(skip)]
    pub memory: SharedUploads,
}

impl Default for ListenerLimits {
    fn default() -> ListenerLimits {
        let memory = Uploads::shared(DEFAULT_MEMORY_BYTES);
        ListenerLimits { connections: DEFAULT_CONNECTIONS, memory }
    }
}

/// The memory that the incomplete messages of a stream take. It is returned on drop.
pub(crate) struct FrameMemory {
    memory: SharedUploads,
    held: usize,
}

impl FrameMemory {
    pub(crate) fn new(memory: SharedUploads) -> FrameMemory {
        FrameMemory { memory, held: 0 }
    }

    /// Counts `bytes` in place of what was held before. Returns whether there is memory for them.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.held);
        let is_granted = added == 0 || self.memory.lock().extend(self.held, added);
        self.held += if is_granted { added } else { 0 };
        is_granted
    }

    pub(crate) fn shrink(&mut self, bytes: usize) {
        if bytes < self.held {
            self.memory.lock().release(self.held - bytes);
            self.held = bytes;
        }
    }
}

impl Drop for FrameMemory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// The open connections of a listener.
pub(crate) struct ConnectionTable {
    connections: Mutex<Connections<Arc<Notify>>>,
    limit: usize,
    started: Instant,
    next_warning: Mutex<Option<Instant>>,
    closed: OnceLock<Counter<u64>>,
}

impl ConnectionTable {
    pub(crate) fn new(limit: usize) -> Arc<ConnectionTable> {
        // Streams of other processes may last for as long as the processes.
        let connections = Mutex::new(Connections::without_retirement(limit));
        Arc::new(ConnectionTable {
            connections,
            limit,
            started: Instant::now(),
            next_warning: Mutex::default(),
            closed: OnceLock::new(),
        })
    }

    /// Adds a connection. Returns `None` if it must be closed, because all others have streams.
    pub(crate) fn open(self: &Arc<ConnectionTable>) -> Option<ConnectionGuard> {
        let evicted = Arc::new(Notify::new());
        let opened = self.connections.lock().open(self.now(), evicted.clone());
        let Some(opened) = opened else {
            self.record_closed("refused");
            return None;
        };
        if let Some(Displaced::Evicted(other) | Displaced::Retired(other)) = opened.displaced {
            self.record_closed("evicted");
            other.notify_one();
        }
        let (table, streams) = (self.clone(), Mutex::new(0));
        Some(ConnectionGuard(Arc::new(GuardState { table, id: opened.id, evicted, streams })))
    }

    /// Records that a connection was closed because there are too many.
    fn record_closed(&self, reason: &'static str) {
        let build = || telemetry::meter("wire").u64_counter("wire_closed_connections").build();
        self.closed.get_or_init(build).add(1, &[KeyValue::new("reason", reason)]);
        let now = Instant::now();
        let mut next_warning = self.next_warning.lock();
        if next_warning.is_none_or(|it| now >= it) {
            *next_warning = Some(now + WARNING_INTERVAL);
            let limit = self.limit;
            tracing::warn!(event = "connections-full", reason, limit, "wire: too many connections");
        }
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }
}

/// An open connection, which is counted until all clones are dropped.
#[derive(Clone)]
pub(crate) struct ConnectionGuard(Arc<GuardState>);

struct GuardState {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
    evicted: Arc<Notify>,
    streams: Mutex<usize>,
}

impl ConnectionGuard {
    /// Waits until the connection has to give way to another one.
    pub(crate) async fn evicted(&self) {
        self.0.evicted.notified().await;
    }

    /// Counts a stream as open until all clones of the guard are dropped.
    pub(crate) fn stream(&self) -> StreamGuard {
        self.0.change_streams(|it| it + 1);
        StreamGuard(Arc::new(OpenStream(self.clone())))
    }
}

impl GuardState {
    fn change_streams<F>(&self, change: F)
    where
        F: FnOnce(usize) -> usize,
    {
        let mut streams = self.streams.lock();
        *streams = change(*streams);
        let phase = if *streams > 0 { Phase::Busy } else { Phase::Idle };
        self.table.connections.lock().enter(self.table.now(), self.id, phase);
    }
}

impl Drop for GuardState {
    fn drop(&mut self) {
        self.table.connections.lock().close(self.id);
    }
}

/// An open stream.
#[derive(Clone)]
pub(crate) struct StreamGuard(#[expect(dead_code, reason = "held until dropped")] Arc<OpenStream>);

struct OpenStream(ConnectionGuard);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.0.change_streams(|it| it - 1);
    }
}

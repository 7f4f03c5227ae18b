//! The open connections of a listener.

use {
    crate::{
        payload::{HeldMemory, UploadMemory},
        throttle::LogThrottle,
    },
    derive_more::Debug,
    intake::{ConnectionId, Connections, Displaced, Phase},
    model::Time,
    opentelemetry::{KeyValue, metrics::Counter},
    parking_lot::Mutex,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::Notify,
        time::Instant,
    },
};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener whose connections buffer about `receive_bytes` that were received and not read.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(addr: SocketAddr, receive_bytes: usize) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Connections inherit the size, which must be set before the window is announced.
    socket.set_recv_buffer_size(u32::try_from(receive_bytes).unwrap_or(u32::MAX))?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// How a connection is told that it has to give way.
#[derive(Default)]
struct ConnectionHandle {
    evicted: Notify,
    is_retired: AtomicBool,
}

/// The open connections of a listener. If there are too many, one that makes no progress gives way to a new one.
#[derive(Debug)]
pub struct ConnectionSlots {
    name: &'static str,
    #[debug(skip)]
    connections: Mutex<Connections<Arc<ConnectionHandle>>>,
    /// The memory to which each connection is charged, with the number of bytes.
    charge: Option<(Arc<UploadMemory>, usize)>,
    started: Instant,
    throttle: LogThrottle,
    #[debug(skip)]
    closed: OnceLock<Counter<u64>>,
}

impl ConnectionSlots {
    /// Returns slots for `limit` connections. `name` stands for the listener in logs and metrics.
    pub fn new(name: &'static str, limit: usize) -> Arc<ConnectionSlots> {
        ConnectionSlots::build(name, limit, None)
    }

    /// Like [`ConnectionSlots::new`], with connections that leave less of `memory` for bodies, each by `bytes`.
    pub fn charged(
        name: &'static str,
        limit: usize,
        memory: &Arc<UploadMemory>,
        bytes: usize,
    ) -> Arc<ConnectionSlots> {
        ConnectionSlots::build(name, limit, Some((memory.clone(), bytes)))
    }

    fn build(
        name: &'static str,
        limit: usize,
        charge: Option<(Arc<UploadMemory>, usize)>,
    ) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            name,
            charge,
            connections: Mutex::new(Connections::new(limit)),
            started: Instant::now(),
            throttle: LogThrottle::default(),
            closed: OnceLock::new(),
        })
    }

    /// Opens a connection. Returns `None` if it must be closed, because all others are in use.
    pub fn open(self: &Arc<ConnectionSlots>) -> Option<ConnectionSlot> {
        let handle = Arc::new(ConnectionHandle::default());
        let opened = self.connections.lock().open(self.now(), handle.clone());
        let Some(opened) = opened else {
            self.record_closed("refused");
            return None;
        };
        match opened.displaced {
            None => {}
            Some(Displaced::Evicted(other)) => {
                self.record_closed("evicted");
                other.evicted.notify_one();
            }
            Some(Displaced::Retired(other)) => {
                self.record_closed("retired");
                other.is_retired.store(true, Ordering::Relaxed);
            }
        }
        Some(ConnectionSlot(Arc::new(SlotState {
            slots: self.clone(),
            id: opened.id,
            handle,
            requests: Mutex::default(),
            _memory: self.charge.as_ref().map(|(memory, bytes)| memory.charge(*bytes)),
        })))
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Records that a connection was closed because there are too many.
    fn record_closed(&self, reason: &'static str) {
        let build = || telemetry::meter("edge").u64_counter("edge_closed_connections").build();
        let labels = [KeyValue::new("listener", self.name), KeyValue::new("reason", reason)];
        self.closed.get_or_init(build).add(1, &labels);
        if let Some(count) = self.throttle.admit() {
            tracing::warn!(
                event = "connections-full",
                listener = self.name,
                reason,
                count,
                "edge: too many connections; closing those that make no progress"
            );
        }
    }
}

/// An open connection, which is counted until all clones are dropped.
#[derive(Clone, Debug)]
pub struct ConnectionSlot(Arc<SlotState>);

#[derive(Debug)]
struct SlotState {
    #[debug(skip)]
    slots: Arc<ConnectionSlots>,
    id: ConnectionId,
    #[debug(skip)]
    handle: Arc<ConnectionHandle>,
    requests: Mutex<RequestCounts>,
    _memory: Option<HeldMemory>,
}

/// The requests in progress on a connection.
#[derive(Clone, Copy, Default, Debug)]
struct RequestCounts {
    receiving: usize,
    busy: usize,
    /// Whether the client takes nothing of what was sent to it.
    is_stalled: bool,
}

impl ConnectionSlot {
    /// Waits until the connection has to give way to another one.
    pub async fn evicted(&self) {
        self.0.handle.evicted.notified().await;
    }

    /// Returns whether the connection has to be closed after the response to its request.
    pub fn is_retired(&self) -> bool {
        self.0.handle.is_retired.load(Ordering::Relaxed)
    }

    /// Records whether the client takes what is sent to it.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        self.0.change(|it| it.is_stalled = is_stalled);
    }

    /// Returns a request that is being received on this connection.
    pub fn request(&self) -> RequestSlot {
        self.0.change(|it| it.receiving += 1);
        RequestSlot(Arc::new(RequestState { slot: self.clone(), received: AtomicBool::new(false) }))
    }
}

impl SlotState {
    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut RequestCounts),
    {
        let mut requests = self.requests.lock();
        change(&mut requests);
        let phase = match *requests {
            RequestCounts { is_stalled: true, .. } => Phase::Stalled,
            RequestCounts { busy: 1.., .. } => Phase::Busy,
            RequestCounts { receiving: 1.., .. } => Phase::Receiving,
            RequestCounts { .. } => Phase::Idle,
        };
        self.slots.connections.lock().enter(self.slots.now(), self.id, phase);
    }
}

impl Drop for SlotState {
    fn drop(&mut self) {
        self.slots.connections.lock().close(self.id);
    }
}

/// A request in progress, until all clones are dropped.
#[derive(Clone, Debug)]
pub struct RequestSlot(Arc<RequestState>);

#[derive(Debug)]
struct RequestState {
    slot: ConnectionSlot,
    received: AtomicBool,
}

impl RequestSlot {
    /// Records that the request was received completely. From now on its connection gives way to no other.
    pub fn received(&self) {
        if !self.0.received.swap(true, Ordering::Relaxed) {
            self.0.slot.0.change(|it| {
                it.receiving -= 1;
                it.busy += 1;
            });
        }
    }
}

impl Drop for RequestState {
    fn drop(&mut self) {
        let received = *self.received.get_mut();
        self.slot.0.change(|it| match received {
            true => it.busy -= 1,
            false => it.receiving -= 1,
        });
    }
}

//! Serves clients over HTTP/1.1 and closes their connections gracefully.

use {
    crate::{
        call,
        rejection::Rejection,
        shared::{Shared, ShutdownPhase},
    },
    edge::{Body, ClientSocket, ConnectionSlot, RequestSlot, listen},
    eyre::{Result, WrapErr},
    http::{HeaderValue, Request, Response, Version, header},
    http_body_util::BodyExt,
    hyper::{
        body::{Body as _, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    parking_lot::Mutex,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// The idle timeout of a connection while there is no configuration, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// How much longer than the configured idle timeout a connection is kept open, in milliseconds. A
/// request sent just before the timeout may still be in transit.
const IDLE_MARGIN_MS: u64 = 1_000;

/// The minimum size of the buffer for a request head, in bytes. The HTTP library requires at least
/// this much.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Additional buffer space for the request line and for bytes read past the head, in bytes.
const EXTRA_BUFFER_BYTES: usize = 4 << 10;

/// How long a connection that is accepted during a shutdown may take to send its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// How long sockets are polled once more before they are closed, so that bytes that have arrived
/// meanwhile are read.
const LAST_READ_DELAY: Duration = Duration::from_millis(10);

/// How long an answer may take to be written after the end of the grace period.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// The delay before accepting again after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds an address and serves clients until the process ends.
pub(crate) async fn bind(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<(SocketAddr, JoinHandle<()>)> {
    let listener = listen(addr, shared.settings.intake.receive_bytes);
    let listener = listener.wrap_err_with(|| format!("gateway: failed to bind {addr}"))?;
    let addr = listener.local_addr().wrap_err("gateway: failed to read the bound address")?;
    Ok((addr, tokio::spawn(accept(shared, listener))))
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut phase = shared.shutdown_phase.subscribe();
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => spawn_connection(&shared, accepted).await,
            () = reached(&mut phase, ShutdownPhase::Unbound) => break,
        }
    }
    // Connections in the backlog are reset when the listener is closed.
    while let Ok(accepted) = timeout(LAST_READ_DELAY, listener.accept()).await {
        spawn_connection(&shared, accepted).await;
    }
}

/// Waits until a shutdown has reached a phase.
async fn reached(phase: &mut watch::Receiver<ShutdownPhase>, wanted: ShutdownPhase) {
    // The sender lives as long as any connection.
    let _ = phase.wait_for(|it| *it >= wanted).await;
}

async fn spawn_connection(shared: &Arc<Shared>, accepted: io::Result<(TcpStream, SocketAddr)>) {
    let (socket, client) = match accepted {
        Ok(it) => it,
        Err(err) => {
            tracing::warn!(
                event = "accept-failed",
                %err,
                "gateway: failed to accept a connection"
            );
            sleep(ACCEPT_RETRY_DELAY).await;
            return;
        }
    };
    let Some(slot) = shared.connection_slots.open() else { return };
    let connection = Arc::new(ClientConnection::new(shared.clone(), slot.clone()));
    tokio::spawn(async move {
        tokio::select! {
            served = serve(connection, socket) => {
                if let Err(err) = served {
                    tracing::debug!("gateway: connection from {client} ended: {err}");
                }
            }
            () = slot.evicted() => {}
        }
    });
}

/// An open client connection, which is counted until dropped.
struct ClientConnection {
    shared: Arc<Shared>,
    slot: ConnectionSlot,
    state: Mutex<ConnectionState>,
}

#[derive(Default)]
struct ConnectionState {
    /// Whether a request was received.
    used: bool,
    /// Whether the last request was of HTTP/1.0, so that the end of a response without a length is
    /// the end of the connection.
    ends_with_connection: bool,
    /// The request in progress, if it has an id.
    request: Option<HeaderValue>,
}

impl ClientConnection {
    fn new(shared: Arc<Shared>, slot: ConnectionSlot) -> ClientConnection {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        ClientConnection { shared, slot, state: Mutex::default() }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in progress, until its response was handed to the connection.
struct RequestGuard {
    connection: Arc<ClientConnection>,
    _slot: RequestSlot,
}

impl RequestGuard {
    /// Starts a request, whose handler is told by its extensions to record when it was received.
    fn new(connection: &Arc<ClientConnection>, request: &mut Request<Incoming>) -> RequestGuard {
        let slot = connection.slot.request();
        if request.body().is_end_stream() {
            slot.received();
        }
        request.extensions_mut().insert(slot.clone());
        let shared = &connection.shared;
        shared.busy_connections.fetch_add(1, Ordering::Relaxed);
        let id = request.headers().get(&shared.names.attempt_id).cloned();
        let ends_with_connection = request.version() == Version::HTTP_10;
        *connection.state.lock() =
            ConnectionState { used: true, ends_with_connection, request: id };
        RequestGuard { connection: connection.clone(), _slot: slot }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.shared.busy_connections.fetch_sub(1, Ordering::Relaxed);
        self.connection.state.lock().request = None;
    }
}

async fn serve(client: Arc<ClientConnection>, socket: TcpStream) -> hyper::Result<()> {
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: failed to set TCP_NODELAY for a client: {err}");
    }
    let shared = &client.shared;
    let intake = &shared.settings.intake;
    let first_request_by = Instant::now() + FIRST_REQUEST_TIMEOUT;
    let table = shared.table.load_full();
    let limits = table.as_ref().map(|it| it.config().limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |it| it.idle_ms) + IDLE_MARGIN_MS;
    let header_bytes = limits.map_or(MIN_BUFFER_BYTES, |it| it.header_bytes as usize);
    let service = service_fn(|request| {
        let client = client.clone();
        async move { Ok::<_, Infallible>(respond(&client, request).await) }
    });
    let socket = ClientSocket::new(socket, client.slot.clone(), intake.stall_ms);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES) + EXTRA_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let mut phase = shared.shutdown_phase.subscribe();
    let closing = async {
        reached(&mut phase, ShutdownPhase::Closing).await;
        sleep_until(first_request_by.max(Instant::now() + LAST_READ_DELAY)).await;
    };
    tokio::select! {
        biased;
        served = &mut connection => return end(&client, served, connection.into_parts().io),
        () = closing => {}
    }
    if !client.state.lock().used {
        return Ok(());
    }
    Pin::new(&mut connection).graceful_shutdown();
    let expired = async {
        reached(&mut phase, ShutdownPhase::Expired).await;
        sleep(LAST_WRITE_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        served = &mut connection => return end(&client, served, connection.into_parts().io),
        () = expired => {}
    }
    let request = client.state.lock().request.take();
    tracing::warn!(
        event = "cut-off",
        request = request.as_ref().and_then(|it| it.to_str().ok()),
        reason = "the grace period is over",
        "gateway: connection closed during a request"
    );
    reset(&client, &connection.into_parts().io);
    Ok(())
}

/// Ends a connection. If it failed, its last response may be incomplete.
fn end(
    client: &ClientConnection,
    served: hyper::Result<()>,
    io: TokioIo<ClientSocket>,
) -> hyper::Result<()> {
    if served.is_err() {
        reset(client, &io);
    }
    served
}

/// Lets the connection end with a reset if a normal end would make an incomplete response look
/// complete.
fn reset(client: &ClientConnection, io: &TokioIo<ClientSocket>) {
    if client.state.lock().ends_with_connection
        && let Err(err) = io.inner().get_ref().set_zero_linger()
    {
        tracing::debug!("gateway: failed to reset a connection: {err}");
    }
}

/// Serves a request. While the gateway shuts down, its response closes the connection.
async fn respond(client: &Arc<ClientConnection>, mut request: Request<Incoming>) -> Response<Body> {
    let shared = &client.shared;
    let guard = RequestGuard::new(client, &mut request);
    let mut phase = shared.shutdown_phase.subscribe();
    let mut response = tokio::select! {
        biased;
        response = call::serve(shared.clone(), request) => response,
        () = reached(&mut phase, ShutdownPhase::Expired) => expire(client),
    };
    if shared.shutdown_at().is_some() || client.slot.is_retired() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        let body = body.map_err(move |err| {
            let _ = &guard;
            err
        });
        body.boxed_unsync()
    })
}

/// Ends a request that the grace period did not suffice for. It may have run.
fn expire(client: &ClientConnection) -> Response<Body> {
    let request = client.state.lock().request.clone();
    let rejection = Rejection::DeadlineExceeded;
    tracing::info!(
        event = "ended",
        request = request.as_ref().and_then(|it| it.to_str().ok()),
        outcome = rejection.label(),
        reason = "the grace period is over",
        "gateway: request failed"
    );
    client.shared.metrics.record_request(rejection.label());
    rejection.response()
}

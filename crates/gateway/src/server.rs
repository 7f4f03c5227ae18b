//! Serves clients over HTTP/1.1 and closes their connections gracefully.

use {
    crate::{call, shared::Shared},
    eyre::{Result, WrapErr},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
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

/// The delay before accepting again after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds an address and serves clients until the process ends.
pub(crate) async fn bind(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(addr).await;
    let listener = listener.wrap_err_with(|| format!("gateway: failed to bind {addr}"))?;
    let addr = listener.local_addr().wrap_err("gateway: failed to read the bound address")?;
    Ok((addr, tokio::spawn(accept(shared, listener))))
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let (socket, client) = match listener.accept().await {
            Ok(it) => it,
            Err(err) => {
                tracing::warn!(
                    event = "accept-failed",
                    %err,
                    "gateway: failed to accept a connection"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if shared.connections.load(Ordering::Relaxed) >= shared.settings.connections {
            tracing::warn!(
                event = "connections-full",
                caller = %client,
                "gateway: connection limit reached"
            );
            continue;
        }
        let guard = ConnectionGuard::new(shared.clone());
        tokio::spawn(async move {
            if let Err(err) = serve(&guard.0, socket).await {
                tracing::debug!("gateway: connection from {client} ended: {err}");
            }
        });
    }
}

/// Counts an open client connection until dropped.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    fn new(shared: Arc<Shared>) -> ConnectionGuard {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(shared: &Arc<Shared>, socket: TcpStream) -> hyper::Result<()> {
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: failed to set TCP_NODELAY for a client: {err}");
    }
    let table = shared.table.load_full();
    let limits = table.as_ref().map(|it| it.config().limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |it| it.idle_ms) + IDLE_MARGIN_MS;
    let header_bytes = limits.map_or(MIN_BUFFER_BYTES, |it| it.header_bytes as usize);
    let stopping = shared.shutdown_at().is_some();
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(call::serve(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES) + EXTRA_BUFFER_BYTES)
        .keep_alive(!stopping)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        () = shared.shutdown.notified(), if !stopping => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

//! Serving callers over HTTP/1.1, and ending without cutting a request off.

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

/// How long a connection may stay idle before there is a configuration that says so, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// How much longer than they are told connections are kept, in milliseconds: a request that was sent at the last
/// moment is still under way then.
const IDLE_SLACK_MS: u64 = 1_000;

/// The least size of the buffer for the head of a request, in bytes: the library takes no smaller one.
const LEAST_BUFFER: usize = 16 << 10;

/// The room for the request line and for what is read behind the head, in bytes.
const EXTRA_BUFFER: usize = 4 << 10;

/// How long accepting rests after an error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Binds an address and serves callers until the process ends.
pub(crate) async fn bind(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(addr).await;
    let listener = listener.wrap_err_with(|| format!("gateway: bind {addr}"))?;
    let addr = listener.local_addr().wrap_err("gateway: read the bound address")?;
    Ok((addr, tokio::spawn(accept(shared, listener))))
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let (socket, caller) = match listener.accept().await {
            Ok(it) => it,
            Err(err) => {
                tracing::warn!(event = "accept-failed", %err, "gateway: cannot accept");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if shared.connections.load(Ordering::Relaxed) >= shared.settings.connections {
            tracing::warn!(event = "connections-full", %caller, "gateway: too many connections");
            continue;
        }
        let held = Held::new(shared.clone());
        tokio::spawn(async move {
            if let Err(err) = serve(&held.0, socket).await {
                tracing::debug!("gateway: connection of {caller} ended: {err}");
            }
        });
    }
}

/// A caller's connection that counts.
struct Held(Arc<Shared>);

impl Held {
    fn new(shared: Arc<Shared>) -> Held {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Held(shared)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(shared: &Arc<Shared>, socket: TcpStream) -> hyper::Result<()> {
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: nodelay towards a caller: {err}");
    }
    let table = shared.table.load_full();
    let limits = table.as_ref().map(|it| it.config().limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |it| it.idle_ms) + IDLE_SLACK_MS;
    let header_bytes = limits.map_or(LEAST_BUFFER, |it| it.header_bytes as usize);
    let stopping = shared.stopped_at().is_some();
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(call::serve(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_bytes.max(LEAST_BUFFER) + EXTRA_BUFFER)
        .keep_alive(!stopping)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        () = shared.stop.notified(), if !stopping => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

//! Serves HTTP with limits, and shuts down without interrupting requests.

use {
    crate::{
        body::Body,
        error::{HttpError, HttpStep},
        tls::ServerTls,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{
            conn::auto::Builder,
            graceful::{GracefulShutdown, Watcher},
        },
        service::TowerToHyperService,
    },
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::{Notify, OwnedSemaphorePermit, Semaphore},
        task::JoinHandle,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tower::Service,
};

/// Limits on connections and on the headers of requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// The maximum number of concurrent connections.
    pub connections: usize,
    /// The maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// The time limit for the TLS handshake, and for receiving the headers of a request, in
    /// milliseconds.
    pub header_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { connections: 16_384, header_bytes: 32 << 10, header_ms: 10_000 }
    }
}

/// The delay before connections are accepted again after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a server that shuts down still reads from its listener and its connections.
const LAST_READ_DELAY: Duration = Duration::from_millis(20);

/// A running HTTP server.
pub struct Server {
    addr: SocketAddr,
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves `service` on every connection, over HTTP/1.1 or HTTP/2.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind<S, F>(
        addr: SocketAddr,
        limits: ServerLimits,
        service: S,
    ) -> Result<Server, HttpError>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future = F>
            + Clone
            + Send
            + Sync
            + 'static,
        F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
    {
        Server::bind_with_tls(addr, limits, None, service).await
    }

    /// Like [`Server::bind`], but over TLS if `tls` is given.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind_with_tls<S, F>(
        addr: SocketAddr,
        limits: ServerLimits,
        tls: Option<ServerTls>,
        service: S,
    ) -> Result<Server, HttpError>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future = F>
            + Clone
            + Send
            + Sync
            + 'static,
        F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
    {
        let listener =
            TcpListener::bind(addr).await.map_err(|it| HttpError::new(HttpStep::Bind, addr, it))?;
        let addr = listener.local_addr().map_err(|it| HttpError::new(HttpStep::Bind, addr, it))?;
        let stop = Arc::new(Notify::new());
        let task = tokio::spawn(accept_connections(listener, limits, tls, service, stop.clone()));
        Ok(Server { addr, stop, task })
    }

    /// Returns the address that the server is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, and returns when all requests in progress have been answered
    /// completely.
    pub async fn shutdown(self) {
        self.stop.notify_one();
        let _ = self.task.await;
    }
}

async fn accept_connections<S, F>(
    listener: TcpListener,
    limits: ServerLimits,
    tls: Option<ServerTls>,
    service: S,
    stop: Arc<Notify>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future = F>
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let spawn = |accepted: Option<(TcpStream, OwnedSemaphorePermit)>| {
        let Some((socket, permit)) = accepted else { return };
        let (service, watcher) = (service.clone(), graceful.watcher());
        let tls = tls.clone();
        tokio::spawn(async move {
            match tls {
                None => serve(socket, limits, service, watcher).await,
                Some(tls) => serve_tls(socket, limits, tls, service, watcher).await,
            }
            drop(permit);
        });
    };
    loop {
        tokio::select! {
            accepted = accept(&listener, &permits) => spawn(accepted),
            () = stop.notified() => break,
        }
    }
    // What has arrived by now would be reset with the listener and with idle connections.
    let deadline = Instant::now() + LAST_READ_DELAY;
    while let Ok(accepted) = timeout_at(deadline, accept(&listener, &permits)).await {
        spawn(accepted);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts the next connection as soon as the limit on connections admits one. Returns `None` on
/// error.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, _)) => {
            let _ = socket.set_nodelay(true);
            Some((socket, permit))
        }
        Err(err) => {
            tracing::warn!("edge: failed to accept a connection: {err}");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_tls<S, F>(
    socket: TcpStream,
    limits: ServerLimits,
    tls: ServerTls,
    service: S,
    watcher: Watcher,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future = F>
        + Clone
        + Send
        + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    let limit = Duration::from_millis(limits.header_ms);
    match timeout(limit, tls.acceptor().accept(socket)).await {
        Ok(Ok(stream)) => serve(stream, limits, service, watcher).await,
        Ok(Err(err)) => tracing::debug!("edge: TLS handshake failed: {err}"),
        Err(_) => tracing::debug!("edge: TLS handshake timed out"),
    }
}

async fn serve<T, S, F>(io: T, limits: ServerLimits, service: S, watcher: Watcher)
where
    T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future = F>
        + Clone
        + Send
        + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_ms))
        .max_buf_size(limits.header_bytes.max(8 << 10));
    builder.http2().timer(TokioTimer::new()).max_header_list_size(limits.header_bytes as u32);
    let conn =
        builder.serve_connection(TokioIo::new(io), TowerToHyperService::new(service)).into_owned();
    if let Err(err) = watcher.watch(conn).await {
        tracing::debug!("edge: connection failed: {err}");
    }
}

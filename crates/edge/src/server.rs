//! Serving HTTP with limits, and ending without cutting a request off.

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
        time::{sleep, timeout},
    },
    tower::Service,
};

/// Limits on what a connection may cost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of headers a request.
    pub header_bytes: usize,
    /// Milliseconds that a TLS handshake, and then the headers of a request, may take.
    pub header_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { connections: 16_384, header_bytes: 32 << 10, header_ms: 10_000 }
    }
}

/// How long accepting rests after an error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A running HTTP server.
pub struct Server {
    addr: SocketAddr,
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves `service` on every connection, HTTP/1.1 and HTTP/2 alike.
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

    /// As [`Server::bind`], over TLS if `tls` is given.
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
        let task = tokio::spawn(accept_all(listener, limits, tls, service, stop.clone()));
        Ok(Server { addr, stop, task })
    }

    /// The address that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts nothing new and returns when every request in progress has its whole answer.
    pub async fn shutdown(self) {
        self.stop.notify_one();
        let _ = self.task.await;
    }
}

async fn accept_all<S, F>(
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
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            () = stop.notified() => break,
        };
        let Some((socket, slot)) = accepted else { continue };
        let (service, watcher) = (service.clone(), graceful.watcher());
        let tls = tls.clone();
        tokio::spawn(async move {
            match tls {
                None => serve(socket, limits, service, watcher).await,
                Some(tls) => serve_tls(socket, limits, tls, service, watcher).await,
            }
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Takes the next connection once there is a slot for it.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, _)) => {
            let _ = socket.set_nodelay(true);
            Some((socket, slot))
        }
        Err(err) => {
            tracing::warn!("edge: accepting: {err}");
            sleep(ACCEPT_PAUSE).await;
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
        Ok(Err(err)) => tracing::debug!("edge: TLS handshake: {err}"),
        Err(_) => tracing::debug!("edge: TLS handshake took too long"),
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
        tracing::debug!("edge: connection ended: {err}");
    }
}

//! Serves HTTP with limits, and shuts down without interrupting requests.

use {
    crate::{
        body::Body,
        error::{HttpError, HttpStep},
        slots::{ConnectionSlot, ConnectionSlots, listen},
        socket::ClientSocket,
        tls::ServerTls,
    },
    http::{HeaderValue, Request, Response, header},
    http_body_util::BodyExt,
    hyper::{
        body::{Body as _, Incoming},
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{
            conn::auto::Builder,
            graceful::{GracefulShutdown, Watcher},
        },
    },
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tower::Service,
};

/// Limits on connections and on the headers of requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// What the listener is called in logs and metrics.
    pub name: &'static str,
    /// The maximum number of concurrent connections. Beyond it, one that makes no progress gives way
    /// to a new one.
    pub connections: usize,
    /// The maximum number of concurrent requests on a connection with HTTP/2.
    pub streams: u32,
    /// The buffer for bytes of a connection that were received and not read, in bytes.
    pub receive_bytes: usize,
    /// How long a client may take nothing of a response, in milliseconds.
    pub stall_ms: u64,
    /// The maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// The time limit for the TLS handshake, for the first request of a connection to begin, and for
    /// receiving the headers of a request, in milliseconds.
    pub header_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            name: "server",
            connections: 16_384,
            streams: 200,
            receive_bytes: 32 << 10,
            stall_ms: 30_000,
            header_bytes: 32 << 10,
            header_ms: 10_000,
        }
    }
}

impl ServerLimits {
    /// Returns the limits of a listener for operators, readiness or metrics.
    pub fn operators(connections: usize, receive_bytes: usize, stall_ms: u64) -> ServerLimits {
        ServerLimits {
            name: "operators",
            connections,
            streams: 16,
            receive_bytes,
            stall_ms,
            ..ServerLimits::default()
        }
    }
}

/// The flow-control window of a stream and of a connection with HTTP/2, in bytes.
const WINDOW_BYTES: u32 = 64 << 10;

/// How much of a response is buffered for a stream with HTTP/2, in bytes.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// The interval of the pings by which a connection with HTTP/2 shows that its client is there.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// How long a client may take to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

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
        let listener = listen(addr, limits.receive_bytes);
        let listener = listener.map_err(|it| HttpError::new(HttpStep::Bind, addr, it))?;
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
    let slots = ConnectionSlots::new(limits.name, limits.connections);
    let spawn = |accepted: Option<TcpStream>| {
        let Some((socket, slot)) = accepted.zip(slots.open()) else { return };
        let (service, watcher) = (service.clone(), graceful.watcher());
        let (tls, evicted) = (tls.clone(), slot.clone());
        tokio::spawn(async move {
            let served = async {
                match tls {
                    None => {
                        let socket = ClientSocket::new(socket, slot.clone(), limits.stall_ms);
                        serve(socket, limits, slot, service, watcher).await;
                    }
                    Some(tls) => serve_tls(socket, limits, tls, slot, service, watcher).await,
                }
            };
            tokio::select! {
                () = served => {}
                () = evicted.evicted() => {}
            }
        });
    };
    loop {
        tokio::select! {
            accepted = accept(&listener) => spawn(accepted),
            () = stop.notified() => break,
        }
    }
    // What has arrived by now would be reset with the listener and with idle connections.
    let deadline = Instant::now() + LAST_READ_DELAY;
    while let Ok(accepted) = timeout_at(deadline, accept(&listener)).await {
        spawn(accepted);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts the next connection. Returns `None` on error.
async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((socket, _)) => {
            let _ = socket.set_nodelay(true);
            Some(socket)
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
    slot: ConnectionSlot,
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
    let socket = ClientSocket::new(socket, slot.clone(), limits.stall_ms);
    match timeout(limit, tls.acceptor().accept(socket)).await {
        Ok(Ok(stream)) => serve(stream, limits, slot, service, watcher).await,
        Ok(Err(err)) => tracing::debug!("edge: TLS handshake failed: {err}"),
        Err(_) => tracing::debug!("edge: TLS handshake timed out"),
    }
}

async fn serve<T, S, F>(
    io: T,
    limits: ServerLimits,
    slot: ConnectionSlot,
    service: S,
    watcher: Watcher,
) where
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
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .max_concurrent_streams(limits.streams)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let first_request = Arc::new(Notify::new());
    let service = service_fn({
        let first_request = first_request.clone();
        move |mut request: Request<Incoming>| {
            first_request.notify_one();
            let request_slot = slot.request();
            if request.body().is_end_stream() {
                request_slot.received();
            }
            request.extensions_mut().insert(request_slot.clone());
            let response = service.clone().call(request);
            let slot = slot.clone();
            async move {
                let mut response = response.await?;
                if slot.is_retired() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                // The connection is in use until it has taken the response.
                let hold = move |err| {
                    let _ = &request_slot;
                    err
                };
                Ok::<_, Infallible>(response.map(|it| it.map_err(hold).boxed_unsync()))
            }
        }
    });
    let conn = builder.serve_connection(TokioIo::new(io), service).into_owned();
    let mut conn = std::pin::pin!(watcher.watch(conn));
    let begun = timeout(Duration::from_millis(limits.header_ms), first_request.notified());
    let served = tokio::select! {
        biased;
        served = &mut conn => served,
        begun = begun => match begun {
            Ok(()) => conn.await,
            Err(_) => return tracing::debug!("edge: no request on a connection in time"),
        },
    };
    if let Err(err) = served {
        tracing::debug!("edge: connection failed: {err}");
    }
}

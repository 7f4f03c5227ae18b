//! Serving HTTP with limits, and ending without cutting a request off.

use {
    crate::{
        body::Body,
        error::{HttpError, HttpStep},
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
        net::{TcpListener, TcpStream},
        sync::{Notify, Semaphore},
        task::JoinHandle,
        time::sleep,
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
    /// Milliseconds that the headers of a request may take.
    pub header_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { connections: 16_384, header_bytes: 32 << 10, header_ms: 10_000 }
    }
}

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
        let listener =
            TcpListener::bind(addr).await.map_err(|it| HttpError::new(HttpStep::Bind, addr, it))?;
        let addr = listener.local_addr().map_err(|it| HttpError::new(HttpStep::Bind, addr, it))?;
        let stop = Arc::new(Notify::new());
        let task = tokio::spawn(accept_all(listener, limits, service, stop.clone()));
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
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        let Ok((socket, _)) = accepted else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (service, watcher) = (service.clone(), graceful.watcher());
        tokio::spawn(async move {
            serve(socket, limits, service, watcher).await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve<S, F>(socket: TcpStream, limits: ServerLimits, service: S, watcher: Watcher)
where
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
    let conn = builder
        .serve_connection(TokioIo::new(socket), TowerToHyperService::new(service))
        .into_owned();
    if let Err(err) = watcher.watch(conn).await {
        tracing::debug!("edge: connection ended: {err}");
    }
}

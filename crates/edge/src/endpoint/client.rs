//! The connection pool of one endpoint.

use {
    crate::endpoint::{
        connection::EndpointConnection,
        error::{ExchangeError, ExchangeErrorKind},
        request::{EndpointLimits, EndpointRequest},
        stream::EndpointStream,
    },
    derive_more::Debug,
    model::{AttemptNo, RequestId, ServiceKind},
    parking_lot::Mutex,
    std::{error::Error as StdError, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Sends requests to one endpoint over a pool of connections. Copies share the pool.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    peer: SocketAddr,
    kind: ServiceKind,
    limits: EndpointLimits,
    #[debug(skip)]
    pool: Mutex<Pool>,
}

struct Pool {
    idle: Vec<EndpointConnection>,
    /// Connections opened at or before this instant are not reused.
    retired_until: Option<Instant>,
}

impl EndpointClient {
    /// Returns a client without opening a connection.
    pub fn new(peer: SocketAddr, kind: ServiceKind, limits: EndpointLimits) -> EndpointClient {
        let pool = Mutex::new(Pool { idle: Vec::new(), retired_until: None });
        EndpointClient { inner: Arc::new(Inner { peer, kind, limits, pool }) }
    }

    /// Returns the address of the endpoint.
    pub fn peer(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Starts an attempt. Nothing is sent until [`EndpointStream::next`] is first awaited.
    pub fn send(&self, request: EndpointRequest) -> EndpointStream {
        EndpointStream::new(self.clone(), request)
    }

    /// Cancels an attempt over a connection other than its own, and returns the status of the
    /// response.
    ///
    /// # Errors
    ///
    /// The endpoint is unreachable or does not respond in time.
    pub async fn cancel(
        &self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, Box<dyn StdError + Send + Sync>> {
        let connection = self.acquire(false).await.map_err(|it| it.source)?;
        let reused = connection.reused;
        match self.send_cancellation(connection, request, attempt).await {
            Err(_) if reused => self.probe(request, attempt).await.map_err(|it| it.source),
            result => result.map_err(|it| it.source),
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.inner.pool.lock().idle.len()
    }

    pub(crate) fn kind(&self) -> ServiceKind {
        self.inner.kind
    }

    pub(crate) fn limits(&self) -> &EndpointLimits {
        &self.inner.limits
    }

    /// Returns an idle connection that the endpoint has not closed, or a new one. With `fresh`,
    /// always returns a new one.
    pub(crate) async fn acquire(&self, fresh: bool) -> Result<EndpointConnection, ExchangeError> {
        while let Some(mut connection) = self.pop_idle(fresh) {
            if connection.is_ready().await {
                connection.reused = true;
                return Ok(connection);
            }
        }
        EndpointConnection::open(self.inner.peer, self.inner.limits.connect_ms).await
    }

    /// Returns a connection to the pool, unless it is closed or retired or the pool is full.
    pub(crate) async fn release(&self, mut connection: EndpointConnection) {
        if !connection.is_ready().await {
            return;
        }
        connection.last_used = Instant::now();
        let mut pool = self.inner.pool.lock();
        let retired = pool.retired_until.is_some_and(|it| connection.opened_at <= it);
        if !retired && pool.idle.len() < self.inner.limits.max_idle {
            pool.idle.push(connection);
        }
    }

    /// Retires all connections that have been opened until now.
    pub(crate) fn retire_connections(&self) {
        let mut pool = self.inner.pool.lock();
        pool.retired_until = Some(Instant::now());
        pool.idle.clear();
    }

    /// Checks over a new connection whether the endpoint is alive, by cancelling the attempt.
    ///
    /// A plain service has no cancellation, so it is only checked whether it accepts the
    /// connection.
    pub(crate) async fn probe(
        &self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, ExchangeError> {
        let connection =
            EndpointConnection::open(self.inner.peer, self.inner.limits.connect_ms).await?;
        match self.inner.kind {
            ServiceKind::Model => self.send_cancellation(connection, request, attempt).await,
            ServiceKind::Plain => Ok(0),
        }
    }

    async fn send_cancellation(
        &self,
        mut connection: EndpointConnection,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, ExchangeError> {
        let deadline = Instant::now() + Duration::from_millis(self.inner.limits.cancel_ms);
        let cancellation = EndpointRequest::cancellation(self.inner.peer, request, attempt)?;
        let response = connection.send(cancellation, deadline).await?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        while connection.bytes(&mut body, deadline).await?.is_some() {}
        self.release(connection).await;
        Ok(status)
    }

    fn pop_idle(&self, fresh: bool) -> Option<EndpointConnection> {
        if fresh {
            return None;
        }
        let min_last_used =
            Instant::now().checked_sub(Duration::from_millis(self.inner.limits.idle_ms));
        let mut pool = self.inner.pool.lock();
        pool.idle.retain(|it| min_last_used.is_none_or(|oldest| it.last_used >= oldest));
        pool.idle.pop()
    }
}

impl ExchangeError {
    pub(crate) fn deadline() -> ExchangeError {
        ExchangeError::new(ExchangeErrorKind::Deadline, "deadline exceeded")
    }
}

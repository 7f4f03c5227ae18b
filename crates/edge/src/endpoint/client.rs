//! The connections to one endpoint.

use {
    crate::endpoint::{
        error::{LinkError, LinkErrorKind},
        link::Link,
        request::{EndpointLimits, EndpointRequest},
        stream::EndpointStream,
    },
    derive_more::Debug,
    model::{AttemptNo, RequestId, ServiceKind},
    parking_lot::Mutex,
    std::{error::Error as StdError, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A handle on the connections to one endpoint; copies share them.
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
    idle: Vec<Link>,
    /// Connections made before are not used again.
    suspect: Option<Instant>,
}

impl EndpointClient {
    /// Returns a client without connections.
    pub fn new(peer: SocketAddr, kind: ServiceKind, limits: EndpointLimits) -> EndpointClient {
        let pool = Mutex::new(Pool { idle: Vec::new(), suspect: None });
        EndpointClient { inner: Arc::new(Inner { peer, kind, limits, pool }) }
    }

    /// The endpoint's address.
    pub fn peer(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Begins an attempt; nothing is sent until the stream is first awaited.
    pub fn send(&self, request: EndpointRequest) -> EndpointStream {
        EndpointStream::new(self.clone(), request)
    }

    /// Cancels an attempt over another connection than its own, and returns the status that the endpoint gave.
    ///
    /// # Errors
    ///
    /// The endpoint cannot be reached or does not answer in time.
    pub async fn cancel(
        &self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, Box<dyn StdError + Send + Sync>> {
        let link = self.link(false).await.map_err(|it| it.source)?;
        let pooled = link.pooled;
        match self.ask(link, request, attempt).await {
            Err(_) if pooled => self.probe(request, attempt).await.map_err(|it| it.source),
            asked => asked.map_err(|it| it.source),
        }
    }

    /// How many connections are idle.
    pub fn idle_connections(&self) -> usize {
        self.inner.pool.lock().idle.len()
    }

    pub(crate) fn kind(&self) -> ServiceKind {
        self.inner.kind
    }

    pub(crate) fn limits(&self) -> &EndpointLimits {
        &self.inner.limits
    }

    /// Returns an idle connection that the other end has not closed, or a new one.
    pub(crate) async fn link(&self, fresh: bool) -> Result<Link, LinkError> {
        while let Some(mut link) = self.take(fresh) {
            if link.is_ready().await {
                link.pooled = true;
                return Ok(link);
            }
        }
        Link::open(self.inner.peer, self.inner.limits.connect_ms).await
    }

    /// Keeps a connection for the next exchange, unless it is suspected or there are enough.
    pub(crate) async fn give_back(&self, mut link: Link) {
        if !link.is_ready().await {
            return;
        }
        link.used = Instant::now();
        let mut pool = self.inner.pool.lock();
        let suspect = pool.suspect.is_some_and(|it| link.born <= it);
        if !suspect && pool.idle.len() < self.inner.limits.max_idle {
            pool.idle.push(link);
        }
    }

    /// Retires all connections that were made until now.
    pub(crate) fn suspect(&self) {
        let mut pool = self.inner.pool.lock();
        pool.suspect = Some(Instant::now());
        pool.idle.clear();
    }

    /// Asks over a new connection whether the endpoint is there, and cancels the attempt by the way.
    ///
    /// A plain service has no cancellation: that it takes a connection is all that can be asked of it.
    pub(crate) async fn probe(
        &self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, LinkError> {
        let link = Link::open(self.inner.peer, self.inner.limits.connect_ms).await?;
        match self.inner.kind {
            ServiceKind::Model => self.ask(link, request, attempt).await,
            ServiceKind::Plain => Ok(0),
        }
    }

    async fn ask(
        &self,
        mut link: Link,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<u16, LinkError> {
        let limit = Instant::now() + Duration::from_millis(self.inner.limits.cancel_ms);
        let asked = EndpointRequest::cancellation(self.inner.peer, request, attempt)?;
        let answer = link.send(asked, limit).await?;
        let status = answer.status().as_u16();
        let mut body = answer.into_body();
        while link.bytes(&mut body, limit).await?.is_some() {}
        self.give_back(link).await;
        Ok(status)
    }

    fn take(&self, fresh: bool) -> Option<Link> {
        if fresh {
            return None;
        }
        let oldest = Instant::now().checked_sub(Duration::from_millis(self.inner.limits.idle_ms));
        let mut pool = self.inner.pool.lock();
        pool.idle.retain(|it| oldest.is_none_or(|oldest| it.used >= oldest));
        pool.idle.pop()
    }
}

impl LinkError {
    pub(crate) fn deadline() -> LinkError {
        LinkError::new(LinkErrorKind::Deadline, "deadline passed")
    }
}

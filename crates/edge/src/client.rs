//! The plain HTTP client of the tools and of control.
//!
//! Routers do not use it towards endpoints: there each attempt must know whether a byte of it was sent.

use {
    crate::{
        body::Body,
        error::{HttpError, HttpStep},
    },
    bytes::Bytes,
    http::{Request, Response, header},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as PoolClient, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// A pooled HTTP client.
#[derive(Clone)]
pub struct Client {
    pool: PoolClient<HttpConnector, Body>,
    limit: Duration,
}

impl Client {
    /// Returns a client whose exchanges give up when no answer has begun after `limit_ms`.
    pub fn new(limit_ms: u64) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(2_000)));
        let pool = PoolClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool, limit: Duration::from_millis(limit_ms) }
    }

    /// Sends a request to `peer` and returns the answer once its head is here.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached or does not answer in time.
    pub async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, HttpError> {
        let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
        let uri = format!("http://{peer}{path}").parse();
        *request.uri_mut() =
            uri.map_err(|it: http::uri::InvalidUri| HttpError::new(HttpStep::Exchange, peer, it))?;
        let sent = timeout(self.limit, self.pool.request(request)).await;
        match sent {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => Err(HttpError::new(HttpStep::Connect, peer, err)),
            Ok(Err(err)) => Err(HttpError::new(HttpStep::Exchange, peer, err)),
            Err(err) => Err(HttpError::new(HttpStep::Exchange, peer, err)),
        }
    }

    /// Sends a request with a whole body and an optional bearer token; returns the status and the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or the body of the answer breaks off.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: &str,
        path: &str,
        token: Option<&str>,
        body: Body,
    ) -> Result<(u16, Bytes), HttpError> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(token) = token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request =
            request.body(body).map_err(|it| HttpError::new(HttpStep::Exchange, peer, it))?;
        let response = self.send(peer, request).await?;
        let status = response.status().as_u16();
        let whole = timeout(self.limit, response.into_body().collect()).await;
        let whole = whole.map_err(|it| HttpError::new(HttpStep::Body, peer, it))?;
        let whole = whole.map_err(|it| HttpError::new(HttpStep::Body, peer, it))?;
        Ok((status, whole.to_bytes()))
    }
}

//! The HTTP client of the tools and of control.
//!
//! Routers use [`EndpointClient`](crate::EndpointClient) for endpoints instead, because they need
//! to know for each attempt whether a byte of the request was sent.

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

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client {
    pool: PoolClient<HttpConnector, Body>,
    timeout: Duration,
}

impl Client {
    /// Returns a client that waits at most `timeout_ms` for the head of a response, and as long
    /// again for its body.
    pub fn new(timeout_ms: u64) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(2_000)));
        let pool = PoolClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Sends a request to `peer` and returns the response as soon as its head has been received.
    ///
    /// # Errors
    ///
    /// The peer is unreachable or does not respond in time.
    pub async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, HttpError> {
        let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
        let uri = format!("http://{peer}{path}").parse();
        *request.uri_mut() =
            uri.map_err(|it: http::uri::InvalidUri| HttpError::new(HttpStep::Exchange, peer, it))?;
        let result = timeout(self.timeout, self.pool.request(request)).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => Err(HttpError::new(HttpStep::Connect, peer, err)),
            Ok(Err(err)) => Err(HttpError::new(HttpStep::Exchange, peer, err)),
            Err(err) => Err(HttpError::new(HttpStep::Exchange, peer, err)),
        }
    }

    /// Sends a request with an optional bearer token, and returns the status and the complete body
    /// of the response.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`], or the body of the response cannot be read completely in time.
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
        let result = timeout(self.timeout, response.into_body().collect()).await;
        let result = result.map_err(|it| HttpError::new(HttpStep::Body, peer, it))?;
        let body = result.map_err(|it| HttpError::new(HttpStep::Body, peer, it))?;
        Ok((status, body.to_bytes()))
    }
}

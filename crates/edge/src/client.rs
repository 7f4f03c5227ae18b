//! The HTTP client of the tools and of control.
//!
//! Routers use [`EndpointClient`](crate::EndpointClient) for endpoints instead, because they need
//! to know for each attempt whether a byte of the request was sent.

use {
    crate::{
        body::{Body, ReadError, read_all},
        error::{HttpError, HttpStep},
    },
    bytes::Bytes,
    http::{Request, Response, header},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as PoolClient, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// The default limit on the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The limit on the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client {
    pool: PoolClient<HttpConnector, Body>,
    timeout: Duration,
    max_body: usize,
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
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Client { pool, timeout: Duration::from_millis(timeout_ms), max_body: MAX_BODY_BYTES }
    }

    /// Limits the bodies that [`Client::call`] returns to `bytes`; without this the limit is 16 MB.
    pub fn with_limit(self, bytes: usize) -> Client {
        Client { max_body: bytes, ..self }
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
    /// As for [`Client::send`], or the body of the response cannot be read completely in time, or
    /// exceeds the limit.
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
        let body = read_all(response.into_body(), self.max_body, self.timeout);
        let result = timeout(self.timeout, body).await;
        let result = result.map_err(|it| HttpError::new(HttpStep::Body, peer, it))?;
        let body = result.map_err(|it| HttpError::new(HttpStep::Body, peer, body_error(it)))?;
        Ok((status, body))
    }
}

fn body_error(error: ReadError) -> &'static str {
    match error {
        ReadError::TooLarge => "response body is too large",
        ReadError::Stalled | ReadError::Broken | ReadError::NoMemory => {
            "response body is incomplete"
        }
    }
}

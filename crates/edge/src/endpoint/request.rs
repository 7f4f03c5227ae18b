//! What is sent to an endpoint, and what comes back.

use {
    crate::endpoint::error::{LinkError, LinkErrorKind},
    bytes::Bytes,
    derive_more::Debug,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header},
    http_body_util::Full,
    model::{AttemptNo, RequestId},
    std::net::SocketAddr,
    tokio::time::Instant,
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// With the value `not-run`, an endpoint's proof that it did not run what it refuses.
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
const RESUME: HeaderName = HeaderName::from_static("x-resume-offset");

/// Limits on what an exchange and the pool may take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndpointLimits {
    /// Milliseconds that a connection may take to be made.
    pub connect_ms: u64,
    /// Milliseconds without a head before the first connection of a stream is suspected.
    pub head_ms: u64,
    /// Milliseconds without a byte of the body before the first connection of a stream is suspected.
    pub progress_ms: u64,
    /// Milliseconds that a cancellation may take.
    pub cancel_ms: u64,
    /// Milliseconds that a connection may be idle and still be used again.
    pub idle_ms: u64,
    /// Idle connections that are kept.
    pub max_idle: usize,
    /// Times that one stream goes on over a new connection.
    pub max_resumes: u32,
}

impl Default for EndpointLimits {
    fn default() -> EndpointLimits {
        EndpointLimits {
            connect_ms: 1_000,
            head_ms: 20_000,
            progress_ms: 5_000,
            cancel_ms: 1_000,
            idle_ms: 20_000,
            max_idle: 64,
            max_resumes: 2,
        }
    }
}

/// One attempt at a request.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// The request's id.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The priority; higher goes first.
    pub priority: u8,
    /// Where the answer's body begins.
    pub offset: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it is given up.
    pub deadline: Instant,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

/// What an endpoint answers, in order: one head, chunks without gaps, one end.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
    /// The answer begins.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, without those that belong to the connection.
        headers: HeaderMap,
    },
    /// A part of the body.
    Chunk {
        /// Where it begins in the whole body.
        offset: u64,
        /// The bytes; never none.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The length of the whole body.
        length: u64,
    },
}

impl EndpointRequest {
    /// Builds the HTTP request that asks for the body from `offset`.
    pub(crate) fn build(
        &self,
        peer: SocketAddr,
        offset: u64,
    ) -> Result<Request<Full<Bytes>>, LinkError> {
        let malformed = |it: http::Error| LinkError::new(LinkErrorKind::Malformed, it);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(malformed)?;
        let headers = request.headers_mut();
        *headers = pass_on(&self.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.insert(header::HOST, text(peer));
        headers.insert(REQUEST_ID, text(self.request));
        headers.insert(ATTEMPT, HeaderValue::from(self.attempt.0));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(self.priority)));
        headers.remove(RESUME);
        if offset > 0 {
            headers.insert(RESUME, HeaderValue::from(offset));
        }
        Ok(request)
    }

    /// Builds the HTTP request that cancels an attempt.
    pub(crate) fn cancellation(
        peer: SocketAddr,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<Request<Full<Bytes>>, LinkError> {
        Request::builder()
            .method(Method::DELETE)
            .uri(format!("/v1/requests/{request}?attempt={}", attempt.0))
            .header(header::HOST, text(peer))
            .body(Full::default())
            .map_err(|it| LinkError::new(LinkErrorKind::Malformed, it))
    }
}

/// Whether an endpoint refuses a request and says that it did not run.
pub(crate) fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let refused = status.is_client_error() || status.is_server_error();
    refused && headers.get(OUTCOME).is_some_and(|it| it.as_bytes() == b"not-run")
}

/// Returns the headers of a message that are not of its connection alone.
pub(crate) fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let named = named.flat_map(|it| it.split(',')).map(str::trim);
    named.filter_map(|it| HeaderName::try_from(it).ok()).for_each(|it| drop(passed.remove(it)));
    let own = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    own.into_iter().for_each(|it| drop(passed.remove(it)));
    passed
}

fn text<T>(value: T) -> HeaderValue
where
    T: ToString,
{
    HeaderValue::try_from(value.to_string()).unwrap_or(HeaderValue::from_static(""))
}

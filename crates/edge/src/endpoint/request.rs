//! The requests that are sent to an endpoint, and the events of its responses.

use {
    crate::endpoint::error::{ExchangeError, ExchangeErrorKind},
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
/// With the value `not-run`, the endpoint states that it did not run the request that it refuses.
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
const RESUME_OFFSET: HeaderName = HeaderName::from_static("x-resume-offset");

/// Limits on exchanges with an endpoint and on its connection pool.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndpointLimits {
    /// The time limit for opening a connection, in milliseconds.
    pub connect_ms: u64,
    /// The time limit for the head of the response on the first connection of a stream, in
    /// milliseconds. It doubles with each new connection.
    pub head_ms: u64,
    /// The time limit for the next bytes of the body on the first connection of a stream, in
    /// milliseconds. It doubles with each new connection.
    pub progress_ms: u64,
    /// The time limit for a cancellation, in milliseconds.
    pub cancel_ms: u64,
    /// The time for which an idle connection can be reused, in milliseconds.
    pub idle_ms: u64,
    /// The maximum number of idle connections. By default there are none: responses of endpoints do
    /// not name their request, so a late second copy of one on a connection that is in use again
    /// would be taken for the response to the next request.
    pub max_idle: usize,
    /// The maximum number of times that a stream is resumed over a new connection.
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
            max_idle: 0,
            max_resumes: 2,
        }
    }
}

/// An attempt at a request.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The priority; a higher value is served first.
    pub priority: u8,
    /// The position in the response body from which the response is requested.
    pub offset: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the attempt is abandoned.
    pub deadline: Instant,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers to send. Hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// The complete body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

/// An event of a response, in this order: one head, chunks without gaps, one end.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
    /// The head of the response.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, without the hop-by-hop headers.
        headers: HeaderMap,
    },
    /// A part of the response body.
    Chunk {
        /// The position of the first byte in the complete body.
        offset: u64,
        /// The bytes; never empty.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// The length of the complete body.
        length: u64,
    },
}

impl EndpointRequest {
    /// Builds the HTTP request for the response body from `offset`.
    pub(crate) fn build(
        &self,
        peer: SocketAddr,
        offset: u64,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        let malformed = |it: http::Error| ExchangeError::new(ExchangeErrorKind::Malformed, it);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(malformed)?;
        let headers = request.headers_mut();
        *headers = end_to_end_headers(&self.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.insert(header::HOST, header_value(peer));
        headers.insert(REQUEST_ID, header_value(self.request));
        headers.insert(ATTEMPT, HeaderValue::from(self.attempt.0));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(self.priority)));
        headers.remove(RESUME_OFFSET);
        if offset > 0 {
            headers.insert(RESUME_OFFSET, HeaderValue::from(offset));
        }
        Ok(request)
    }

    /// Builds the HTTP request that cancels an attempt.
    pub(crate) fn cancellation(
        peer: SocketAddr,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        Request::builder()
            .method(Method::DELETE)
            .uri(format!("/v1/requests/{request}?attempt={}", attempt.0))
            .header(header::HOST, header_value(peer))
            .body(Full::default())
            .map_err(|it| ExchangeError::new(ExchangeErrorKind::Malformed, it))
    }
}

/// Returns whether a response refuses the request and states that it did not run.
pub(crate) fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let refused = status.is_client_error() || status.is_server_error();
    refused && headers.get(OUTCOME).is_some_and(|it| it.as_bytes() == b"not-run")
}

/// Returns the end-to-end headers of a message, that is, without the hop-by-hop headers.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    let listed = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let listed = listed.flat_map(|it| it.split(',')).map(str::trim);
    listed
        .filter_map(|it| HeaderName::try_from(it).ok())
        .for_each(|it| drop(end_to_end.remove(it)));
    let hop_by_hop = [
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
    hop_by_hop.into_iter().for_each(|it| drop(end_to_end.remove(it)));
    end_to_end
}

fn header_value<T>(value: T) -> HeaderValue
where
    T: ToString,
{
    HeaderValue::try_from(value.to_string()).unwrap_or(HeaderValue::from_static(""))
}

//! The parts of a routing configuration.

use {
    derive_more::{Debug, Display},
    model::{Digest, Name},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// What may be done with a request of a route more than once.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum RouteKind {
    /// It may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once for each attempt of a caller.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Its answer is a stream of events.
    #[display("stream")]
    Stream,
}

/// The part of a route's requests that one service gets.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its weight against the other shares of the route.
    pub weight: u32,
}

/// Where the requests for a host and path prefix go.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Route {
    /// What operators call it.
    pub name: Name,
    /// The host that callers name, in lower case.
    pub host: Name,
    /// What a path begins with; it begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time from a request to the end of its answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time to the first byte of an answer that operators aim at, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between the events of a stream that operators aim at, in milliseconds; zero: none is set.
    pub gap_ms: u64,
    /// The rank of its requests; zero goes first.
    pub priority: u8,
    /// The services that its requests go to.
    pub split: SmallVec<[WeightedService; 2]>,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests carry a prompt by whose parts they are placed.
    #[serde(rename = "affine")]
    pub prompt_affinity: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run again after it may have run once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// What the endpoints of a model service can hold.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory of one endpoint.
    pub kv_tokens: u64,
    /// Bytes of memory a token.
    pub kv_bytes: u64,
}

/// A service.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// The path of its health check.
    pub health: Name,
    /// Connections that one endpoint accepts from all routers together.
    pub connections: u32,
    /// What its endpoints hold if they run a model.
    pub engine: Option<Engine>,
}

/// What callers may send.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct CallerLimits {
    /// Bytes of the headers of a request.
    pub header_bytes: u64,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Milliseconds that the headers of a request may take.
    pub header_ms: u64,
    /// Milliseconds that a connection may stay idle.
    pub idle_ms: u64,
}

/// A team and the digests of its keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// The digests of its keys.
    #[debug("{} keys", keys.len())]
    pub keys: Vec<Digest>,
    /// The rank of its requests, before that of their routes.
    pub priority: Option<u8>,
}

/// A whole configuration.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RoutingConfig {
    /// The number that its sender gave it; the highest is in force.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// All teams; none: no request needs a key.
    pub teams: Vec<Team>,
}

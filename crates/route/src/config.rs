//! Data types of a routing configuration.

use {
    derive_more::{Debug, Display},
    model::{Digest, Name},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Names of regions.
pub type Regions = SmallVec<[Name; 2]>;

/// Whether the requests of a route may be repeated, and whether they are answered by a stream.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once per attempt of the caller.
    #[display("non-idempotent")]
    NonIdempotent,
    /// The response is a stream of events.
    #[display("stream")]
    Stream,
}

/// A service that receives a share of the requests of a route.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Routing of the requests for a host and path prefix.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Route {
    /// Name of the route, for operators.
    pub name: Name,
    /// Host of the requests, in lower case.
    pub host: Name,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time from a request to the end of its response, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the first byte of a response, in milliseconds.
    pub target_ms: u64,
    /// Target for the maximum time between two events of a stream, in milliseconds; zero means no target.
    pub gap_ms: u64,
    /// Priority of the requests; zero is the highest.
    pub priority: u8,
    /// Services that the requests are split between.
    pub split: SmallVec<[WeightedService; 2]>,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Whether requests carry a prompt, whose parts determine the endpoint that they are sent to.
    #[serde(rename = "affine")]
    pub prompt_affinity: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions whose endpoints may run the requests; empty means all.
    #[serde(default)]
    pub regions: Regions,
}

impl Route {
    /// Whether a request that may have run already may run again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Capacity of the endpoints of a model service.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Engine {
    /// Requests that run concurrently on one endpoint.
    pub slots: u32,
    /// Tokens that fit into the KV cache of one endpoint.
    pub kv_tokens: u64,
    /// Bytes of KV cache per token.
    pub kv_bytes: u64,
}

/// The start of an endpoint that takes few requests until it is warm. If a value is zero, it is never cold.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: f64,
    /// Requests per second that a cold endpoint tolerates from all routers together.
    pub rate: f64,
}

/// A service that requests are routed to.
#[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health: Name,
    /// Connections that one endpoint accepts from all routers in total.
    pub connections: u32,
    /// Capacity of its endpoints, for model services.
    pub engine: Option<Engine>,
    /// How its endpoints start; without it they are never cold.
    #[serde(default)]
    pub cold: Option<ColdStart>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct CallerLimits {
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive the headers of a request, in milliseconds.
    pub header_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// A team and its keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Digests of the keys of the team.
    #[debug("{} keys", keys.len())]
    pub keys: Vec<Digest>,
    /// Priority of the requests of the team; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run the requests of the team; empty means all.
    #[serde(default)]
    pub regions: Regions,
}

/// A complete routing configuration.
///
/// `serde` is for documents in JSON. Processes send each other [`RoutingConfig::encode`], as a new field here would
/// change the encoding of `bincode`.
#[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
pub struct RoutingConfig {
    /// Version number assigned by the publisher; the highest published version is in force.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// All teams; if there are none, no request needs a key.
    pub teams: Vec<Team>,
}

//! The messages between routers, and between a router and the control replicas.
//!
//! The messages are encoded with `bincode`, so the order of fields and variants is part of the
//! protocol. Types never change; a new variant follows the last one of its enum, and is sent only to
//! a process that speaks the protocol which introduced it ([`crate::PROTOCOL`]).

use {
    crate::compressed::Compressed,
    bytes::Bytes,
    derive_more::Debug,
    directory::CatalogDelta,
    model::{
        AttemptNo, ChatKey, Config, Delta, Digest, Domain, EndpointId, Epoch, HostName, Image,
        Name, Refusal, RequestId, Revision, Roster, RouterId, ServiceId, TeamId, Work,
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc},
};

/// The path of the streams over which an entry router forwards a request to the router that owns
/// the endpoint: one [`Forward`] frame, answered with [`ForwardReply`] frames.
pub const FORWARD_PATH: &str = "/forward";

/// The path of the long-lived stream between a router and a control replica, which carries
/// [`ToControl`] and [`FromControl`] frames.
pub const FEED_PATH: &str = "/feed";

/// The path of the long-lived stream over which any replica sends routing configurations to a
/// router. The router sends one [`WatchHello`] and then [`WatchRequest`] frames, the replica sends
/// [`WatchUpdate`] frames.
pub const WATCH_PATH: &str = "/watch";

/// The path of the streams over which a router requests the routing configuration and the list of
/// endpoints from another router: one [`RelayRequest`] frame, answered with
/// [`WatchUpdate::Layout`], [`WatchUpdate::LayoutDelta`] or [`WatchUpdate::Catalog`] frames.
pub const RELAY_PATH: &str = "/relay";

/// The path of the streams between control replicas, each of which is unidirectional.
pub const REPLICA_PATH: &str = "/replica";

/// The path of the streams over which a replica calls the leader: one call frame, one reply frame.
pub const LEADER_PATH: &str = "/leader";

/// The path of the streams over which a router calls the ledger: one call frame, one reply frame.
pub const LEDGER_PATH: &str = "/ledger";

/// An HTTP header, as sent between routers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Header {
    /// The name, in lower case.
    pub name: Name,
    /// The value.
    #[debug("{} bytes", value.len())]
    pub value: Bytes,
}

/// What the owner of an endpoint does with a request that the endpoint has no capacity for.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum AdmissionMode {
    /// Start the request, or reply with alternative endpoints.
    Home,
    /// Start the request or refuse it immediately: the endpoint is not the home of the chat.
    Spill,
    /// Queue the request until there is capacity or the deadline cannot be met.
    Queue,
}

/// A request forwarded to the owner of an endpoint.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Forward {
    /// The id that the entry router assigned to the request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The epoch of the roster by which the entry router chose the owner.
    pub epoch: Epoch,
    /// The team that sent the request.
    pub team: TeamId,
    /// The service called.
    pub service: ServiceId,
    /// The endpoint that should run the request.
    pub endpoint: EndpointId,
    /// The key by which the chat is placed.
    pub chat: ChatKey,
    /// The image that the endpoint must have loaded; `None` for a plain service.
    pub image: Option<Image>,
    /// The estimated work if nothing is cached.
    pub cost: Work,
    /// The part of the work that processes the prompt and that a cached prefix saves.
    pub prompt: u32,
    /// The priority; a higher value is served first.
    pub priority: u8,
    /// What to do if the endpoint has no capacity.
    pub admission: AdmissionMode,
    /// The time until the deadline of the request, in milliseconds.
    pub budget_ms: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The endpoints that crashed while running the request.
    pub crashed_endpoints: SmallVec<[EndpointId; 2]>,
    /// The digest of team, model and body, which identifies requests that crash endpoints.
    pub fingerprint: Digest,
    /// The number of bytes of the response body that the client has received; the endpoint resumes
    /// from there.
    pub offset: u64,
    /// The HTTP method.
    pub method: Name,
    /// The path and query.
    pub path: Name,
    /// The end-to-end headers.
    pub headers: Vec<Header>,
    /// The complete body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

/// A reply of the owner. The last frame is `NotOwner`, `NoCapacity`, `Refused`, `End` or `Failed`.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ForwardReply {
    /// This router does not own the endpoint. The request did not run.
    NotOwner {
        /// The epoch of the roster of this router.
        epoch: Epoch,
    },
    /// The endpoint has no capacity. The request did not run and may be tried at the given
    /// endpoints, in order.
    NoCapacity {
        /// The endpoints that have the prefix of the chat cached or that have capacity.
        endpoints: SmallVec<[EndpointId; 4]>,
    },
    /// The request is refused and must not be retried.
    Refused(Refusal),
    /// The head of the response.
    Head {
        /// The HTTP status.
        status: u16,
        /// The end-to-end headers.
        headers: Vec<Header>,
    },
    /// A part of the response body.
    Chunk {
        /// The position of the first byte in the complete body.
        offset: u64,
        /// The bytes.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// The length of the complete body.
        length: u64,
    },
    /// The endpoint or the connection to it failed after the request was sent.
    Failed {
        /// The refusal to return to the client if the request cannot be retried.
        refusal: Refusal,
        /// Whether the endpoint crashed, as opposed to the connection failing.
        endpoint_crashed: bool,
    },
}

/// The total load of the endpoints of one service that a router owns.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LoadSum {
    /// The service.
    pub service: ServiceId,
    /// The sum of the loads of its endpoints.
    pub sum: Work,
    /// The number of endpoints in the sum.
    pub count: u32,
    /// The least loaded endpoint.
    pub least_loaded: EndpointId,
    /// The load of the least loaded endpoint.
    pub min_load: Work,
}

/// The total load of a service, as known to control.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ServiceTotal {
    /// The service.
    pub service: ServiceId,
    /// The sum of the loads of all its endpoints.
    pub sum: Work,
    /// The number of endpoints in the sum.
    pub count: u32,
    /// The least loaded endpoints, which may be outdated.
    pub hints: SmallVec<[EndpointId; 4]>,
}

/// A message from a router to control.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ToControl {
    /// The first frame of the stream.
    Hello {
        /// The host that the router runs on.
        host: HostName,
        /// A random number that identifies the process: after a restart it is another router.
        process: u64,
        /// The address at which other routers reach this one.
        addr: SocketAddr,
        /// The failure domain of the router.
        domain: Domain,
        /// The revision of the configuration in force.
        revision: Revision,
        /// The chain digest at that revision.
        digest: Digest,
    },
    /// Renews the lease; sent every second.
    Heartbeat {
        /// The sequence number, which is returned in [`FromControl::HeartbeatReply`].
        seq: u64,
        /// The revision of the configuration in force.
        revision: Revision,
        /// The epoch of the roster in force.
        epoch: Epoch,
        /// Whether the router is shutting down.
        leaving: bool,
        /// Whether the router still runs any request.
        busy: bool,
        /// The loads of the endpoints that the router owns.
        sums: SmallVec<[LoadSum; 4]>,
        /// The work that the router still runs on endpoints that it does not own.
        residual_work: SmallVec<[(EndpointId, Work); 4]>,
    },
    /// Quarantines requests that crashed two endpoints.
    Quarantine {
        /// The fingerprint of the requests.
        fingerprint: Digest,
    },
}

/// A message from control to a router.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum FromControl {
    /// This replica is not the leader. It is the last frame.
    NotLeader {
        /// The address of the leader, if this replica knows it.
        leader: Option<SocketAddr>,
    },
    /// Assigns an id to the router process, valid for its lifetime.
    Welcome {
        /// The id.
        router: RouterId,
    },
    /// The complete configuration.
    Config(Arc<Config>),
    /// The changes from one revision to the next.
    Delta(Delta),
    /// A new roster.
    Roster(Roster),
    /// The reply to a heartbeat.
    HeartbeatReply {
        /// The sequence number of the heartbeat.
        seq: u64,
        /// The duration of the lease, in milliseconds from when the heartbeat was sent; zero if
        /// the lease is not renewed.
        lease_ms: u32,
        /// The epoch for which no router acts by an older roster, except for missing routers; zero
        /// if it is unknown.
        settled_epoch: Epoch,
        /// If `settled_epoch` is set, the work that other routers still run on endpoints that this
        /// router owns.
        residual_work: SmallVec<[(EndpointId, Work); 2]>,
        /// The total loads of all services.
        totals: SmallVec<[ServiceTotal; 2]>,
    },
    /// A fingerprint whose requests must be refused.
    Quarantined {
        /// The fingerprint.
        fingerprint: Digest,
        /// The time until the quarantine expires, in milliseconds.
        expires_ms: u32,
    },
}

/// The first frame that a router or another replica sends to a replica that it watches.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct WatchHello {
    /// The address at which other routers reach the sender.
    pub addr: SocketAddr,
    /// The failure domain of the sender.
    pub domain: Domain,
    /// The version of the routing configuration in force at the sender.
    pub version: Option<u64>,
}

/// A request of a router to a replica that it watches.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum WatchRequest {
    /// Requests the routing configuration that the replica announced. It replaces an earlier
    /// request of this kind, and is not answered if `installed_version` is not older than the
    /// version of the replica.
    Layout {
        /// The version that the router has in force.
        installed_version: Option<u64>,
    },
    /// Requests the list of endpoints and all later changes to it.
    Catalog,
}

/// A request of a router for the routing configuration of another router, and for its list of
/// endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RelayRequest {
    /// The version that the requesting router has in force.
    pub installed_version: Option<u64>,
    /// Whether the requesting router has no list of endpoints.
    pub wants_catalog: bool,
}

/// An update from a replica to a router that watches it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum WatchUpdate {
    /// The latest version of the routing configuration that the replica knows to be committed.
    Announce {
        /// The version.
        version: u64,
    },
    /// The complete routing configuration, in reply to [`WatchRequest::Layout`].
    Layout(Compressed),
    /// A `route::RouteDelta` from the version that the router has, in reply to
    /// [`WatchRequest::Layout`]; more deltas may follow.
    LayoutDelta(Compressed),
    /// The complete list of endpoints.
    Catalog(Compressed),
    /// The changes since the list of endpoints last sent on this stream.
    CatalogDelta(CatalogDelta),
    /// The routers that watch this replica and the replicas of the group, by their internal
    /// addresses.
    Fleet {
        /// The routers and their failure domains.
        routers: Vec<(SocketAddr, Domain)>,
        /// The replicas.
        replicas: Vec<SocketAddr>,
    },
    /// The changes since the fleet last sent on this stream.
    FleetDelta {
        /// The new routers and their failure domains.
        added: Vec<(SocketAddr, Domain)>,
        /// The routers that no longer watch this replica.
        removed: Vec<SocketAddr>,
        /// All replicas.
        replicas: Vec<SocketAddr>,
    },
    /// Sent at regular intervals.
    Heartbeat {
        /// Whether the replica is in contact with a leader, so that it learns of new
        /// configurations.
        has_leader: bool,
        /// Whether the replica has read the list of endpoints recently.
        listing_is_recent: bool,
    },
    /// Refers the router to another one, in reply to [`WatchRequest::Layout`].
    Refer {
        /// The version that the other router has in force at least.
        version: u64,
        /// The internal address of the other router.
        router: SocketAddr,
    },
    /// The evacuated failure domains, at the start of the stream and at each change. A set with a lower revision than
    /// the receiver has is out of date. Since protocol 1.
    Evacuations {
        /// The revision of the set.
        revision: u64,
        /// The domains.
        domains: Vec<Domain>,
    },
    /// All endpoints that the list says are cold, and new ones that it says are not. Since protocol 1.
    Cold {
        /// The ids of the endpoints, and for how many milliseconds they remain cold; 0 if they are not.
        endpoints: Vec<(Name, u32)>,
    },
}

/// The path of the streams over which a router that does not reach an endpoint asks another one to
/// connect to it and to pass on a single request: one [`DetourRequest::Open`] frame, answered with a
/// [`DetourReply`]; after [`DetourReply::Connected`] one [`DetourRequest::Send`] frame, answered with
/// the response. The router that asks ends the stream to cancel the request.
pub const DETOUR_PATH: &str = "/forward-detour";

/// A message of a router that does not reach an endpoint.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum DetourRequest {
    /// Connect to an endpoint.
    Open {
        /// Identifies the run of the endpoint.
        incarnation: u64,
    },
    /// Send a request to the endpoint.
    Send {
        /// The method.
        method: Name,
        /// The path and the query.
        path: Name,
        /// The headers, in order.
        headers: Vec<Header>,
        /// The whole body.
        #[debug("{} bytes", body.len())]
        body: Bytes,
    },
}

/// Why a router does not connect to an endpoint for another one.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug, derive_more::Display)]
pub enum DetourRefusal {
    /// It does not reach the endpoints of the service either.
    #[display("it does not reach endpoints either")]
    Unreachable,
    /// It has too many connections.
    #[display("it has too many connections")]
    Full,
    /// It is shutting down.
    #[display("it is shutting down")]
    Stopping,
    /// Its list of endpoints does not have the endpoint.
    #[display("it does not know the endpoint")]
    Unknown,
    /// The endpoint is leaving, or asked it for a pause.
    #[display("the endpoint wants no requests from it")]
    Closed,
}

/// A message of the router that connects to an endpoint for another one.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum DetourReply {
    /// There is a connection to the endpoint. Nothing was sent over it.
    Connected,
    /// This router does not try to connect.
    Refused(DetourRefusal),
    /// The endpoint cannot be connected to, or the request was not sent.
    NotSent {
        /// Whether the endpoint's host refused the connection.
        is_refused: bool,
        /// The cause.
        reason: String,
    },
    /// The connection to the endpoint failed after the request was sent, at least in part.
    Broken {
        /// The cause.
        reason: String,
    },
    /// The head of the endpoint's response.
    Head {
        /// The status code.
        status: u16,
        /// The headers, in order.
        headers: Vec<Header>,
    },
    /// The next part of the response's body.
    Data(#[debug("{} bytes", _0.len())] Bytes),
    /// The end of the response's body.
    End,
}

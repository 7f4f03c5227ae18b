//! The messages between routers, and between a router and the control replicas.

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

/// Streams by which an entry router hands a request to the owner of an endpoint: one [`Forward`], then
/// [`ForwardReply`] frames.
pub const FORWARD_PATH: &str = "/forward";

/// The one long-lived stream between a router and a control replica: [`ToControl`] and [`FromControl`] frames.
pub const FEED_PATH: &str = "/feed";

/// The long-lived stream by which any replica tells a router of routing configurations: one [`WatchHello`] and then
/// [`WatchRequest`] frames one way, [`WatchUpdate`] frames the other.
pub const WATCH_PATH: &str = "/watch";

/// Streams between control replicas, each one way.
pub const REPLICA_PATH: &str = "/replica";

/// Streams by which a router calls the ledger: one call frame, one reply frame.
pub const LEDGER_PATH: &str = "/ledger";

/// A header as it travels between routers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Header {
    /// Its name, in lower case.
    pub name: Name,
    /// Its value.
    #[debug("{} bytes", value.len())]
    pub value: Bytes,
}

/// How the owner should treat a request for which its endpoint has no room.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum AdmissionMode {
    /// Start it or say where else it could go.
    Home,
    /// Start it or refuse it at once: it belongs elsewhere.
    Spill,
    /// Queue it until there is room or the deadline cannot be met.
    Queue,
}

/// A request handed to the owner of an endpoint.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Forward {
    /// Its id, given at entry.
    pub request: RequestId,
    /// Which attempt this is.
    pub attempt: AttemptNo,
    /// The roster by which the entry router chose the owner.
    pub epoch: Epoch,
    /// The caller's team.
    pub team: TeamId,
    /// The service called.
    pub service: ServiceId,
    /// The endpoint that should run it.
    pub endpoint: EndpointId,
    /// What the chat is placed by.
    pub chat: ChatKey,
    /// What the endpoint must carry; nothing for a plain service.
    pub image: Option<Image>,
    /// The estimated work if nothing is cached.
    pub cost: Work,
    /// How much of the work is the prompt, which a cached prefix saves.
    pub prompt: u32,
    /// The priority; higher goes first.
    pub priority: u8,
    /// What to do without room.
    pub admission: AdmissionMode,
    /// Milliseconds until the caller's deadline.
    pub budget_ms: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Endpoints that died while running it.
    pub crashed_endpoints: SmallVec<[EndpointId; 2]>,
    /// The digest of team, model and body, by which crashing requests are known.
    pub fingerprint: Digest,
    /// Bytes of the answer that the caller has; the endpoint resumes there.
    pub offset: u64,
    /// The HTTP method.
    pub method: Name,
    /// The path and query.
    pub path: Name,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

/// What the owner answers; the last frame is `NotOwner`, `NoCapacity`, `Refused`, `End` or `Failed`.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ForwardReply {
    /// This router does not own the endpoint; the request did not run.
    NotOwner {
        /// The roster that this router has.
        epoch: Epoch,
    },
    /// The endpoint has no room; the request did not run and may be tried at these, in order.
    NoCapacity {
        /// Where the chat's prefix is, or where there is room.
        endpoints: SmallVec<[EndpointId; 4]>,
    },
    /// The request is given up.
    Refused(Refusal),
    /// The endpoint answers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers that are passed on.
        headers: Vec<Header>,
    },
    /// A part of the answer's body.
    Chunk {
        /// Where it begins in the whole body.
        offset: u64,
        /// The bytes.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The length of the whole body.
        length: u64,
    },
    /// The endpoint or the connection to it failed after the request was sent.
    Failed {
        /// What the caller would be told if nothing else could be done.
        refusal: Refusal,
        /// Whether the endpoint died, rather than the connection.
        endpoint_crashed: bool,
    },
}

/// The load of the endpoints that a router owns, for one service.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LoadSum {
    /// The service.
    pub service: ServiceId,
    /// The sum of the loads of its endpoints.
    pub sum: Work,
    /// How many endpoints the sum covers.
    pub count: u32,
    /// The least loaded of them.
    pub least_loaded: EndpointId,
    /// That endpoint's load.
    pub min_load: Work,
}

/// What control knows of a service's load.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ServiceTotal {
    /// The service.
    pub service: ServiceId,
    /// The sum over all its endpoints.
    pub sum: Work,
    /// How many endpoints the sum covers.
    pub count: u32,
    /// The least loaded endpoints; a hint only.
    pub hints: SmallVec<[EndpointId; 4]>,
}

/// What a router tells control.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ToControl {
    /// The first frame of a feed.
    Hello {
        /// The host.
        host: HostName,
        /// A random number of this process: a restarted process is another router.
        process: u64,
        /// Where other routers reach it.
        addr: SocketAddr,
        /// Its failure domain.
        domain: Domain,
        /// The revision that it has in force.
        revision: Revision,
        /// The chain digest at that revision.
        digest: Digest,
    },
    /// Sent each second; renews the lease.
    Heartbeat {
        /// Counts up; comes back in [`FromControl::HeartbeatReply`].
        seq: u64,
        /// The revision in force.
        revision: Revision,
        /// The roster in force.
        epoch: Epoch,
        /// Whether the router is shutting down.
        leaving: bool,
        /// Whether it still runs anything.
        busy: bool,
        /// The loads of the endpoints that it owns.
        sums: SmallVec<[LoadSum; 4]>,
        /// The work that it still runs on endpoints that it does not own.
        residual_work: SmallVec<[(EndpointId, Work); 4]>,
    },
    /// Requests that crashed two endpoints.
    Quarantine {
        /// Their fingerprint.
        fingerprint: Digest,
    },
}

/// What control tells a router.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum FromControl {
    /// This replica does not lead; nothing else follows.
    NotLeader {
        /// Which one does, as far as it knows.
        leader: Option<SocketAddr>,
    },
    /// The id of this process, for its life.
    Welcome {
        /// The id.
        router: RouterId,
    },
    /// The whole configuration.
    Config(Arc<Config>),
    /// The step to the next revision.
    Delta(Delta),
    /// A new roster.
    Roster(Roster),
    /// Answers a heartbeat.
    HeartbeatReply {
        /// Which one.
        seq: u64,
        /// The lease runs until so many milliseconds after that heartbeat was sent; zero: it is not renewed.
        lease_ms: u32,
        /// No router acts by an older roster than this one, but for missing ones; zero: unknown.
        settled_epoch: Epoch,
        /// With `settled`: the work that others still run on endpoints that this router owns.
        residual_work: SmallVec<[(EndpointId, Work); 2]>,
        /// The loads of all services.
        totals: SmallVec<[ServiceTotal; 2]>,
    },
    /// Fingerprints to refuse.
    Quarantined {
        /// The fingerprint.
        fingerprint: Digest,
        /// For so many milliseconds.
        expires_ms: u32,
    },
}

/// How a router or another replica introduces itself to a replica that it watches.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct WatchHello {
    /// Where other routers reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The version of the routing configuration that it has in force.
    pub version: Option<u64>,
}

/// What a router asks a replica for that it watches.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum WatchRequest {
    /// The routing configuration that the replica announced. Asked again with a later version, it takes the place of
    /// what was asked before; nothing is told if that version is not older than the replica's.
    Layout {
        /// The version that the router has in force.
        installed_version: Option<u64>,
    },
    /// All endpoints, and each step from there on.
    Catalog,
}

/// What a replica tells a router that watches it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum WatchUpdate {
    /// The version of the routing configuration that this replica knows to be committed.
    Announce {
        /// The version.
        version: u64,
    },
    /// Answers [`WatchRequest`]: the whole routing configuration.
    Layout(Compressed),
    /// Answers [`WatchRequest`]: a `route::RouteDelta` from the version that the router has; more may follow.
    LayoutDelta(Compressed),
    /// All endpoints.
    Catalog(Compressed),
    /// The step from the last list of endpoints that was sent on this stream.
    CatalogDelta(CatalogDelta),
    /// The routers that watch this replica and the replicas of the group, by their inner addresses.
    Fleet {
        /// The routers and their failure domains.
        routers: Vec<(SocketAddr, Domain)>,
        /// The replicas.
        replicas: Vec<SocketAddr>,
    },
    /// What changed in the last [`WatchUpdate::Fleet`] that was sent on this stream.
    FleetDelta {
        /// New routers and their failure domains.
        added: Vec<(SocketAddr, Domain)>,
        /// The routers that watch this replica no longer.
        removed: Vec<SocketAddr>,
        /// The replicas.
        replicas: Vec<SocketAddr>,
    },
    /// Sent at regular intervals.
    Heartbeat {
        /// Whether this replica hears of a leader: it would know of a newer configuration.
        has_leader: bool,
        /// Whether it has read the list of endpoints of late.
        listing_is_recent: bool,
    },
}

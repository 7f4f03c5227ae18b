//! A scripted control replica.

use {
    super::{layout, route},
    directory::{Catalog, ListedEndpoint},
    model::Domain,
    route::{FIELD_LEVEL, RouteKind},
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::interval},
    wire::{
        Compressed, Listener, Stream, Traffic, WireError,
        msg::{WatchHello, WatchRequest, WatchUpdate},
    },
};

/// The interval between the heartbeats of a replica.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What a replica does about a request for a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OnRequest {
    Send,
    Ignore,
    Close,
    Refer(SocketAddr),
}

/// Whether a replica keeps its streams alive.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Liveness {
    Alive,
    /// It hears of no leader, so that it may lack a committed configuration.
    Leaderless,
    /// It sends nothing, and its streams stay open.
    Frozen,
    /// Its streams end, also new ones.
    Stopped,
}

/// The version that a replica announces, what it does about requests, and the gateways, replicas and endpoints that it
/// lists.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    version: u64,
    on_request: OnRequest,
    routers: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    has_leader: bool,
    endpoints: Vec<ListedEndpoint>,
    /// Whether it reads the list of endpoints.
    is_listing: bool,
    liveness: Liveness,
}

/// A scripted control replica.
pub(crate) struct Replica {
    pub(crate) addr: SocketAddr,
    pub(crate) script: watch::Sender<Script>,
}

impl Replica {
    pub(crate) async fn start() -> Replica {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), None, Traffic::default()).await;
        let mut listener = listener.expect("failed to bind");
        let addr = listener.addr();
        let script = watch::Sender::new(Script {
            version: 1,
            on_request: OnRequest::Send,
            routers: Vec::new(),
            members: Vec::new(),
            has_leader: true,
            endpoints: Vec::new(),
            is_listing: true,
            liveness: Liveness::Alive,
        });
        let changes = script.clone();
        tokio::spawn(async move {
            while let Some(incoming) = listener.accept().await {
                tokio::spawn(serve(incoming.stream, changes.subscribe()));
            }
        });
        Replica { addr, script }
    }

    pub(crate) fn publish(&self, version: u64, on_request: OnRequest) {
        self.script.send_modify(|it| (it.version, it.on_request) = (version, on_request));
    }

    pub(crate) fn name_routers(&self, routers: &[SocketAddr]) {
        self.script.send_modify(|it| it.routers = routers.to_vec());
    }

    /// Names the members of the group, as a replica does that hears of a leader or not.
    pub(crate) fn name_members(&self, members: &[SocketAddr], has_leader: bool) {
        self.script.send_modify(|it| (it.members, it.has_leader) = (members.to_vec(), has_leader));
    }

    pub(crate) fn list_endpoints(&self, endpoints: &[ListedEndpoint]) {
        self.script.send_modify(|it| it.endpoints = endpoints.to_vec());
    }

    pub(crate) fn set_listing(&self, is_listing: bool) {
        self.script.send_modify(|it| it.is_listing = is_listing);
    }

    pub(crate) fn set_liveness(&self, liveness: Liveness) {
        self.script.send_modify(|it| it.liveness = liveness);
    }
}

/// Serves a watch stream until either side ends it.
async fn serve(stream: Stream, mut script: watch::Receiver<Script>) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let _ = recv.recv::<WatchHello>().await?;
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    let (mut announced, mut named, mut listed) = (None, None, None);
    let mut catalog_wanted = false;
    loop {
        let Script {
            version,
            on_request,
            routers,
            members,
            has_leader,
            endpoints,
            is_listing,
            liveness,
        } = script.borrow_and_update().clone();
        match liveness {
            Liveness::Alive | Liveness::Leaderless => {}
            Liveness::Stopped => return Ok(()),
            Liveness::Frozen => {
                let _ = script.changed().await;
                continue;
            }
        }
        let listing_is_recent = is_listing && !endpoints.is_empty();
        if catalog_wanted && listed.as_ref() != Some(&endpoints) {
            let catalog = Catalog::from_endpoints(&endpoints);
            let catalog = Compressed::encode(&catalog).expect("failed to encode");
            send.send(&WatchUpdate::Catalog(catalog)).await?;
            listed = Some(endpoints);
        }
        if named.as_ref() != Some(&(routers.clone(), members.clone())) {
            let domain = Domain("d0".into());
            let listed = routers.iter().map(|it| (*it, domain.clone())).collect();
            let fleet = WatchUpdate::Fleet { routers: listed, replicas: members.clone() };
            send.send(&fleet).await?;
            named = Some((routers, members));
        }
        if announced.replace(version) != Some(version) {
            send.send(&WatchUpdate::Announce { version }).await?;
        }
        tokio::select! {
            _ = heartbeats.tick() => {
                let has_leader = has_leader && liveness == Liveness::Alive;
                send.send(&WatchUpdate::Heartbeat { has_leader, listing_is_recent }).await?;
            }
            changed = script.changed() => if changed.is_err() {
                return Ok(());
            },
            request = recv.recv::<WatchRequest>() => {
                let Some(request) = request? else { return Ok(()) };
                let WatchRequest::Layout { installed_version } = request else {
                    catalog_wanted = true;
                    continue;
                };
                if installed_version >= Some(version) {
                    continue;
                }
                match on_request {
                    OnRequest::Send => send.send(&encode(version)).await?,
                    OnRequest::Ignore => {}
                    OnRequest::Close => return Ok(()),
                    OnRequest::Refer(router) => {
                        send.send(&WatchUpdate::Refer { version, router }).await?;
                    }
                }
            }
        }
    }
}

/// Returns a configuration that has the route `added` from version 2 on.
fn encode(version: u64) -> WatchUpdate {
    let mut layout = layout(version);
    if version > 1 {
        layout.routes.push(route("added", RouteKind::NonIdempotent, "plain"));
    }
    let bytes = layout.encode(FIELD_LEVEL).expect("failed to encode");
    WatchUpdate::Layout(Compressed::compress(&bytes).expect("failed to compress"))
}

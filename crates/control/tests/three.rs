//! Tests of a group of three replicas over sockets and files: acknowledged operations survive the loss of the leader.

mod common;
#[path = "three/evacuations.rs"]
mod evacuations;

use {
    common::{AdminRequest, TOKEN, settings},
    control::{Control, PublishError, RoutingConfigStore, Sockets},
    edge::{Client, empty},
    ledger::{ClaimKey, LedgerReply},
    model::{Digest, Domain, RequestId, RouterId, ServiceId, TeamId, mix2},
    route::{CallerLimits, PublishOutcome, RoutingConfig, Team},
    serde_json::Value,
    settings::{ControlPeer, ControlSettings},
    std::{net::SocketAddr, time::Duration},
    tempfile::TempDir,
    tokio::time::{sleep, timeout},
    wire::{
        Dialer, Peer, Traffic, TrafficClass,
        msg::{LEDGER_PATH, WATCH_PATH, WatchHello, WatchUpdate},
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a replica to announce what it knows. Shorter than any election, so that no new leader is needed.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// The bandwidth of a control host's link on the users' platform, in Mbit/s.
const SLOW_LINK_MBPS: f64 = 3.0;

/// The time within which a replaced replica must have caught up on the users' platform, in seconds.
const CATCH_UP_S: f64 = 6.0;

/// Delay between two attempts of a request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

const INTENT: &str = r#"
[[service]]
name = "po-app"
kind = "plain"
bound-permille = 1250
minimum = 0
claim-ms = 86400000
"#;

struct Group {
    replicas: Vec<Option<Control>>,
    addrs: Vec<SocketAddr>,
    client: Client,
    settings: Vec<ControlSettings>,
    _dirs: Vec<TempDir>,
}

impl Group {
    /// Starts a group whose replicas have each other's addresses in their settings.
    async fn start() -> Group {
        Group::start_with(|settings, peers, at| {
            settings.peers = peers.to_vec();
            settings.peers.remove(at);
        })
        .await
    }

    /// Starts a group whose replicas find each other by seeds.
    async fn start_with_seeds() -> Group {
        Group::start_with(|settings, peers, _| {
            settings.seeds = peers.iter().map(|it| it.inner).collect();
            settings.bootstrap = true;
        })
        .await
    }

    async fn start_with<F>(configure: F) -> Group
    where
        F: Fn(&mut ControlSettings, &[ControlPeer], usize),
    {
        let dirs: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut bound = Vec::new();
        for dir in &dirs {
            let settings = settings(dir.path());
            let sockets = Sockets::bind(&settings).await.unwrap();
            bound.push((settings, sockets));
        }
        let peer = |it: &Sockets| ControlPeer { inner: it.internal_addr(), admin: it.admin_addr() };
        let peers: Vec<_> = bound.iter().map(|it| peer(&it.1)).collect();
        let (mut replicas, mut all_settings) = (Vec::new(), Vec::new());
        for (at, (mut settings, sockets)) in bound.into_iter().enumerate() {
            configure(&mut settings, &peers, at);
            let inner = sockets.internal_addr();
            all_settings.push(ControlSettings { inner, ..settings.clone() });
            replicas.push(Some(Control::start(settings, sockets).await.unwrap()));
        }
        let addrs = peers.iter().map(|it| it.admin).collect();
        let client = Client::new(5_000);
        Group { replicas, addrs, client, settings: all_settings, _dirs: dirs }
    }

    /// Sends a request to each replica until the leader answers, as `jf` does. Returns the index of the leader, the
    /// status and the body.
    async fn request(
        &self,
        method: &str,
        path: &str,
        operation: &str,
        body: &str,
    ) -> (usize, u16, Value) {
        let request = AdminRequest { method, path, operation, body, token: TOKEN };
        let running = || (0..3).filter(|it| self.replicas[*it].is_some());
        let answered = async {
            loop {
                for at in running() {
                    let (status, value) = request.send(&self.client, self.addrs[at]).await;
                    if !matches!(status, 421 | 503) {
                        return (at, status, value);
                    }
                }
                sleep(RETRY_INTERVAL).await;
            }
        };
        timeout(TIMEOUT, answered).await.expect("no leader answered in time")
    }

    async fn post(&self, path: &str, operation: &str, body: &str) -> (usize, u16, Value) {
        self.request("POST", path, operation, body).await
    }

    /// Waits until all replicas are voters.
    async fn wait_until_all_vote(&self) {
        let ready = async {
            for at in 0..3 {
                while !self.is_ready(at).await {
                    sleep(RETRY_INTERVAL).await;
                }
            }
        };
        timeout(TIMEOUT, ready).await.expect("not all replicas became voters in time");
    }

    async fn is_ready(&self, at: usize) -> bool {
        let result = self.client.call(self.addrs[at], "GET", "/ready", None, empty()).await;
        result.is_ok_and(|it| it.0 == 200)
    }

    fn configs(&self, at: usize) -> RoutingConfigStore {
        self.replicas[at].as_ref().unwrap().routing_configs()
    }

    /// Publishes a document by way of one replica, repeatedly while there is no leader.
    async fn publish(&self, at: usize, document: &[u8]) -> PublishOutcome {
        let configs = self.configs(at);
        let publish = || configs.publish(document.to_vec().into());
        retry_without_leader(publish).await
    }

    /// Reads the newest document from one replica, repeatedly while there is no leader.
    async fn read(&self, at: usize) -> Vec<u8> {
        let configs = self.configs(at);
        retry_without_leader(|| configs.read()).await.to_vec()
    }

    fn is_leader(&self, at: usize) -> bool {
        let replica = self.replicas[at].as_ref();
        replica.is_some_and(Control::is_leader)
    }

    /// Replaces a replica by one with an empty disk at the same address.
    async fn replace(&mut self, at: usize, link_mbps: f64) {
        let internal = self.replicas[at].as_ref().unwrap().internal_addr();
        let seeds = self.replicas.iter().flatten().map(Control::internal_addr).collect();
        self.stop(at).await;
        let dir = tempfile::tempdir().unwrap();
        self.settings[at] =
            ControlSettings { link_mbps, seeds, inner: internal, ..settings(dir.path()) };
        self._dirs.push(dir);
        self.restart(at).await;
    }

    /// Starts a stopped replica with its settings.
    async fn restart(&mut self, at: usize) {
        let settings = self.settings[at].clone();
        let replaced = timeout(TIMEOUT, async {
            loop {
                match Sockets::bind(&settings).await {
                    Ok(sockets) => return sockets,
                    Err(_) => sleep(RETRY_INTERVAL).await,
                }
            }
        });
        let sockets = replaced.await.expect("the address is still in use");
        self.addrs[at] = sockets.admin_addr();
        self.replicas[at] = Some(Control::start(settings, sockets).await.unwrap());
    }

    async fn stop(&mut self, at: usize) {
        self.replicas[at].take().unwrap().shutdown().await;
    }
}

/// Repeats a call until it succeeds, as an operator does.
async fn retry_without_leader<F, R, T>(call: F) -> T
where
    F: Fn() -> R,
    R: Future<Output = Result<T, PublishError>>,
{
    let succeeded = async {
        loop {
            match call().await {
                Ok(value) => return value,
                Err(PublishError::NotLeader { .. } | PublishError::Unknown) => {
                    sleep(RETRY_INTERVAL).await;
                }
                Err(err) => panic!("{err}"),
            }
        }
    };
    timeout(TIMEOUT, succeeded).await.expect("the call did not succeed in time")
}

/// Checks that each audit record follows its predecessor, and returns the number of records.
fn check_chain(audit: &Value) -> usize {
    let records = audit["records"].as_array().unwrap();
    for pair in records.windows(2) {
        assert_eq!(pair[0]["after"], pair[1]["before"]);
        assert_eq!(pair[0]["number"].as_u64().unwrap() + 1, pair[1]["number"].as_u64().unwrap());
    }
    records.len()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retry_after_a_leader_change_gets_the_same_response() {
    let mut group = Group::start().await;
    group.wait_until_all_vote().await;
    let (leader, status, planned) = group.post("/v1/plans", "op-1", INTENT).await;
    assert_eq!((status, &planned["plan"]), (200, &"plan-1".into()), "{planned}");
    let competing = group.post("/v1/plans", "op-2", INTENT).await.2;
    let (_, status, confirmed) = group.post("/v1/plans/plan-1/confirm", "op-3", "").await;
    assert_eq!((status, &confirmed["revision"]), (200, &1.into()), "{confirmed}");
    let before = group.request("GET", "/v1/audit", "none", "").await.2;

    group.stop(leader).await;
    let (next, status, retried) = group.post("/v1/plans/plan-1/confirm", "op-3", "").await;
    assert_ne!(next, leader);
    assert_eq!((status, retried), (200, confirmed));
    assert_eq!(group.post("/v1/plans", "op-1", INTENT).await.2, planned);
    let path = format!("/v1/plans/{}/confirm", competing["plan"].as_str().unwrap());
    let (_, status, refused) = group.post(&path, "op-4", "").await;
    assert_eq!((status, &refused["error"]["rule"]), (409, &"base".into()), "{refused}");
    assert!(refused["error"]["message"].as_str().unwrap().contains("alice with plan-1"));

    let after = group.request("GET", "/v1/audit", "none", "").await.2;
    assert_eq!(check_chain(&after), check_chain(&before) + 1);
    let status = group.request("GET", "/v1/status", "none", "").await.2;
    assert_eq!(status["revision"], 1);
    assert_ne!(status["digest"], Digest::default().to_string());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_without_a_quorum_rejects_writes_and_reads() {
    let mut group = Group::start().await;
    group.wait_until_all_vote().await;
    let (leader, ..) = group.post("/v1/plans", "op-1", INTENT).await;
    group.stop((leader + 1) % 3).await;
    group.stop((leader + 2) % 3).await;
    let to = group.addrs[leader];
    let confirm = AdminRequest {
        method: "POST",
        path: "/v1/plans/plan-1/confirm",
        operation: "op-2",
        body: "",
        token: TOKEN,
    };
    let status = AdminRequest { method: "GET", path: "/v1/status", ..confirm };
    for request in [confirm, status] {
        let (code, value) = request.send(&group.client, to).await;
        assert!(matches!(code, 421 | 503), "{code}: {value}");
    }
    let claim = ledger::LedgerCall {
        key: ClaimKey::new(TeamId(1), ServiceId(1), b"approval-1"),
        router: RouterId(1),
        id: RequestId(1),
        step: ledger::ClaimStep::Claim { request: Digest::default() },
    };
    let dialer =
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control };
    let internal_addr = group.replicas[leader].as_ref().unwrap().internal_addr();
    let mut stream = Peer::new(internal_addr, dialer).open(LEDGER_PATH).await.unwrap();
    stream.send.send(&claim).await.unwrap();
    let reply: LedgerReply = stream.recv.recv().await.unwrap().unwrap();
    assert!(matches!(reply, LedgerReply::NotLeader { .. } | LedgerReply::NoQuorum), "{reply:?}");
}

/// Replicas that find each other by seeds do not know the admin address of the leader. They must become ready anyway.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_find_each_other_by_seeds_become_ready() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
}

/// After an acknowledgement, the other replicas know that the configuration is committed. They must announce it to
/// routers without waiting for a new leader.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_configuration_is_announced_before_a_new_leader_is_elected() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    for version in 1..=5 {
        let config = routing_config(version);
        let document = serde_json::to_string(&config).unwrap();
        let leader = loop {
            let leader = (0..3).find(|it| group.is_leader(*it));
            if let Some(leader) = leader {
                let configs = group.replicas[leader].as_ref().unwrap().routing_configs();
                if configs.publish(document.clone().into()).await.is_ok() {
                    break leader;
                }
            }
            sleep(RETRY_INTERVAL).await;
        };
        if version == 5 {
            drop(group.replicas[leader].take());
        }
    }
    let others = group.replicas.iter().flatten().map(|it| announced_version(it.internal_addr()));
    let announced = futures_util::future::join_all(others).await;
    assert!(announced.contains(&Some(5)), "{announced:?}");
}

/// An operator that reached a follower had to send the document a second time, over the leader's link.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_sent_to_any_replica_is_acknowledged_without_a_redirect() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    for (at, version) in (0..3).zip(1..) {
        let document = serde_json::to_vec(&routing_config(version)).unwrap();
        assert_eq!(group.publish(at, &document).await, PublishOutcome::InForce, "replica {at}");
    }
    let outdated = serde_json::to_vec(&routing_config(2)).unwrap();
    for at in 0..3 {
        let outcome = group.publish(at, &outdated).await;
        assert_eq!(outcome, PublishOutcome::Overtaken { version: 3 }, "replica {at}");
    }
}

/// All reads were redirected to the leader, whose link then carried nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn any_replica_returns_the_newest_acknowledged_configuration_itself() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    for version in 1..=30 {
        let document = serde_json::to_vec(&routing_config(version)).unwrap();
        group.publish(version as usize % 3, &document).await;
        let reads = futures_util::future::join_all((0..3).map(|it| group.read(it)));
        assert!(reads.await.iter().all(|it| *it == document));
    }
}

/// A replica that cannot reach the leader must not return what it has, as it may be outdated.
#[tokio::test(flavor = "multi_thread")]
async fn replica_that_cannot_reach_the_leader_returns_no_configuration() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    let document = serde_json::to_vec(&routing_config(1)).unwrap();
    group.publish(0, &document).await;
    let leader = (0..3).find(|it| group.is_leader(*it)).unwrap();
    group.stop((leader + 1) % 3).await;
    group.stop(leader).await;
    let read = group.configs((leader + 2) % 3).read().await;
    assert!(
        matches!(read, Err(PublishError::NotLeader { .. } | PublishError::Unknown)),
        "{read:?}"
    );
}

/// A replaced replica got every configuration that was ever published, over the leader's link.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_replica_catches_up_within_what_its_link_carries() {
    let mut group = Group::start_with(|settings, peers, _| {
        settings.seeds = peers.iter().map(|it| it.inner).collect();
        settings.bootstrap = true;
        settings.link_mbps = SLOW_LINK_MBPS;
    })
    .await;
    group.wait_until_all_vote().await;
    for version in 1..=250 {
        let document = serde_json::to_vec(&large_config(version)).unwrap();
        group.publish(0, &document).await;
    }
    let replaced = (0..3).find(|it| !group.is_leader(*it)).unwrap();
    group.replace(replaced, SLOW_LINK_MBPS).await;
    group.wait_until_all_vote().await;
    group.read(replaced).await;
    let received = group.replicas[replaced].as_ref().unwrap().traffic();
    let received = received.received(TrafficClass::Control) as f64;
    let limit = SLOW_LINK_MBPS * 1e6 / 8.0 * CATCH_UP_S;
    assert!(received < limit, "received {received} bytes, {limit} allowed");
}

/// Returns a configuration whose compressed form has some ten kilobytes.
fn large_config(version: u64) -> RoutingConfig {
    let name = |it: u64| format!("{:016x}", mix2(version, it));
    let team = |it| Team {
        name: name(it).into(),
        keys: Vec::new(),
        priority: None,
        regions: Default::default(),
    };
    RoutingConfig { teams: (0..1_000).map(team).collect(), ..routing_config(version) }
}

/// Returns the version that a replica announces to a new router, if it does so before a new leader can be elected.
async fn announced_version(replica: SocketAddr) -> Option<u64> {
    let (traffic, class) = (Traffic::default(), TrafficClass::Control);
    let peer = Peer::new(replica, Dialer { identity: None, traffic, class });
    let mut stream = peer.open(WATCH_PATH).await.unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let hello = WatchHello { addr, domain: Domain("d0".into()), version: None };
    stream.send.send(&hello).await.unwrap();
    let mut version = None;
    while let Ok(Ok(Some(update))) =
        timeout(ANNOUNCE_TIMEOUT, stream.recv.recv::<WatchUpdate>()).await
    {
        match update {
            WatchUpdate::Announce { version: it } => version = Some(it),
            WatchUpdate::Heartbeat { .. } => break,
            _ => {}
        }
    }
    version
}

fn routing_config(version: u64) -> RoutingConfig {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 10_000,
        header_ms: 3_000,
        idle_ms: 15_000,
    };
    RoutingConfig { version, routes: Vec::new(), services: Vec::new(), limits, teams: Vec::new() }
}

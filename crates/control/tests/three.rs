//! Three real replicas over sockets and files: what was acknowledged outlives the leader.

mod common;

use {
    common::{Ask, TOKEN, settings},
    control::{Control, Sockets},
    edge::{Client, empty},
    ledger::{ClaimKey, LedgerReply},
    model::{Digest, Domain, RequestId, RouterId, ServiceId, TeamId},
    route::{CallerLimits, RoutingConfig},
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

const LIMIT: Duration = Duration::from_secs(30);

/// How long a replica may take to say what it knows: less than the shortest election.
const AT_ONCE: Duration = Duration::from_millis(300);

/// How long an operator's tool waits before it asks again.
const RETRY: Duration = Duration::from_millis(50);

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
    _folders: Vec<TempDir>,
}

impl Group {
    /// A group whose replicas know each other from the start.
    async fn open() -> Group {
        Group::open_with(|settings, peers, at| {
            settings.peers = peers.to_vec();
            settings.peers.remove(at);
        })
        .await
    }

    /// A group whose replicas find each other by seeds.
    async fn open_seeded() -> Group {
        Group::open_with(|settings, peers, _| {
            settings.seeds = peers.iter().map(|it| it.inner).collect();
            settings.bootstrap = true;
        })
        .await
    }

    async fn open_with<F>(introduce: F) -> Group
    where
        F: Fn(&mut ControlSettings, &[ControlPeer], usize),
    {
        let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut bound = Vec::new();
        for folder in &folders {
            let settings = settings(folder.path());
            let sockets = Sockets::bind(&settings).await.unwrap();
            bound.push((settings, sockets));
        }
        let peer = |it: &Sockets| ControlPeer { inner: it.inner(), admin: it.admin() };
        let peers: Vec<_> = bound.iter().map(|it| peer(&it.1)).collect();
        let mut replicas = Vec::new();
        for (at, (mut settings, sockets)) in bound.into_iter().enumerate() {
            introduce(&mut settings, &peers, at);
            replicas.push(Some(Control::start(settings, sockets).await.unwrap()));
        }
        let addrs = peers.iter().map(|it| it.admin).collect();
        Group { replicas, addrs, client: Client::new(5_000), _folders: folders }
    }

    /// Sends a request to whichever replica leads, as `jf` does; returns which one answered.
    async fn ask(
        &self,
        method: &str,
        path: &str,
        operation: &str,
        body: &str,
    ) -> (usize, u16, Value) {
        let ask = Ask { method, path, operation, body, token: TOKEN };
        let open = || (0..3).filter(|it| self.replicas[*it].is_some());
        let asking = async {
            loop {
                for at in open() {
                    let (status, value) = ask.send(&self.client, self.addrs[at]).await;
                    if !matches!(status, 421 | 503) {
                        return (at, status, value);
                    }
                }
                sleep(RETRY).await;
            }
        };
        timeout(LIMIT, asking).await.expect("a leader in time")
    }

    async fn post(&self, path: &str, operation: &str, body: &str) -> (usize, u16, Value) {
        self.ask("POST", path, operation, body).await
    }

    /// Waits until all replicas count towards the quorum.
    async fn whole(&self) {
        let ready = async {
            for at in 0..3 {
                while !self.is_ready(at).await {
                    sleep(RETRY).await;
                }
            }
        };
        timeout(LIMIT, ready).await.expect("all replicas vote in time");
    }

    async fn is_ready(&self, at: usize) -> bool {
        let called = self.client.call(self.addrs[at], "GET", "/ready", None, empty()).await;
        called.is_ok_and(|it| it.0 == 200)
    }

    fn leads(&self, at: usize) -> bool {
        let replica = self.replicas[at].as_ref();
        replica.is_some_and(Control::leads)
    }

    async fn stop(&mut self, at: usize) {
        self.replicas[at].take().unwrap().shutdown().await;
    }
}

/// Checks that each record follows the one before, and returns how many there are.
fn check_chain(audit: &Value) -> usize {
    let records = audit["records"].as_array().unwrap();
    for pair in records.windows(2) {
        assert_eq!(pair[0]["after"], pair[1]["before"]);
        assert_eq!(pair[0]["number"].as_u64().unwrap() + 1, pair[1]["number"].as_u64().unwrap());
    }
    records.len()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_after_a_change_of_leader_gets_the_same_answer() {
    let mut group = Group::open().await;
    group.whole().await;
    let (leader, status, planned) = group.post("/v1/plans", "op-1", INTENT).await;
    assert_eq!((status, &planned["plan"]), (200, &"plan-1".into()), "{planned}");
    let rival = group.post("/v1/plans", "op-2", INTENT).await.2;
    let (_, status, confirmed) = group.post("/v1/plans/plan-1/confirm", "op-3", "").await;
    assert_eq!((status, &confirmed["revision"]), (200, &1.into()), "{confirmed}");
    let before = group.ask("GET", "/v1/audit", "none", "").await.2;

    group.stop(leader).await;
    let (next, status, again) = group.post("/v1/plans/plan-1/confirm", "op-3", "").await;
    assert_ne!(next, leader);
    assert_eq!((status, again), (200, confirmed));
    assert_eq!(group.post("/v1/plans", "op-1", INTENT).await.2, planned);
    let path = format!("/v1/plans/{}/confirm", rival["plan"].as_str().unwrap());
    let (_, status, refused) = group.post(&path, "op-4", "").await;
    assert_eq!((status, &refused["error"]["rule"]), (409, &"base".into()), "{refused}");
    assert!(refused["error"]["message"].as_str().unwrap().contains("alice with plan-1"));

    let after = group.ask("GET", "/v1/audit", "none", "").await.2;
    assert_eq!(check_chain(&after), check_chain(&before) + 1);
    let status = group.ask("GET", "/v1/status", "none", "").await.2;
    assert_eq!(status["revision"], 1);
    assert_ne!(status["digest"], Digest::default().to_string());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_without_quorum_commits_nothing_and_shows_nothing_as_current() {
    let mut group = Group::open().await;
    group.whole().await;
    let (leader, ..) = group.post("/v1/plans", "op-1", INTENT).await;
    group.stop((leader + 1) % 3).await;
    group.stop((leader + 2) % 3).await;
    let to = group.addrs[leader];
    let confirm = Ask {
        method: "POST",
        path: "/v1/plans/plan-1/confirm",
        operation: "op-2",
        body: "",
        token: TOKEN,
    };
    let status = Ask { method: "GET", path: "/v1/status", ..confirm };
    for ask in [confirm, status] {
        let (code, value) = ask.send(&group.client, to).await;
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
    let inner = group.replicas[leader].as_ref().unwrap().inner();
    let mut stream = Peer::new(inner, dialer).open(LEDGER_PATH).await.unwrap();
    stream.send.send(&claim).await.unwrap();
    let reply: LedgerReply = stream.recv.recv().await.unwrap().unwrap();
    assert!(matches!(reply, LedgerReply::NotLeader { .. } | LedgerReply::NoQuorum), "{reply:?}");
}

/// Replicas that were found by seeds do not know where the leader serves operators, which is no reason not to be ready.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_found_by_seeds_become_ready() {
    let group = Group::open_seeded().await;
    group.whole().await;
}

/// What was acknowledged is told to routers by the other replicas before they have a new leader.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_configuration_is_told_although_the_leader_is_lost_at_once() {
    let mut group = Group::open_seeded().await;
    group.whole().await;
    for version in 1..=5 {
        let layout = layout(version);
        let document = serde_json::to_string(&layout).unwrap();
        let leader = loop {
            let leads = (0..3).find(|it| group.leads(*it));
            if let Some(leader) = leads {
                let layouts = group.replicas[leader].as_ref().unwrap().layouts();
                if layouts.publish(document.clone().into()).await.is_ok() {
                    break leader;
                }
            }
            sleep(RETRY).await;
        };
        if version == 5 {
            drop(group.replicas[leader].take());
        }
    }
    let others = group.replicas.iter().flatten().map(|it| told(it.inner()));
    let told = futures_util::future::join_all(others).await;
    assert!(told.contains(&Some(5)), "{told:?}");
}

/// The version that a replica tells a router at once.
async fn told(replica: SocketAddr) -> Option<u64> {
    let (traffic, class) = (Traffic::default(), TrafficClass::Control);
    let peer = Peer::new(replica, Dialer { identity: None, traffic, class });
    let mut stream = peer.open(WATCH_PATH).await.unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let hello = WatchHello { addr, domain: Domain("d0".into()), version: None };
    stream.send.send(&hello).await.unwrap();
    let mut version = None;
    while let Ok(Ok(Some(news))) = timeout(AT_ONCE, stream.recv.recv::<WatchUpdate>()).await {
        match news {
            WatchUpdate::Announce { version: it } => version = Some(it),
            WatchUpdate::Heartbeat { .. } => break,
            _ => {}
        }
    }
    version
}

fn layout(version: u64) -> RoutingConfig {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 10_000,
        header_ms: 3_000,
        idle_ms: 15_000,
    };
    RoutingConfig { version, routes: Vec::new(), services: Vec::new(), limits, teams: Vec::new() }
}

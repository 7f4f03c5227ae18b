//! Tests of one replica over sockets: plans, feeds, the ledger and rejected requests.

mod common;

use {
    common::TestReplica,
    edge::empty,
    ledger::{ClaimKey, ClaimStep, LedgerCall, LedgerReply, RecordedAnswer},
    model::{Config, Digest, Domain, HostName, RequestId, Revision, RouterId, ServiceId, TeamId},
    serde_json::Value,
    settings::LogSettings,
    std::sync::Arc,
    wire::{
        Dialer, Peer, Stream, Traffic, TrafficClass,
        msg::{FEED_PATH, FromControl, LEDGER_PATH, ToControl},
    },
};

const INTENT: &str = r#"
[[team]]
name = "inspection"
tokens = ["sha256:0101010101010101010101010101010101010101010101010101010101010101"]
rate-per-second = 200
running = 100
queued = 50
[[service]]
name = "auditstore"
kind = "plain"
bound-permille = 1250
minimum = 1
claim-ms = 86400000
[[endpoint]]
name = "auditstore-1"
service = "auditstore"
addr = "127.0.0.1:7101"
domain = "prg-a"
fencing = "checked"
"#;

async fn open_stream(replica: &TestReplica, path: &str) -> Stream {
    let dialer =
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control };
    Peer::new(replica.control.internal_addr(), dialer).open(path).await.unwrap()
}

fn hello(revision: u64) -> ToControl {
    ToControl::Hello {
        host: HostName("e1".into()),
        process: 7,
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: Domain("prg-a".into()),
        revision: Revision(revision),
        digest: Digest::default(),
    }
}

async fn open_feed(replica: &TestReplica) -> (Stream, RouterId) {
    let mut stream = open_stream(replica, FEED_PATH).await;
    stream.send.send(&hello(0)).await.unwrap();
    let FromControl::Welcome { router } = receive(&mut stream).await else { panic!("no welcome") };
    (stream, router)
}

async fn call_ledger(replica: &TestReplica, call: &LedgerCall) -> LedgerReply {
    let mut stream = open_stream(replica, LEDGER_PATH).await;
    stream.send.send(call).await.unwrap();
    stream.recv.recv().await.unwrap().unwrap()
}

async fn receive(stream: &mut Stream) -> FromControl {
    stream.recv.recv().await.unwrap().unwrap()
}

async fn send_heartbeat(stream: &mut Stream, seq: u64) {
    let heartbeat = ToControl::Heartbeat {
        seq,
        revision: Revision(0),
        epoch: 0.into(),
        leaving: false,
        busy: false,
        sums: Default::default(),
        residual_work: Default::default(),
    };
    stream.send.send(&heartbeat).await.unwrap();
}

/// Sends a heartbeat after each reply until the router is in the roster.
async fn join_roster(stream: &mut Stream, router: RouterId) {
    send_heartbeat(stream, 1).await;
    loop {
        match receive(stream).await {
            FromControl::HeartbeatReply { seq, .. } => send_heartbeat(stream, seq + 1).await,
            FromControl::Roster(roster) if roster.get(router).is_some() => return,
            _ => {}
        }
    }
}

#[tokio::test]
async fn a_confirmed_plan_reaches_a_router_as_a_delta() {
    let replica = TestReplica::start().await;
    let (mut stream, router) = open_feed(&replica).await;
    let FromControl::Config(config) = receive(&mut stream).await else {
        panic!("no configuration")
    };
    let mut config = Config::clone(&config);
    join_roster(&mut stream, router).await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    let delta = loop {
        if let FromControl::Delta(delta) = receive(&mut stream).await {
            break delta;
        }
    };
    config.apply(&delta).unwrap();
    assert_eq!(config.revision, Revision(1));
    assert_eq!(config.endpoints.len(), 1);
    let status = replica.get("/v1/status").await;
    assert_eq!((&status["revision"], &status["behind"]), (&1.into(), &1.into()), "{status}");
    replica.control.shutdown().await;
}

#[tokio::test]
async fn a_refused_intent_changes_nothing_and_is_audited() {
    let replica = TestReplica::start().await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    let invalid_intent = INTENT.replace("service = \"auditstore\"", "service = \"nowhere\"");
    let (status, refused) = replica.post("/v1/plans", "op-2", &invalid_intent).await;
    assert_eq!(status, 422, "{refused}");
    assert_eq!(refused["error"]["aggregate"], "endpoint auditstore-1");
    assert_eq!(refused["error"]["rule"], "unknown-service");
    assert_eq!(replica.post("/v1/plans", "op-3", "[[team").await.0, 400);
    assert_eq!(replica.post("/v1/plans/plan-9/confirm", "op-4", "").await.0, 404);
    assert_eq!(replica.post("/v1/endpoints/auditstore-1/drain", "op-5", "").await.0, 422);
    assert_eq!(replica.get("/v1/status").await["revision"], 1);
    let audit = replica.get("/v1/audit").await;
    let records = audit["records"].as_array().unwrap();
    assert_eq!(records.len(), 6, "{audit}");
    assert!(records[2]["event"].as_str().unwrap().starts_with("refused: endpoint auditstore-1"));
    assert_eq!(records[2]["operator"], "alice");
    replica.control.shutdown().await;
}

#[tokio::test]
async fn an_unknown_operator_is_refused() {
    let replica = TestReplica::start().await;
    let (status, _) = replica.call("POST", "/v1/plans", "op-1", INTENT, "guess").await;
    assert_eq!(status, 401);
    assert_eq!(replica.get("/v1/audit").await["records"], Value::Array(Vec::new()));
    replica.control.shutdown().await;
}

#[tokio::test]
async fn a_claimed_key_is_answered_from_the_ledger() {
    let replica = TestReplica::start().await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    let (mut stream, router) = open_feed(&replica).await;
    let key = ClaimKey::new(TeamId(1), ServiceId(1), b"evidence-1");
    let claim = ClaimStep::Claim { request: Digest::of(b"body") };
    let call = |id: u128, step: ClaimStep| LedgerCall { key, router, id: RequestId(id), step };
    assert_eq!(call_ledger(&replica, &call(1, claim.clone())).await, LedgerReply::NotLive);
    join_roster(&mut stream, router).await;
    assert_eq!(call_ledger(&replica, &call(1, claim.clone())).await, LedgerReply::Granted);
    assert_eq!(call_ledger(&replica, &call(2, claim.clone())).await, LedgerReply::InProgress);
    let answer = Arc::new(RecordedAnswer::new(201, [], "stored".into()));
    let done = ClaimStep::Done { answer: answer.clone() };
    assert_eq!(call_ledger(&replica, &call(1, done)).await, LedgerReply::Noted);
    assert_eq!(call_ledger(&replica, &call(3, claim)).await, LedgerReply::Recorded(answer));
    replica.control.shutdown().await;
}

#[tokio::test]
async fn a_router_with_a_newer_revision_than_the_replica_is_rejected() {
    let replica = TestReplica::start().await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    let mut stream = open_stream(&replica, FEED_PATH).await;
    stream.send.send(&hello(2)).await.unwrap();
    assert!(matches!(receive(&mut stream).await, FromControl::NotLeader { .. }));
    replica.control.shutdown().await;
}

#[tokio::test]
async fn a_restart_preserves_the_state() {
    let replica = TestReplica::start().await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    let (_, router) = open_feed(&replica).await;
    let planned = replica.post("/v1/plans", "base-plan", INTENT).await;
    let audit = replica.get("/v1/audit").await;
    let replica = replica.restart().await;
    assert_eq!(replica.get("/v1/audit").await, audit);
    assert_eq!(replica.post("/v1/plans", "base-plan", INTENT).await, planned);
    let (mut stream, router_after_restart) = open_feed(&replica).await;
    assert_eq!(router_after_restart, router);
    let FromControl::Config(config) = receive(&mut stream).await else {
        panic!("no configuration")
    };
    assert_eq!(config.revision, Revision(1));
    replica.control.shutdown().await;
}

#[tokio::test]
async fn the_metrics_page_shows_the_revision() {
    let replica = TestReplica::start().await;
    assert_eq!(replica.apply_intent("base", INTENT).await, 1);
    replica.control.serve_metrics(telemetry::init(&LogSettings::default()).unwrap());
    let result =
        replica.client.call(replica.control.admin_addr(), "GET", "/metrics", None, empty()).await;
    let (status, page) = result.unwrap();
    let page = String::from_utf8(page.to_vec()).unwrap();
    assert_eq!(status, 200);
    assert!(page.contains("jasminefront_control_state{value=\"revision\"} 1"), "{page}");
    replica.control.shutdown().await;
}

/// Guards against a process that lives on after its replica has stopped for good.
#[tokio::test]
async fn a_replica_that_cannot_open_its_data_folder_again_fails() {
    let replica = TestReplica::start().await;
    let data = replica.data_dir();
    // The file exists while the replica replaces its metadata.
    while let Err(err) = std::os::unix::fs::symlink("/dev/full", data.join("aside.tmp")) {
        assert_eq!(err.kind(), std::io::ErrorKind::AlreadyExists);
    }
    std::fs::write(data.join("meta"), "damaged").unwrap();
    let plan = replica.post("/v1/plans", "a-plan", INTENT);
    let failed = async {
        tokio::select! {
            err = replica.control.failed() => err,
            // The plan itself is not written to the metadata file, but its commit index is.
            _ = plan => replica.control.failed().await,
        }
    };
    let err = tokio::time::timeout(std::time::Duration::from_secs(10), failed).await.unwrap();
    assert!(err.to_string().contains("the replica has stopped"), "{err}");
}

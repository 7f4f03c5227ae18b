//! One real replica over sockets: plan, confirm, feeds, refusals.

mod common;

use {
    common::Bench,
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

async fn stream(bench: &Bench, path: &str) -> Stream {
    let dialer =
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control };
    Peer::new(bench.control.inner(), dialer).open(path).await.unwrap()
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

async fn feed(bench: &Bench) -> (Stream, RouterId) {
    let mut stream = stream(bench, FEED_PATH).await;
    stream.send.send(&hello(0)).await.unwrap();
    let FromControl::Welcome { router } = next(&mut stream).await else { panic!("no welcome") };
    (stream, router)
}

async fn ledger(bench: &Bench, call: &LedgerCall) -> LedgerReply {
    let mut stream = stream(bench, LEDGER_PATH).await;
    stream.send.send(call).await.unwrap();
    stream.recv.recv().await.unwrap().unwrap()
}

async fn next(stream: &mut Stream) -> FromControl {
    stream.recv.recv().await.unwrap().unwrap()
}

async fn heartbeat(stream: &mut Stream, seq: u64) {
    let beat = ToControl::Heartbeat {
        seq,
        revision: Revision(0),
        epoch: 0.into(),
        leaving: false,
        busy: false,
        sums: Default::default(),
        residual_work: Default::default(),
    };
    stream.send.send(&beat).await.unwrap();
}

/// Sends a heartbeat after each answer, until the router is in the roster.
async fn join(stream: &mut Stream, router: RouterId) {
    heartbeat(stream, 1).await;
    loop {
        match next(stream).await {
            FromControl::HeartbeatReply { seq, .. } => heartbeat(stream, seq + 1).await,
            FromControl::Roster(roster) if roster.get(router).is_some() => return,
            _ => {}
        }
    }
}

#[tokio::test]
async fn a_confirmed_plan_reaches_a_router_as_a_delta() {
    let bench = Bench::open().await;
    let (mut stream, router) = feed(&bench).await;
    let FromControl::Config(config) = next(&mut stream).await else { panic!("no configuration") };
    let mut config = Config::clone(&config);
    join(&mut stream, router).await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    let delta = loop {
        if let FromControl::Delta(delta) = next(&mut stream).await {
            break delta;
        }
    };
    config.apply(&delta).unwrap();
    assert_eq!(config.revision, Revision(1));
    assert_eq!(config.endpoints.len(), 1);
    let status = bench.get("/v1/status").await;
    assert_eq!((&status["revision"], &status["behind"]), (&1.into(), &1.into()), "{status}");
    bench.control.shutdown().await;
}

#[tokio::test]
async fn a_refused_intent_changes_nothing_and_is_audited() {
    let bench = Bench::open().await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    let wrong = INTENT.replace("service = \"auditstore\"", "service = \"nowhere\"");
    let (status, refused) = bench.post("/v1/plans", "op-2", &wrong).await;
    assert_eq!(status, 422, "{refused}");
    assert_eq!(refused["error"]["aggregate"], "endpoint auditstore-1");
    assert_eq!(refused["error"]["rule"], "unknown-service");
    assert_eq!(bench.post("/v1/plans", "op-3", "[[team").await.0, 400);
    assert_eq!(bench.post("/v1/plans/plan-9/confirm", "op-4", "").await.0, 404);
    assert_eq!(bench.post("/v1/endpoints/auditstore-1/drain", "op-5", "").await.0, 422);
    assert_eq!(bench.get("/v1/status").await["revision"], 1);
    let audit = bench.get("/v1/audit").await;
    let records = audit["records"].as_array().unwrap();
    assert_eq!(records.len(), 6, "{audit}");
    assert!(records[2]["event"].as_str().unwrap().starts_with("refused: endpoint auditstore-1"));
    assert_eq!(records[2]["operator"], "alice");
    bench.control.shutdown().await;
}

#[tokio::test]
async fn an_unknown_operator_is_refused() {
    let bench = Bench::open().await;
    let (status, _) = bench.call("POST", "/v1/plans", "op-1", INTENT, "guess").await;
    assert_eq!(status, 401);
    assert_eq!(bench.get("/v1/audit").await["records"], Value::Array(Vec::new()));
    bench.control.shutdown().await;
}

#[tokio::test]
async fn a_claimed_key_is_answered_from_the_ledger() {
    let bench = Bench::open().await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    let (mut stream, router) = feed(&bench).await;
    let key = ClaimKey::new(TeamId(1), ServiceId(1), b"evidence-1");
    let claim = ClaimStep::Claim { request: Digest::of(b"body") };
    let call = |id: u128, step: ClaimStep| LedgerCall { key, router, id: RequestId(id), step };
    assert_eq!(ledger(&bench, &call(1, claim.clone())).await, LedgerReply::NotLive);
    join(&mut stream, router).await;
    assert_eq!(ledger(&bench, &call(1, claim.clone())).await, LedgerReply::Granted);
    assert_eq!(ledger(&bench, &call(2, claim.clone())).await, LedgerReply::InProgress);
    let answer = Arc::new(RecordedAnswer::new(201, [], "stored".into()));
    let done = ClaimStep::Done { answer: answer.clone() };
    assert_eq!(ledger(&bench, &call(1, done)).await, LedgerReply::Noted);
    assert_eq!(ledger(&bench, &call(3, claim)).await, LedgerReply::Recorded(answer));
    bench.control.shutdown().await;
}

#[tokio::test]
async fn a_router_ahead_of_the_replica_is_not_taken_back() {
    let bench = Bench::open().await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    let mut stream = stream(&bench, FEED_PATH).await;
    stream.send.send(&hello(2)).await.unwrap();
    assert!(matches!(next(&mut stream).await, FromControl::NotLeader { .. }));
    bench.control.shutdown().await;
}

#[tokio::test]
async fn a_restart_loses_nothing() {
    let bench = Bench::open().await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    let (_, router) = feed(&bench).await;
    let planned = bench.post("/v1/plans", "base-plan", INTENT).await;
    let audit = bench.get("/v1/audit").await;
    let bench = bench.reopen().await;
    assert_eq!(bench.get("/v1/audit").await, audit);
    assert_eq!(bench.post("/v1/plans", "base-plan", INTENT).await, planned);
    let (mut stream, again) = feed(&bench).await;
    assert_eq!(again, router);
    let FromControl::Config(config) = next(&mut stream).await else { panic!("no configuration") };
    assert_eq!(config.revision, Revision(1));
    bench.control.shutdown().await;
}

#[tokio::test]
async fn the_metrics_page_shows_the_revision() {
    let bench = Bench::open().await;
    assert_eq!(bench.bring("base", INTENT).await, 1);
    bench.control.serve_metrics(telemetry::open(&LogSettings::default()).unwrap());
    let called = bench.client.call(bench.control.admin(), "GET", "/metrics", None, empty()).await;
    let (status, page) = called.unwrap();
    let page = String::from_utf8(page.to_vec()).unwrap();
    assert_eq!(status, 200);
    assert!(page.contains("jasminefront_control_state{value=\"revision\"} 1"), "{page}");
    bench.control.shutdown().await;
}

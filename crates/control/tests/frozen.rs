//! Messages and state as commit 0d4d3b9 encoded them, which this build must read, and encode in the same way.
//!
//! The files in `frozen` were written by the types of that commit. A test that fails here means that a host of that
//! build and one of this build misunderstand each other while a deployment is upgraded or rolled back.

mod common;

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    common::TestReplica,
    control::{Command, LeaderCall, LeaderReply, Output, State},
    directory::{BuildId, Catalog, CatalogDelta, ListedEndpoint},
    dispatch::{LimitReport, LoadChunk},
    intent::{Action, Document, Operation, PlanId, WeightStore},
    ledger::{ClaimKey, ClaimStep, LedgerCall},
    model::{
        Digest, Domain, Epoch, HostName, OperationId, RequestId, Roster, RouterEntry, RouterId,
        RouterState, ServiceId, TeamId, Term,
    },
    origin::{Message, Origin, Record, StreamKey, Wanted},
    quarantine::{AnswerReport, Report, Subject},
    quorum::{Entry, Payload},
    replica::StateMachine,
    route::PublishOutcome,
    rstest::rstest,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, fs, net::SocketAddr, path::PathBuf},
    wire::{
        Compressed,
        msg::{RelayRequest, WatchHello, WatchRequest, WatchUpdate},
    },
};

const INTENT: &str = r#"
[[service]]
name = "po-app"
kind = "plain"
bound-permille = 1250
minimum = 0
claim-ms = 1000
"#;

fn frozen_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/frozen").join(format!("{name}.bin"))
}

fn frozen(name: &str) -> Vec<u8> {
    fs::read(frozen_path(name)).unwrap()
}

/// Checks that the file decodes to `value`, and that `value` is encoded as in the file.
fn check<T>(name: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + fmt::Debug,
{
    let bytes = frozen(name);
    let (decoded, consumed) = decode_from_slice::<T, _>(&bytes, standard()).unwrap();
    assert_eq!((&decoded, consumed), (value, bytes.len()), "{name}");
    assert_eq!(encode_to_vec(value, standard()).unwrap(), bytes, "{name}");
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn domain() -> Domain {
    Domain("mct-a".into())
}

fn listed(id: &str, draining: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: "po-app".into(),
        addr: addr(7_001),
        domain: domain(),
        slots: 6,
        draining,
        started_at_ms: Some(1_764_000_000_000),
        build: Some("2026.11".into()),
    }
}

/// Compression may differ between builds, so only the decompressed bytes are compared.
#[test]
fn list_of_endpoints() {
    let catalog = Catalog::from_endpoints(&[listed("e-1", false), listed("e-2", true)]);
    check("catalog", &catalog);
    let compressed = Compressed::compress(&frozen("catalog")).unwrap();
    assert_eq!(compressed.decode::<Catalog>().unwrap(), catalog);
    // What a later build appends must not keep this one, or 0d4d3b9, from reading the list.
    let extended = [frozen("catalog"), vec![1, 2, 3]].concat();
    let compressed = Compressed::compress(&extended).unwrap();
    assert_eq!(compressed.decode::<Catalog>().unwrap(), catalog);
}

#[test]
fn messages_of_watch_and_relay_streams() {
    let hello = WatchHello { addr: addr(7_002), domain: domain(), version: Some(41) };
    check("watch-hello", &hello);
    check("watch-request-layout", &WatchRequest::Layout { installed_version: Some(40) });
    check("watch-request-catalog", &WatchRequest::Catalog);
    check("relay-request", &RelayRequest { installed_version: None, wants_catalog: true });
}

#[rstest]
#[case("announce", WatchUpdate::Announce { version: 42 })]
#[case("layout", WatchUpdate::Layout(Compressed::from_compressed(vec![1, 2, 3])))]
#[case("layout-delta", WatchUpdate::LayoutDelta(Compressed::from_compressed(vec![4, 5])))]
#[case("catalog", WatchUpdate::Catalog(Compressed::from_compressed(vec![6])))]
#[case("catalog-delta", WatchUpdate::CatalogDelta(CatalogDelta {
    changed: vec![listed("e-3", false)],
    removed: vec!["e-1".into()],
}))]
#[case("fleet", WatchUpdate::Fleet {
    routers: vec![(addr(7_003), domain())],
    replicas: vec![addr(7_004)],
})]
#[case("fleet-delta", WatchUpdate::FleetDelta {
    added: vec![(addr(7_005), domain())],
    removed: vec![addr(7_003)],
    replicas: vec![addr(7_004), addr(7_006)],
})]
#[case("heartbeat", WatchUpdate::Heartbeat { has_leader: true, listing_is_recent: false })]
#[case("refer", WatchUpdate::Refer { version: 42, router: addr(7_005) })]
fn updates_of_watch_streams(#[case] name: &str, #[case] update: WatchUpdate) {
    check(&format!("watch-update-{name}"), &update);
}

#[test]
fn calls_of_the_leader() {
    check("leader-call-publish", &LeaderCall::Publish { version: 7, document: vec![9, 8, 7] });
    check("leader-call-newest", &LeaderCall::NewestVersion);
    let overtaken = PublishOutcome::Overtaken { version: 8 };
    check("leader-reply-published", &LeaderReply::Published(overtaken));
    check("leader-reply-newest", &LeaderReply::NewestVersion(Some(8)));
    check("leader-reply-not-leader", &LeaderReply::NotLeader);
    check("leader-reply-unknown", &LeaderReply::Unknown);
}

fn operation(id: &str, at_ms: u64, action: Action) -> Command {
    Command::Operation(Box::new(Operation {
        id: OperationId(id.into()),
        operator: "omar".into(),
        at_ms,
        action,
        live: [].into(),
        weights: WeightStore::default(),
    }))
}

fn commands() -> Vec<Command> {
    let entry = RouterEntry {
        id: RouterId(1),
        addr: addr(7_007),
        domain: domain(),
        state: RouterState::Live,
        acked: Epoch(0),
        lost: Epoch(0),
    };
    let claim = LedgerCall {
        key: ClaimKey::new(TeamId(1), ServiceId(1), b"approval-1"),
        router: RouterId(1),
        id: RequestId(5),
        step: ClaimStep::Claim { request: Digest::of(b"claim") },
    };
    vec![
        operation("op-1", 1_000, Action::Plan(Document::parse(INTENT).unwrap())),
        operation("op-2", 2_000, Action::Confirm { plan: PlanId(1) }),
        Command::Register {
            host: HostName("g-1".into()),
            process: 99,
            addr: addr(7_007),
            domain: domain(),
        },
        Command::Roster(Roster { epoch: Epoch(1), routers: [entry].into_iter().collect() }),
        Command::Ledger { at_ms: 3_000, call: claim },
        Command::Quarantine { at_ms: 4_000, fingerprint: Digest::of(b"poison") },
        Command::Publish { version: 7, document: vec![9, 8, 7] },
        Command::Barrier,
    ]
}

#[test]
fn commands_and_outputs_of_the_log() {
    check("commands", &commands());
    let entry = |(at, it): (usize, &Command)| Entry {
        index: at as u64 + 2,
        term: Term(1),
        payload: Payload::Command(encode_to_vec(it, standard()).unwrap().into()),
    };
    check("log-entries", &commands().iter().enumerate().map(entry).collect::<Vec<_>>());
    let outputs = [
        Output::Router(RouterId(1)),
        Output::Roster(true),
        Output::Quarantined,
        Output::Published(PublishOutcome::InForce),
        Output::Nothing,
        Output::Malformed,
    ];
    check("outputs", &outputs);
}

/// The state of a group without evacuations has no section, so its snapshot is that of 0d4d3b9.
#[test]
fn snapshot() {
    let mut state = State::default();
    commands().into_iter().for_each(|it| drop(state.execute(1, it)));
    let mut restored = State::default();
    restored.restore(&frozen("snapshot")).unwrap();
    assert_eq!(restored, state);
    assert_eq!(restored.snapshot(), frozen("snapshot"));
}

#[tokio::test]
async fn data_folder() {
    let replica = TestReplica::start_on(&frozen_path("snapshot").with_file_name("folder")).await;
    assert_eq!(replica.get("/v1/status").await["revision"], 1);
    assert_eq!(replica.get("/v1/layout").await["version"], 7);
    assert_eq!(replica.get("/v1/audit").await["records"].as_array().unwrap().len(), 2);
}

/// The fields of a gossip message in their order; its type is private to the gateway.
type Gossip = (u8, u8, u64, u64, Option<LoadChunk>, Vec<(u64, u64)>);

#[test]
fn datagrams_of_gateways() {
    let loads = LoadChunk { from: 0, to: u64::MAX, loads: Vec::new() };
    let gossip: Gossip = (3, 0, 11, 12, Some(loads), vec![(13, 14)]);
    check("gossip", &gossip);
    let limit = LimitReport { incarnation: 15, rate: Some(2.5), age_ms: 16, hops: 1 };
    check("limits", &(0x83_u8, vec![limit]));
    let report = Report {
        subject: Subject::Request(17),
        crashes: vec![(18, 19)],
        answer: Some(AnswerReport { age_ms: 20, hops: 2 }),
        trials: 1,
        tried_ms: 21,
    };
    check("crashes", &(0x82_u8, quarantine::Message::Tell(vec![report])));
}

#[rstest]
#[case("tell", Message::Tell(vec![record()]))]
#[case("ask", Message::Ask(wanted()))]
#[case("known", Message::Known(record()))]
#[case("not-known", Message::NotKnown { wanted: wanted(), only: Some(BuildId(25)) })]
fn datagrams_on_origins(#[case] name: &str, #[case] message: Message) {
    check(&format!("origin-{name}"), &(0x81_u8, message));
}

fn record() -> Record {
    let origin = Origin { service: 22, build: BuildId(23) };
    Record { key: StreamKey(24), origin, keep_ms: 30_000 }
}

fn wanted() -> Wanted {
    Wanted { key: Some(StreamKey(24)), service: Some(22), max_age_ms: 60_000 }
}

//! The origins of streams at the UDP socket of a replica.

mod common;

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write, encode_to_vec},
    },
    common::TestReplica,
    directory::{BuildId, Directory, DirectoryError, ListedEndpoint, Listing},
    edge::empty,
    model::{Domain, hash64},
    origin::{Message, Origin, Record, StreamKey, Wanted},
    rstest::rstest,
    settings::LogSettings,
    std::time::Duration,
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

const FORMAT_VERSION: u8 = 0x81;

struct OneVersion;

impl Directory for OneVersion {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        let endpoint = ListedEndpoint {
            id: "e1".into(),
            service: "model".into(),
            addr: "127.0.0.1:9".parse().unwrap(),
            domain: Domain("d0".into()),
            slots: 1,
            draining: false,
            started_at_ms: None,
            build: Some("v1".into()),
        };
        Ok(Listing { endpoints: vec![endpoint], calls: 1, cold: Vec::new() })
    }
}

/// A gateway's socket.
struct Gateway(UdpSocket);

impl Gateway {
    async fn start(replica: &TestReplica) -> Gateway {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.connect(replica.control.internal_addr()).await.unwrap();
        let gateway = Gateway(socket);
        // The replica binds its socket right after its start.
        while gateway.ask(wanted(0, 1_000)).await.is_none() {}
        gateway
    }

    async fn send(&self, message: &Message) {
        let mut datagram = vec![FORMAT_VERSION];
        encode_into_std_write(message, &mut datagram, standard()).unwrap();
        self.send_bytes(&datagram).await;
    }

    async fn send_bytes(&self, bytes: &[u8]) {
        // An earlier datagram may have been refused before the replica bound its socket.
        let _ = self.0.send(bytes).await;
    }

    async fn ask(&self, wanted: Wanted) -> Option<Message> {
        self.send(&Message::Ask(wanted)).await;
        self.receive().await
    }

    async fn receive(&self) -> Option<Message> {
        let mut buffer = [0; 2_000];
        let received = timeout(Duration::from_millis(300), self.0.recv(&mut buffer)).await;
        let len = received.ok()?.ok()?;
        assert_eq!(buffer[0], FORMAT_VERSION);
        Some(decode_from_slice(&buffer[1..len], standard()).unwrap().0)
    }
}

fn wanted(key: u64, max_age_ms: u64) -> Wanted {
    Wanted { key: Some(StreamKey(key)), service: Some(hash64(b"model")), max_age_ms }
}

fn record(key: u64, version: &str) -> Record {
    let origin = Origin { service: hash64(b"model"), build: BuildId(hash64(version.as_bytes())) };
    Record { key: StreamKey(key), origin, keep_ms: 60_000 }
}

fn is_known(message: Option<Message>, record: &Record) -> bool {
    matches!(message, Some(Message::Known(it)) if it.key == record.key && it.origin == record.origin)
}

/// Guards against losing what a gateway told before it was killed.
#[tokio::test]
async fn replica_tells_a_gateway_what_another_one_told() {
    let replica = TestReplica::start().await;
    let (first, second) = (Gateway::start(&replica).await, Gateway::start(&replica).await);
    let record = record(7, "v1");
    first.send(&Message::Tell(vec![record])).await;
    drop(first);
    sleep(Duration::from_millis(50)).await;
    assert!(is_known(second.ask(wanted(7, 1_000)).await, &record));
    replica.control.shutdown().await;
}

/// Guards against joining two streams whose client used an attempt id twice.
#[tokio::test]
async fn replica_reports_an_attempt_that_began_streams_at_two_versions() {
    let replica = TestReplica::start().await;
    let gateway = Gateway::start(&replica).await;
    gateway.send(&Message::Tell(vec![record(7, "v1")])).await;
    gateway.send(&Message::Tell(vec![record(7, "v2")])).await;
    let answer = gateway.ask(wanted(7, 1_000)).await;
    assert!(matches!(answer, Some(Message::Conflict { .. })), "{answer:?}");
    replica.control.shutdown().await;
}

/// Guards against datagrams that end the task, or that disturb other gateways.
#[rstest]
#[case::empty(&[])]
#[case::other_format(&[0x83, 1, 2, 3])]
#[case::gossip(&[3, 0, 0])]
#[case::only_the_format(&[FORMAT_VERSION])]
#[case::unknown_variant(&[FORMAT_VERSION, 77, 1, 2])]
#[case::cut_off(&[FORMAT_VERSION, 0, 5, 1])]
#[case::endless_length(&[FORMAT_VERSION, 0, 0xfd, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f])]
#[case::large(&[0xff; 60_000])]
#[tokio::test]
async fn malformed_datagram_harms_nobody(#[case] bytes: &[u8]) {
    let replica = TestReplica::start().await;
    let gateway = Gateway::start(&replica).await;
    let record = record(7, "v1");
    gateway.send(&Message::Tell(vec![record])).await;
    let other = Gateway::start(&replica).await;
    other.send_bytes(bytes).await;
    assert_eq!(other.receive().await, None, "a malformed message was answered");
    assert!(is_known(gateway.ask(wanted(7, 1_000)).await, &record));
    replica.control.shutdown().await;
}

/// Guards against unknown and foreign ids, and answers that were not asked for, which must change
/// nothing for other streams.
#[tokio::test]
async fn unknown_ids_and_unexpected_messages_change_nothing() {
    let replica = TestReplica::start().await;
    let gateway = Gateway::start(&replica).await;
    // The same attempt id of two teams.
    let (own, foreign) = (StreamKey::new("one", b"a"), StreamKey::new("two", b"a"));
    let own = Record { key: own, ..record(0, "v1") };
    gateway.send(&Message::Tell(vec![own])).await;
    for key in [u64::MAX, 0, foreign.0] {
        let not_known = Message::NotKnown { wanted: wanted(key, 1_000), only: None };
        assert_eq!(gateway.ask(wanted(key, 1_000)).await, Some(not_known));
    }
    let unnamed = Wanted { key: None, service: None, max_age_ms: u64::MAX };
    let not_known = Message::NotKnown { wanted: unnamed, only: None };
    assert_eq!(gateway.ask(unnamed).await, Some(not_known));
    gateway.send(&Message::Known(Record { key: own.key, ..record(0, "v2") })).await;
    let not_known = Message::NotKnown { wanted: wanted(own.key.0, 1_000), only: None };
    gateway.send(&not_known).await;
    gateway.send(&Message::Tell(vec![Record { keep_ms: u64::MAX, ..record(9, "v3") }; 500])).await;
    assert!(is_known(gateway.ask(wanted(own.key.0, 1_000)).await, &own));
    replica.control.shutdown().await;
}

/// Guards against a proof by lists that are too young, and against counts that are not exported.
#[tokio::test]
async fn replica_proves_a_single_version_by_the_lists_that_it_read() {
    let mut replica = TestReplica::start().await;
    replica.control.poll_directory(OneVersion);
    let gateway = Gateway::start(&replica).await;
    let answer = gateway.ask(wanted(7, 60_000)).await;
    let not_known = |wanted, only| Message::NotKnown { wanted, only };
    assert_eq!(answer, Some(not_known(wanted(7, 60_000), None)));
    sleep(Duration::from_millis(600)).await;
    let only = Some(record(0, "v1").origin.build);
    let answer = gateway.ask(wanted(7, 500)).await;
    assert_eq!(answer, Some(not_known(wanted(7, 500), only)));
    replica.control.serve_metrics(telemetry::init(&LogSettings::default()).unwrap());
    let admin = replica.control.admin_addr();
    let page = replica.client.call(admin, "GET", "/metrics", None, empty()).await.unwrap().1;
    let page = String::from_utf8(page.to_vec()).unwrap();
    assert!(page.contains("jasminefront_control_state{value=\"origin_answers\"}"), "{page}");
    replica.control.shutdown().await;
}

/// Guards against messages that a gateway or replica of commit 0d4d3b9 reads otherwise. It knows
/// none of the variants from 4 on.
#[test]
fn encoding_of_messages_does_not_change() {
    let origin = Origin { service: 2, build: BuildId(3) };
    let record = Record { key: StreamKey(1), origin, keep_ms: 4 };
    let wanted = Wanted { key: Some(StreamKey(1)), service: None, max_age_ms: 5 };
    let not_known = Message::NotKnown { wanted, only: Some(BuildId(6)) };
    let conflict = Message::Conflict { key: StreamKey(7), keep_ms: 8 };
    for (message, bytes) in [
        (Message::Tell(vec![record]), &[0, 1, 1, 2, 3, 4][..]),
        (Message::Ask(wanted), &[1, 1, 1, 0, 5]),
        (Message::Known(record), &[2, 1, 2, 3, 4]),
        (not_known, &[3, 1, 1, 0, 5, 1, 6]),
        (conflict, &[4, 7, 8]),
    ] {
        assert_eq!(encode_to_vec(&message, standard()).unwrap(), bytes);
        assert_eq!(decode_from_slice(bytes, standard()).unwrap(), (message, bytes.len()));
    }
}

/// Guards against the end of the process or of its receiving task by a datagram that claims a length of 2^60.
#[tokio::test]
async fn replica_answers_after_malformed_datagrams() {
    let replica = TestReplica::start().await;
    let gateway = Gateway::start(&replica).await;
    for variant in 0..6 {
        for count in 0..8 {
            let numbers = vec![1; count];
            let start = [&[FORMAT_VERSION, variant], &numbers[..]].concat();
            gateway.send_bytes(&[&start[..], &[253, 0, 0, 0, 0, 0, 0, 0, 16]].concat()).await;
            gateway.send_bytes(&start).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
    let other = Gateway::start(&replica).await;
    assert!(other.ask(wanted(7, 1_000)).await.is_some());
    replica.control.shutdown().await;
}

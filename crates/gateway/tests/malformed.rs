//! Malformed datagrams at the socket of a gateway.

mod common;

use {
    bincode::serde::encode_to_vec,
    common::{Behavior, Client, Endpoint, Site, layout},
    origin::{Message, StreamKey, Wanted},
    rstest::rstest,
    std::time::Duration,
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

/// The encoding of the length 2^60, as `bincode` has it.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 16];

/// Guards against the end of the process or of its receiving task by a datagram that claims a length of 2^60, or has
/// extreme numbers.
#[rstest]
#[case::gossip(3)]
#[case::origins(0x81)]
#[case::quarantine(0x82)]
#[case::limits(0x83)]
#[case::cold(0x84)]
#[case::outages(0x86)]
#[tokio::test]
async fn a_gateway_serves_on_after_malformed_datagrams(#[case] version: u8) {
    let endpoint = Endpoint::start(vec![Behavior::Respond; 2]).await;
    let site = Site::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let settings = site.gateway_settings("d0");
    let inner = settings.inner;
    let gateway = site.start_gateway(settings).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for variant in 0..5 {
        for filler in [&[0][..], &[1], &[255], &[253, 255, 255, 255, 255, 255, 255, 255, 255]] {
            for count in 0..12 {
                let start = [&[version, variant], &filler.repeat(count)[..]].concat();
                for datagram in [[&start, &HUGE_LENGTH[..]].concat(), start] {
                    socket.send_to(&datagram, inner).await.unwrap();
                }
            }
        }
        // Leaves the gateway time to empty the buffer of its socket.
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Client::new(gateway.gateway.addr()).call("/read/").await.status, 200);

    // A panic ends only the task that receives datagrams. Another socket has no answers to earlier datagrams.
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let wanted = Wanted { key: Some(StreamKey(7)), service: None, max_age_ms: 1_000 };
    let question = encode_to_vec(Message::Ask(wanted), bincode::config::standard()).unwrap();
    let mut buffer = [0; 2_000];
    let mut is_answered = false;
    for _ in 0..10 {
        socket.send_to(&[&[0x81], &question[..]].concat(), inner).await.unwrap();
        is_answered |= timeout(Duration::from_millis(300), socket.recv(&mut buffer)).await.is_ok();
    }
    assert!(is_answered, "the gateway receives no datagrams");
}

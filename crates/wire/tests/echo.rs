//! Streams between a peer and a listener, over real sockets.

use wire::{Dialer, Listener, Peer, Traffic, TrafficClass};

async fn echo(mut listener: Listener) {
    while let Some(incoming) = listener.accept().await {
        tokio::spawn(async move {
            let (mut send, mut recv) = incoming.stream.split();
            while let Ok(Some(text)) = recv.recv::<String>().await {
                send.send(&text).await.unwrap();
            }
            send.finish();
        });
    }
}

#[tokio::test]
async fn frames_are_echoed_intact_and_in_order() {
    let listener =
        Listener::bind("127.0.0.1:0".parse().unwrap(), None, Traffic::default()).await.unwrap();
    let addr = listener.addr();
    tokio::spawn(echo(listener));
    let traffic = Traffic::default();
    let peer = Peer::new(
        addr,
        Dialer { identity: None, traffic: traffic.clone(), class: TrafficClass::Control },
    );
    let (mut send, mut recv) = peer.open("/echo").await.unwrap().split();
    for len in [0, 1, 70_000, 3 << 20] {
        let text = "x".repeat(len);
        send.send(&text).await.unwrap();
        assert_eq!(recv.recv::<String>().await.unwrap().unwrap(), text);
    }
    send.finish();
    assert!(recv.recv::<String>().await.unwrap().is_none());
    assert!(traffic.sent(TrafficClass::Control) > 3 << 20);
}

#[tokio::test]
async fn a_malformed_frame_ends_only_its_own_stream() {
    let listener =
        Listener::bind("127.0.0.1:0".parse().unwrap(), None, Traffic::default()).await.unwrap();
    let addr = listener.addr();
    tokio::spawn(echo(listener));
    let peer = Peer::new(
        addr,
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control },
    );
    let mut valid = peer.open("/echo").await.unwrap();
    let mut malformed = peer.open("/echo").await.unwrap();
    malformed.send.send(&[0xffu8; 9]).await.unwrap();
    assert!(!matches!(malformed.recv.recv::<String>().await, Ok(Some(_))));
    valid.send.send(&"still open").await.unwrap();
    assert_eq!(valid.recv.recv::<String>().await.unwrap().unwrap(), "still open");
}

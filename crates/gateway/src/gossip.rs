//! Gossip of this gateway's load to other gateways, over UDP.
//!
//! A lost datagram costs some accuracy until the next one arrives. With 320 routers, a full
//! exchange would exceed the traffic allowed for control, so the interval grows with the number of
//! routers.

use {
    crate::shared::Shared,
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    dispatch::LoadReport,
    eyre::{Result, WrapErr},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// The base interval between messages, in milliseconds. Some requests finish in less.
const INTERVAL_MS: u64 = 200;

/// How much the interval grows per router, in milliseconds.
const INTERVAL_PER_ROUTER_MS: u64 = 10;

/// Unchanged loads are sent again after this many intervals, before peers expire them.
const REPEAT_INTERVALS: u32 = 4;

/// The maximum number of prompt parts in a datagram.
const MAX_PROMPT_PARTS: usize = 128;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A gossip message. Encoded by `bincode`, so the order of the fields is the wire format.
#[derive(Serialize, Deserialize)]
struct GossipMessage {
    router: u64,
    /// The load that the sender placed on each endpoint, keyed by the hash of the endpoint's id.
    loads: Vec<(u64, LoadReport)>,
    /// Prompt parts that endpoints started to process, with the hash of the endpoint's id.
    placed: Vec<(u64, u64)>,
    /// Fingerprints of requests, with the incarnation of an endpoint that crashed while running
    /// them.
    strikes: Vec<(u64, u64)>,
}

/// Binds the UDP socket at the internal address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr)
        .await
        .wrap_err_with(|| format!("gateway: failed to bind {addr} for gossip"))
}

/// Sends messages for as long as the process runs.
pub(crate) async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let own = shared.settings.inner;
    let (mut last_loads, mut unchanged) = (Vec::new(), 0_u32);
    loop {
        let peers: Vec<_> = {
            let membership = shared.membership.lock();
            membership.routers.iter().map(|it| it.0).filter(|it| *it != own).collect()
        };
        sleep(Duration::from_millis(INTERVAL_MS + INTERVAL_PER_ROUTER_MS * peers.len() as u64))
            .await;
        let (mut loads, placed) = {
            let mut dispatcher = shared.dispatcher.lock();
            (dispatcher.local_loads(), dispatcher.take_new_parts(MAX_PROMPT_PARTS))
        };
        loads.sort_unstable_by_key(|it| it.0);
        let strikes = std::mem::take(&mut *shared.unsent_strikes.lock());
        unchanged = if loads == last_loads { unchanged + 1 } else { 0 };
        let still_idle = loads.is_empty() && unchanged > 0;
        let has_updates = !strikes.is_empty() || !placed.is_empty();
        if !has_updates && (still_idle || !unchanged.is_multiple_of(REPEAT_INTERVALS)) {
            continue;
        }
        last_loads = loads.clone();
        let message = GossipMessage { router: shared.instance_id, loads, placed, strikes };
        let Ok(bytes) = encode_to_vec(&message, standard()) else { continue };
        for peer in peers {
            if let Err(err) = socket.send_to(&bytes, peer).await {
                tracing::debug!("gateway: failed to send gossip to {peer}: {err}");
            }
        }
    }
}

/// Receives messages for as long as the process runs.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let (len, from) = match received {
            Ok(it) => it,
            Err(err) => {
                tracing::debug!("gateway: failed to receive gossip: {err}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        match decode_from_slice::<GossipMessage, _>(&buffer[..len], standard()) {
            Ok((message, _)) => apply(&shared, &message),
            Err(err) => tracing::debug!("gateway: failed to decode gossip from {from}: {err}"),
        }
    }
}

fn apply(shared: &Shared, message: &GossipMessage) {
    if message.router == shared.instance_id {
        return;
    }
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    dispatcher.apply_peer_report(now, message.router, &message.loads);
    dispatcher.record_peer_parts(now, &message.placed);
    drop(dispatcher);
    let mut crashes = shared.crashes.lock();
    for (fingerprint, incarnation) in &message.strikes {
        crashes.record_crash(now, *fingerprint, *incarnation);
    }
}

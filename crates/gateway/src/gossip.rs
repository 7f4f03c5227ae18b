//! Gossip of load to other gateways, over UDP.
//!
//! Each gateway reports what it runs. In a large fleet only gateways of its domain get the loads, and
//! relays exchange the sums of the domains ([`dispatch::Exchange`]); all get its new prompt parts.
//! A lost datagram costs some accuracy until the next one arrives.
//!
//! The messages on origins of streams ([`crate::origins`]), on crashes ([`crate::quarantine`]), on limits
//! of endpoints ([`crate::limits`]) and on the demand of teams ([`crate::demand`]) have the same socket and another first byte.

use {
    crate::{demand, limits, origins, quarantine, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::Debug,
    dispatch::{Exchange, LoadChunk, Reporter},
    eyre::{Result, WrapErr},
    model::{MILLISECOND, Time, hash64},
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// The version of the message format. Messages of other versions are refused.
const FORMAT_VERSION: u8 = 3;

/// The base interval between reports, in milliseconds. Some requests finish in less.
const INTERVAL_MS: u64 = 200;

/// How much the interval grows per gateway that gets the reports, in milliseconds. Prompt parts
/// go to gateways of other domains at this interval alone.
const INTERVAL_PER_ROUTER_MS: u64 = 10;

/// After this time, unchanged loads are sent again, before gateways that have them expire them, in
/// milliseconds.
const REPEAT_MS: u64 = 800;

/// The interval between the sums that one relay sends to other domains, in milliseconds.
const SUM_INTERVAL_MS: u64 = 500;

/// A relay sends the sum of the other domains to its own one after this many intervals, as it has
/// more receivers there.
const OTHER_DOMAINS_INTERVALS: usize = 2;

/// The maximum number of prompt parts that a gateway reports at a time.
const MAX_REPORT_PARTS: usize = 128;

/// The maximum number of loads in a datagram, so that it fits into a packet.
const MAX_DATAGRAM_LOADS: usize = 48;

/// The maximum number of prompt parts in a datagram.
const MAX_DATAGRAM_PARTS: usize = 32;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Whose loads a message contains.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Scope {
    /// One gateway's.
    Gateway,
    /// Those of all gateways of a domain, for the relays of others.
    Domain,
    /// Those of all gateways of all domains but one, for the gateways of that one.
    OtherDomains,
}

/// A gossip message. Encoded by `bincode`, so the order of the fields is the wire format.
#[derive(Serialize, Deserialize)]
struct GossipMessage {
    version: u8,
    scope: Scope,
    /// The process that sent the message first.
    router: u64,
    /// The hash of its domain.
    domain: u64,
    /// The load placed on some of the endpoints.
    loads: Option<LoadChunk>,
    /// Prompt parts that endpoints started to process, with the hash of the endpoint's id.
    placed: Vec<(u64, u64)>,
}

/// Binds the UDP socket at the internal address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr)
        .await
        .wrap_err_with(|| format!("gateway: failed to bind {addr} for gossip"))
}

pub(crate) fn exchange(shared: &Shared) -> Exchange {
    let membership = shared.membership.lock();
    let members = membership.routers.iter().map(|it| (it.0, &it.1));
    Exchange::new(shared.settings.inner, &shared.settings.domain, members)
}

pub(crate) fn domain_hash(shared: &Shared) -> u64 {
    hash64(shared.settings.domain.0.as_bytes())
}

/// Sends this gateway's reports for as long as the process runs.
pub(crate) async fn send_reports(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let (mut last_loads, mut repeat_at) = (Vec::new(), Time(0));
    let (mut unsent_parts, mut parts_at) = (Vec::new(), Time(0));
    loop {
        let Exchange { direct, indirect, .. } = exchange(&shared);
        let interval_ms = INTERVAL_MS + INTERVAL_PER_ROUTER_MS * direct.len() as u64;
        sleep(Duration::from_millis(interval_ms)).await;
        let now = shared.now();
        let (mut loads, placed) = {
            let mut dispatcher = shared.dispatcher.lock();
            (dispatcher.local_loads(), dispatcher.take_new_parts(MAX_REPORT_PARTS))
        };
        loads.sort_unstable_by_key(|it| it.0);
        unsent_parts.extend(&placed);
        let is_due = !loads.is_empty() && now >= repeat_at;
        if loads != last_loads || !placed.is_empty() || is_due {
            last_loads.clone_from(&loads);
            repeat_at = now + REPEAT_MS * MILLISECOND;
            let loads = LoadChunk::split(loads, MAX_DATAGRAM_LOADS);
            send(&socket, &encode(&shared, Scope::Gateway, loads, &placed), direct).await;
        }
        if !unsent_parts.is_empty() && now >= parts_at {
            parts_at = now + INTERVAL_PER_ROUTER_MS * indirect.len() as u64 * MILLISECOND;
            let placed = std::mem::take(&mut unsent_parts);
            send(&socket, &encode(&shared, Scope::Gateway, Vec::new(), &placed), indirect).await;
        }
    }
}

/// Exchanges the sums of domains while this gateway is a relay, for as long as the process runs.
pub(crate) async fn send_sums(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    for round in 0.. {
        sleep(Duration::from_millis(SUM_INTERVAL_MS)).await;
        let exchange = exchange(&shared);
        if shared.is_relay.swap(exchange.is_relay, Ordering::Relaxed) != exchange.is_relay {
            tracing::info!(
                event = "relay",
                is_relay = exchange.is_relay,
                "gateway: role in the exchange of loads changed"
            );
        }
        if !exchange.is_relay {
            continue;
        }
        let now = shared.now();
        let sums = |scope, loads| {
            let loads = LoadChunk::split(loads, MAX_DATAGRAM_LOADS);
            encode(&shared, scope, loads, &[])
        };
        let loads = shared.dispatcher.lock().domain_loads(now);
        send(&socket, &sums(Scope::Domain, loads), exchange.remote_relays(round)).await;
        if round % OTHER_DOMAINS_INTERVALS == 0 {
            let loads = shared.dispatcher.lock().other_domains_loads(now);
            let datagrams = sums(Scope::OtherDomains, loads);
            // All at once would hold up the streams on the gateway's link.
            let pause = Duration::from_millis(SUM_INTERVAL_MS) / (exchange.direct.len() + 1) as u32;
            for peer in exchange.direct {
                send(&socket, &datagrams, [peer]).await;
                sleep(pause).await;
            }
        }
    }
}

/// Encodes loads and prompt parts as datagrams.
fn encode(
    shared: &Shared,
    scope: Scope,
    loads: Vec<LoadChunk>,
    placed: &[(u64, u64)],
) -> Vec<Vec<u8>> {
    let mut loads = loads.into_iter();
    let mut placed = placed.chunks(MAX_DATAGRAM_PARTS);
    let mut datagrams = Vec::new();
    loop {
        let (loads, placed) = (loads.next(), placed.next());
        if loads.is_none() && placed.is_none() {
            return datagrams;
        }
        let message = GossipMessage {
            version: FORMAT_VERSION,
            scope,
            router: shared.instance_id,
            domain: domain_hash(shared),
            loads,
            placed: placed.unwrap_or_default().to_vec(),
        };
        datagrams.extend(encode_to_vec(&message, standard()).ok());
    }
}

async fn send<I>(socket: &UdpSocket, datagrams: &[Vec<u8>], to: I)
where
    I: IntoIterator<Item = SocketAddr>,
{
    for peer in to {
        for datagram in datagrams {
            if let Err(err) = socket.send_to(datagram, peer).await {
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
        if buffer[..len].first() == Some(&origins::FORMAT_VERSION) {
            origins::receive(&shared, from, &buffer[1..len]).await;
            continue;
        }
        if buffer[..len].first() == Some(&quarantine::FORMAT_VERSION) {
            quarantine::receive(&shared, from, &buffer[1..len]).await;
            continue;
        }
        if buffer[..len].first() == Some(&limits::FORMAT_VERSION) {
            limits::receive(&shared, from, &buffer[1..len]);
            continue;
        }
        if buffer[..len].first() == Some(&demand::FORMAT_VERSION) {
            demand::receive(&shared, from, &buffer[1..len]);
            continue;
        }
        match decode_from_slice::<GossipMessage, _>(&buffer[..len], standard()) {
            Ok((message, _)) if message.version != FORMAT_VERSION => {
                let version = message.version;
                tracing::debug!("gateway: refused gossip of version {version} from {from}");
            }
            Ok((message, _)) => apply(&shared, &message),
            Err(err) => tracing::debug!("gateway: failed to decode gossip from {from}: {err}"),
        }
    }
}

fn apply(shared: &Shared, message: &GossipMessage) {
    let is_local = message.domain == domain_hash(shared);
    let is_relay = shared.is_relay.load(Ordering::Relaxed);
    let GossipMessage { router, placed, .. } = message;
    let reporter = match (message.scope, is_local) {
        _ if *router == shared.instance_id => return,
        (Scope::Gateway, true) => Reporter::LocalRouter(*router),
        (Scope::Gateway, false) => Reporter::RemoteRouter(*router),
        (Scope::Domain, false) => Reporter::Domain(message.domain),
        (Scope::OtherDomains, true) if !is_relay => Reporter::OtherDomains,
        // Relays get the sum of each other domain. Sums for another domain are from before a
        // change of the members.
        (Scope::Domain | Scope::OtherDomains, _) => return,
    };
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    if let Some(loads) = &message.loads {
        dispatcher.apply_peer_report(now, reporter, loads);
    }
    dispatcher.record_peer_parts(now, placed);
}

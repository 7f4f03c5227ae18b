//! Gossip of load to other gateways, over UDP.
//!
//! Each gateway reports what it runs. In a large fleet only gateways of its domain get the report,
//! and relays exchange the sums of the domains ([`dispatch::Exchange`]). A lost datagram costs some
//! accuracy until the next one arrives.

use {
    crate::shared::Shared,
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::Debug,
    dispatch::{Exchange, LoadReport, Reporter},
    eyre::{Result, WrapErr},
    model::{MILLISECOND, Time, hash64},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// The version of the message format. Messages of other versions are refused.
const FORMAT_VERSION: u8 = 2;

/// The base interval between reports, in milliseconds. Some requests finish in less.
const INTERVAL_MS: u64 = 200;

/// How much the interval grows per gateway that gets the reports, in milliseconds.
const INTERVAL_PER_ROUTER_MS: u64 = 10;

/// After this time, unchanged loads are sent again, before gateways that have them expire them, in
/// milliseconds.
const REPEAT_MS: u64 = 800;

/// The interval between the sums that one relay sends, in milliseconds.
const SUM_INTERVAL_MS: u64 = 1_000;

/// The maximum number of prompt parts in a report.
const MAX_REPORT_PARTS: usize = 128;

/// The maximum number of prompt parts in the message of a relay.
const MAX_SUM_PARTS: usize = 512;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Whose loads a message contains.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Scope {
    /// One gateway's.
    Gateway,
    /// Those of all gateways of a domain, for a relay of another domain.
    Domain,
    /// The same, passed on by the relay that received it.
    RelayedDomain,
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
    /// The load placed on each endpoint, keyed by the hash of the endpoint's id.
    loads: Vec<(u64, LoadReport)>,
    /// Prompt parts that endpoints started to process, with the hash of the endpoint's id.
    placed: Vec<(u64, u64)>,
    /// Fingerprints of requests, with the incarnation of an endpoint that crashed while running
    /// them.
    strikes: Vec<(u64, u64)>,
}

/// What a relay has learned in its domain and not sent to other domains yet.
#[derive(Default, Debug)]
pub(crate) struct RelayOutbox {
    is_relay: bool,
    placed: Vec<(u64, u64)>,
    strikes: Vec<(u64, u64)>,
}

impl RelayOutbox {
    fn push(&mut self, placed: &[(u64, u64)], strikes: &[(u64, u64)]) {
        if self.is_relay {
            self.placed.extend(placed);
            self.strikes.extend(strikes);
        }
    }
}

/// Binds the UDP socket at the internal address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr)
        .await
        .wrap_err_with(|| format!("gateway: failed to bind {addr} for gossip"))
}

fn exchange(shared: &Shared) -> Exchange {
    let membership = shared.membership.lock();
    let members = membership.routers.iter().map(|it| (it.0, &it.1));
    Exchange::new(shared.settings.inner, &shared.settings.domain, members)
}

fn domain_hash(shared: &Shared) -> u64 {
    hash64(shared.settings.domain.0.as_bytes())
}

/// Sends this gateway's reports for as long as the process runs.
pub(crate) async fn send_reports(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let (mut last_loads, mut repeat_at) = (Vec::new(), Time(0));
    loop {
        let Exchange { direct, .. } = exchange(&shared);
        let interval_ms = INTERVAL_MS + INTERVAL_PER_ROUTER_MS * direct.len() as u64;
        sleep(Duration::from_millis(interval_ms)).await;
        let now = shared.now();
        let (mut loads, placed) = {
            let mut dispatcher = shared.dispatcher.lock();
            (dispatcher.local_loads(), dispatcher.take_new_parts(MAX_REPORT_PARTS))
        };
        loads.sort_unstable_by_key(|it| it.0);
        let strikes = std::mem::take(&mut *shared.unsent_strikes.lock());
        shared.relay_outbox.lock().push(&placed, &strikes);
        let is_changed = loads != last_loads || !strikes.is_empty() || !placed.is_empty();
        let is_due = !loads.is_empty() && now >= repeat_at;
        if !is_changed && !is_due {
            continue;
        }
        last_loads.clone_from(&loads);
        repeat_at = now + REPEAT_MS * MILLISECOND;
        let message = GossipMessage {
            version: FORMAT_VERSION,
            scope: Scope::Gateway,
            router: shared.instance_id,
            domain: domain_hash(&shared),
            loads,
            placed,
            strikes,
        };
        send(&socket, &message, direct).await;
    }
}

/// Sends the sums of this gateway's domain to other domains while it is a relay, for as long as the
/// process runs.
pub(crate) async fn send_sums(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    for round in 0.. {
        sleep(Duration::from_millis(SUM_INTERVAL_MS)).await;
        let exchange = exchange(&shared);
        let (placed, strikes) = {
            let mut outbox = shared.relay_outbox.lock();
            if outbox.is_relay != exchange.is_relay {
                tracing::info!(
                    event = "relay",
                    is_relay = exchange.is_relay,
                    "gateway: role in the exchange of loads changed"
                );
            }
            outbox.is_relay = exchange.is_relay;
            let from = outbox.placed.len().saturating_sub(MAX_SUM_PARTS);
            let placed = outbox.placed.split_off(from);
            outbox.placed.clear();
            (placed, std::mem::take(&mut outbox.strikes))
        };
        if !exchange.is_relay {
            continue;
        }
        let message = GossipMessage {
            version: FORMAT_VERSION,
            scope: Scope::Domain,
            router: shared.instance_id,
            domain: domain_hash(&shared),
            loads: shared.dispatcher.lock().domain_loads(shared.now()),
            placed,
            strikes,
        };
        send(&socket, &message, exchange.remote_relays(round)).await;
    }
}

async fn send<I>(socket: &UdpSocket, message: &GossipMessage, to: I)
where
    I: IntoIterator<Item = SocketAddr>,
{
    let Ok(bytes) = encode_to_vec(message, standard()) else { return };
    for peer in to {
        if let Err(err) = socket.send_to(&bytes, peer).await {
            tracing::debug!("gateway: failed to send gossip to {peer}: {err}");
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
            Ok((message, _)) if message.version != FORMAT_VERSION => {
                let version = message.version;
                tracing::debug!("gateway: refused gossip of version {version} from {from}");
            }
            Ok((message, _)) => receive_message(&shared, &socket, message).await,
            Err(err) => tracing::debug!("gateway: failed to decode gossip from {from}: {err}"),
        }
    }
}

async fn receive_message(shared: &Shared, socket: &UdpSocket, message: GossipMessage) {
    apply(shared, &message);
    if message.scope == Scope::Domain && message.domain != domain_hash(shared) {
        let message = GossipMessage { scope: Scope::RelayedDomain, ..message };
        send(socket, &message, exchange(shared).direct).await;
    }
}

fn apply(shared: &Shared, message: &GossipMessage) {
    let is_local = message.domain == domain_hash(shared);
    let reporter = match message.scope {
        Scope::Gateway if message.router == shared.instance_id => return,
        Scope::Gateway if is_local => Reporter::LocalRouter(message.router),
        Scope::Gateway => Reporter::RemoteRouter(message.router),
        // The own domain's routers report themselves.
        Scope::Domain | Scope::RelayedDomain if is_local => return,
        Scope::Domain | Scope::RelayedDomain => Reporter::Domain(message.domain),
    };
    if matches!(reporter, Reporter::LocalRouter(_)) {
        shared.relay_outbox.lock().push(&message.placed, &message.strikes);
    }
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    dispatcher.apply_peer_report(now, reporter, &message.loads);
    dispatcher.record_peer_parts(now, &message.placed);
    drop(dispatcher);
    let mut crashes = shared.crashes.lock();
    for (fingerprint, incarnation) in &message.strikes {
        crashes.record_crash(now, *fingerprint, *incarnation);
    }
}

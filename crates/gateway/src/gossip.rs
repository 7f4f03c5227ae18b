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

/// The interval between the sums that one relay sends to other domains, in milliseconds.
const SUM_INTERVAL_MS: u64 = 500;

/// A relay sends the sum of the other domains to its own one after this many intervals, as it has
/// more receivers there.
const OTHER_DOMAINS_INTERVALS: usize = 2;

/// The maximum number of prompt parts in a report.
const MAX_REPORT_PARTS: usize = 128;

/// The maximum number of prompt parts in the message of a relay.
const MAX_SUM_PARTS: usize = 256;

/// The maximum number of prompt parts that a relay keeps for later messages.
const MAX_UNSENT_PARTS: usize = 8_192;

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
    /// The load placed on each endpoint, keyed by the hash of the endpoint's id.
    loads: Vec<(u64, LoadReport)>,
    /// Prompt parts that endpoints started to process, with the hash of the endpoint's id.
    placed: Vec<(u64, u64)>,
    /// Fingerprints of requests, with the incarnation of an endpoint that crashed while running
    /// them.
    strikes: Vec<(u64, u64)>,
}

/// What a relay has learned and not passed on yet.
#[derive(Default, Debug)]
pub(crate) struct RelayOutbox {
    is_relay: bool,
    /// From the own domain, for others.
    domain: News,
    /// From other domains, for the own one.
    other_domains: News,
}

/// Prompt parts and crashes, as in a [`GossipMessage`].
#[derive(Default, Debug)]
struct News {
    placed: Vec<(u64, u64)>,
    strikes: Vec<(u64, u64)>,
}

impl News {
    /// Adds news. If there is too much, later prompt parts are dropped.
    fn push(&mut self, placed: &[(u64, u64)], strikes: &[(u64, u64)]) {
        let room = MAX_UNSENT_PARTS.saturating_sub(self.placed.len());
        self.placed.extend(placed.iter().take(room));
        self.strikes.extend(strikes);
    }

    /// Takes the news for one message, the oldest first.
    fn take(&mut self) -> News {
        let len = self.placed.len().min(MAX_SUM_PARTS);
        let placed = self.placed.drain(..len).collect();
        News { placed, strikes: std::mem::take(&mut self.strikes) }
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
        {
            let mut outbox = shared.relay_outbox.lock();
            if outbox.is_relay {
                outbox.domain.push(&placed, &strikes);
            }
        }
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

/// Exchanges the sums of domains while this gateway is a relay, for as long as the process runs.
pub(crate) async fn send_sums(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    for round in 0.. {
        sleep(Duration::from_millis(SUM_INTERVAL_MS)).await;
        let exchange = exchange(&shared);
        set_relay(&shared, exchange.is_relay);
        if !exchange.is_relay {
            continue;
        }
        let message = |scope, loads, news: News| GossipMessage {
            version: FORMAT_VERSION,
            scope,
            router: shared.instance_id,
            domain: domain_hash(&shared),
            loads,
            placed: news.placed,
            strikes: news.strikes,
        };
        let now = shared.now();
        let loads = shared.dispatcher.lock().domain_loads(now);
        let news = shared.relay_outbox.lock().domain.take();
        let sum = message(Scope::Domain, loads, news);
        send(&socket, &sum, exchange.remote_relays(round)).await;
        if round % OTHER_DOMAINS_INTERVALS == 0 {
            let loads = shared.dispatcher.lock().other_domains_loads(now);
            let news = shared.relay_outbox.lock().other_domains.take();
            let sum = message(Scope::OtherDomains, loads, news);
            // All at once would hold up the streams on the gateway's link.
            let pause = Duration::from_millis(SUM_INTERVAL_MS) / (exchange.direct.len() + 1) as u32;
            for peer in exchange.direct {
                send(&socket, &sum, [peer]).await;
                sleep(pause).await;
            }
        }
    }
}

fn set_relay(shared: &Shared, is_relay: bool) {
    let mut outbox = shared.relay_outbox.lock();
    if outbox.is_relay != is_relay {
        tracing::info!(event = "relay", is_relay, "gateway: role in the exchange of loads changed");
        *outbox = RelayOutbox { is_relay, ..RelayOutbox::default() };
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
            Ok((message, _)) => apply(&shared, &message),
            Err(err) => tracing::debug!("gateway: failed to decode gossip from {from}: {err}"),
        }
    }
}

fn apply(shared: &Shared, message: &GossipMessage) {
    let is_local = message.domain == domain_hash(shared);
    let GossipMessage { router, placed, strikes, .. } = message;
    if *router == shared.instance_id {
        return;
    }
    let is_relay = shared.relay_outbox.lock().is_relay;
    let reporter = match (message.scope, is_local) {
        (Scope::Gateway, true) => Some(Reporter::LocalRouter(*router)),
        (Scope::Gateway, false) => Some(Reporter::RemoteRouter(*router)),
        (Scope::Domain, false) => Some(Reporter::Domain(message.domain)),
        // A relay gets the sum of each other domain by itself.
        (Scope::OtherDomains, true) => (!is_relay).then_some(Reporter::OtherDomains),
        // A message for another domain, from before a change of the members.
        (Scope::Domain, true) | (Scope::OtherDomains, false) => return,
    };
    let now = shared.now();
    let new_parts = {
        let mut dispatcher = shared.dispatcher.lock();
        if let Some(reporter) = reporter {
            dispatcher.apply_peer_report(now, reporter, &message.loads);
        }
        dispatcher.record_peer_parts(now, placed)
    };
    let new_strikes: Vec<_> = {
        let mut crashes = shared.crashes.lock();
        let is_new = |it: &&(u64, u64)| crashes.record_crash(now, it.0, it.1);
        strikes.iter().filter(is_new).copied().collect()
    };
    let mut outbox = shared.relay_outbox.lock();
    match reporter {
        Some(Reporter::LocalRouter(_)) if is_relay => outbox.domain.push(&new_parts, &new_strikes),
        Some(Reporter::Domain(_)) if is_relay => {
            outbox.other_domains.push(&new_parts, &new_strikes);
        }
        _ => {}
    }
}

//! What teams demand of services without slots to spare, told to other gateways over UDP.
//!
//! The reports go the way of loads ([`crate::gossip`]): to the gateways of the own domain, and by relays
//! as sums of domains. Gateways of builds that do not know the message ignore it.

use {
    crate::{gossip, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    dispatch::{DemandReport, DemandScope, Reporter},
    model::{MILLISECOND, Time},
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The version of the message format, the first byte of a datagram. No other message between
/// gateways begins with it.
pub(crate) const FORMAT_VERSION: u8 = 0x85;

/// The shortest interval between reports of one scope, in milliseconds.
const MIN_INTERVAL_MS: u64 = 500;

/// How much the interval grows with each byte that a round sends, in microseconds. A gateway sends
/// under 1 KB/s.
const INTERVAL_PER_BYTE: u64 = 1_100;

/// The maximum number of services in a datagram. It has at most 52 bytes for each.
const MAX_DATAGRAM_SERVICES: usize = 8;

#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Scope {
    Router,
    Domain,
    OtherDomains,
}

/// A message. Encoded by `bincode`, so the order of the fields is the wire format.
#[derive(Serialize, Deserialize, Debug)]
struct Message {
    scope: Scope,
    /// The process that sent the message.
    router: u64,
    /// The hash of its domain.
    domain: u64,
    /// The demand for services, each with the key of the service.
    reports: Vec<(u32, DemandReport)>,
}

/// Sends this gateway's reports, and the sums of domains while it is a relay, for as long as the
/// process runs.
pub(crate) async fn send_reports(shared: Arc<Shared>) {
    let mut due = [Time(0); 3];
    for round in 0.. {
        sleep(Duration::from_millis(MIN_INTERVAL_MS)).await;
        let exchange = gossip::exchange(&shared);
        let mut scopes = vec![(Scope::Router, exchange.direct.clone())];
        if exchange.is_relay {
            scopes.push((Scope::Domain, exchange.remote_relays(round).collect()));
            scopes.push((Scope::OtherDomains, exchange.direct.clone()));
        }
        // A relay has several scopes within the same rate.
        let weight = scopes.len() as u64;
        for (scope, receivers) in scopes {
            let now = shared.now();
            if now < due[scope as usize] {
                continue;
            }
            let sent = send(&shared, scope, &receivers).await as u64;
            let interval = sent * INTERVAL_PER_BYTE * weight;
            due[scope as usize] = now + interval.max(MIN_INTERVAL_MS / 2 * MILLISECOND);
        }
    }
}

/// Sends the reports of one scope. Returns the number of bytes sent.
async fn send(shared: &Shared, scope: Scope, receivers: &[SocketAddr]) -> usize {
    let demand_scope = match scope {
        Scope::Router => DemandScope::Router,
        Scope::Domain => DemandScope::Domain,
        Scope::OtherDomains => DemandScope::OtherDomains,
    };
    let mut reports = shared.dispatcher.lock().demand_reports(shared.now(), demand_scope);
    reports.truncate(MAX_DATAGRAM_SERVICES);
    if reports.is_empty() {
        return 0;
    }
    let (router, domain) = (shared.instance_id, gossip::domain_hash(shared));
    let message = Message { scope, router, domain, reports };
    let mut datagram = vec![FORMAT_VERSION];
    if encode_into_std_write(&message, &mut datagram, standard()).is_err() {
        return 0;
    }
    for to in receivers {
        if let Err(err) = shared.gossip.send_to(&datagram, to).await {
            tracing::debug!("gateway: failed to send demand to {to}: {err}");
        }
    }
    datagram.len() * receivers.len()
}

/// Handles a message, given without the version of its format.
pub(crate) fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let message = match decode_from_slice::<Message, _>(bytes, standard()) {
        Ok((message, _)) => message,
        Err(err) => {
            tracing::debug!("gateway: failed to decode demand from {from}: {err}");
            return;
        }
    };
    let is_local = message.domain == gossip::domain_hash(shared);
    let is_relay = shared.is_relay.load(Ordering::Relaxed);
    let reporter = match (message.scope, is_local) {
        _ if message.router == shared.instance_id => return,
        (Scope::Router, true) => Reporter::LocalRouter(message.router),
        (Scope::Router, false) => Reporter::RemoteRouter(message.router),
        (Scope::Domain, false) => Reporter::Domain(message.domain),
        (Scope::OtherDomains, true) if !is_relay => Reporter::OtherDomains,
        // As for loads, sums for another domain are from before a change of the members.
        (Scope::Domain | Scope::OtherDomains, _) => return,
    };
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    for (service, report) in message.reports {
        dispatcher.apply_demand_report(now, reporter, service, report);
    }
}

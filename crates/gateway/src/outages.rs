//! Tells other gateways which endpoints cannot be used, over UDP.

use {
    crate::{gossip::limited, quarantine::peers, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    dispatch::OutageReport,
    model::hash64,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The first byte of a datagram. No other message between gateways begins with it. Gateways that do
/// not know it drop the datagram.
pub(crate) const FORMAT_VERSION: u8 = 0x86;

/// How long news wait for others. Endpoints that fail are often several.
const NEWS_DELAY: Duration = Duration::from_millis(20);

/// The maximum number of reports in a datagram, so that it fits into a packet.
const MAX_DATAGRAM_REPORTS: usize = 64;

/// A message to other gateways. Encoded by `bincode`, so the order of the fields is the wire format.
#[derive(Serialize, Deserialize)]
struct OutageMessage {
    /// The hash of the sender's failure domain.
    domain: u64,
    reports: Vec<OutageReport>,
}

/// Tells all other gateways what this one found, for as long as the process runs.
pub(crate) async fn send_news(shared: Arc<Shared>) {
    loop {
        shared.outage_news.notified().await;
        sleep(NEWS_DELAY).await;
        let reports = shared.dispatcher.lock().take_outages();
        let domain = hash64(shared.settings.domain.0.as_bytes());
        let receivers = peers(&shared);
        for reports in reports.chunks(MAX_DATAGRAM_REPORTS) {
            let message = OutageMessage { domain, reports: reports.to_vec() };
            send(&shared, &receivers, &message).await;
        }
    }
}

async fn send(shared: &Shared, receivers: &[SocketAddr], message: &OutageMessage) {
    let mut datagram = vec![FORMAT_VERSION];
    if encode_into_std_write(message, &mut datagram, standard()).is_err() {
        return;
    }
    for to in receivers {
        if let Err(err) = shared.gossip.send_to(&datagram, to).await {
            tracing::debug!("gateway: failed to send outages to {to}: {err}");
        }
    }
}

/// Handles a message, given without the version of its format.
pub(crate) fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match decode_from_slice::<OutageMessage, _>(bytes, limited()) {
        Ok((message, _)) => {
            let OutageMessage { domain, reports } = message;
            let avoided = shared.dispatcher.lock().apply_outages(shared.now(), domain, &reports);
            for (endpoint, outage) in avoided {
                shared.metrics.record_send("avoided-by-report");
                tracing::debug!(
                    event = "endpoint-avoided",
                    %endpoint,
                    %outage,
                    %from,
                    "gateway: avoiding endpoint that other gateways cannot use"
                );
            }
        }
        Err(err) => tracing::debug!("gateway: failed to decode outages from {from}: {err}"),
    }
}

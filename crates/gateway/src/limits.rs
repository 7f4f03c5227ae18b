//! What endpoints say about how many requests they take, told to other gateways over UDP.

use {
    crate::{gossip::limited, quarantine::peers, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    dispatch::{EndpointHandle, LimitChange, LimitReport},
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// The version of the message format, the first byte of a datagram. No other message between
/// gateways begins with it.
pub(crate) const FORMAT_VERSION: u8 = 0x83;

/// How long news wait for others. Endpoints in need are often several.
const NEWS_DELAY: Duration = Duration::from_millis(20);

/// How often a gateway tells another one what it knows. This brings what was lost, or missed while the
/// other one did not run or was cut off.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of reports in a datagram, so that it fits into a packet.
const MAX_DATAGRAM_REPORTS: usize = 40;

/// Records what an endpoint said in a response.
pub(crate) fn record(shared: &Shared, endpoint: EndpointHandle, rate: Option<f64>) {
    let change = shared.dispatcher.lock().record_limit(shared.now(), endpoint, rate);
    if let Some(change) = change {
        log_change(&change, "endpoint");
        shared.limit_news.notify_one();
    }
}

/// Tells all other gateways what has changed, and one of them after the other all that is known, for
/// as long as the process runs.
pub(crate) async fn send_reports(shared: Arc<Shared>) {
    loop {
        let has_news = timeout_at(Instant::now() + REPEAT_INTERVAL, shared.limit_news.notified());
        let has_news = has_news.await.is_ok();
        if has_news {
            sleep(NEWS_DELAY).await;
        }
        let reports = shared.dispatcher.lock().limit_reports(shared.now());
        if reports.is_empty() {
            continue;
        }
        let mut receivers = peers(&shared);
        if !has_news {
            receivers = receivers.into_iter().choose(&mut rand::rng()).into_iter().collect();
        }
        for reports in reports.chunks(MAX_DATAGRAM_REPORTS) {
            send(&shared, &receivers, reports).await;
        }
    }
}

async fn send(shared: &Shared, receivers: &[SocketAddr], reports: &[LimitReport]) {
    let mut datagram = vec![FORMAT_VERSION];
    if encode_into_std_write(reports, &mut datagram, standard()).is_err() {
        return;
    }
    for to in receivers {
        if let Err(err) = shared.gossip.send_to(&datagram, to).await {
            tracing::debug!("gateway: failed to send limits to {to}: {err}");
        }
    }
}

/// Handles a message, given without the version of its format.
pub(crate) fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match decode_from_slice::<Vec<LimitReport>, _>(bytes, limited()) {
        Ok((reports, _)) => {
            let changes = shared.dispatcher.lock().apply_limit_reports(shared.now(), &reports);
            changes.iter().for_each(|it| log_change(it, "gateway"));
        }
        Err(err) => tracing::debug!("gateway: failed to decode limits from {from}: {err}"),
    }
}

fn log_change(change: &LimitChange, source: &str) {
    tracing::info!(
        event = "endpoint-limit",
        endpoint = %change.endpoint,
        rate = change.rate,
        share = change.share,
        source,
        "gateway: limit of endpoint changed"
    );
}

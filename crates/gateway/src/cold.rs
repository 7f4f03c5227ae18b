//! Which endpoints are believed to be cold: logged, and told to other gateways over UDP.

use {
    crate::{gossip::limited, quarantine::peers, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    dispatch::{Assignment, ColdChange, ColdReport},
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// The version of the message format, the first byte of a datagram. Builds that do not know it drop
/// the datagram. Readers ignore what follows the reports.
pub(crate) const FORMAT_VERSION: u8 = 0x84;

/// How often beliefs that no event announces are looked for: those from lists, and those that ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a gateway tells another one what it believes. This brings what was lost, or missed while
/// the other one did not run or was cut off.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of reports in a datagram, so that it fits into a packet.
const MAX_DATAGRAM_REPORTS: usize = 64;

/// How many others are told at once that an endpoint has turned cold. The list of endpoints says so
/// too, and each of them tells as many.
const MAX_NEWS_RECEIVERS: usize = 8;

/// Records how much longer an endpoint says that it is cold.
pub(crate) fn record(shared: &Shared, pick: &Assignment, remaining_ms: u32) {
    shared.dispatcher.lock().record_cold(shared.now(), pick, remaining_ms);
    shared.cold_news.notify_one();
}

/// Logs what changes and tells other gateways, for as long as the process runs.
pub(crate) async fn send_reports(shared: Arc<Shared>) {
    let mut repeat_at = Instant::now() + REPEAT_INTERVAL;
    loop {
        let woken = timeout_at(Instant::now() + CHECK_INTERVAL, shared.cold_news.notified());
        // Both ends of the wait mean to look for changes.
        let _ = woken.await;
        let changes = shared.dispatcher.lock().take_cold_changes(shared.now());
        changes.iter().for_each(|it| log_change(&shared, it));
        let has_news = changes.iter().any(|it| it.remaining_ms > 0);
        if !has_news && Instant::now() < repeat_at {
            continue;
        }
        repeat_at = Instant::now() + REPEAT_INTERVAL;
        let reports = shared.dispatcher.lock().cold_reports(shared.now());
        if reports.is_empty() {
            continue;
        }
        let count = if has_news { MAX_NEWS_RECEIVERS } else { 1 };
        let receivers = peers(&shared).into_iter().choose_multiple(&mut rand::rng(), count);
        for reports in reports.chunks(MAX_DATAGRAM_REPORTS) {
            send(&shared, &receivers, reports).await;
        }
    }
}

async fn send(shared: &Shared, receivers: &[SocketAddr], reports: &[ColdReport]) {
    let mut datagram = vec![FORMAT_VERSION];
    if encode_into_std_write(reports, &mut datagram, standard()).is_err() {
        return;
    }
    for to in receivers {
        if let Err(err) = shared.gossip.send_to(&datagram, to).await {
            tracing::debug!("gateway: failed to send cold endpoints to {to}: {err}");
        }
    }
}

/// Handles a message, given without the version of its format.
pub(crate) fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match decode_from_slice::<Vec<ColdReport>, _>(bytes, limited()) {
        Ok((reports, _)) => {
            shared.dispatcher.lock().apply_cold_reports(shared.now(), &reports);
            shared.cold_news.notify_one();
        }
        Err(err) => tracing::debug!("gateway: failed to decode cold endpoints from {from}: {err}"),
    }
}

fn log_change(shared: &Shared, change: &ColdChange) {
    let ColdChange { endpoint, source, remaining_ms, share } = change;
    let (event, text) =
        if *remaining_ms > 0 { ("endpoint-cold", "begun") } else { ("endpoint-warm", "ended") };
    shared.metrics.record_cold(source.to_string(), text);
    tracing::info!(
        event,
        endpoint = %endpoint,
        %source,
        remaining_ms,
        share,
        "gateway: belief that endpoint is cold has {text}"
    );
}

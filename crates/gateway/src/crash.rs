//! Detects whether an endpoint crashed before it began to answer a request.

use {
    crate::{call::Call, detour, evacuations, shared::Shared},
    dispatch::Assignment,
    model::Name,
    std::{fmt::Write, io, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// How long after a broken connection the endpoint is probed again: a process that ends refuses
/// connections by then.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// The timeout of a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of parts of a prompt in a line of the log.
const MAX_LOGGED_PARTS: usize = 64;

/// Records a crash against a request if its endpoint refuses connections, of another gateway too if
/// one can tell. A connection that was merely reset says nothing, nor does an endpoint that cannot be
/// reached, nor one that refuses only this gateway.
pub(crate) fn probe(call: &Call, pick: &Assignment) {
    let (shared, pick) = (call.shared.clone(), pick.clone());
    let subjects: Vec<_> = call.subjects().collect();
    let request = call.head.id().to_owned();
    let route = call.found.route.name.clone();
    let parts = format_parts(call.head.shared_parts());
    let broke_at = shared.now();
    let service = call.found.service.name.clone();
    tokio::spawn(async move {
        if !refuses_connections(&shared, &service, &pick).await {
            sleep(PROBE_DELAY).await;
            if !refuses_connections(&shared, &service, &pick).await {
                return;
            }
        }
        let now = shared.now();
        let is_new =
            shared.quarantine.lock().record_crash(now, &subjects, pick.incarnation, broke_at);
        shared.crash_news.notify_one();
        if is_new {
            shared.metrics.record_send("crashed");
            tracing::warn!(
                event = "strike",
                subject = subjects.first().map(ToString::to_string),
                endpoint = %pick.id,
                request,
                %route,
                parts,
                "gateway: endpoint crashed while running a request"
            );
        }
    });
}

async fn refuses_connections(shared: &Arc<Shared>, service: &Name, pick: &Assignment) -> bool {
    // An evacuated endpoint is not probed, and may end for the reason that it is evacuated for.
    if evacuations::is_evacuated(shared, &pick.domain) {
        return false;
    }
    let is_lost = shared.paths.lock().is_lost(service);
    if is_lost {
        return detour::is_refused(shared, pick).await.unwrap_or(false);
    }
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(pick.addr)).await;
    let is_refused =
        matches!(connected, Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused);
    is_refused && detour::is_refused(shared, pick).await.unwrap_or(true)
}

/// Returns the ids of the first parts, and how many more there are.
fn format_parts<I>(mut parts: I) -> String
where
    I: Iterator<Item = u64>,
{
    let mut text = String::new();
    for part in parts.by_ref().take(MAX_LOGGED_PARTS) {
        let separator = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{separator}{part:x}");
    }
    let left = parts.count();
    if left > 0 {
        let _ = write!(text, " and {left} more");
    }
    text
}

//! Detects whether an endpoint crashed before it began to answer a request.

use {
    crate::{call::Call, detour, evacuations, shared::Shared},
    dispatch::{Assignment, Prompt},
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

/// Records a crash against a request if its endpoint refuses connections, of another gateway too if
/// one can tell. A connection that was merely reset says nothing, nor does an endpoint that cannot be
/// reached, nor one that refuses only this gateway.
pub(crate) fn probe(call: &Call, pick: &Assignment) {
    let (shared, pick, subjects) = (call.shared.clone(), pick.clone(), call.subjects.clone());
    let request = call.head.id().to_owned();
    let route = call.found.route.name.clone();
    let parts = call.head.prompt.as_ref().map(format_parts);
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

/// Returns the ids of the parts of a prompt that other prompts may share.
fn format_parts(prompt: &Prompt) -> String {
    let mut text = String::new();
    for part in prompt.shared() {
        let separator = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{separator}{:x}", part.id);
    }
    text
}

//! Detects whether an endpoint crashed while it ran a request.

use {
    crate::call::Call,
    dispatch::{Assignment, Prompt},
    std::{fmt::Write, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// How long to wait after a broken connection before probing: a crashed endpoint refuses
/// connections by then.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// The timeout of the probe connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Records a strike against the request if its endpoint no longer accepts connections. A connection
/// that was merely reset gives no strike.
pub(crate) fn probe(call: &Call, pick: &Assignment) {
    let (shared, pick, fingerprint) = (call.shared.clone(), pick.clone(), call.fingerprint);
    let request = call.head.id().to_owned();
    let parts = call.head.prompt.as_ref().map(format_parts);
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(pick.addr)).await, Ok(Ok(_))) {
            return;
        }
        let new = shared.crashes.lock().record_crash(shared.now(), fingerprint, pick.incarnation);
        if new {
            shared.metrics.record_send("crashed");
            tracing::warn!(
                event = "strike",
                fingerprint = format!("{fingerprint:016x}"),
                endpoint = %pick.id,
                request,
                parts,
                "gateway: endpoint crashed while running a request"
            );
            shared.unsent_strikes.lock().push((fingerprint, pick.incarnation));
        }
    });
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

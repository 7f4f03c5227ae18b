//! Detects whether an endpoint crashed while it ran a request.

use {
    crate::shared::Shared,
    dispatch::Assignment,
    std::{sync::Arc, time::Duration},
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
pub(crate) fn probe(shared: &Arc<Shared>, pick: &Assignment, fingerprint: u64) {
    let (shared, pick) = (shared.clone(), pick.clone());
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(pick.addr)).await, Ok(Ok(_))) {
            return;
        }
        let new = shared.crashes.lock().record_crash(shared.now(), fingerprint, pick.incarnation);
        if new {
            tracing::warn!(
                event = "strike",
                fingerprint = format!("{fingerprint:016x}"),
                endpoint = %pick.id,
                "gateway: endpoint crashed while running a request"
            );
            shared.unsent_strikes.lock().push((fingerprint, pick.incarnation));
        }
    });
}

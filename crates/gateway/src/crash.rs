//! Finding out whether an endpoint crashed while it ran a request.

use {
    crate::shared::Shared,
    dispatch::Pick,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// How long after a broken connection an endpoint that crashed refuses new ones.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// How long the connection that tells may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Gives the request a strike if its endpoint is gone; a connection that was only reset gives none.
pub(crate) fn probe(shared: &Arc<Shared>, pick: &Pick, fingerprint: u64) {
    let (shared, pick) = (shared.clone(), pick.clone());
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(pick.addr)).await, Ok(Ok(_))) {
            return;
        }
        let new = shared.crashes.lock().strike(shared.now(), fingerprint, pick.incarnation);
        if new {
            tracing::warn!(
                event = "strike",
                fingerprint = format!("{fingerprint:016x}"),
                endpoint = %pick.id,
                "gateway: endpoint crashed while it ran a request"
            );
            shared.unsent_strikes.lock().push((fingerprint, pick.incarnation));
        }
    });
}

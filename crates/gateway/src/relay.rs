//! Passes routing configurations on from gateway to gateway.
//!
//! Control hosts have slow links. A control replica that is busy sending a configuration refers a gateway to another
//! gateway that has it.

use {
    crate::{
        layout::{self, installed_version},
        shared::Shared,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::Semaphore,
        time::{Instant, error::Elapsed, timeout, timeout_at},
    },
    wire::{
        Listener, Peer, Step, Stream, WireError,
        msg::{RELAY_PATH, RelayRequest, WatchUpdate},
    },
};

/// How long another gateway may send nothing before it counts as failed. It has the configuration,
/// so that the first bytes arrive soon after the request.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long receiving a configuration from another gateway may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How many gateways are served at the same time. Several replicas may refer gateways to this one.
const MAX_REQUESTS: usize = 8;

/// How long serving one gateway may take.
const SERVE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Accepts requests of other gateways for as long as the process runs.
pub(crate) async fn serve(shared: Arc<Shared>, mut listener: Listener) {
    let slots = Arc::new(Semaphore::new(MAX_REQUESTS));
    while let Some(incoming) = listener.accept().await {
        if incoming.path != RELAY_PATH {
            tracing::warn!(peer = %incoming.peer, path = incoming.path, "gateway: unknown path");
            continue;
        }
        // Dropping the stream tells the other gateway to request the configuration elsewhere.
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let peer = incoming.peer;
            match timeout(SERVE_TIMEOUT, send_layout(&shared, incoming.stream)).await {
                Ok(Ok(bytes)) => tracing::info!(
                    event = "configuration-relayed",
                    %peer,
                    version = installed_version(&shared),
                    bytes,
                    "gateway: sent the configuration to another gateway"
                ),
                Ok(Err(err)) => tracing::debug!("gateway: relaying to {peer} failed: {err}"),
                Err(_) => tracing::debug!("gateway: relaying to {peer} timed out"),
            }
            drop(slot);
        });
    }
}

/// Sends the messages that lead to the installed configuration; returns their size.
async fn send_layout(shared: &Shared, stream: Stream) -> Result<usize, WireError> {
    let (mut send, mut recv) = stream.split();
    let Some(RelayRequest { installed_version }) = recv.recv().await? else { return Ok(0) };
    let history = shared.layout_history.lock().clone();
    let messages = history.iter().flat_map(|it| it.messages_since(installed_version));
    let mut bytes = 0;
    for message in messages {
        bytes += message.size();
        send.send_encoded(message).await?;
    }
    send.finish();
    Ok(bytes)
}

/// Requests the configuration from another gateway, and installs it. If that fails, the request for
/// `version` ends, so that a control replica is asked again.
pub(crate) async fn fetch(shared: Arc<Shared>, provider: SocketAddr, version: u64) {
    let expires_at = Instant::now() + FETCH_TIMEOUT;
    shared.set_layout_request_expiry(version, expires_at);
    let result = timeout_at(expires_at, receive_layout(&shared, provider)).await;
    if installed_version(&shared) >= Some(version) {
        return;
    }
    let err = match result {
        Ok(Ok(())) => "the gateway does not have the version".to_owned(),
        Ok(Err(err)) => err.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    tracing::info!(
        event = "relay-failed",
        version,
        %provider,
        err,
        "gateway: another gateway did not send the configuration"
    );
    shared.set_layout_request_expiry(version, Instant::now());
    shared.layout_changed.send_replace(());
}

async fn receive_layout(shared: &Arc<Shared>, provider: SocketAddr) -> Result<(), WireError> {
    let stalled = |it: Elapsed| WireError::new(Step::Receive, provider, it);
    let peer = Peer::new(provider, shared.dialer.clone());
    let stream = timeout(STALL_TIMEOUT, peer.open(RELAY_PATH)).await.map_err(stalled)??;
    let (mut send, mut recv) = stream.split();
    send.send(&RelayRequest { installed_version: installed_version(shared) }).await?;
    loop {
        let received = recv.received();
        match timeout(STALL_TIMEOUT, recv.recv::<WatchUpdate>()).await {
            Ok(update) => match update? {
                Some(update) => layout::apply(shared, provider, &update)?,
                None => break,
            },
            Err(elapsed) if recv.received() == received => return Err(stalled(elapsed)),
            Err(_) => {}
        }
    }
    send.finish();
    Ok(())
}

//! Tells other gateways which software version began a stream, and asks them, over UDP.

use {
    crate::shared::Shared,
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    origin::{Action, Message, Record, Resolution, Wanted},
    std::net::SocketAddr,
    tokio::{sync::oneshot, time::timeout_at},
};

/// The version of the message format, the first byte of a datagram. No other message between
/// gateways begins with it.
pub(crate) const FORMAT_VERSION: u8 = 0x81;

/// Tells other gateways where a stream begins.
pub(crate) async fn begin(shared: &Shared, record: Record) {
    let actions = shared.origins.lock().begin(shared.now(), record);
    tracing::debug!(
        event = "origin-told",
        stream = %record.key,
        build = %record.origin.build,
        copies = actions.len(),
        "gateway: told other gateways which version begins a stream"
    );
    perform(shared, actions).await;
}

/// Hands the known origins to other gateways, as this one is shutting down.
pub(crate) async fn leave(shared: &Shared) {
    let (origins, actions) = {
        let origins = shared.origins.lock();
        (origins.len(), origins.leave(shared.now()))
    };
    tracing::info!(
        event = "origins-handed-over",
        origins,
        messages = actions.len(),
        "gateway: handed the origins of streams to other gateways"
    );
    perform(shared, actions).await;
}

/// Finds the origin of a stream. Also returns how long that took, in microseconds.
pub(crate) async fn find(shared: &Shared, wanted: Wanted) -> (Resolution, u64) {
    let started = shared.now();
    let (sender, mut receiver) = oneshot::channel();
    let actions = {
        let mut origins = shared.origins.lock();
        let (lookup, actions) = origins.look_up(started, wanted);
        shared.lookups.lock().insert(lookup, sender);
        actions
    };
    perform(shared, actions).await;
    loop {
        let deadline = shared.clock.deadline(shared.origins.lock().next_deadline());
        if let Ok(resolution) = timeout_at(deadline, &mut receiver).await {
            let resolution = resolution.unwrap_or(Resolution::Unknown { retry_ms: 0 });
            return (resolution, shared.now().since(started));
        }
        let actions = shared.origins.lock().tick(shared.now());
        perform(shared, actions).await;
    }
}

/// Handles a message, given without the version of its format.
pub(crate) async fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match decode_from_slice::<Message, _>(bytes, standard()) {
        Ok((message, _)) => {
            let actions = shared.origins.lock().receive(shared.now(), from, message);
            perform(shared, actions).await;
        }
        Err(err) => {
            tracing::debug!("gateway: failed to decode a message on origins from {from}: {err}");
        }
    }
}

async fn perform(shared: &Shared, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                let mut datagram = vec![FORMAT_VERSION];
                if encode_into_std_write(&message, &mut datagram, standard()).is_err() {
                    continue;
                }
                if let Err(err) = shared.gossip.send_to(&datagram, to).await {
                    tracing::debug!("gateway: failed to send a message on origins to {to}: {err}");
                }
            }
            Action::Resolve { lookup, resolution } => {
                let waiter = shared.lookups.lock().remove(&lookup);
                // The client may have disconnected just now.
                let _ = waiter.map(|it| it.send(resolution));
            }
        }
    }
}

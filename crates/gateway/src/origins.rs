//! Tells other gateways and control replicas which software version began a stream, and asks them,
//! over UDP.

use {
    crate::{gossip::limited, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    model::{MILLISECOND, Time},
    origin::{Action, Message, Record, Resolution, Wanted},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, sleep_until, timeout_at},
    },
};

/// The version of the message format, the first byte of a datagram. No other message between
/// gateways begins with it.
pub(crate) const FORMAT_VERSION: u8 = 0x81;

/// How long a resumption waits for what a gateway that has just started does not know yet, in
/// milliseconds. Gateways that were killed at once come back within 1 to 2.6 s, so the first one
/// waits up to 1.6 s for the last, and then for its answer.
const MAX_START_WAIT_MS: u64 = 2_000;

/// The share of the time until its deadline that a resumption may wait so, in percent. The rest
/// must suffice to go on with the stream.
const START_WAIT_PERCENT: u64 = 50;

/// How often a waiting resumption checks what is known now.
const START_POLL: Duration = Duration::from_millis(50);

/// The pause between the messages on streams that began before a second version was listed: 320
/// gateways send each of 5 replicas 51,200 such streams a second at most, in 1,600 to 3,200
/// datagrams.
const DUE_PAUSE: Duration = Duration::from_millis(200);

/// Tells replicas of streams that began before a second version was listed, for as long as the
/// process runs.
pub(crate) async fn tell_due(shared: Arc<Shared>) {
    loop {
        sleep(DUE_PAUSE).await;
        let actions = shared.origins.lock().tell_due(shared.now());
        perform(&shared, actions).await;
    }
}

/// Tells other gateways and replicas where a stream begins. `service` is the hash of the only
/// service that can have begun it, if there is only one.
pub(crate) async fn begin(shared: &Shared, record: Record, service: Option<u64>) {
    let actions = shared.origins.lock().begin(shared.now(), record, service);
    tracing::debug!(
        event = "origin-told",
        stream = %record.key,
        build = %record.origin.build,
        copies = actions.len(),
        "gateway: told others which version begins a stream"
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

/// Finds the origin of a stream, for a request with this deadline. Also returns how long that took,
/// in microseconds. A gateway that has just started waits for its first list of endpoints, and
/// asks again until it should know the others. One that can prove the origin only by newer lists than
/// replicas have waits for these.
pub(crate) async fn find(shared: &Shared, wanted: Wanted, deadline: Time) -> (Resolution, u64) {
    let started = shared.now();
    let share = deadline.since(started) * START_WAIT_PERCENT / 100;
    let wait_until = started + share.min(MAX_START_WAIT_MS * MILLISECOND);
    while !shared.endpoints_loaded.load(Ordering::Relaxed) && shared.now() < wait_until {
        sleep(START_POLL).await;
    }
    loop {
        let resolution = look_up(shared, wanted, started).await;
        let (now, settles_at) = (shared.now(), shared.origins.lock().settles_at());
        let next = match resolution {
            Resolution::Known { .. } | Resolution::Conflict => None,
            Resolution::Unknown { .. } => {
                (now < settles_at.min(wait_until)).then(|| shared.clock.deadline(now) + START_POLL)
            }
            Resolution::Unconfirmed { retry_at } => {
                (retry_at <= wait_until).then(|| shared.clock.deadline(retry_at))
            }
        };
        let Some(next) = next else { return (resolution, now.since(started)) };
        sleep_until(next).await;
    }
}

async fn look_up(shared: &Shared, wanted: Wanted, began_by: Time) -> Resolution {
    let (sender, mut receiver) = oneshot::channel();
    let actions = {
        let mut origins = shared.origins.lock();
        let (lookup, actions) = origins.look_up(shared.now(), wanted, began_by);
        shared.lookups.lock().insert(lookup, sender);
        actions
    };
    perform(shared, actions).await;
    loop {
        let deadline = shared.clock.deadline(shared.origins.lock().next_deadline());
        if let Ok(resolution) = timeout_at(deadline, &mut receiver).await {
            return resolution.unwrap_or(Resolution::Unknown { retry_ms: 0 });
        }
        let actions = shared.origins.lock().tick(shared.now());
        perform(shared, actions).await;
    }
}

/// Handles a message, given without the version of its format.
pub(crate) async fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match decode_from_slice::<Message, _>(bytes, limited()) {
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

//! Passes routing configurations and lists of endpoints on from gateway to gateway.
//!
//! Control hosts have slow links. A control replica that is busy sending a configuration refers a gateway to another
//! gateway that has it. A gateway also asks others by itself: when it has just started, until it has a configuration and
//! a list of endpoints, and while control replicas may withhold a newer configuration.

use {
    crate::{
        detour, discovery,
        evacuations::{self, EvacuationSet},
        layout::{self, installed_version},
        shared::Shared,
    },
    directory::Catalog,
    fanout::RequestCause,
    model::{MILLISECOND, Time},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{Instant, error::Elapsed, sleep, timeout, timeout_at},
    },
    wire::{
        Compressed, Encoded, Listener, Peer, Step, Stream, WireError,
        msg::{DETOUR_PATH, RELAY_PATH, RelayRequest, WatchUpdate},
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

/// How often a gateway that has just started asks another gateway.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(100);

/// How often a gateway whose configuration may be out of date asks another gateway, and how long it
/// waits for one before it asks the next, in milliseconds.
const SEEK_INTERVAL_MS: u64 = 700;

/// Accepts requests of other gateways for as long as the process runs.
pub(crate) async fn serve(shared: Arc<Shared>, mut listener: Listener) {
    let slots = Arc::new(Semaphore::new(MAX_REQUESTS));
    while let Some(incoming) = listener.accept().await {
        if incoming.path == DETOUR_PATH {
            tokio::spawn(detour::serve(shared.clone(), incoming.peer, incoming.stream));
            continue;
        }
        if incoming.path != RELAY_PATH {
            tracing::warn!(peer = %incoming.peer, path = incoming.path, "gateway: unknown path");
            continue;
        }
        // Dropping the stream tells the other gateway to request the configuration elsewhere.
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let peer = incoming.peer;
            match timeout(SERVE_TIMEOUT, send_state(&shared, incoming.stream)).await {
                Ok(Ok(0)) => {}
                Ok(Ok(bytes)) => tracing::info!(
                    event = "configuration-relayed",
                    %peer,
                    version = installed_version(&shared),
                    bytes,
                    "gateway: sent the configuration or the list of endpoints to another gateway"
                ),
                Ok(Err(err)) => tracing::debug!("gateway: relaying to {peer} failed: {err}"),
                Err(_) => tracing::debug!("gateway: relaying to {peer} timed out"),
            }
            drop(slot);
        });
    }
}

/// Sends the messages that lead to the installed configuration, and the list of endpoints if it is
/// wanted; returns their size.
async fn send_state(shared: &Shared, stream: Stream) -> Result<usize, WireError> {
    let knows_evacuations = stream.protocol >= evacuations::MIN_PROTOCOL;
    let (mut send, mut recv) = stream.split();
    let Some(RelayRequest { installed_version, wants_catalog }) = recv.recv().await? else {
        return Ok(0);
    };
    let history = shared.layout_history.lock().clone();
    let layout = history.iter().flat_map(|it| it.messages_since(installed_version));
    let catalog = wants_catalog.then(|| encode_catalog(shared, knows_evacuations)).flatten();
    let evacuations = evacuations::encode(shared).filter(|_| knows_evacuations);
    let cold = catalog.is_some() && knows_evacuations;
    let cold = cold.then(|| WatchUpdate::Cold { endpoints: discovery::cold_remaining(shared) });
    let cold = cold.and_then(|it| Encoded::new(&it));
    let mut bytes = 0;
    // Small and sent to all, so that it does not count as sent state in the log.
    if let Some(message) = &evacuations {
        send.send_encoded(message).await?;
    }
    for message in layout.chain(&catalog).chain(&cold) {
        bytes += message.size();
        send.send_encoded(message).await?;
    }
    send.finish();
    Ok(bytes)
}

/// Encodes the list of endpoints, unless there is none or it may be out of date. A gateway that knows no evacuations
/// gets the endpoints of evacuated domains as draining.
fn encode_catalog(shared: &Shared, knows_evacuations: bool) -> Option<Encoded> {
    if !shared.endpoints_loaded.load(Ordering::Relaxed) || discovery::is_control_silent(shared) {
        return None;
    }
    let mut endpoints = shared.dispatcher.lock().endpoints();
    if !knows_evacuations {
        for endpoint in &mut endpoints {
            endpoint.draining |= evacuations::is_evacuated(shared, &endpoint.domain);
        }
    }
    let catalog = Catalog::from_endpoints(&endpoints);
    Encoded::new(&WatchUpdate::Catalog(Compressed::encode(&catalog).ok()?))
}

/// Asks other gateways for the configuration for as long as the process runs: until this gateway has
/// one, a list of endpoints and a set of evacuated domains, for which it does not wait longer than until
/// it is ready, and whenever control replicas may withhold a newer one.
pub(crate) async fn seek(shared: Arc<Shared>) {
    let mut seek_at = Time(0);
    loop {
        sleep(BOOTSTRAP_INTERVAL).await;
        if has_started(&shared) && (shared.now() < seek_at || !may_be_outdated(&shared)) {
            continue;
        }
        let Some(provider) = choose_provider(&shared) else { continue };
        seek_at = shared.now() + SEEK_INTERVAL_MS * MILLISECOND;
        let mut task = tokio::spawn(ask(shared.clone(), provider));
        // A slow gateway does not keep this one from asking others.
        let _ = timeout_at(shared.clock.deadline(seek_at), &mut task).await;
    }
}

async fn ask(shared: Arc<Shared>, provider: SocketAddr) {
    let received = timeout(FETCH_TIMEOUT, receive_state(&shared, provider)).await;
    if let Ok(Err(err)) = received {
        tracing::debug!("gateway: {provider} did not send its state: {err}");
    }
}

/// Returns whether this gateway has a configuration, a list of endpoints and, unless it has waited long
/// enough, a set of evacuated domains.
fn has_started(shared: &Shared) -> bool {
    let has_evacuations =
        evacuations::is_known(shared) || shared.layout_settled.load(Ordering::Relaxed);
    installed_version(shared).is_some()
        && shared.endpoints_loaded.load(Ordering::Relaxed)
        && has_evacuations
}

/// Returns whether another gateway may have a newer configuration: too few control replicas would
/// announce one, or those that announced one do not send it.
fn may_be_outdated(shared: &Shared) -> bool {
    shared.control_in_doubt.load(Ordering::Relaxed)
        || shared.layout_requests.lock().is_overdue(shared.now())
}

/// Returns a random gateway, of the own domain in every other case.
fn choose_provider(shared: &Shared) -> Option<SocketAddr> {
    let (own, domain) = (shared.settings.inner, &shared.settings.domain);
    let membership = shared.membership.lock();
    let others: Vec<_> = membership.routers.iter().filter(|it| it.0 != own).collect();
    let local: Vec<_> = others.iter().copied().filter(|it| it.1 == *domain).collect();
    let candidates = if local.is_empty() || rand::random() { others } else { local };
    let at = rand::random_range(0..candidates.len().max(1));
    candidates.get(at).map(|it| it.0)
}

/// Requests the configuration from another gateway to which `replica` referred this one, and installs
/// it. Then the request to that replica has ended.
pub(crate) async fn fetch(
    shared: Arc<Shared>,
    replica: SocketAddr,
    provider: SocketAddr,
    version: u64,
) {
    let started_at = Instant::now();
    let result = timeout(FETCH_TIMEOUT, receive_state(&shared, provider)).await;
    if installed_version(&shared) >= Some(version) {
        // The replica may have announced a later version meanwhile.
        return layout::settle_request(&shared, replica, RequestCause::Announced);
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
        after_ms = started_at.elapsed().as_millis() as u64,
        err,
        "gateway: another gateway did not send the configuration"
    );
    layout::settle_request(&shared, replica, RequestCause::ReferralFailed);
}

async fn receive_state(shared: &Arc<Shared>, provider: SocketAddr) -> Result<(), WireError> {
    let stalled = |it: Elapsed| WireError::new(Step::Receive, provider, it);
    let peer = Peer::new(provider, shared.dialer.clone());
    let stream = timeout(STALL_TIMEOUT, peer.open(RELAY_PATH)).await.map_err(stalled)??;
    let (mut send, mut recv) = stream.split();
    let wants_catalog = !shared.endpoints_loaded.load(Ordering::Relaxed);
    // Whoever has the same version sends it only to a gateway that has none.
    let is_incomplete = shared.field_requests.lock().is_incomplete();
    let installed_version = installed_version(shared).filter(|_| !is_incomplete);
    let request = RelayRequest { installed_version, wants_catalog };
    send.send(&request).await?;
    let mut uses_catalog = false;
    loop {
        let received = recv.received();
        match timeout(STALL_TIMEOUT, recv.recv::<WatchUpdate>()).await {
            Ok(update) => match update? {
                Some(WatchUpdate::Catalog(catalog)) => {
                    uses_catalog = apply_catalog(shared, provider, &catalog)?;
                }
                Some(WatchUpdate::Evacuations { revision, domains }) => {
                    evacuations::apply(shared, provider, EvacuationSet { revision, domains });
                }
                Some(WatchUpdate::Cold { endpoints }) if uses_catalog => {
                    let cold = discovery::cold_until(shared.now(), &endpoints);
                    discovery::apply_cold(shared, cold);
                }
                Some(update) => {
                    layout::apply(shared, provider, &update)?;
                }
                None => break,
            },
            Err(elapsed) if recv.received() == received => return Err(stalled(elapsed)),
            Err(_) => {}
        }
    }
    send.finish();
    Ok(())
}

/// Applies another gateway's list of endpoints if this one has none. Returns whether it did.
fn apply_catalog(
    shared: &Shared,
    provider: SocketAddr,
    catalog: &Compressed,
) -> Result<bool, WireError> {
    let catalog = catalog.decode::<Catalog>();
    let catalog = catalog.map_err(|it| WireError::new(Step::Receive, provider, it))?;
    let endpoints = catalog.endpoints();
    let is_wanted = !endpoints.is_empty() && !shared.endpoints_loaded.load(Ordering::Relaxed);
    if is_wanted {
        tracing::info!(
            event = "endpoints-received",
            %provider,
            endpoints = endpoints.len(),
            "gateway: received the list of endpoints from another gateway"
        );
        discovery::apply(shared, &endpoints);
    }
    Ok(is_wanted)
}

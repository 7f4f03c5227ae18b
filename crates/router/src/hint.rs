//! Hints between routers: where spilled chats run, and the state that the former owner of an endpoint kept.
//!
//! Hints only improve the reuse of prompt caches. If one is lost, a prompt is computed again; no request fails.

use {
    crate::{shared::Shared, view::ClusterView},
    model::{ChatKey, EndpointId, RouterId, RouterState},
    placement::OwnerHandover,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Incoming, WireError},
};

/// Path of the streams between routers that carry one hint and, for [`Hint::RequestHandover`], one reply.
pub(crate) const HINT_PATH: &str = "/forward-note";

/// Timeout of a request for a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A hint to the owner, or the former owner, of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Hint {
    /// A chat whose home endpoint had no capacity runs on `endpoint`.
    Spilled { chat: ChatKey, endpoint: EndpointId },
    /// The sender is the new owner of the endpoint and requests the state that the receiver keeps for it.
    RequestHandover { endpoint: EndpointId },
}

/// Handles a hint from another router.
pub(crate) async fn accept(shared: Arc<Shared>, incoming: Incoming) {
    let peer = incoming.peer;
    if let Err(err) = serve(&shared, incoming).await {
        tracing::debug!("router: hint from {peer} failed: {err}");
    }
}

async fn serve(shared: &Shared, incoming: Incoming) -> Result<(), WireError> {
    let (mut send, mut recv) = incoming.stream.split();
    match recv.recv().await? {
        Some(Hint::Spilled { chat, endpoint }) => shared.record_spill(chat, endpoint),
        Some(Hint::RequestHandover { endpoint }) => send.send(&shared.handover(endpoint)).await?,
        None => {}
    }
    send.finish();
    Ok(())
}

/// Tells the owner of a chat's home endpoint that the chat runs on `endpoint`.
pub(crate) fn report_spill(
    shared: &Arc<Shared>,
    view: &ClusterView,
    home: EndpointId,
    chat: ChatKey,
    endpoint: EndpointId,
) {
    let Some(owner) = view.owners.owner(home) else { return };
    if shared.is_self(owner) {
        return shared.record_spill(chat, endpoint);
    }
    let Some(addr) = view.router_addr(owner) else { return };
    let peer = shared.peer(addr);
    tokio::spawn(async move {
        if let Ok(mut stream) = peer.open(HINT_PATH).await {
            let _ = stream.send.send(&Hint::Spilled { chat, endpoint }).await;
            stream.send.finish();
            let _ = stream.recv.recv::<OwnerHandover>().await;
        }
    });
}

/// Requests the state of all endpoints that this router newly owns from their former owners.
pub(crate) fn request_handovers(shared: &Arc<Shared>, before: &ClusterView, after: &ClusterView) {
    let Some(own_id) = shared.own_id() else { return };
    for endpoint in after.owners.owned(own_id) {
        let former = before.owners.owner(endpoint).filter(|it| *it != own_id);
        let Some(former) = former.filter(|it| is_reachable(after, *it)) else { continue };
        tokio::spawn(request_handover(shared.clone(), former, endpoint));
    }
}

fn is_reachable(view: &ClusterView, router: RouterId) -> bool {
    view.roster.get(router).is_some_and(|it| it.state != RouterState::Missing)
}

async fn request_handover(shared: Arc<Shared>, former: RouterId, endpoint: EndpointId) {
    let Some(addr) = shared.view().router_addr(former) else { return };
    let exchange = async {
        let mut stream = shared.peer(addr).open(HINT_PATH).await?;
        stream.send.send(&Hint::RequestHandover { endpoint }).await?;
        stream.recv.recv::<OwnerHandover>().await
    };
    match timeout(HANDOVER_TIMEOUT, exchange).await {
        Ok(Ok(Some(handover))) => shared.apply_handover(endpoint, &handover),
        Ok(Ok(None)) | Err(_) => tracing::debug!("router: no handover of {endpoint} from {former}"),
        Ok(Err(err)) => tracing::debug!("router: no handover of {endpoint} from {former}: {err}"),
    }
}

//! What routers tell each other besides requests: where spilled chats run, and what a former owner remembers.
//!
//! All of it only helps reuse. A note that is lost costs a prompt computed again, never an answer.

use {
    crate::{shared::Shared, view::ClusterView},
    model::{ChatKey, EndpointId, RouterId, RouterState},
    placement::OwnerHandover,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Incoming, WireError},
};

/// Streams between routers that carry one note and, for [`Note::Recall`], one answer.
pub(crate) const HINT_PATH: &str = "/forward-note";

/// How long a former owner may take to answer.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A note to the owner, or the former owner, of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Hint {
    /// A chat that found no room at its home runs elsewhere.
    Spilled { chat: ChatKey, endpoint: EndpointId },
    /// The sender owns the endpoint now and asks for what is remembered of it.
    RequestHandover { endpoint: EndpointId },
}

/// Serves a note of another router.
pub(crate) async fn accept(shared: Arc<Shared>, incoming: Incoming) {
    let peer = incoming.peer;
    if let Err(err) = serve(&shared, incoming).await {
        tracing::debug!("router: note from {peer} failed: {err}");
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

/// Tells the owner of a chat's home that the chat runs on `endpoint`.
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

/// Asks the former owners of the endpoints that this router owns newly for what they remember.
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
        Ok(Ok(None)) | Err(_) => tracing::debug!("router: {former} told nothing of {endpoint}"),
        Ok(Err(err)) => tracing::debug!("router: {former} told nothing of {endpoint}: {err}"),
    }
}

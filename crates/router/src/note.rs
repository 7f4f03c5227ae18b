//! What routers tell each other besides requests: where spilled chats run, and what a former owner remembers.
//!
//! All of it only helps reuse. A note that is lost costs a prompt computed again, never an answer.

use {
    crate::{shared::Shared, view::View},
    model::{ChatKey, EndpointId, RouterId, RouterState},
    placement::OwnerHandover,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Incoming, WireError},
};

/// Streams between routers that carry one note and, for [`Note::Recall`], one answer.
pub(crate) const NOTE_PATH: &str = "/forward-note";

/// How long a former owner may take to answer.
const RECALL_LIMIT: Duration = Duration::from_millis(3_000);

/// A note to the owner, or the former owner, of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
enum Note {
    /// A chat that found no room at its home runs elsewhere.
    Spilled { chat: ChatKey, endpoint: EndpointId },
    /// The sender owns the endpoint now and asks for what is remembered of it.
    Recall { endpoint: EndpointId },
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
        Some(Note::Spilled { chat, endpoint }) => shared.spilled(chat, endpoint),
        Some(Note::Recall { endpoint }) => send.send(&shared.memory(endpoint)).await?,
        None => {}
    }
    send.finish();
    Ok(())
}

/// Tells the owner of a chat's home that the chat runs on `endpoint`.
pub(crate) fn tell_spilled(
    shared: &Arc<Shared>,
    view: &View,
    home: EndpointId,
    chat: ChatKey,
    endpoint: EndpointId,
) {
    let Some(owner) = view.owners.owner(home) else { return };
    if shared.is_me(owner) {
        return shared.spilled(chat, endpoint);
    }
    let Some(addr) = view.addr(owner) else { return };
    let peer = shared.peer(addr);
    tokio::spawn(async move {
        if let Ok(mut stream) = peer.open(NOTE_PATH).await {
            let _ = stream.send.send(&Note::Spilled { chat, endpoint }).await;
            stream.send.finish();
            let _ = stream.recv.recv::<OwnerHandover>().await;
        }
    });
}

/// Asks the former owners of the endpoints that this router owns newly for what they remember.
pub(crate) fn recall(shared: &Arc<Shared>, before: &View, after: &View) {
    let Some(me) = shared.me() else { return };
    for endpoint in after.owners.owned(me) {
        let former = before.owners.owner(endpoint).filter(|it| *it != me);
        let Some(former) = former.filter(|it| answers(after, *it)) else { continue };
        tokio::spawn(recall_one(shared.clone(), former, endpoint));
    }
}

fn answers(view: &View, router: RouterId) -> bool {
    view.roster.get(router).is_some_and(|it| it.state != RouterState::Missing)
}

async fn recall_one(shared: Arc<Shared>, former: RouterId, endpoint: EndpointId) {
    let Some(addr) = shared.view().addr(former) else { return };
    let exchange = async {
        let mut stream = shared.peer(addr).open(NOTE_PATH).await?;
        stream.send.send(&Note::Recall { endpoint }).await?;
        stream.recv.recv::<OwnerHandover>().await
    };
    match timeout(RECALL_LIMIT, exchange).await {
        Ok(Ok(Some(memory))) => shared.take_memory(endpoint, &memory),
        Ok(Ok(None)) | Err(_) => tracing::debug!("router: {former} told nothing of {endpoint}"),
        Ok(Err(err)) => tracing::debug!("router: {former} told nothing of {endpoint}: {err}"),
    }
}

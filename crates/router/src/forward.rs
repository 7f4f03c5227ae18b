//! Forwards a request to the owner of an endpoint, in this process or in another, and reads the replies.

use {
    crate::{owner, shared::Shared},
    model::RouterId,
    std::{net::SocketAddr, sync::Arc},
    tokio::{sync::mpsc, task::AbortHandle},
    wire::{
        Incoming, Peer, Stream, WireError,
        msg::{FORWARD_PATH, Forward, ForwardReply},
    },
};

/// Number of reply frames that are buffered between the owner and the entry router.
pub(crate) const REPLY_CHANNEL_CAPACITY: usize = 64;

/// An event of an attempt, as seen by the entry router.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// A reply frame from the owner.
    Frame(ForwardReply),
    /// The owner could not be reached, and did not receive the complete request.
    Unreachable,
    /// The connection to the owner failed after the request was sent.
    Lost,
}

/// A handle to an attempt in progress; dropping it cancels the attempt.
pub(crate) struct AttemptHandle {
    events: mpsc::Receiver<AttemptEvent>,
    task: AbortHandle,
}

impl AttemptHandle {
    /// Forwards a request to `router`, which listens at `addr`.
    pub(crate) fn spawn(
        shared: &Arc<Shared>,
        router: RouterId,
        addr: SocketAddr,
        forward: Forward,
    ) -> AttemptHandle {
        let (sender, events) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
        let task = if shared.is_self(router) {
            tokio::spawn(run_local(shared.clone(), forward, sender))
        } else {
            tokio::spawn(run_remote(shared.peer(addr), forward, sender))
        };
        AttemptHandle { events, task: task.abort_handle() }
    }

    /// Returns the next event, or [`AttemptEvent::Lost`] if the attempt ended without a final reply.
    pub(crate) async fn next_event(&mut self) -> AttemptEvent {
        self.events.recv().await.unwrap_or(AttemptEvent::Lost)
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_local(shared: Arc<Shared>, forward: Forward, sender: mpsc::Sender<AttemptEvent>) {
    let (frames, mut replies) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
    let serve = owner::serve(shared, forward, frames);
    let pump = async {
        while let Some(reply) = replies.recv().await {
            if sender.send(AttemptEvent::Frame(reply)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(serve, pump);
}

async fn run_remote(peer: Peer, forward: Forward, sender: mpsc::Sender<AttemptEvent>) {
    let stream = match open_forward(&peer, &forward).await {
        Ok(stream) => stream,
        Err(err) => {
            tracing::info!("router: cannot reach the owner: {err}");
            let _ = sender.send(AttemptEvent::Unreachable).await;
            return;
        }
    };
    let mut recv = stream.recv;
    loop {
        let event = match recv.recv().await {
            Ok(Some(frame)) => AttemptEvent::Frame(frame),
            Ok(None) => return,
            Err(err) => {
                tracing::info!("router: lost the connection to the owner: {err}");
                AttemptEvent::Lost
            }
        };
        let lost = matches!(event, AttemptEvent::Lost);
        if sender.send(event).await.is_err() || lost {
            return;
        }
    }
}

/// Opens a stream and sends the complete request. After an error the owner has received at most a part of the request,
/// which it cannot decode.
async fn open_forward(peer: &Peer, forward: &Forward) -> Result<Stream, WireError> {
    let mut stream = peer.open(FORWARD_PATH).await?;
    stream.send.send(forward).await?;
    Ok(stream)
}

/// Serves a request that another router forwarded.
pub(crate) async fn accept(shared: Arc<Shared>, incoming: Incoming) {
    let peer = incoming.peer;
    let (mut send, mut recv) = incoming.stream.split();
    let forward = match recv.recv::<Forward>().await {
        Ok(Some(forward)) => forward,
        Ok(None) => return,
        Err(err) => {
            tracing::warn!("router: invalid forwarded request from {peer}: {err}");
            return;
        }
    };
    let (frames, mut replies) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
    let serve = owner::serve(shared, forward, frames);
    let pump = async move {
        while let Some(reply) = replies.recv().await {
            if send.send(&reply).await.is_err() {
                return;
            }
        }
        send.finish();
    };
    // The entry router sends nothing after the request, so the receive side ends only when the entry router resets the
    // stream to cancel the attempt.
    let cancelled = async move {
        let _ = recv.recv::<Forward>().await;
    };
    tokio::select! {
        _ = async { tokio::join!(serve, pump) } => {}
        () = cancelled => tracing::debug!("router: attempt cancelled by {peer}"),
    }
}

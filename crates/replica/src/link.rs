//! Sending to one other replica.

use {
    derive_more::Debug,
    model::Time,
    quorum::Envelope,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc, task, time::sleep},
    wire::{Clock, Dialer, Peer, WireError, msg::REPLICA_PATH},
};

/// Messages that wait for a connection; more are dropped, as the consensus sends again what matters.
const MAX_FRAMES: usize = 256;

/// Pause after a failed connection.
const RETRY_MS: u64 = 50;

/// What travels between replicas.
#[derive(Clone, Serialize, Deserialize, Debug)]
pub(crate) struct Frame {
    /// Where the sender listens.
    pub(crate) from: SocketAddr,
    pub(crate) body: Body,
}

/// What a frame says.
#[derive(Clone, Serialize, Deserialize, Debug)]
pub(crate) enum Body {
    /// A message of the consensus.
    Consensus(Envelope),
    /// Asks whether the receiver has never taken part in a group.
    AskFresh {
        /// Comes back in the answer.
        round: u64,
    },
    /// Answers [`Body::AskFresh`].
    Fresh {
        /// The round of the question.
        round: u64,
        /// Whether it has not.
        fresh: bool,
    },
}

/// The way to one other replica.
pub(crate) struct Link {
    frames: mpsc::Sender<Frame>,
    heard: Arc<AtomicU64>,
}

/// The task that sends.
struct Sender {
    peer: Peer,
    clock: Clock,
    /// When the peer was last heard of, in microseconds of the clock.
    heard: Arc<AtomicU64>,
    /// After how many microseconds without hearing of the peer its connection is replaced.
    silence: u64,
}

impl Link {
    /// Starts to send to `addr`. A connection on which nothing comes back for `silence` microseconds is replaced.
    pub(crate) fn spawn(addr: SocketAddr, dialer: Dialer, clock: Clock, silence: u64) -> Link {
        let (frames, queue) = mpsc::channel(MAX_FRAMES);
        let heard = Arc::new(AtomicU64::new(0));
        let peer = Peer::new(addr, dialer);
        task::spawn(Sender { peer, clock, heard: heard.clone(), silence }.run(queue));
        Link { frames, heard }
    }

    /// Sends a frame, or drops it if too many wait.
    pub(crate) fn send(&self, frame: Frame) {
        let _ = self.frames.try_send(frame);
    }

    /// Notes that the peer was heard of.
    pub(crate) fn note_heard(&self, now: Time) {
        self.heard.store(now.0, Ordering::Relaxed);
    }
}

impl Sender {
    async fn run(self, mut queue: mpsc::Receiver<Frame>) {
        while let Some(first) = queue.recv().await {
            let addr = self.peer.addr();
            if let Err(err) = self.stream(first, &mut queue).await {
                tracing::debug!("replica: sending to {addr} failed: {err}");
                sleep(Duration::from_millis(RETRY_MS)).await;
                // What waited is old by now.
                while queue.try_recv().is_ok() {}
            }
        }
    }

    /// Sends on one stream until it fails or goes silent.
    async fn stream(
        &self,
        first: Frame,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<(), WireError> {
        let (mut send, _recv) = self.peer.open(REPLICA_PATH).await?.split();
        let opened = self.clock.now();
        send.send(&first).await?;
        while let Some(frame) = queue.recv().await {
            let heard = Time(self.heard.load(Ordering::Relaxed)).max(opened);
            if self.clock.now().since(heard) > self.silence {
                tracing::debug!("replica: {} is silent, connecting again", self.peer.addr());
                self.peer.retire().await;
                return Ok(());
            }
            send.send(&frame).await?;
        }
        send.finish();
        Ok(())
    }
}

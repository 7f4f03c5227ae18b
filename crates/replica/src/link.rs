//! Sending to one other replica.

use {
    derive_more::Debug,
    quorum::Envelope,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::mpsc,
        task,
        time::{Instant, sleep, sleep_until, timeout},
    },
    wire::{Dialer, Peer, SendHalf, Step, WireError, msg::REPLICA_PATH},
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

/// Tells the sender, on the stream that a frame came on, that it arrived.
#[derive(Clone, Copy, Serialize, Deserialize, Debug)]
pub(crate) struct Arrived;

/// The way to one other replica.
pub(crate) struct Link {
    frames: mpsc::Sender<Frame>,
}

/// The task that sends.
struct Sender {
    peer: Peer,
    /// How long a frame may go without an answer before its connection is replaced.
    silence: Duration,
}

impl Link {
    /// Starts to send to `addr`. A connection on which frames go unanswered for `silence` is replaced: something
    /// between the two ends may have lost track of it, in one direction only or in both.
    pub(crate) fn spawn(addr: SocketAddr, dialer: Dialer, silence: Duration) -> Link {
        let (frames, queue) = mpsc::channel(MAX_FRAMES);
        task::spawn(Sender { peer: Peer::new(addr, dialer), silence }.run(queue));
        Link { frames }
    }

    /// Sends a frame, or drops it if too many wait.
    pub(crate) fn send(&self, frame: Frame) {
        let _ = self.frames.try_send(frame);
    }
}

impl Sender {
    async fn run(self, mut queue: mpsc::Receiver<Frame>) {
        while let Some(first) = queue.recv().await {
            if let Err(err) = self.stream(first, &mut queue).await {
                tracing::debug!("replica: sending to {} failed: {err}", self.peer.addr());
                self.peer.retire().await;
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
        let (mut send, mut recv) = self.peer.open(REPLICA_PATH).await?.split();
        self.send(&mut send, &first).await?;
        let mut answer_by = Some(Instant::now() + self.silence);
        loop {
            let late = answer_by.unwrap_or_else(|| Instant::now() + self.silence);
            tokio::select! {
                frame = queue.recv() => {
                    let Some(frame) = frame else { break };
                    self.send(&mut send, &frame).await?;
                    answer_by = answer_by.or_else(|| Some(Instant::now() + self.silence));
                }
                arrived = recv.recv::<Arrived>() => match arrived? {
                    Some(Arrived) => answer_by = None,
                    None => break,
                },
                () = sleep_until(late), if answer_by.is_some() => {
                    return Err(self.error(Step::Receive, "no answer in time"));
                }
            }
        }
        send.finish();
        Ok(())
    }

    async fn send(&self, send: &mut SendHalf, frame: &Frame) -> Result<(), WireError> {
        let sent = timeout(self.silence, send.send(frame)).await;
        sent.unwrap_or_else(|_| Err(self.error(Step::Send, "not sent in time")))
    }

    fn error(&self, step: Step, text: &'static str) -> WireError {
        WireError::new(step, self.peer.addr(), text)
    }
}

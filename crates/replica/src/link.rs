//! Sends frames to another replica.

use {
    crate::protocols::Protocols,
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

/// The maximum number of queued frames. Further ones are dropped, which is safe because the consensus resends.
const MAX_QUEUED_FRAMES: usize = 256;

/// The delay before reconnecting after a failure, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;

/// A frame sent between replicas.
#[derive(Clone, Serialize, Deserialize, Debug)]
pub(crate) struct Frame {
    /// The address that the sender listens on.
    pub(crate) from: SocketAddr,
    pub(crate) body: Body,
}

/// The content of a frame.
#[derive(Clone, Serialize, Deserialize, Debug)]
pub(crate) enum Body {
    /// A message of the consensus.
    Consensus(Envelope),
    /// Asks whether the receiver has never been part of a group.
    QueryUninitialized {
        /// The number of the query round; the reply echoes it.
        round: u64,
    },
    /// Responds to [`Body::QueryUninitialized`].
    UninitializedReply {
        /// The round of the query.
        round: u64,
        /// Whether the sender has never been part of a group.
        uninitialized: bool,
    },
}

/// Acknowledges a frame, on the stream on which it arrived.
#[derive(Clone, Copy, Serialize, Deserialize, Debug)]
pub(crate) struct FrameAck;

/// A handle to the task that sends to another replica.
pub(crate) struct Link {
    frames: mpsc::Sender<Frame>,
}

/// The state of the sending task.
struct Sender {
    peer: Peer,
    /// How long a frame may go unacknowledged before its connection is replaced.
    ack_timeout: Duration,
    protocols: Protocols,
}

impl Link {
    /// Starts a task that sends to `addr`. A connection on which frames go unacknowledged for `ack_timeout` is
    /// replaced, because a middlebox may have dropped its state for the connection, in one direction or in both.
    pub(crate) fn spawn(
        addr: SocketAddr,
        dialer: Dialer,
        ack_timeout: Duration,
        protocols: Protocols,
    ) -> Link {
        let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        task::spawn(Sender { peer: Peer::new(addr, dialer), ack_timeout, protocols }.run(queue));
        Link { frames }
    }

    /// Queues a frame, or drops it if the queue is full.
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
                sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
                // The queued frames are outdated by now.
                while queue.try_recv().is_ok() {}
            }
        }
    }

    /// Sends frames on one stream until it fails or frames go unacknowledged for too long.
    async fn stream(
        &self,
        first: Frame,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<(), WireError> {
        let stream = self.peer.open(REPLICA_PATH).await?;
        self.protocols.record(self.peer.addr(), stream.protocol);
        let (mut send, mut recv) = stream.split();
        self.send(&mut send, &first).await?;
        let mut ack_deadline = Some(Instant::now() + self.ack_timeout);
        loop {
            let deadline = ack_deadline.unwrap_or_else(|| Instant::now() + self.ack_timeout);
            tokio::select! {
                frame = queue.recv() => {
                    let Some(frame) = frame else { break };
                    self.send(&mut send, &frame).await?;
                    ack_deadline = ack_deadline.or_else(|| Some(Instant::now() + self.ack_timeout));
                }
                ack = recv.recv::<FrameAck>() => match ack? {
                    Some(FrameAck) => ack_deadline = None,
                    None => break,
                },
                () = sleep_until(deadline), if ack_deadline.is_some() => {
                    return Err(self.error(Step::Receive, "no acknowledgement in time"));
                }
            }
        }
        send.finish();
        Ok(())
    }

    async fn send(&self, send: &mut SendHalf, frame: &Frame) -> Result<(), WireError> {
        let sent = timeout(self.ack_timeout, send.send(frame)).await;
        sent.unwrap_or_else(|_| Err(self.error(Step::Send, "sending timed out")))
    }

    fn error(&self, step: Step, text: &'static str) -> WireError {
        WireError::new(step, self.peer.addr(), text)
    }
}

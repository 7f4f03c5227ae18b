//! Typed frames over one `h2` stream, in both directions.

use {
    crate::{
        error::{Step, WireError},
        frame::{self, Encoded, FrameError},
        limits::{FrameMemory, StreamGuard},
    },
    bytes::{Bytes, BytesMut},
    h2::{Reason, RecvStream, SendStream},
    serde::{Serialize, de::DeserializeOwned},
    std::{future::poll_fn, net::SocketAddr},
};

/// A bidirectional stream between two processes.
pub struct Stream {
    /// The sending half.
    pub send: SendHalf,
    /// The receiving half.
    pub recv: RecvHalf,
    /// The number of the protocol that the other process speaks; 0 if it does not say.
    pub protocol: u32,
}

impl Stream {
    /// Splits the stream, so that one task can send while another receives.
    pub fn split(self) -> (SendHalf, RecvHalf) {
        (self.send, self.recv)
    }
}

/// The sending half of a stream. Dropping it before [`SendHalf::finish`] resets the stream.
pub struct SendHalf {
    pub(crate) inner: SendStream<Bytes>,
    pub(crate) peer: SocketAddr,
    pub(crate) finished: bool,
    /// Counts the stream as open at the listener that accepted it.
    pub(crate) _guard: Option<StreamGuard>,
}

impl SendHalf {
    /// Sends a message. Waits until flow control admits all of it.
    ///
    /// # Errors
    ///
    /// The message cannot be encoded or is too long, or the connection or stream is closed.
    pub async fn send<M>(&mut self, message: &M) -> Result<(), WireError>
    where
        M: Serialize,
    {
        let bytes = frame::encode(message).map_err(|it| self.error(it))?;
        self.send_bytes(bytes).await
    }

    /// Like [`SendHalf::send`], for a message that was encoded once for several streams.
    ///
    /// # Errors
    ///
    /// The connection or stream is closed.
    pub async fn send_encoded(&mut self, message: &Encoded) -> Result<(), WireError> {
        self.send_bytes(message.0.clone()).await
    }

    /// Ends this direction of the stream.
    pub fn finish(&mut self) {
        self.finished = true;
        let _ = self.inner.send_data(Bytes::new(), true);
    }

    async fn send_bytes(&mut self, mut bytes: Bytes) -> Result<(), WireError> {
        while !bytes.is_empty() {
            self.inner.reserve_capacity(bytes.len());
            let reserved = poll_fn(|cx| self.inner.poll_capacity(cx)).await;
            let capacity = match reserved {
                Some(Ok(capacity)) => capacity,
                Some(Err(err)) => return Err(self.error(err)),
                None => return Err(self.error("stream closed")),
            };
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            self.inner.send_data(chunk, false).map_err(|it| self.error(it))?;
        }
        Ok(())
    }

    fn error<E>(&self, source: E) -> WireError
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        WireError::new(Step::Send, self.peer, source)
    }
}

impl Drop for SendHalf {
    fn drop(&mut self) {
        if !self.finished {
            self.inner.send_reset(Reason::CANCEL);
        }
    }
}

/// The receiving half of a stream.
pub struct RecvHalf {
    pub(crate) inner: RecvStream,
    pub(crate) peer: SocketAddr,
    pub(crate) buf: BytesMut,
    pub(crate) received: u64,
    /// The memory that incomplete messages take at the listener that accepted the stream.
    pub(crate) memory: Option<FrameMemory>,
    pub(crate) _guard: Option<StreamGuard>,
}

impl RecvHalf {
    /// Returns the number of bytes received so far, including those of incomplete messages.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Receives the next message. Returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// The frame is malformed or too long, or the connection or stream failed or ended inside a
    /// frame.
    pub async fn recv<M>(&mut self) -> Result<Option<M>, WireError>
    where
        M: DeserializeOwned,
    {
        loop {
            let decoded = frame::decode(&mut self.buf);
            if let Some(message) = decoded.map_err(|it| self.error(Step::Decode, it))? {
                self.memory.iter_mut().for_each(|it| it.shrink(self.buf.len()));
                return Ok(Some(message));
            }
            let Some(bytes) = self.inner.data().await else { return self.check_end() };
            let bytes = bytes.map_err(|it| self.error(Step::Receive, it))?;
            let _ = self.inner.flow_control().release_capacity(bytes.len());
            self.received += bytes.len() as u64;
            if !self.memory.iter_mut().all(|it| it.grow(self.buf.len() + bytes.len())) {
                return Err(self.error(Step::Receive, "too little memory for the message"));
            }
            self.buf.extend_from_slice(&bytes);
        }
    }

    /// Returns the address of the other process.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn check_end<M>(&self) -> Result<Option<M>, WireError> {
        if self.buf.is_empty() {
            Ok(None)
        } else {
            Err(self.error(Step::Receive, FrameError::Truncated))
        }
    }

    fn error<E>(&self, step: Step, source: E) -> WireError
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        WireError::new(step, self.peer, source)
    }
}

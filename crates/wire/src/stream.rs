//! Typed frames over one `h2` stream, both ways.

use {
    crate::{
        error::{Step, WireError},
        frame::{self, Encoded, FrameError},
    },
    bytes::{Bytes, BytesMut},
    h2::{Reason, RecvStream, SendStream},
    serde::{Serialize, de::DeserializeOwned},
    std::{future::poll_fn, net::SocketAddr},
};

/// One stream between two processes.
pub struct Stream {
    /// What this end sends.
    pub send: SendHalf,
    /// What this end receives.
    pub recv: RecvHalf,
}

impl Stream {
    /// Splits the stream, so that one task sends while another receives.
    pub fn split(self) -> (SendHalf, RecvHalf) {
        (self.send, self.recv)
    }
}

/// The sending half of a stream; dropping it unfinished resets the stream.
pub struct SendHalf {
    pub(crate) inner: SendStream<Bytes>,
    pub(crate) peer: SocketAddr,
    pub(crate) done: bool,
}

impl SendHalf {
    /// Sends one message, waiting for flow control.
    ///
    /// # Errors
    ///
    /// The message is too long, or the connection or stream is gone.
    pub async fn send<M>(&mut self, message: &M) -> Result<(), WireError>
    where
        M: Serialize,
    {
        let bytes = frame::encode(message).map_err(|it| self.error(it))?;
        self.send_bytes(bytes).await
    }

    /// As [`SendHalf::send`], for a message that goes to several streams.
    ///
    /// # Errors
    ///
    /// The connection or stream is gone.
    pub async fn send_encoded(&mut self, message: &Encoded) -> Result<(), WireError> {
        self.send_bytes(message.0.clone()).await
    }

    /// Ends the stream in order.
    pub fn finish(&mut self) {
        self.done = true;
        let _ = self.inner.send_data(Bytes::new(), true);
    }

    async fn send_bytes(&mut self, mut bytes: Bytes) -> Result<(), WireError> {
        while !bytes.is_empty() {
            self.inner.reserve_capacity(bytes.len());
            let capacity = poll_fn(|cx| self.inner.poll_capacity(cx)).await;
            let room = match capacity {
                Some(Ok(room)) => room,
                Some(Err(err)) => return Err(self.error(err)),
                None => return Err(self.error("stream closed")),
            };
            let part = bytes.split_to(room.min(bytes.len()));
            self.inner.send_data(part, false).map_err(|it| self.error(it))?;
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
        if !self.done {
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
}

impl RecvHalf {
    /// How many bytes arrived so far, those of unfinished messages included.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Receives the next message, or nothing at the end of the stream.
    ///
    /// # Errors
    ///
    /// The frame is malformed or too long, or the connection or stream is gone.
    pub async fn recv<M>(&mut self) -> Result<Option<M>, WireError>
    where
        M: DeserializeOwned,
    {
        loop {
            let found = frame::decode(&mut self.buf);
            if let Some(message) = found.map_err(|it| self.error(Step::Decode, it))? {
                return Ok(Some(message));
            }
            let Some(bytes) = self.inner.data().await else { return self.end() };
            let bytes = bytes.map_err(|it| self.error(Step::Receive, it))?;
            let _ = self.inner.flow_control().release_capacity(bytes.len());
            self.received += bytes.len() as u64;
            self.buf.extend_from_slice(&bytes);
        }
    }

    /// The other end's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn end<M>(&self) -> Result<Option<M>, WireError> {
        if self.buf.is_empty() { Ok(None) } else { Err(self.error(Step::Receive, FrameError::Cut)) }
    }

    fn error<E>(&self, step: Step, source: E) -> WireError
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        WireError::new(step, self.peer, source)
    }
}

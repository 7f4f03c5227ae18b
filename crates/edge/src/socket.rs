//! A client's socket.

use {
    crate::slots::ConnectionSlot,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
    tokio_io_timeout::TimeoutStream,
};

/// A client's socket. Its slot learns while the client takes nothing of what is sent to it, and a write fails that makes
/// no progress for too long.
pub struct ClientSocket {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    slot: ConnectionSlot,
    is_stalled: bool,
}

impl ClientSocket {
    /// Wraps a socket. A write fails that makes no progress for `stall_ms` milliseconds.
    pub fn new(socket: TcpStream, slot: ConnectionSlot, stall_ms: u64) -> ClientSocket {
        let mut stream = TimeoutStream::new(socket);
        stream.set_write_timeout(Some(Duration::from_millis(stall_ms)));
        ClientSocket { stream: Box::pin(stream), slot, is_stalled: false }
    }

    /// Returns the socket.
    pub fn get_ref(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    fn record<T>(&mut self, poll: Poll<T>) -> Poll<T> {
        if self.is_stalled != poll.is_pending() {
            self.is_stalled = poll.is_pending();
            self.slot.set_stalled(self.is_stalled);
        }
        poll
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = self.stream.as_mut().poll_write(cx, bytes);
        self.record(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = self.stream.as_mut().poll_write_vectored(cx, slices);
        self.record(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_shutdown(cx)
    }
}

//! One exchange with an endpoint, on a connection of its own.
//!
//! A connection serves one request and is closed: nothing that an endpoint sends beyond its answer, or late, can reach
//! another request, and a connection that something in between has lost track of costs one request at most.

use {
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// How long a connection may take: a few round trips within a region, less than the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest head of an answer, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Why there is no answer.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[display("not connected: {reason}")]
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The request was sent, at least in part.
    #[display("connection broke: {reason}")]
    Broken {
        /// What went wrong.
        reason: String,
    },
}

/// Closes the connection when it is dropped, so that the endpoint stops its work.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connects, sends a request and returns the head of its answer.
pub(crate) async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let not_sent = |reason: String| SendError::NotSent { reason };
    let dialed = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let socket = match dialed {
        Ok(Ok(socket)) => socket,
        Ok(Err(err)) => return Err(not_sent(err.to_string())),
        Err(elapsed) => return Err(not_sent(elapsed.to_string())),
    };
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: nodelay towards {addr}: {err}");
    }
    let handshake =
        http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(TokioIo::new(socket));
    let (mut sender, driver) = handshake.await.map_err(|it| not_sent(it.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(err) = driver.await {
            tracing::debug!("gateway: connection to {addr} ended: {err}");
        }
    }));
    match sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut err) => {
            let unsent = err.take_message().is_some();
            let reason = err.into_error().to_string();
            Err(if unsent { not_sent(reason) } else { SendError::Broken { reason } })
        }
    }
}

//! A single HTTP exchange with an endpoint, on its own connection.
//!
//! Each connection serves one request and is then closed. Late or excess bytes from an endpoint
//! can't reach another request, and a connection dropped silently by a middlebox affects one
//! request at most.

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

/// The connect timeout: a few round trips within a region, but less than the retransmission timeout
/// of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Why there is no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[display("connection failed: {reason}")]
    NotSent {
        /// The cause.
        reason: String,
    },
    /// The request was sent, at least in part.
    #[display("connection lost: {reason}")]
    Broken {
        /// The cause.
        reason: String,
    },
}

/// Closes the connection when dropped, so that the endpoint stops working on the request.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection over which nothing has been sent.
pub(crate) struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
}

/// Connects to an endpoint.
pub(crate) async fn connect(addr: SocketAddr) -> Result<IdleConnection, SendError> {
    let not_sent = |reason: String| SendError::NotSent { reason };
    let dialed = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let socket = match dialed {
        Ok(Ok(socket)) => socket,
        Ok(Err(err)) => return Err(not_sent(err.to_string())),
        Err(elapsed) => return Err(not_sent(elapsed.to_string())),
    };
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: failed to set TCP_NODELAY for {addr}: {err}");
    }
    let handshake =
        http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(TokioIo::new(socket));
    let (sender, driver) = handshake.await.map_err(|it| not_sent(it.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(err) = driver.await {
            tracing::debug!("gateway: connection to {addr} ended: {err}");
        }
    }));
    Ok(IdleConnection { sender, connection })
}

impl IdleConnection {
    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self.connection)),
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let reason = err.into_error().to_string();
                Err(if unsent {
                    SendError::NotSent { reason }
                } else {
                    SendError::Broken { reason }
                })
            }
        }
    }
}

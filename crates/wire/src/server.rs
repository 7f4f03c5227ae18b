//! Accepts connections from other processes and their streams.

use {
    crate::{
        error::{Step, WireError},
        limits::{ConnectionGuard, ConnectionTable, FrameMemory, ListenerLimits},
        peer::{CountingIo, HANDSHAKE_LIMIT, WINDOW_BYTES},
        protocol::{self, PROTOCOL},
        stream::{RecvHalf, SendHalf, Stream},
        tls::Identity,
        traffic::{Traffic, TrafficClass},
    },
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, server::SendResponse},
    http::{Request, Response},
    intake::SharedUploads,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// The maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 20_000;
/// The number of accepted streams that may wait for [`Listener::accept`].
const MAX_PENDING_STREAMS: usize = 1_024;

/// The delay before connections are accepted again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A stream that another process opened.
pub struct Incoming {
    /// The path with which the other process opened the stream, such as `/forward`.
    pub path: String,
    /// The address of the other process.
    pub peer: SocketAddr,
    /// The stream.
    pub stream: Stream,
}

/// Accepts streams that other processes of the system open.
pub struct Listener {
    addr: SocketAddr,
    streams: mpsc::Receiver<Incoming>,
}

impl Listener {
    /// Binds `addr` and starts to accept connections. A connection counts as
    /// [`TrafficClass::Forward`] from its first stream whose path starts with `/forward`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        identity: Option<Identity>,
        traffic: Traffic,
    ) -> Result<Listener, WireError> {
        Listener::bind_with_limits(addr, identity, traffic, ListenerLimits::default()).await
    }

    /// Like [`Listener::bind`], with other limits than the default ones.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind_with_limits(
        addr: SocketAddr,
        identity: Option<Identity>,
        traffic: Traffic,
        limits: ListenerLimits,
    ) -> Result<Listener, WireError> {
        let tcp =
            TcpListener::bind(addr).await.map_err(|it| WireError::new(Step::Bind, addr, it))?;
        let addr = tcp.local_addr().map_err(|it| WireError::new(Step::Bind, addr, it))?;
        let (sender, streams) = mpsc::channel(MAX_PENDING_STREAMS);
        tokio::spawn(accept_connections(tcp, identity, traffic, limits, sender));
        Ok(Listener { addr, streams })
    }

    /// Returns the address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits for the next stream that another process opens.
    pub async fn accept(&mut self) -> Option<Incoming> {
        self.streams.recv().await
    }
}

async fn accept_connections(
    tcp: TcpListener,
    identity: Option<Identity>,
    traffic: Traffic,
    limits: ListenerLimits,
    sender: mpsc::Sender<Incoming>,
) {
    let table = ConnectionTable::new(limits.connections);
    while !sender.is_closed() {
        let accepted = tokio::select! {
            accepted = tcp.accept() => accepted,
            () = sender.closed() => return,
        };
        let Ok((socket, peer)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let Some(guard) = table.open() else { continue };
        let (identity, traffic, sender) = (identity.clone(), traffic.clone(), sender.clone());
        let (memory, evicted) = (limits.memory.clone(), guard.clone());
        tokio::spawn(async move {
            let handler = StreamHandler { peer, guard, memory, sender };
            let served = serve_connection(socket, identity, traffic, handler);
            tokio::select! {
                served = served => {
                    if let Err(err) = served {
                        tracing::debug!("wire: connection ended: {err}");
                    }
                }
                () = evicted.evicted() => {}
            }
        });
    }
}

/// Passes the streams of a connection on.
struct StreamHandler {
    peer: SocketAddr,
    guard: ConnectionGuard,
    memory: SharedUploads,
    sender: mpsc::Sender<Incoming>,
}

async fn serve_connection(
    socket: TcpStream,
    identity: Option<Identity>,
    traffic: Traffic,
    handler: StreamHandler,
) -> Result<(), WireError> {
    let peer = handler.peer;
    let handshake_error = |it: std::io::Error| WireError::new(Step::Handshake, peer, it);
    match identity {
        None => accept_streams(CountingIo::new(socket, traffic), handler).await,
        Some(identity) => {
            let accepted = timeout(HANDSHAKE_LIMIT, identity.acceptor().accept(socket)).await;
            let tls = accepted
                .map_err(|it| WireError::new(Step::Handshake, peer, it))?
                .map_err(handshake_error)?;
            accept_streams(CountingIo::new(tls, traffic), handler).await
        }
    }
}

async fn accept_streams<T>(io: CountingIo<T>, handler: StreamHandler) -> Result<(), WireError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let peer = handler.peer;
    let class = io.class();
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 8)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(16 << 10)
        .handshake::<_, Bytes>(io);
    let handshake_error = |it: h2::Error| WireError::new(Step::Handshake, peer, it);
    let mut conn = timeout(HANDSHAKE_LIMIT, handshake)
        .await
        .map_err(|it| WireError::new(Step::Handshake, peer, it))?
        .map_err(handshake_error)?;
    while let Some(request) = conn.accept().await {
        let (request, respond) = request.map_err(|it| WireError::new(Step::Receive, peer, it))?;
        if request.uri().path().starts_with("/forward") {
            class.set(TrafficClass::Forward);
        }
        let Some(incoming) = accept_stream(request, respond, &handler) else { continue };
        if handler.sender.send(incoming).await.is_err() {
            conn.graceful_shutdown();
        }
    }
    Ok(())
}

fn accept_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: &StreamHandler,
) -> Option<Incoming> {
    let (peer, guard) = (handler.peer, Some(handler.guard.stream()));
    let path = request.uri().path().to_owned();
    let protocol = protocol::read(request.headers());
    let mut response = Response::new(());
    protocol::write(response.headers_mut(), PROTOCOL);
    let send = respond.send_response(response, false).ok()?;
    let send = SendHalf { inner: send, peer, finished: false, _guard: guard.clone() };
    let recv = RecvHalf {
        inner: request.into_body(),
        peer,
        buf: BytesMut::new(),
        received: 0,
        memory: Some(FrameMemory::new(handler.memory.clone())),
        _guard: guard,
    };
    Some(Incoming { path, peer, stream: Stream { send, recv, protocol } })
}

//! A loopback TCP proxy that delays, stalls and resets the connections to one address.

use {
    crate::{config::ephemeral_addr, plan::LinkFault},
    eyre::{Result, WrapErr},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{broadcast, watch},
        task::JoinHandle,
        time::sleep,
    },
};

/// Size of the copy buffer in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The current network fault.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
struct State {
    delay: Duration,
    stall_inbound: bool,
    stall_outbound: bool,
}

/// A running proxy. Dropping it closes its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    addr: SocketAddr,
    state: Arc<watch::Sender<State>>,
    resets: broadcast::Sender<()>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Listens on a free port for connections to `target`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub(crate) async fn bind(target: SocketAddr) -> Result<Proxy> {
        let listener =
            TcpListener::bind(ephemeral_addr()).await.wrap_err("failed to bind a proxy")?;
        let addr = listener.local_addr().wrap_err("failed to read the address of a proxy")?;
        let state = Arc::new(watch::Sender::new(State::default()));
        let (resets, _) = broadcast::channel(1);
        let task = tokio::spawn(accept(listener, target, state.clone(), resets.clone()));
        Ok(Proxy { addr, state, resets, task })
    }

    /// Returns the listen address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Applies a network fault to all connections until [`Proxy::clear`].
    pub(crate) fn apply(&self, fault: LinkFault) {
        let state = match fault {
            LinkFault::Delay(ms) => State { delay: Duration::from_millis(ms), ..State::default() },
            LinkFault::StallInbound => State { stall_inbound: true, ..State::default() },
            LinkFault::StallOutbound => State { stall_outbound: true, ..State::default() },
            LinkFault::Stall => {
                State { stall_inbound: true, stall_outbound: true, ..State::default() }
            }
            LinkFault::Reset => {
                self.reset();
                return;
            }
        };
        self.state.send_replace(state);
    }

    /// Ends the network fault.
    pub(crate) fn clear(&self) {
        self.state.send_replace(State::default());
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        // Sending fails if there are no connections.
        let _ = self.resets.send(());
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<State>>,
    resets: broadcast::Sender<()>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (state, reset) = (state.subscribe(), resets.subscribe());
        tokio::spawn(relay(client, target, state, reset));
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<State>,
    mut reset: broadcast::Receiver<()>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        // Reset the connection, as if the target process did not exist.
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut upstream_read, mut upstream_write) = upstream.into_split();
    let graceful = {
        let inbound =
            forward(&mut client_read, &mut upstream_write, state.clone(), |it| it.stall_inbound);
        let outbound =
            forward(&mut upstream_read, &mut client_write, state, |it| it.stall_outbound);
        tokio::select! {
            ended = async { tokio::try_join!(inbound, outbound) } => ended.is_ok(),
            _ = reset.recv() => false,
        }
    };
    if !graceful {
        let _ = (client_read.as_ref().set_zero_linger(), upstream_read.as_ref().set_zero_linger());
    }
}

/// Forwards bytes until the end of the stream.
async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    stalled: fn(&State) -> bool,
) -> io::Result<()> {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut bytes).await;
        // This fails only if the proxy was dropped.
        let open = state.wait_for(|it| !stalled(it)).await;
        let delay = open.map(|it| it.delay).unwrap_or_default();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        match read? {
            0 => return to.shutdown().await,
            count => to.write_all(&bytes[..count]).await?,
        }
    }
}

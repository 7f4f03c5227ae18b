//! A proxy on loopback that delays, silences and resets the connections to one address.

use {
    crate::{plan::Harm, site::any_addr},
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

/// The most bytes that are taken from a connection at once.
const CHUNK: usize = 16 << 10;

/// What happens to bytes at present.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
struct State {
    delay: Duration,
    silent_in: bool,
    silent_out: bool,
}

/// A running proxy; it ends when dropped, and its connections with it.
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
        let listener = TcpListener::bind(any_addr()).await.wrap_err("bind a proxy")?;
        let addr = listener.local_addr().wrap_err("address of a proxy")?;
        let state = Arc::new(watch::Sender::new(State::default()));
        let (resets, _) = broadcast::channel(1);
        let task = tokio::spawn(accept(listener, target, state.clone(), resets.clone()));
        Ok(Proxy { addr, state, resets, task })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Harms its connections until [`Proxy::heal`].
    pub(crate) fn harm(&self, harm: Harm) {
        let state = match harm {
            Harm::Delay(ms) => State { delay: Duration::from_millis(ms), ..State::default() },
            Harm::SilentIn => State { silent_in: true, ..State::default() },
            Harm::SilentOut => State { silent_out: true, ..State::default() },
            Harm::Silent => State { silent_in: true, silent_out: true, ..State::default() },
            Harm::Reset => {
                self.reset();
                return;
            }
        };
        self.state.send_replace(state);
    }

    /// Passes bytes on at once again.
    pub(crate) fn heal(&self) {
        self.state.send_replace(State::default());
    }

    /// Resets every open connection.
    pub(crate) fn reset(&self) {
        // Without a connection nobody listens.
        let _ = self.resets.send(());
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<State>>,
    resets: broadcast::Sender<()>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (state, reset) = (state.subscribe(), resets.subscribe());
        tokio::spawn(relay(near, target, state, reset));
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<State>,
    mut reset: broadcast::Receiver<()>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        // The caller sees what it would see of a process that is not there.
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let whole = {
        let inward = pump(&mut near_in, &mut far_out, state.clone(), |it| it.silent_in);
        let outward = pump(&mut far_in, &mut near_out, state, |it| it.silent_out);
        tokio::select! {
            ended = async { tokio::try_join!(inward, outward) } => ended.is_ok(),
            _ = reset.recv() => false,
        }
    };
    if !whole {
        let _ = (near_in.as_ref().set_zero_linger(), far_in.as_ref().set_zero_linger());
    }
}

/// Passes bytes on until their end.
async fn pump(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    silent: fn(&State) -> bool,
) -> io::Result<()> {
    let mut bytes = vec![0; CHUNK];
    loop {
        let read = from.read(&mut bytes).await;
        // The sender lives as long as the proxy.
        let open = state.wait_for(|it| !silent(it)).await;
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

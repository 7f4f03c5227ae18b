//! The path from one gateway to one endpoint, which can be cut.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpSocket, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::timeout,
    },
};

/// How long a path takes to be cut or restored.
pub(crate) const SWITCH_TIME: Duration = Duration::from_millis(50);

/// How a path is cut.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Cut {
    /// New connections and those that are open get no answer.
    Hang,
    /// New connections and those that are open are reset.
    Reset,
    /// New connections are refused, those that are open live on.
    Refuse,
    /// New connections are refused, those that are open are reset.
    Sever,
}

/// A loopback TCP proxy in front of an endpoint.
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    cut: watch::Sender<Option<Cut>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    pub(crate) async fn start(target: SocketAddr) -> Link {
        let addr = super::free_port();
        let listener = listen(addr, 64);
        let cut = watch::Sender::new(None);
        let task = tokio::spawn(serve(addr, listener, target, cut.subscribe()));
        Link { addr, cut, task }
    }

    /// Cuts the path, or ends the cut. New connections notice within [`SWITCH_TIME`].
    pub(crate) fn set(&self, cut: Option<Cut>) {
        self.cut.send_replace(cut);
    }
}

fn listen(addr: SocketAddr, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket.set_reuseaddr(true).expect("failed to set SO_REUSEADDR");
    socket.bind(addr).expect("failed to bind a link");
    socket.listen(backlog).expect("failed to listen")
}

async fn serve(
    addr: SocketAddr,
    listener: TcpListener,
    target: SocketAddr,
    mut cut: watch::Receiver<Option<Cut>>,
) {
    let mut listener = Some(listener);
    let mut relays = JoinSet::new();
    loop {
        let current = *cut.borrow_and_update();
        listener = match (current, listener.take()) {
            (None | Some(Cut::Reset), Some(it)) => Some(it),
            (None | Some(Cut::Reset), None) => Some(listen(addr, 64)),
            (Some(Cut::Hang | Cut::Refuse | Cut::Sever), _) => None,
        };
        // A full backlog drops the packets that open further connections.
        let full = (current == Some(Cut::Hang)).then(|| listen(addr, 0));
        let mut pending = Vec::new();
        while full.is_some()
            && let Ok(Ok(it)) = timeout(Duration::from_millis(10), TcpStream::connect(addr)).await
        {
            pending.push(it);
        }
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = cut.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    break;
                }
                accepted = accepted => {
                    let Ok((socket, _)) = accepted else { continue };
                    if current == Some(Cut::Reset) {
                        let _ = socket.set_zero_linger();
                    } else {
                        relays.spawn(relay(socket, target, cut.clone()));
                    }
                }
            }
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut cut: watch::Receiver<Option<Cut>>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let (mut client_read, mut client_write) = client.into_split();
    let (mut upstream_read, mut upstream_write) = upstream.into_split();
    let is_reset = {
        let inbound = forward(&mut client_read, &mut upstream_write, cut.clone());
        let outbound = forward(&mut upstream_read, &mut client_write, cut.clone());
        tokio::select! {
            _ = async { tokio::join!(inbound, outbound) } => false,
            _ = cut.wait_for(|it| matches!(it, Some(Cut::Reset | Cut::Sever))) => true,
        }
    };
    if is_reset {
        let _ = (client_read.as_ref().set_zero_linger(), upstream_read.as_ref().set_zero_linger());
    }
}

async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut cut: watch::Receiver<Option<Cut>>,
) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes).await {
        let _ = cut.wait_for(|it| *it != Some(Cut::Hang)).await;
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

//! A TCP proxy that can stall connections, as a middlebox does that dropped its connection state.

use {
    std::net::SocketAddr,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Forwards connections. The open ones can be stalled, while new ones work.
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    generation: watch::Sender<u64>,
}

impl Proxy {
    pub(crate) async fn spawn(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let generation = watch::Sender::new(0);
        tokio::spawn(accept(listener, to, generation.subscribe()));
        Proxy { addr, generation }
    }

    pub(crate) fn stall(&self) {
        self.generation.send_modify(|it| *it += 1);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, generation: watch::Receiver<u64>) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(forward(socket, to, generation.clone()));
    }
}

async fn forward(mut socket: TcpStream, to: SocketAddr, mut generation: watch::Receiver<u64>) {
    let Ok(mut other) = TcpStream::connect(to).await else { return };
    generation.mark_unchanged();
    let stalled = tokio::select! {
        _ = copy_bidirectional(&mut socket, &mut other) => false,
        changed = generation.changed() => changed.is_ok(),
    };
    if stalled {
        // Both ends stay open until the test ends.
        std::future::pending::<()>().await;
    }
}

//! One endpoint's port: connections that can be dropped, silenced or refused.

use {
    crate::{
        fault::{Cut, Fault, Line},
        gate::Gate,
        reply::{json, read_json},
    },
    edge::Body,
    eyre::{Result, WrapErr},
    http::{Method, Request, Response, StatusCode},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto::Builder,
    },
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinHandle,
        time::{sleep, sleep_until},
    },
};

const BACKLOG: u32 = 1_024;
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// What answers on a port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// The state of its connections.
    fn line(&self) -> &Line;

    /// Forgets what a crash loses.
    fn crashed(&self);

    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A running stand-in endpoint; dropping it ends it.
pub struct Endpoint {
    addr: SocketAddr,
    line: Line,
    crashed: Box<dyn Fn() + Send + Sync>,
    task: JoinHandle<()>,
}

impl Endpoint {
    pub(crate) fn bind<H>(addr: SocketAddr, handler: Arc<H>) -> Result<Endpoint>
    where
        H: Handler,
    {
        let listener = hold(addr).and_then(|it| it.listen(BACKLOG));
        let listener = listener.wrap_err_with(|| format!("standin: cannot bind {addr}"))?;
        let addr = listener.local_addr().wrap_err("standin: no local address")?;
        let line = handler.line().clone();
        let forgetful = handler.clone();
        let task = tokio::spawn(accept_all(listener, addr, handler));
        Ok(Endpoint { addr, line, crashed: Box::new(move || forgetful.crashed()), task })
    }

    /// The address that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How often it crashed.
    pub fn crashes(&self) -> u64 {
        self.line.crashes()
    }

    /// Provokes a fault.
    pub fn fault(&self, fault: Fault) {
        self.line.fault(fault, 0);
        if matches!(fault, Fault::Crash { .. }) {
            (self.crashed)();
        }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
        self.line.crash(0, 0);
    }
}

/// Binds a port without listening: connections to it are refused.
fn hold(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept_all<H>(mut listener: TcpListener, addr: SocketAddr, handler: Arc<H>)
where
    H: Handler,
{
    let mut cuts = handler.line().watch();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = cuts.changed() => {
                let down = cuts.borrow_and_update().down;
                let (Ok(()), Some(down)) = (changed, down) else { return };
                drop(listener);
                listener = come_back(addr, down).await;
                continue;
            }
        };
        let Ok((socket, _)) = accepted else {
            sleep(REBIND_INTERVAL).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let number = handler.line().accept();
        tokio::spawn(serve(socket, number, handler.clone()));
    }
}

/// Holds the port while the endpoint is down, then listens again.
async fn come_back(addr: SocketAddr, down: Instant) -> TcpListener {
    loop {
        if let Ok(socket) = hold(addr) {
            sleep_until(down.into()).await;
            if let Ok(listener) = socket.listen(BACKLOG) {
                return listener;
            }
        }
        sleep(REBIND_INTERVAL).await;
    }
}

async fn serve<H>(socket: TcpStream, number: u64, handler: Arc<H>)
where
    H: Handler,
{
    let mut cuts = handler.line().watch();
    let gate = Gate { socket, line: handler.line().clone(), number };
    let service = service_fn(move |it| answer(handler.clone(), number, it));
    let builder = Builder::new(TokioExecutor::new());
    let conn = builder.serve_connection(TokioIo::new(gate), service);
    let dropped = |it: &Cut| number <= it.killed && number != it.spared;
    tokio::select! {
        _ = conn => {}
        _ = cuts.wait_for(dropped) => {}
    }
}

async fn answer<H>(
    handler: Arc<H>,
    number: u64,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible>
where
    H: Handler,
{
    if request.method() == Method::POST && request.uri().path() == "/fault" {
        return Ok(provoke(&*handler, number, request).await);
    }
    handler.line().thawed().await;
    Ok(handler.answer(request).await)
}

async fn provoke<H>(handler: &H, number: u64, request: Request<Incoming>) -> Response<Body>
where
    H: Handler,
{
    let fault: Fault = match read_json(request.into_body()).await {
        Ok(fault) => fault,
        Err(refused) => return refused.into(),
    };
    tracing::info!("standin: fault {fault:?}");
    handler.line().fault(fault, number);
    if matches!(fault, Fault::Crash { .. }) {
        handler.crashed();
    }
    json(StatusCode::OK, &fault)
}

//! The listener of one endpoint, whose connections can be dropped, silenced or refused.

use {
    crate::{
        fault::{Disconnect, Fault, FaultState},
        faulty_socket::FaultySocket,
        response::{json, read_json},
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

/// Handles the requests on one port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// The injected faults of the endpoint.
    fn faults(&self) -> &FaultState;

    /// Discards the state that does not survive a crash.
    fn on_crash(&self);

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A running mock endpoint. Dropping it stops it.
pub struct Endpoint {
    addr: SocketAddr,
    faults: FaultState,
    on_crash: Box<dyn Fn() + Send + Sync>,
    task: JoinHandle<()>,
}

impl Endpoint {
    pub(crate) fn bind<H>(addr: SocketAddr, handler: Arc<H>) -> Result<Endpoint>
    where
        H: Handler,
    {
        let listener = bind_socket(addr).and_then(|it| it.listen(BACKLOG));
        let listener = listener.wrap_err_with(|| format!("standin: failed to bind {addr}"))?;
        let addr = listener.local_addr().wrap_err("standin: failed to read the bound address")?;
        let faults = handler.faults().clone();
        let crash_handler = handler.clone();
        let task = tokio::spawn(accept_all(listener, addr, handler));
        Ok(Endpoint { addr, faults, on_crash: Box::new(move || crash_handler.on_crash()), task })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.faults.crashes()
    }

    /// Injects a fault.
    pub fn fault(&self, fault: Fault) {
        self.faults.inject(fault, 0);
        if matches!(fault, Fault::Crash { .. }) {
            (self.on_crash)();
        }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
        self.faults.crash(0, 0);
    }
}

/// Binds a port without listening, so that connections to it are refused.
fn bind_socket(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept_all<H>(mut listener: TcpListener, addr: SocketAddr, handler: Arc<H>)
where
    H: Handler,
{
    let mut disconnects = handler.faults().disconnects();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = disconnects.changed() => {
                let refuse_until = disconnects.borrow_and_update().refuse_until;
                let (Ok(()), Some(refuse_until)) = (changed, refuse_until) else { return };
                drop(listener);
                listener = listen_again(addr, refuse_until).await;
                continue;
            }
        };
        let Ok((socket, _)) = accepted else {
            sleep(REBIND_INTERVAL).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let number = handler.faults().accept();
        tokio::spawn(serve(socket, number, handler.clone()));
    }
}

/// Keeps the port bound until `refuse_until`, then listens again.
async fn listen_again(addr: SocketAddr, refuse_until: Instant) -> TcpListener {
    loop {
        if let Ok(socket) = bind_socket(addr) {
            sleep_until(refuse_until.into()).await;
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
    let mut disconnects = handler.faults().disconnects();
    let socket = FaultySocket { socket, faults: handler.faults().clone(), number };
    let service = service_fn(move |it| dispatch(handler.clone(), number, it));
    let builder = Builder::new(TokioExecutor::new());
    let conn = builder.serve_connection(TokioIo::new(socket), service);
    let is_dropped = |it: &Disconnect| number <= it.up_to && number != it.except;
    tokio::select! {
        _ = conn => {}
        _ = disconnects.wait_for(is_dropped) => {}
    }
}

async fn dispatch<H>(
    handler: Arc<H>,
    number: u64,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible>
where
    H: Handler,
{
    if request.method() == Method::POST && request.uri().path() == "/fault" {
        return Ok(inject_fault(&*handler, number, request).await);
    }
    handler.faults().wait_unfrozen().await;
    Ok(handler.handle(request).await)
}

async fn inject_fault<H>(handler: &H, number: u64, request: Request<Incoming>) -> Response<Body>
where
    H: Handler,
{
    let fault: Fault = match read_json(request.into_body()).await {
        Ok(fault) => fault,
        Err(rejection) => return rejection.into(),
    };
    tracing::info!("standin: injecting fault {fault:?}");
    handler.faults().inject(fault, number);
    if matches!(fault, Fault::Crash { .. }) {
        handler.on_crash();
    }
    json(StatusCode::OK, &fault)
}

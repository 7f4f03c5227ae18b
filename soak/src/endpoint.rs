//! A mock endpoint that records every request it runs and misbehaves on demand.

use {
    crate::{
        config::{CRASHING_PART, LIMIT, SLOTS},
        history::{
            ReceivedRequest, STREAM_EVENTS, SharedHistory, expected_event, expected_response,
            expected_signature,
        },
        plan::Behavior,
    },
    bytes::Bytes,
    derive_more::Debug,
    eyre::{Result, WrapErr},
    futures_util::stream,
    http::{Request, Response, StatusCode, request::Parts},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    rand::{random_bool, random_range},
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc::UnboundedSender, watch},
        time::sleep,
    },
};

/// Maximum duration of a short request, or of all events of a short stream, in milliseconds.
const SHORT_WORK_MS: u64 = 100;

/// Fraction of requests that take up to [`LONG_WORK_MS`].
const LONG_FRACTION: f64 = 0.08;

/// Maximum duration of a long request in milliseconds. It is below the timeout of a route, and above the time that a
/// stopping gateway waits for idle callers.
const LONG_WORK_MS: u64 = 2_500;

/// How long an endpoint may still receive requests after it was listed as draining.
const DRAIN_GRACE: Duration = Duration::from_millis(4_000);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The identity of an endpoint, which survives restarts.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Its index in the fault plan.
    pub(crate) number: usize,
    /// Its id in the directory.
    pub(crate) id: String,
    /// The service that it belongs to.
    pub(crate) service: &'static str,
}

#[derive(Debug)]
struct State {
    identity: Identity,
    history: SharedHistory,
    behavior: Mutex<Behavior>,
    running: AtomicU32,
    /// When the directory first listed it as draining.
    draining_since: Mutex<Option<Instant>>,
    /// Receives the number of an endpoint that crashes.
    crashes: UnboundedSender<usize>,
}

/// A running endpoint. Dropping it closes its connections abruptly.
#[derive(Debug)]
pub(crate) struct Endpoint {
    addr: SocketAddr,
    state: Arc<State>,
    _alive: watch::Sender<()>,
}

impl Endpoint {
    /// Starts an endpoint that listens on `addr`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub(crate) async fn bind(
        addr: SocketAddr,
        identity: Identity,
        history: SharedHistory,
        crashes: UnboundedSender<usize>,
    ) -> Result<Endpoint> {
        let listener = TcpListener::bind(addr).await.wrap_err("failed to bind an endpoint")?;
        let addr = listener.local_addr().wrap_err("failed to read the address of an endpoint")?;
        let state = Arc::new(State {
            identity,
            history,
            behavior: Mutex::new(Behavior::Healthy),
            running: AtomicU32::new(0),
            draining_since: Mutex::new(None),
            crashes,
        });
        let (alive, ended) = watch::channel(());
        tokio::spawn(accept(listener, state.clone(), ended));
        Ok(Endpoint { addr, state, _alive: alive })
    }

    /// Returns the listen address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how the endpoint behaves.
    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        *self.state.behavior.lock() = behavior;
    }

    /// Records that the endpoint is listed as draining from now on.
    pub(crate) fn mark_draining(&self, now: Instant) {
        self.state.draining_since.lock().get_or_insert(now);
    }
}

async fn accept(listener: TcpListener, state: Arc<State>, mut ended: watch::Receiver<()>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                tokio::spawn(serve(socket, state.clone(), ended.clone()));
            },
            _ = ended.changed() => return,
        }
    }
}

async fn serve(socket: TcpStream, state: Arc<State>, mut ended: watch::Receiver<()>) {
    let service = service_fn(|request| handle(state.clone(), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        // Errors of connections that callers close are ignored.
        _ = connection => {}
        _ = ended.changed() => {}
    }
}

/// A running request. Dropping it records the end of the execution.
struct RunningRequest {
    state: Arc<State>,
    id: String,
    run: usize,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        self.state.history.record_finish(&self.id, self.run, Instant::now());
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let id = header(&parts, "attempt-id").unwrap_or_default();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let behavior = *state.behavior.lock();
    if header(&parts, "endpoint-id").as_ref() != Some(&state.identity.id) {
        return not_run(&id, StatusCode::MISDIRECTED_REQUEST);
    }
    if behavior == Behavior::Limited {
        state.history.record_limited(state.identity.number, &id, Instant::now());
    }
    if behavior == Behavior::Rejecting || state.running.load(Ordering::Relaxed) >= SLOTS {
        return not_run(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    let running = begin_request(&state, &id, &parts, body);
    match behavior {
        Behavior::Slow(ms) => sleep(Duration::from_millis(ms)).await,
        Behavior::Hanging if random_bool(0.5) => pending().await,
        _ => {}
    }
    if header(&parts, "prompt-parts").is_some_and(|it| it.contains(CRASHING_PART)) {
        state.history.record_crashing_part(&id, Instant::now());
        sleep(random_work()).await;
        state.history.record_part_crash(Instant::now());
        let _ = state.crashes.send(state.identity.number);
        return pending().await;
    }
    if state.identity.service == "model" {
        return stream_events(&state, running, &parts, behavior);
    }
    sleep(random_work()).await;
    let head = response_head(&state, &id);
    match behavior {
        Behavior::Failing if random_bool(0.5) => {
            full_response(head.status(500), Bytes::from("failed"))
        }
        Behavior::Truncating if random_bool(0.5) => {
            let body = expected_response(&id);
            let half = Ok(Frame::data(body.slice(..body.len() / 2)));
            let frames = stream::iter([half, Err(io::Error::other("injected body failure"))]);
            let head = head.header("content-length", body.len());
            head.body(StreamBody::new(frames).boxed_unsync()).map_err(io::Error::other)
        }
        _ => full_response(head, expected_response(&id)),
    }
}

fn begin_request(state: &Arc<State>, id: &str, parts: &Parts, body: Bytes) -> RunningRequest {
    let now = Instant::now();
    state.running.fetch_add(1, Ordering::Relaxed);
    let draining_since = *state.draining_since.lock();
    let time_left = header(parts, "deadline-ms").and_then(|it| it.parse().ok());
    let received = ReceivedRequest {
        endpoint: state.identity.number,
        service: state.identity.service,
        path: parts.uri.path().to_owned(),
        body,
        team: header(parts, "team"),
        has_team_key: parts.headers.contains_key("team-key"),
        time_left: time_left.map_or(Duration::MAX, Duration::from_millis),
        drain_deadline: draining_since.map(|it| it + DRAIN_GRACE),
    };
    let run = state.history.record_start(id, &received, now);
    RunningRequest { state: state.clone(), id: id.to_owned(), run }
}

fn stream_events(
    state: &Arc<State>,
    running: RunningRequest,
    parts: &Parts,
    behavior: Behavior,
) -> io::Result<Response<Body>> {
    let last = header(parts, "last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let breaks = matches!(behavior, Behavior::Truncating | Behavior::Failing) && random_bool(0.5);
    let (id, gap) = (running.id.clone(), random_work() / STREAM_EVENTS as u32);
    let frames = stream::unfold((last + 1, running), move |(number, running)| async move {
        if number > STREAM_EVENTS {
            return None;
        }
        sleep(gap).await;
        let frame = if breaks && number > STREAM_EVENTS / 2 {
            Err(io::Error::other("injected body failure"))
        } else {
            Ok(Frame::data(Bytes::from(expected_event(&running.id, number))))
        };
        Some((frame, (number + 1, running)))
    });
    let head = response_head(state, &id).header("content-type", "text/event-stream");
    head.body(StreamBody::new(frames).boxed_unsync()).map_err(io::Error::other)
}

fn random_work() -> Duration {
    let max_ms = if random_bool(LONG_FRACTION) { LONG_WORK_MS } else { SHORT_WORK_MS };
    Duration::from_millis(random_range(0..max_ms))
}

fn header(parts: &Parts, name: &str) -> Option<String> {
    Some(parts.headers.get(name)?.to_str().ok()?.to_owned())
}

fn response_head(state: &State, id: &str) -> http::response::Builder {
    let running = state.running.load(Ordering::Relaxed);
    let limited = *state.behavior.lock() == Behavior::Limited;
    let builder = Response::builder();
    let builder =
        if limited { builder.header("endpoint-limit", LIMIT.to_string()) } else { builder };
    builder
        .header("attempt-id", id)
        .header("endpoint-signature", expected_signature(state.identity.number, id))
        .header("endpoint-load", format!("{running},0,{SLOTS}"))
}

fn not_run(id: &str, status: StatusCode) -> io::Result<Response<Body>> {
    let head = Response::builder().status(status).header("attempt-id", id).header("not-run", "1");
    full_response(head, Bytes::new())
}

fn full_response(head: http::response::Builder, body: Bytes) -> io::Result<Response<Body>> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    head.body(body).map_err(io::Error::other)
}

//! An endpoint that notes everything it runs, and misbehaves when it is told to.

use {
    crate::{
        plan::Mood,
        record::{Arrival, EVENTS, Shared, answer_of, event_of, signature_of},
        site::SLOTS,
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
        sync::watch,
        time::sleep,
    },
};

/// How long a request that is no stream takes, or how long all events of a stream, in milliseconds.
const WORK_MS: u64 = 100;

/// The share of requests that take up to [`LONG_MS`].
const LONG_SHARE: f64 = 0.08;

/// The longest work, in milliseconds: within the time of a route, and longer than a gateway that stops waits for
/// callers that have nothing open.
const LONG_MS: u64 = 2_500;

/// How long after it was listed as leaving an endpoint may still be sent requests.
const DRAIN: Duration = Duration::from_millis(4_000);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// What an endpoint is, whatever its state.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Its number in the plan.
    pub(crate) number: usize,
    /// Its id in the list.
    pub(crate) id: String,
    /// The service that it belongs to.
    pub(crate) service: &'static str,
}

#[derive(Debug)]
struct State {
    identity: Identity,
    record: Shared,
    mood: Mutex<Mood>,
    running: AtomicU32,
    /// When the list first called it leaving.
    leaving: Mutex<Option<Instant>>,
}

/// A running endpoint; it crashes when dropped.
#[derive(Debug)]
pub(crate) struct Endpoint {
    addr: SocketAddr,
    state: Arc<State>,
    _alive: watch::Sender<()>,
}

impl Endpoint {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub(crate) async fn bind(
        addr: SocketAddr,
        identity: Identity,
        record: Shared,
    ) -> Result<Endpoint> {
        let listener = TcpListener::bind(addr).await.wrap_err("bind an endpoint")?;
        let addr = listener.local_addr().wrap_err("address of an endpoint")?;
        let state = Arc::new(State {
            identity,
            record,
            mood: Mutex::new(Mood::Sound),
            running: AtomicU32::new(0),
            leaving: Mutex::new(None),
        });
        let (alive, ended) = watch::channel(());
        tokio::spawn(accept(listener, state.clone(), ended));
        Ok(Endpoint { addr, state, _alive: alive })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how it behaves.
    pub(crate) fn set_mood(&self, mood: Mood) {
        *self.state.mood.lock() = mood;
    }

    /// Notes that it is listed as leaving from now on.
    pub(crate) fn leave(&self, now: Instant) {
        self.state.leaving.lock().get_or_insert(now);
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
    let service = service_fn(|request| answer(state.clone(), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        // Connections that callers close are no matter of the endpoint.
        _ = connection => {}
        _ = ended.changed() => {}
    }
}

/// A request that runs; it ends when this is dropped.
struct Running {
    state: Arc<State>,
    id: String,
    run: usize,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        self.state.record.ran(&self.id, self.run, Instant::now());
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let id = header(&parts, "attempt-id").unwrap_or_default();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mood = *state.mood.lock();
    if header(&parts, "endpoint-id").as_ref() != Some(&state.identity.id) {
        return not_run(&id, StatusCode::MISDIRECTED_REQUEST);
    }
    if mood == Mood::Shedding || state.running.load(Ordering::Relaxed) >= SLOTS {
        return not_run(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    let running = begin(&state, &id, &parts, body);
    match mood {
        Mood::Slow(ms) => sleep(Duration::from_millis(ms)).await,
        Mood::Hanging if random_bool(0.5) => pending().await,
        _ => {}
    }
    if state.identity.service == "model" {
        return stream_events(&state, running, &parts, mood);
    }
    sleep(work()).await;
    let head = head(&state, &id);
    match mood {
        Mood::Failing if random_bool(0.5) => whole(head.status(500), Bytes::from("failed")),
        Mood::Breaking if random_bool(0.5) => {
            let body = answer_of(&id);
            let half = Ok(Frame::data(body.slice(..body.len() / 2)));
            let frames = stream::iter([half, Err(io::Error::other("broken off"))]);
            let head = head.header("content-length", body.len());
            head.body(StreamBody::new(frames).boxed_unsync()).map_err(io::Error::other)
        }
        _ => whole(head, answer_of(&id)),
    }
}

fn begin(state: &Arc<State>, id: &str, parts: &Parts, body: Bytes) -> Running {
    let now = Instant::now();
    state.running.fetch_add(1, Ordering::Relaxed);
    let leaving = *state.leaving.lock();
    let left = header(parts, "deadline-ms").and_then(|it| it.parse().ok());
    let arrival = Arrival {
        endpoint: state.identity.number,
        service: state.identity.service,
        path: parts.uri.path().to_owned(),
        body,
        team: header(parts, "team"),
        keyed: parts.headers.contains_key("team-key"),
        left: left.map_or(Duration::MAX, Duration::from_millis),
        drained: leaving.map(|it| it + DRAIN),
    };
    let run = state.record.runs(id, &arrival, now);
    Running { state: state.clone(), id: id.to_owned(), run }
}

fn stream_events(
    state: &Arc<State>,
    running: Running,
    parts: &Parts,
    mood: Mood,
) -> io::Result<Response<Body>> {
    let last = header(parts, "last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let breaks = matches!(mood, Mood::Breaking | Mood::Failing) && random_bool(0.5);
    let (id, gap) = (running.id.clone(), work() / EVENTS as u32);
    let frames = stream::unfold((last + 1, running), move |(number, running)| async move {
        if number > EVENTS {
            return None;
        }
        sleep(gap).await;
        let frame = if breaks && number > EVENTS / 2 {
            Err(io::Error::other("broken off"))
        } else {
            Ok(Frame::data(Bytes::from(event_of(&running.id, number))))
        };
        Some((frame, (number + 1, running)))
    });
    let head = head(state, &id).header("content-type", "text/event-stream");
    head.body(StreamBody::new(frames).boxed_unsync()).map_err(io::Error::other)
}

fn work() -> Duration {
    let most_ms = if random_bool(LONG_SHARE) { LONG_MS } else { WORK_MS };
    Duration::from_millis(random_range(0..most_ms))
}

fn header(parts: &Parts, name: &str) -> Option<String> {
    Some(parts.headers.get(name)?.to_str().ok()?.to_owned())
}

fn head(state: &State, id: &str) -> http::response::Builder {
    let running = state.running.load(Ordering::Relaxed);
    Response::builder()
        .header("attempt-id", id)
        .header("endpoint-signature", signature_of(state.identity.number, id))
        .header("endpoint-load", format!("{running},0,{SLOTS}"))
}

fn not_run(id: &str, status: StatusCode) -> io::Result<Response<Body>> {
    let head = Response::builder().status(status).header("attempt-id", id).header("not-run", "1");
    whole(head, Bytes::new())
}

fn whole(head: http::response::Builder, body: Bytes) -> io::Result<Response<Body>> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    head.body(body).map_err(io::Error::other)
}

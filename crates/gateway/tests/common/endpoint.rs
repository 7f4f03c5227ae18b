//! Scripted endpoints that respond correctly or misbehave.

use {
    directory::ListedEndpoint,
    model::Domain,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
    },
};

/// How an endpoint handles a request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Another behavior, with this line added to the head of its response.
    WithHeader(&'static str, Box<Behavior>),
    /// A valid response.
    Respond,
    /// A failure with this status.
    Fail(u16),
    /// A response with this status that states that the request did not run.
    NotRun(u16),
    /// A response with this status and these header lines, instead of the attempt id.
    Refuse(u16, &'static str),
    /// Closes the connection without a response.
    Close,
    /// Reads the request and never responds.
    NoResponse,
    /// A response shorter than its declared length.
    Truncated,
    /// Bytes that are not an HTTP response.
    Garbage,
    /// The response to another request.
    OtherRequest,
    /// A response without a signature.
    Unsigned,
    /// A response with a content encoding that was not requested.
    Encoded,
    /// A response without a length, which ends with the connection.
    Unframed,
    /// A valid response followed by another one.
    ExtraResponse,
    /// A rejection sent before the body was read.
    Reject,
    /// Events with these numbers, terminated correctly.
    Events(std::ops::Range<u64>),
    /// A stream with this text, terminated correctly.
    Text(&'static str),
    /// Events with these numbers, then a connection reset in the middle of the next event.
    Reset(std::ops::Range<u64>),
    /// Events with these numbers and a part of the next one, terminated correctly.
    PartialEvent(std::ops::Range<u64>),
    /// Events with these numbers, without a length or chunks.
    UnframedEvents(std::ops::Range<u64>),
    /// Events with these numbers and a part of the next one, without a length or chunks.
    UnframedPartialEvent(std::ops::Range<u64>),
    /// Events with these numbers, then nothing.
    Stalled(std::ops::Range<u64>),
    /// Another behavior, after a silence of this many milliseconds.
    Delayed(u64, Box<Behavior>),
    /// The first part of a valid response, and the rest after a silence of this many milliseconds.
    PausedBody(u64),
    /// The head of a stream and its first events, and the others after a silence of this many
    /// milliseconds, terminated correctly.
    PausedEvents(std::ops::Range<u64>, u64, std::ops::Range<u64>),
    /// The start of a response, with `{id}` in place of the attempt id, then a part that is repeated
    /// without end.
    Endless { start: Arc<str>, part: Arc<str>, pause: Duration },
    /// Events with increasing numbers without end.
    EndlessEvents,
}

/// A request as received by an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// The request line and headers, with header names in lower case.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let line = self.head.lines().find_map(|it| it.strip_prefix(&format!("{name}: ")));
        line.map(str::trim)
    }
}

#[derive(Default)]
struct State {
    behaviors: VecDeque<Behavior>,
    received: Vec<ReceivedRequest>,
    /// The number of connections with a request in progress.
    active: usize,
    /// The number of bytes sent by endless responses.
    pushed: usize,
}

/// An endpoint that follows its behaviors in order, and responds normally when none is left.
pub(crate) struct Endpoint {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    pub(crate) async fn start<I>(behaviors: I) -> Endpoint
    where
        I: IntoIterator<Item = Behavior>,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
        let addr = listener.local_addr().expect("no local address");
        let behaviors = behaviors.into_iter().collect();
        let state = Arc::new(Mutex::new(State { behaviors, ..State::default() }));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, shared.clone()));
            }
        });
        Endpoint { addr, state, task }
    }

    /// Replaces the remaining behaviors.
    pub(crate) fn set_behaviors<I>(&self, behaviors: I)
    where
        I: IntoIterator<Item = Behavior>,
    {
        self.state.lock().expect("state is poisoned").behaviors = behaviors.into_iter().collect();
    }

    pub(crate) fn listing_entry(&self, service: &str, id: &str) -> ListedEndpoint {
        ListedEndpoint {
            id: id.into(),
            service: service.into(),
            addr: self.addr,
            domain: Domain("d0".into()),
            slots: 8,
            draining: false,
            started_at_ms: None,
            build: None,
        }
    }

    /// Returns a listing entry with this version of the endpoint's software.
    pub(crate) fn versioned_entry(&self, id: &str, build: &str) -> ListedEndpoint {
        ListedEndpoint { build: Some(build.into()), ..self.listing_entry("model", id) }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().expect("state is poisoned").received.clone()
    }

    pub(crate) fn active(&self) -> usize {
        self.state.lock().expect("state is poisoned").active
    }

    pub(crate) fn pushed(&self) -> usize {
        self.state.lock().expect("state is poisoned").pushed
    }
}

async fn serve(mut socket: TcpStream, state: Arc<Mutex<State>>) {
    let Some(received) = read_request(&mut socket).await else { return };
    let behavior = {
        let mut state = state.lock().expect("state is poisoned");
        state.received.push(received.clone());
        state.active += 1;
        state.behaviors.pop_front().unwrap_or(Behavior::Respond)
    };
    let mut buffer = [0; 1];
    let id = received.header("attempt-id").unwrap_or("-");
    let bytes = response_bytes(&behavior, id);
    let (bytes, silence_ms, rest) = split_at_silence(&behavior, bytes, id);
    let _ = socket.write_all(&bytes).await;
    if silence_ms > 0 {
        tokio::select! {
            () = sleep(Duration::from_millis(silence_ms)) => {}
            // The gateway closed the connection.
            _ = socket.read(&mut buffer) => {
                state.lock().expect("state is poisoned").active -= 1;
                return;
            }
        }
        let _ = socket.write_all(&rest).await;
    }
    match behavior {
        Behavior::NoResponse | Behavior::Stalled(_) => {
            // Wait until the gateway closes the connection.
            let _ = socket.read(&mut buffer).await;
        }
        Behavior::Endless { part, pause, .. } => {
            let repeat = if pause.is_zero() { BLOCK_BYTES.div_ceil(part.len()) } else { 1 };
            let block = part.repeat(repeat);
            push(&mut socket, &state, pause, || block.clone().into_bytes()).await;
        }
        Behavior::EndlessEvents => {
            let mut numbers = 0..;
            let mut block =
                || numbers.by_ref().take(200).flat_map(|it| chunk(&event(it))).collect();
            push(&mut socket, &state, Duration::ZERO, &mut block).await;
        }
        Behavior::Reset(_) | Behavior::Close | Behavior::Truncated => {
            sleep(Duration::from_millis(20)).await;
            let _ = socket.set_zero_linger();
        }
        _ => {
            let _ = socket.shutdown().await;
        }
    }
    state.lock().expect("state is poisoned").active -= 1;
}

/// Splits a response into what is sent before a silence, its length in milliseconds, and what is
/// sent after it.
fn split_at_silence(behavior: &Behavior, bytes: Vec<u8>, id: &str) -> (Vec<u8>, u64, Vec<u8>) {
    match behavior {
        Behavior::Delayed(ms, _) => (Vec::new(), *ms, bytes),
        Behavior::PausedBody(ms) => {
            let (first, rest) = bytes.split_at(bytes.len() - 3);
            (first.to_vec(), *ms, rest.to_vec())
        }
        Behavior::PausedEvents(first, ms, _) => {
            let first = response_bytes(&Behavior::Stalled(first.clone()), id);
            let rest = bytes[first.len()..].to_vec();
            (first, *ms, rest)
        }
        _ => (bytes, 0, Vec::new()),
    }
}

/// The size of a block of an endless response that is sent without pauses, in bytes.
const BLOCK_BYTES: usize = 16 << 10;

/// Sends blocks until the gateway closes the connection.
async fn push<F>(socket: &mut TcpStream, state: &Mutex<State>, pause: Duration, mut block: F)
where
    F: FnMut() -> Vec<u8>,
{
    loop {
        let block = block();
        if socket.write_all(&block).await.is_err() {
            return;
        }
        state.lock().expect("state is poisoned").pushed += block.len();
        sleep(pause).await;
    }
}

pub(crate) async fn read_request(socket: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        if socket.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let (first, headers) = text.split_once("\r\n")?;
    let lower = headers.lines().map(|it| match it.split_once(':') {
        Some((name, value)) => format!("{}:{value}\n", name.to_ascii_lowercase()),
        None => String::new(),
    });
    let head = format!("{first}\n{}", lower.collect::<String>());
    let mut received = ReceivedRequest { head, body: bytes.split_off(end) };
    let length = received.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while received.body.len() < length {
        if socket.read_buf(&mut received.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(received)
}

pub(crate) const SIGNED: &str = "endpoint-signature: s\r\nendpoint-load: 1,0,8\r\n";

fn response_bytes(behavior: &Behavior, id: &str) -> Vec<u8> {
    let head = |status: u16, id: &str, rest: &str| {
        format!("HTTP/1.1 {status} X\r\nattempt-id: {id}\r\n{rest}")
    };
    let complete = format!("{SIGNED}content-length: 5\r\n\r\nwhole");
    match behavior {
        Behavior::WithHeader(line, behavior) => {
            let text = String::from_utf8_lossy(&response_bytes(behavior, id)).into_owned();
            text.replacen("\r\n", &format!("\r\n{line}\r\n"), 1).into_bytes()
        }
        Behavior::Respond => head(200, id, &complete).into_bytes(),
        Behavior::Fail(status) => head(*status, id, &complete).into_bytes(),
        Behavior::NotRun(status) => {
            head(*status, id, "not-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes()
        }
        Behavior::Refuse(status, lines) => {
            format!("HTTP/1.1 {status} X\r\n{lines}content-length: 0\r\n\r\n").into_bytes()
        }
        Behavior::Close | Behavior::NoResponse => Vec::new(),
        Behavior::Truncated => {
            head(200, id, &format!("{SIGNED}content-length: 9\r\n\r\nwhole")).into_bytes()
        }
        Behavior::Garbage => b"\x00\x01 no answer\r\n\r\n".to_vec(),
        Behavior::OtherRequest => head(200, "other", &complete).into_bytes(),
        Behavior::Unsigned => head(200, id, "content-length: 5\r\n\r\nwhole").into_bytes(),
        Behavior::Encoded => {
            head(200, id, &format!("content-encoding: gzip\r\n{complete}")).into_bytes()
        }
        Behavior::Unframed => head(200, id, &format!("{SIGNED}\r\nwhole")).into_bytes(),
        Behavior::ExtraResponse => {
            let response = head(200, id, &complete);
            format!("{response}{response}").into_bytes()
        }
        Behavior::Reject => head(413, id, "not-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes(),
        Behavior::Events(events) => {
            let mut bytes = events_head(id);
            events.clone().for_each(|it| bytes.extend(chunk(&event(it))));
            bytes.extend(b"0\r\n\r\n");
            bytes
        }
        Behavior::Text(text) => [events_head(id), chunk(text), b"0\r\n\r\n".to_vec()].concat(),
        Behavior::Reset(events) => {
            let mut bytes = events_head(id);
            events.clone().for_each(|it| bytes.extend(chunk(&event(it))));
            bytes.extend(chunk(&event(events.end)[..6]));
            bytes
        }
        Behavior::PartialEvent(events) => {
            let mut bytes = events_head(id);
            events.clone().for_each(|it| bytes.extend(chunk(&event(it))));
            bytes.extend(chunk(&event(events.end)[..6]));
            bytes.extend(b"0\r\n\r\n");
            bytes
        }
        Behavior::UnframedEvents(events) => {
            let mut bytes = unframed_events_head(id);
            events.clone().for_each(|it| bytes.extend(event(it).into_bytes()));
            bytes
        }
        Behavior::UnframedPartialEvent(events) => {
            let mut bytes = response_bytes(&Behavior::UnframedEvents(events.clone()), id);
            bytes.extend(&event(events.end).as_bytes()[..6]);
            bytes
        }
        Behavior::Stalled(events) => {
            let mut bytes = events_head(id);
            events.clone().for_each(|it| bytes.extend(chunk(&event(it))));
            bytes
        }
        Behavior::Delayed(_, behavior) => response_bytes(behavior, id),
        Behavior::PausedBody(_) => response_bytes(&Behavior::Respond, id),
        Behavior::PausedEvents(first, _, rest) => {
            response_bytes(&Behavior::Events(first.start..rest.end), id)
        }
        Behavior::Endless { start, .. } => start.replace("{id}", id).into_bytes(),
        Behavior::EndlessEvents => events_head(id),
    }
}

fn events_head(id: &str) -> Vec<u8> {
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
    format!("HTTP/1.1 200 X\r\nattempt-id: {id}\r\n{SIGNED}{kind}\r\n\r\n").into_bytes()
}

fn unframed_events_head(id: &str) -> Vec<u8> {
    let kind = "content-type: text/event-stream\r\nconnection: close";
    format!("HTTP/1.1 200 X\r\nattempt-id: {id}\r\n{SIGNED}{kind}\r\n\r\n").into_bytes()
}

pub(crate) fn event(number: u64) -> String {
    format!("id: {number}\ndata: word-{number}\n\n")
}

pub(crate) fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

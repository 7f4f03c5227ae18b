//! An HTTP client that checks the raw bytes it receives.

use {
    super::TEAM_KEY,
    std::{io::Write, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, timeout},
    },
};

/// How long to wait for the end of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A response as received by the client.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The status line and headers, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body is as long as its framing says.
    pub(crate) complete: bool,
    pub(crate) elapsed: Duration,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let line = self.head.lines().find_map(|it| it.strip_prefix(&format!("{name}: ")));
        line.map(str::trim)
    }
}

/// A request under construction.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    addr: SocketAddr,
    method: Option<String>,
    host: String,
    attempt_id: String,
    key: Option<String>,
    deadline_ms: u64,
    headers: String,
    body: String,
}

impl Client {
    pub(crate) fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            method: None,
            host: "h".to_owned(),
            attempt_id: "a1".to_owned(),
            key: Some(TEAM_KEY.to_owned()),
            deadline_ms: 4_000,
            headers: String::new(),
            body: String::new(),
        }
    }

    /// Sets the method. Without it, a request with a body is a POST, and one without a GET.
    pub(crate) fn method(mut self, method: &str) -> Client {
        self.method = Some(method.to_owned());
        self
    }

    pub(crate) fn host(mut self, host: &str) -> Client {
        self.host = host.to_owned();
        self
    }

    pub(crate) fn attempt(mut self, id: &str) -> Client {
        self.attempt_id = id.to_owned();
        self
    }

    pub(crate) fn key(mut self, key: Option<&str>) -> Client {
        self.key = key.map(str::to_owned);
        self
    }

    pub(crate) fn deadline(mut self, ms: u64) -> Client {
        self.deadline_ms = ms;
        self
    }

    pub(crate) fn header(mut self, line: &str) -> Client {
        self.headers.push_str(line);
        self.headers.push_str("\r\n");
        self
    }

    pub(crate) fn body(mut self, body: &str) -> Client {
        self.body = body.to_owned();
        self
    }

    /// Sends the request on a new connection.
    pub(crate) async fn send(&self, path: &str) -> TcpStream {
        let mut socket = TcpStream::connect(self.addr).await.expect("failed to connect");
        let request = self.request_head(path, self.body.len()) + &self.body;
        socket.write_all(request.as_bytes()).await.expect("failed to send");
        socket
    }

    /// Connects without a wait, so that no other task runs in between.
    pub(crate) fn connect_now(&self) -> Connection {
        let socket = std::net::TcpStream::connect(self.addr).expect("failed to connect");
        Connection { client: self.clone(), socket: Some(socket) }
    }

    /// Returns the head of a request whose body has `body_bytes`.
    fn request_head(&self, path: &str, body_bytes: usize) -> String {
        let by_body = if body_bytes == 0 { "GET" } else { "POST" };
        let method = self.method.as_deref().unwrap_or(by_body);
        let key = self.key.as_ref().map(|it| format!("team-key: {it}\r\n")).unwrap_or_default();
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\nattempt-id: {}\r\ndeadline-ms: {}\r\n{key}{}content-length: {body_bytes}\r\n\r\n",
            self.host, self.attempt_id, self.deadline_ms, self.headers,
        )
    }

    /// Sends the request and returns the response.
    pub(crate) async fn call(&self, path: &str) -> Response {
        let started = Instant::now();
        let mut socket = self.send(path).await;
        read_response(&mut socket, started).await
    }
}

/// A connection that is kept open. Its sends block the thread, so that no other task runs in between.
pub(crate) struct Connection {
    client: Client,
    /// `None` only while a response is read.
    socket: Option<std::net::TcpStream>,
}

impl Connection {
    /// Sends the head of a request whose body has `body_bytes`.
    pub(crate) fn send_head(&mut self, path: &str, body_bytes: usize) {
        let head = self.client.request_head(path, body_bytes);
        self.send_bytes(head.as_bytes());
    }

    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        let socket = self.socket.as_mut().expect("a response is being read");
        socket.write_all(bytes).expect("failed to send");
    }

    /// Reads the response to a request that was sent.
    pub(crate) async fn response(&mut self) -> Response {
        let socket = self.socket.take().expect("a response is being read");
        socket.set_nonblocking(true).expect("failed to configure the socket");
        let mut socket = TcpStream::from_std(socket).expect("failed to configure the socket");
        let response = read_response(&mut socket, Instant::now()).await;
        let socket = socket.into_std().expect("failed to configure the socket");
        socket.set_nonblocking(false).expect("failed to configure the socket");
        self.socket = Some(socket);
        response
    }
}

/// Reads a response up to the end given by its framing, or to the end of the connection.
pub(crate) async fn read_response(socket: &mut TcpStream, started: Instant) -> Response {
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = parse(&bytes, started) {
            return response;
        }
        let read = timeout(RESPONSE_TIMEOUT, socket.read_buf(&mut bytes))
            .await
            .expect("timed out waiting for the response");
        if matches!(read, Ok(0) | Err(_)) {
            return truncated_response(&bytes, started);
        }
    }
}

fn split(bytes: &[u8]) -> Option<(u16, String, &[u8])> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase().replace('\r', "");
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, &bytes[end..]))
}

fn parse(bytes: &[u8], started: Instant) -> Option<Response> {
    let (status, head, rest) = split(bytes)?;
    let body = if head.contains("transfer-encoding: chunked") {
        decode_chunks(rest).filter(|it| it.1)?.0
    } else {
        let line = head.lines().find_map(|it| it.strip_prefix("content-length: "))?;
        rest.get(..line.trim().parse().ok()?)?.to_vec()
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Response { status, head, body, complete: true, elapsed: started.elapsed() })
}

fn truncated_response(bytes: &[u8], started: Instant) -> Response {
    let (status, head, rest) = split(bytes).unwrap_or((0, String::new(), &[]));
    let body = decode_chunks(rest).map_or_else(|| rest.to_vec(), |it| it.0);
    let body = String::from_utf8_lossy(&body).into_owned();
    Response { status, head, body, complete: false, elapsed: started.elapsed() }
}

/// Decodes chunked data; returns it and whether the last chunk has arrived.
fn decode_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, bool)> {
    let mut data = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|it| it == b"\r\n") else {
            return Some((data, false));
        };
        let length = usize::from_str_radix(str::from_utf8(&rest[..end]).ok()?, 16).ok()?;
        rest = &rest[end + 2..];
        if length == 0 {
            return Some((data, rest.starts_with(b"\r\n")));
        }
        let Some(chunk) = rest.get(..length) else { return Some((data, false)) };
        data.extend_from_slice(chunk);
        rest = rest.get(length + 2..).unwrap_or_default();
    }
}

//! An ordinary client.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How long a connection may make no progress.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A response, read until the end of its connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The head and the body.
    pub text: String,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        let fields = head.lines().filter_map(|it| it.split_once(':'));
        let mut values = fields.filter(|it| it.0.eq_ignore_ascii_case(name));
        values.next().map(|it| it.1.trim())
    }
}

/// Sends a request on a new connection, which its response closes, and returns the response. `head` is the request line
/// and the headers, each line with its end.
///
/// # Errors
///
/// The connection fails, or ends without a response.
pub fn request(addr: SocketAddr, head: &str, body: &[u8]) -> Result<Response> {
    let mut socket = TcpStream::connect_timeout(&addr, TIMEOUT)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.set_write_timeout(Some(TIMEOUT))?;
    let head = format!("{head}content-length: {}\r\nconnection: close\r\n\r\n", body.len());
    let sent = socket.write_all(head.as_bytes()).and_then(|()| socket.write_all(body));
    let mut bytes = Vec::new();
    let received = socket.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok());
    match status {
        Some(status) => Ok(Response { status, text }),
        None => {
            sent?;
            received?;
            Err(Error::new(ErrorKind::UnexpectedEof, "connection closed without a response"))
        }
    }
}

//! Sends one request, receives its response and checks it.

use {
    crate::{
        keys::KeyAnswer,
        usage::Usage,
        verdict::{Verdict, classify, describe_mismatch},
        workload::{ChatTurn, KeyedCall},
    },
    bytes::Bytes,
    derive_more::Debug,
    edge::{Body, Client, full},
    eyre::{Result, WrapErr, eyre},
    http::{HeaderMap, Request, Response, StatusCode, header, request::Builder},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    standin::Completion,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// The maximum time without data while receiving a body.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The start of a server-sent event.
const EVENT_PREFIX: &[u8] = b"data: ";

/// The result of a chat turn.
#[derive(Debug)]
pub(crate) enum ChatResult {
    /// It was answered.
    Answer(ChatAnswer),
    /// It was refused with this status, outcome and reason.
    Refused(String),
}

/// An answer to a chat turn.
#[derive(Debug)]
pub(crate) struct ChatAnswer {
    pub(crate) verdict: Verdict,
    pub(crate) usage: Option<Usage>,
    pub(crate) text: String,
    pub(crate) timing: BodyTiming,
    /// The error that ended the body early, if any.
    pub(crate) body_error: Option<String>,
    /// For an answer that is not whole: the request, the endpoint that ran it, and the first
    /// difference.
    pub(crate) mismatch: Option<String>,
}

/// When the parts of a body were received.
#[derive(Debug, Default)]
pub(crate) struct BodyTiming {
    /// From the start of the call to the first part.
    pub(crate) first_part: Duration,
    /// From the start of the call to the end of the body.
    pub(crate) total: Duration,
    /// The time between each part and the previous one, and the number of tokens in the part.
    pub(crate) gaps: Vec<(Duration, u64)>,
}

/// Sends a chat turn and checks its answer.
///
/// # Errors
///
/// Returns an error if there is no response.
pub(crate) async fn send_chat(
    client: &Client,
    to: SocketAddr,
    token: &str,
    turn: &ChatTurn,
) -> Result<ChatResult> {
    let started = Instant::now();
    let body = serde_json::to_vec(&turn.request).wrap_err("load: failed to encode the chat")?;
    let request = Request::post("/v1/chat/completions").header("jasminefront-chat", &turn.chat);
    let response = send_request(client, to, token, request, body).await?;
    if response.status() != StatusCode::OK {
        return Ok(ChatResult::Refused(refusal_text(&response)));
    }
    let request = header_text(response.headers(), "jasminefront-request").to_owned();
    let endpoint = header_text(response.headers(), "jasminefront-endpoint").to_owned();
    let (body, timing, body_error) = receive(response.into_body(), started).await;
    let answer = Completion::new(&turn.request, &request);
    let body = String::from_utf8_lossy(&body);
    let verdict = classify(&answer, &request, &body);
    let usage = Usage::find(&body);
    let mismatch = (verdict != Verdict::Whole)
        .then(|| format!("request {request} on {endpoint}: {}", describe_mismatch(&answer, &body)));
    let text = answer.text();
    Ok(ChatResult::Answer(ChatAnswer { verdict, usage, text, timing, body_error, mismatch }))
}

/// Sends a non-idempotent call, and returns its answer and, if it was refused, the refusal.
///
/// # Errors
///
/// Returns an error if there is no response or its body is incomplete.
pub(crate) async fn send_keyed(
    client: &Client,
    to: SocketAddr,
    token: &str,
    service: &str,
    call: &KeyedCall,
) -> Result<(KeyAnswer, Option<String>)> {
    let request = Request::post(format!("/s/{service}/items")).header("idempotency-key", &call.key);
    let body = format!("body of {}", call.key);
    let response = send_request(client, to, token, request, body.into_bytes()).await?;
    if response.status() == StatusCode::OK {
        let (body, _, body_error) = receive(response.into_body(), Instant::now()).await;
        let body = String::from_utf8_lossy(&body).into_owned();
        return match body_error {
            None => Ok((KeyAnswer::Body(body), None)),
            Some(err) => Err(eyre!("load: failed to receive a body from {to}: {err}")),
        };
    }
    let not_run = header_text(response.headers(), "jasminefront-outcome") == "not-run";
    let answer = if not_run { KeyAnswer::NotRun } else { KeyAnswer::Unknown };
    Ok((answer, Some(refusal_text(&response))))
}

async fn send_request(
    client: &Client,
    to: SocketAddr,
    token: &str,
    request: Builder,
    body: Vec<u8>,
) -> Result<Response<Incoming>> {
    let request = request
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json");
    let request: Request<Body> =
        request.body(full(body)).wrap_err("load: failed to build the request")?;
    Ok(client.send(to, request).await?)
}

/// Receives a body with the times of its parts and the error that ended it early, if any.
async fn receive(mut body: Incoming, started: Instant) -> (Vec<u8>, BodyTiming, Option<String>) {
    let (mut received, mut timing) = (Vec::new(), BodyTiming::default());
    let mut last = None;
    let body_error = loop {
        match timeout(BODY_STALL_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(part) = frame.into_data() else { continue };
                let now = Instant::now();
                match last {
                    None => timing.first_part = now - started,
                    Some(last) => timing.gaps.push((now - last, count_events(&part))),
                }
                last = Some(now);
                received.extend_from_slice(&part);
            }
            Ok(Some(Err(err))) => break Some(err.to_string()),
            Ok(None) => break None,
            Err(_) => break Some("stalled".to_owned()),
        }
    };
    timing.total = started.elapsed();
    (received, timing, body_error)
}

/// Returns the number of events in a part, but at least one.
fn count_events(part: &Bytes) -> u64 {
    part.windows(EVENT_PREFIX.len()).filter(|it| *it == EVENT_PREFIX).count().max(1) as u64
}

/// Returns a refusal as `STATUS OUTCOME REASON`.
fn refusal_text(response: &Response<Incoming>) -> String {
    let headers = response.headers();
    let outcome = header_text(headers, "jasminefront-outcome");
    let reason = header_text(headers, "jasminefront-reason");
    format!("{} {outcome} {reason}", response.status().as_u16())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("?")
}

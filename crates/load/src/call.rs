//! One call of a caller, from its first byte to the verdict.

use {
    crate::{
        keys::KeyAnswer,
        usage::Usage,
        verdict::{Verdict, describe, judge},
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

const STALL: Duration = Duration::from_secs(60);
const EVENT: &[u8] = b"data: ";

/// How a chat turn went.
#[derive(Debug)]
pub(crate) enum ChatResult {
    /// An answer came.
    Answer(ChatAnswer),
    /// It was refused, by outcome and reason.
    Refused(String),
}

/// An answer to a chat turn.
#[derive(Debug)]
pub(crate) struct ChatAnswer {
    pub(crate) verdict: Verdict,
    pub(crate) usage: Option<Usage>,
    pub(crate) text: String,
    pub(crate) times: Times,
    /// What broke the body off, if anything did.
    pub(crate) broken: Option<String>,
    /// Where an answer that is not whole differs, and where it ran.
    pub(crate) fault: Option<String>,
}

/// When the parts of a body came.
#[derive(Debug, Default)]
pub(crate) struct Times {
    pub(crate) first: Duration,
    pub(crate) total: Duration,
    /// Gaps between parts, and how many tokens each part held.
    pub(crate) gaps: Vec<(Duration, u64)>,
}

/// Sends a chat turn.
pub(crate) async fn chat(
    client: &Client,
    to: SocketAddr,
    token: &str,
    turn: &ChatTurn,
) -> Result<ChatResult> {
    let started = Instant::now();
    let body = serde_json::to_vec(&turn.request).wrap_err("load: encode chat")?;
    let request = Request::post("/v1/chat/completions").header("jasminefront-chat", &turn.chat);
    let response = send(client, to, token, request, body).await?;
    if response.status() != StatusCode::OK {
        return Ok(ChatResult::Refused(refusal(&response)));
    }
    let request = text(response.headers(), "jasminefront-request").to_owned();
    let endpoint = text(response.headers(), "jasminefront-endpoint").to_owned();
    let (body, times, broken) = receive(response.into_body(), started).await;
    let answer = Completion::new(&turn.request, &request);
    let body = String::from_utf8_lossy(&body);
    let verdict = judge(&answer, &request, &body);
    let usage = Usage::find(&body);
    let fault = (verdict != Verdict::Whole)
        .then(|| format!("request {request} on {endpoint}: {}", describe(&answer, &body)));
    let text = answer.text();
    Ok(ChatResult::Answer(ChatAnswer { verdict, usage, text, times, broken, fault }))
}

/// Sends a call that may not be repeated; returns how it was answered and, if refused, how.
pub(crate) async fn keyed(
    client: &Client,
    to: SocketAddr,
    token: &str,
    service: &str,
    call: &KeyedCall,
) -> Result<(KeyAnswer, Option<String>)> {
    let request = Request::post(format!("/s/{service}/items")).header("idempotency-key", &call.key);
    let body = format!("body of {}", call.key);
    let response = send(client, to, token, request, body.into_bytes()).await?;
    if response.status() == StatusCode::OK {
        let (body, _, broken) = receive(response.into_body(), Instant::now()).await;
        let body = String::from_utf8_lossy(&body).into_owned();
        return match broken {
            None => Ok((KeyAnswer::Body(body), None)),
            Some(err) => Err(eyre!("load: body of {to}: {err}")),
        };
    }
    let not_run = text(response.headers(), "jasminefront-outcome") == "not-run";
    let answer = if not_run { KeyAnswer::NotRun } else { KeyAnswer::Unknown };
    Ok((answer, Some(refusal(&response))))
}

async fn send(
    client: &Client,
    to: SocketAddr,
    token: &str,
    request: Builder,
    body: Vec<u8>,
) -> Result<Response<Incoming>> {
    let request = request
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json");
    let request: Request<Body> = request.body(full(body)).wrap_err("load: build request")?;
    Ok(client.send(to, request).await?)
}

/// Receives a body, noting when each part came, and what broke it off.
async fn receive(mut body: Incoming, started: Instant) -> (Vec<u8>, Times, Option<String>) {
    let (mut whole, mut times) = (Vec::new(), Times::default());
    let mut last = None;
    let broken = loop {
        match timeout(STALL, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(part) = frame.into_data() else { continue };
                let now = Instant::now();
                match last {
                    None => times.first = now - started,
                    Some(last) => times.gaps.push((now - last, tokens(&part))),
                }
                last = Some(now);
                whole.extend_from_slice(&part);
            }
            Ok(Some(Err(err))) => break Some(err.to_string()),
            Ok(None) => break None,
            Err(_) => break Some("stalled".to_owned()),
        }
    };
    times.total = started.elapsed();
    (whole, times, broken)
}

/// Returns how many events a part holds, at least one.
fn tokens(part: &Bytes) -> u64 {
    part.windows(EVENT.len()).filter(|it| *it == EVENT).count().max(1) as u64
}

fn refusal(response: &Response<Incoming>) -> String {
    let headers = response.headers();
    let outcome = text(headers, "jasminefront-outcome");
    let reason = text(headers, "jasminefront-reason");
    format!("{} {outcome} {reason}", response.status().as_u16())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("?")
}

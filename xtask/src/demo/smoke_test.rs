//! Requests through a running fleet, with byte-exact checks of the responses.

use {
    crate::demo::{files::RunDir, fleet::token},
    edge::{Client, full},
    eyre::{OptionExt, Result, WrapErr, bail, ensure},
    http::{HeaderMap, Request, header},
    http_body_util::BodyExt,
    settings::{LoadRouter, LoadSettings},
    standin::{ChatRequest, Completion, Message},
};

const REQUEST_TIMEOUT_MS: u64 = 30_000;
const MAX_TOKENS: u32 = 12;

struct SmokeTest {
    load: LoadSettings,
    token: String,
    client: Client,
}

/// Sends a chat of two turns through two routers, and one non-idempotent call twice with the same idempotency key.
pub(crate) async fn run(folder: &RunDir) -> Result<()> {
    let load: LoadSettings = settings::load(&folder.path().join("load.toml"))?;
    let team = load.team.first().ok_or_eyre("demo: no team")?;
    let token = token(folder, &team.token_file)?;
    let test = SmokeTest { token, client: Client::new(REQUEST_TIMEOUT_MS), load };
    let (first, last) = (&test.load.router[0], &test.load.router[test.load.router.len() - 1]);
    let mut messages = vec![message("user", "Which findings are still open on line 3?")];
    let text = test.turn(first, &messages, true).await?;
    messages.push(message("assistant", &text));
    messages.push(message("user", "Draft the report."));
    test.turn(last, &messages, false).await?;
    test.send_twice(first, last).await
}

fn message(role: &str, content: &str) -> Message {
    Message { role: role.to_owned(), content: content.to_owned() }
}

impl SmokeTest {
    /// Sends one turn of a chat and returns the text of the response.
    async fn turn(&self, to: &LoadRouter, messages: &[Message], stream: bool) -> Result<String> {
        let chat = ChatRequest {
            model: self.load.model.to_string(),
            messages: messages.to_vec(),
            max_tokens: Some(MAX_TOKENS),
            stream,
        };
        let body = serde_json::to_vec(&chat).wrap_err("demo: failed to encode a chat request")?;
        let request = Request::post("/v1/chat/completions").header("jasminefront-chat", "demo-1");
        let (headers, body) = self.send(to, request, body).await?;
        let request = text_header(&headers, "jasminefront-request");
        let endpoint = text_header(&headers, "jasminefront-endpoint");
        let completion = Completion::new(&chat, &request);
        check_body(&completion, &body)?;
        let form = if stream { "streamed" } else { "whole" };
        println!("demo: through {} ({form}), ran on {endpoint}: {}", to.listen, completion.text());
        println!("demo:   {}", usage(&body));
        Ok(completion.text())
    }

    /// Sends the same non-idempotent call through two routers. It must run once and get the same response twice.
    async fn send_twice(&self, first: &LoadRouter, last: &LoadRouter) -> Result<()> {
        let Some(plain) = self.load.plain.first() else { return Ok(()) };
        let path = format!("/s/{}/evidence/7", plain.service);
        let mut responses = Vec::new();
        for router in [first, last] {
            let request = Request::post(&path).header("idempotency-key", "demo-evidence-7");
            let (_, body) = self.send(router, request, b"a photo".to_vec()).await?;
            println!("demo: through {}: {body}", router.listen);
            responses.push(body);
        }
        ensure!(responses[0] == responses[1], "demo: the resent call got a different response");
        let runs = self.runs("demo-evidence-7").await?;
        ensure!(runs == 1, "demo: the call ran {runs} times");
        println!("demo: the call ran once");
        Ok(())
    }

    async fn runs(&self, key: &str) -> Result<u64> {
        let mut runs = 0;
        for plain in &self.load.plain {
            let called = self.client.call(plain.addr, "GET", "/counts", None, edge::empty()).await;
            let counts: serde_json::Value = serde_json::from_slice(&called?.1)?;
            runs += counts["keys"][key].as_u64().unwrap_or(0);
        }
        Ok(runs)
    }

    async fn send(
        &self,
        to: &LoadRouter,
        request: http::request::Builder,
        body: Vec<u8>,
    ) -> Result<(HeaderMap, String)> {
        let request = request.header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        let request = request.header(header::CONTENT_TYPE, "application/json");
        let request = request.body(full(body)).wrap_err("demo: failed to build a request")?;
        let response = self.client.send(to.listen, request).await?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .wrap_err_with(|| format!("demo: failed to read the body from {}", to.listen));
        let body = String::from_utf8_lossy(&body?.to_bytes()).into_owned();
        if !head.status.is_success() {
            bail!("demo: {} responded with {}: {body}", to.listen, head.status);
        }
        Ok((head.headers, body))
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("?").to_owned()
}

/// Checks every byte except the number of cached tokens, which depends on the engine.
fn check_body(completion: &Completion, body: &str) -> Result<()> {
    let expected = completion.body(0);
    let (before, after) = expected
        .split_once("\"cached_tokens\":")
        .ok_or_eyre("demo: the response has no usage field")?;
    let ends = after.trim_start_matches([' ', '0']);
    ensure!(
        body.len() == expected.len() && body.starts_with(before) && body.ends_with(ends),
        "demo: unexpected response:\n{body}\nexpected:\n{expected}"
    );
    Ok(())
}

fn usage(body: &str) -> String {
    let usage = body.split_once("\"usage\":").map_or("", |it| it.1);
    let end = usage.find("}}").map_or(usage.len(), |it| it + 2);
    usage[..end].replace("  ", "")
}

//! The HTTP API of a mock engine: responses, resumption, orders and faults.

use {
    edge::{Client, empty, full},
    http::{Request, StatusCode},
    http_body_util::BodyExt,
    model::Fencing,
    standin::{ChatRequest, Completion, Endpoint, Engine, EngineSettings, Fault, Message},
    std::net::SocketAddr,
};

fn engine(change: impl FnOnce(&mut EngineSettings)) -> Endpoint {
    let mut settings = EngineSettings::new("e1", "127.0.0.1:0".parse().unwrap(), "draft");
    settings.step_us = 500;
    change(&mut settings);
    Engine::bind(&settings).unwrap()
}

fn chat(content: &str, stream: bool) -> ChatRequest {
    let message = Message { role: "user".to_owned(), content: content.to_owned() };
    ChatRequest { model: "draft".to_owned(), messages: vec![message], max_tokens: Some(9), stream }
}

async fn complete(addr: SocketAddr, chat: &ChatRequest, offset: u64) -> Result<String, String> {
    let request = Request::post("/v1/chat/completions")
        .header("x-request-id", "r1")
        .header("x-resume-offset", offset)
        .body(full(serde_json::to_vec(chat).unwrap()))
        .unwrap();
    let response =
        Client::new(5_000).send(addr, request).await.map_err(|it| it.step.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    let body = response.into_body().collect().await.map_err(|it| it.to_string())?;
    Ok(String::from_utf8(body.to_bytes().to_vec()).unwrap())
}

async fn get(addr: SocketAddr, path: &str) -> serde_json::Value {
    let (_, body) = Client::new(5_000).call(addr, "GET", path, None, empty()).await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn response_matches_completion_and_can_be_resumed() {
    for stream in [false, true] {
        let engine = engine(|_| {});
        let chat = chat("how are you", stream);
        let full_body = complete(engine.addr(), &chat, 0).await.unwrap();
        assert_eq!(full_body, Completion::new(&chat, "r1").body(0));
        let rest = complete(engine.addr(), &chat, 100).await.unwrap();
        assert_eq!(rest.len(), full_body.len() - 100);
        assert!(rest.starts_with(&full_body[100..full_body.len() - 60]));
    }
}

#[tokio::test]
async fn next_turn_hits_the_prompt_cache() {
    let engine = engine(|_| {});
    let mut chat = chat("how are you", false);
    complete(engine.addr(), &chat, 0).await.unwrap();
    let text = Completion::new(&chat, "r1").text();
    chat.messages.push(Message { role: "assistant".to_owned(), content: text });
    chat.messages.push(Message { role: "user".to_owned(), content: "go on".to_owned() });
    let full_body = complete(engine.addr(), &chat, 0).await.unwrap();
    assert_eq!(full_body, Completion::new(&chat, "r1").body(3 + 9));
    let load = get(engine.addr(), "/load?now").await;
    assert_eq!(load["cached_tokens"], 3 + 9);
}

#[tokio::test]
async fn unknown_model_is_rejected() {
    let engine = engine(|_| {});
    let mut chat = chat("x", false);
    chat.model = "other".to_owned();
    assert_eq!(complete(engine.addr(), &chat, 0).await.unwrap_err(), "404 Not Found");
}

#[tokio::test]
async fn poisoned_request_crashes_the_engine_until_it_restarts() {
    let engine = engine(|it| it.restart_ms = 30);
    let failed = complete(engine.addr(), &chat("a POISON-PILL", false), 0).await;
    assert!(failed.is_err());
    loop {
        match complete(engine.addr(), &chat("hello", false), 0).await {
            Ok(_) => break,
            Err(step) => assert!(step == "connect" || step == "exchange", "{step}"),
        }
    }
}

#[tokio::test]
async fn silenced_connections_stay_silent_and_new_ones_work() {
    let engine = engine(|_| {});
    let (addr, old) = (engine.addr(), Client::new(300));
    old.call(addr, "GET", "/load", None, empty()).await.unwrap();
    engine.fault(Fault::Silent);
    assert!(old.call(addr, "GET", "/load", None, empty()).await.is_err());
    get(addr, "/load").await;
}

#[tokio::test]
async fn stale_fencing_tokens_are_rejected_if_checked() {
    for (fencing, expected) in [(Fencing::Checked, 409), (Fencing::Ignored, 200)] {
        let engine = engine(|it| it.fencing = fencing);
        assert_eq!(order(engine.addr(), 2).await, 200);
        assert_eq!(order(engine.addr(), 1).await, expected);
    }
}

async fn order(addr: SocketAddr, term: u64) -> u16 {
    let order = serde_json::json!({
        "fence": { "term": term, "revision": 1 },
        "deadline_ms": 100,
        "order": { "kind": "load", "model": "new" },
    });
    let body = full(order.to_string());
    Client::new(5_000).call(addr, "POST", "/orders", None, body).await.unwrap().0
}

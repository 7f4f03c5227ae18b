//! The mock plain service counts the executions of each idempotency key.

use {
    edge::{Client, empty, full},
    http::Request,
    standin::{PlainService, PlainSettings},
};

#[tokio::test]
async fn executions_are_counted_per_key() {
    let settings = PlainSettings {
        name: "p1".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        call_ms: 0,
        load_lag_ms: 0,
    };
    let plain = PlainService::bind(&settings).unwrap();
    let client = Client::new(5_000);
    for _ in 0..2 {
        let request = Request::post("/evidence").header("idempotency-key", "k1");
        let request = request.body(full("photo")).unwrap();
        assert_eq!(client.send(plain.addr(), request).await.unwrap().status(), 200);
    }
    let (_, body) = client.call(plain.addr(), "GET", "/counts", None, empty()).await.unwrap();
    let counts: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(counts, serde_json::json!({ "total": 2, "keys": { "k1": 2 } }));
}

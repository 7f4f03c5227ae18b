//! One control replica with an operator.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    control::Control,
    edge::{Client, full},
    http::Request,
    http_body_util::BodyExt,
    model::{Digest, Domain, HostName},
    serde_json::Value,
    settings::{ControlSettings, LogSettings, WeightLimits},
    std::fs,
    tempfile::TempDir,
};

pub(crate) const TOKEN: &str = "secret-of-alice";

pub(crate) struct Bench {
    pub(crate) control: Control,
    client: Client,
    _data: TempDir,
}

impl Bench {
    pub(crate) async fn open() -> Bench {
        let data = tempfile::tempdir().unwrap();
        let operators = data.path().join("operators.toml");
        let token = Digest::of(TOKEN.as_bytes());
        let text = format!("[[operator]]\nname = \"alice\"\ntoken = \"sha256:{token}\"\n");
        fs::write(&operators, text).unwrap();
        let any = "127.0.0.1:0".parse().unwrap();
        let settings = ControlSettings {
            host: HostName("c1".into()),
            domain: Domain("prg-a".into()),
            data: data.path().join("data"),
            inner: any,
            admin: any,
            peers: Vec::new(),
            operators,
            tls_inner: None,
            // A load each 10 ms.
            weights: WeightLimits { image_bytes: 1, rate_bytes: 100 },
            log: LogSettings::default(),
        };
        let control = Control::spawn(settings).await.unwrap();
        Bench { control, client: Client::new(5_000), _data: data }
    }

    pub(crate) async fn post(&self, path: &str, operation: &str, body: &str) -> (u16, Value) {
        self.call("POST", path, operation, body, TOKEN).await
    }

    pub(crate) async fn get(&self, path: &str) -> Value {
        let (status, value) = self.call("GET", path, "none", "", TOKEN).await;
        assert_eq!(status, 200, "{value}");
        value
    }

    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        operation: &str,
        body: &str,
        token: &str,
    ) -> (u16, Value) {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("operation-id", operation)
            .header("authorization", format!("Bearer {token}"))
            .body(full(body.to_owned()))
            .unwrap();
        let response = self.client.send(self.control.admin(), request).await.unwrap();
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&bytes).unwrap())
    }

    /// Plans and confirms an intent under operation ids that begin with `id`.
    pub(crate) async fn bring(&self, id: &str, intent: &str) -> u64 {
        let (status, planned) = self.post("/v1/plans", &format!("{id}-plan"), intent).await;
        assert_eq!(status, 200, "{planned}");
        let path = format!("/v1/plans/{}/confirm", planned["plan"].as_str().unwrap());
        let (status, confirmed) = self.post(&path, &format!("{id}-confirm"), "").await;
        assert_eq!(status, 200, "{confirmed}");
        confirmed["revision"].as_u64().unwrap()
    }
}

//! One control replica with an operator.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    control::Control,
    edge::{Client, full},
    http::Request,
    http_body_util::BodyExt,
    model::{Digest, Domain, HostName},
    serde_json::Value,
    settings::{ControlSettings, ListingSettings, LogSettings, WeightStoreLimits},
    std::{fs, net::SocketAddr, path::Path},
    tempfile::TempDir,
};

pub(crate) const TOKEN: &str = "secret-of-alice";

pub(crate) struct Bench {
    pub(crate) control: Control,
    pub(crate) client: Client,
    data: TempDir,
}

/// The settings of a replica whose files are in a folder of its own; its ports are chosen when they are bound.
pub(crate) fn settings(folder: &Path) -> ControlSettings {
    let operators = folder.join("operators.toml");
    let token = Digest::of(TOKEN.as_bytes());
    let text = format!("[[operator]]\nname = \"alice\"\ntoken = \"sha256:{token}\"\n");
    fs::write(&operators, text).unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    ControlSettings {
        advertise: None,
        directory: None,
        host: HostName("c1".into()),
        domain: Domain("prg-a".into()),
        data: folder.join("data"),
        inner: any,
        admin: any,
        peers: Vec::new(),
        operators: Some(operators),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: ListingSettings::default(),
        tls_inner: None,
        host_list: None,
        // A load each 10 ms.
        weights: WeightStoreLimits { image_bytes: 1, rate_bytes: 100 },
        log: LogSettings::default(),
    }
}

impl Bench {
    /// Opens a replica that is a quorum by itself, and waits until it leads.
    pub(crate) async fn open() -> Bench {
        Bench::on(tempfile::tempdir().unwrap()).await
    }

    /// Stops the replica in order and opens it again on its files.
    pub(crate) async fn reopen(self) -> Bench {
        self.control.shutdown().await;
        Bench::on(self.data).await
    }

    async fn on(data: TempDir) -> Bench {
        let control = Control::spawn(settings(data.path())).await.unwrap();
        control.lead().await;
        Bench { control, client: Client::new(5_000), data }
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
        let ask = Ask { method, path, operation, body, token };
        ask.send(&self.client, self.control.admin()).await
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

/// A request of an operator.
#[derive(Clone, Copy)]
pub(crate) struct Ask<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) operation: &'a str,
    pub(crate) body: &'a str,
    pub(crate) token: &'a str,
}

impl Ask<'_> {
    pub(crate) async fn send(&self, client: &Client, to: SocketAddr) -> (u16, Value) {
        let request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("operation-id", self.operation)
            .header("authorization", format!("Bearer {}", self.token))
            .body(full(self.body.to_owned()))
            .unwrap();
        let response = client.send(to, request).await.unwrap();
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&bytes).unwrap())
    }
}

//! A whole fleet in one process.

use {
    control::Control,
    edge::{Client, empty, full},
    http::Request,
    http_body_util::BodyExt,
    model::{Digest, Domain, HostName},
    router::Router,
    serde_json::{Value, json},
    settings::{
        ControlSettings, LogLevel, LogSettings, RequestLimits, RouterSettings, Routing,
        WeightLimits,
    },
    standin::{
        ChatRequest, Completion, Endpoint, Engine, EngineSettings, PlainService, PlainSettings,
    },
    std::{
        fmt::Write as _,
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::runtime::{Builder, Runtime},
};

/// The token of the team that calls.
pub(crate) const TOKEN: &str = "token-of-inspection";

const OPERATOR: &str = "secret-of-alice";
const DOMAINS: [&str; 3] = ["prg-a", "prg-b", "brno"];
/// Two heartbeats of every router fit in it.
const HEARTBEATS: Duration = Duration::from_millis(2_500);

const PATIENCE: Duration = Duration::from_secs(40);

/// One node in a runtime of its own.
pub(crate) struct Node<T> {
    pub(crate) inner: SocketAddr,
    pub(crate) admin: SocketAddr,
    /// Where callers connect; the admin address of a control replica.
    pub(crate) callers: SocketAddr,
    runtime: Option<Runtime>,
    handle: Option<T>,
}

impl<T> Node<T> {
    /// Ends the node as the end of its process would.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.handle = None;
    }

    pub(crate) fn alive(&self) -> bool {
        self.runtime.is_some()
    }
}

impl<T> Drop for Node<T> {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node<Router> {
    /// Shuts the router down in order, in the background; all its tasks end with it, as in a process.
    pub(crate) fn shutdown(&mut self) -> tokio::task::JoinHandle<()> {
        let router = self.handle.take().expect("a running router");
        let runtime = self.runtime.take().expect("a running router");
        tokio::spawn(async move {
            let stopped = runtime.spawn(router.shutdown()).await;
            runtime.shutdown_background();
            stopped.unwrap();
        })
    }
}

/// Control, routers, engines of `draftmodel` and endpoints of `auditstore`.
pub(crate) struct Fleet {
    pub(crate) control: Node<Control>,
    pub(crate) routers: Vec<Node<Router>>,
    pub(crate) engines: Vec<Endpoint>,
    pub(crate) stores: Vec<Endpoint>,
    pub(crate) client: Client,
    _data: TempDir,
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) request: String,
    pub(crate) endpoint: String,
    pub(crate) outcome: String,
    /// The body; an error if it broke off.
    pub(crate) body: Result<String, String>,
}

impl Fleet {
    /// Starts a fleet and waits until every router is ready and can start work.
    pub(crate) async fn open(routers: usize, engines: usize) -> Fleet {
        let data = tempfile::tempdir().unwrap();
        let control = control(data.path());
        let any = "127.0.0.1:0".parse().unwrap();
        let engine = |it: usize| {
            let name = format!("draftmodel-{it}");
            let mut settings = EngineSettings::new(&name, any, "draft");
            settings.restart_ms = 600;
            Engine::bind(&settings).unwrap()
        };
        let store = |it: usize| {
            let name = format!("auditstore-{it}").into();
            PlainService::bind(&PlainSettings { name, listen: any, call_ms: 5, load_lag_ms: 100 })
                .unwrap()
        };
        let engines: Vec<_> = (0..engines).map(engine).collect();
        let stores: Vec<_> = (0..3).map(store).collect();
        let routers = (0..routers).map(|it| router(it, control.inner)).collect();
        let fleet =
            Fleet { control, routers, engines, stores, client: Client::new(30_000), _data: data };
        let intent = fleet.intent(&[]);
        fleet.confirm("first", &intent).await;
        for router in 0..fleet.routers.len() {
            fleet.ready(router).await;
        }
        fleet
    }

    /// Waits until a router is ready and a chat through it is answered.
    pub(crate) async fn ready(&self, router: usize) {
        let start = Instant::now();
        loop {
            let addr = self.routers[router].admin;
            let page = self.client.call(addr, "GET", "/ready", None, empty()).await;
            if page.is_ok_and(|it| it.0 == 200)
                && self.chat(router, "ready", "hello", 2).await.status == 200
            {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "router {router} is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The intent for all endpoints; those named are draining.
    pub(crate) fn intent(&self, draining: &[&str]) -> String {
        let mut text = format!(
            "[[team]]\nname = \"inspection\"\ntokens = [\"sha256:{}\"]\nrate-per-second = 100000\nrunning = 10000\nqueued = 1000\n\
             [[service]]\nname = \"draftmodel\"\nkind = \"model\"\nbound-permille = 1250\nminimum = 1\nclaim-ms = 86400000\n\
             [[service]]\nname = \"auditstore\"\nkind = \"plain\"\nbound-permille = 1250\nminimum = 1\nclaim-ms = 86400000\n",
            Digest::of(TOKEN.as_bytes())
        );
        let services = [("draftmodel", &self.engines), ("auditstore", &self.stores)];
        for (service, endpoints) in services {
            for (at, endpoint) in endpoints.iter().enumerate() {
                let name = format!("{service}-{at}");
                let state = if draining.contains(&name.as_str()) { "draining" } else { "active" };
                let images = if service == "draftmodel" {
                    "images = [{ model = \"draft\", adapter = \"\", version = \"1\" }]\n"
                } else {
                    ""
                };
                let (addr, domain) = (endpoint.addr(), DOMAINS[at % 3]);
                writeln!(
                    text,
                    "[[endpoint]]\nname = \"{name}\"\nservice = \"{service}\"\naddr = \"{addr}\"\ndomain = \"{domain}\"\n\
                     fencing = \"checked\"\nstate = \"{state}\"\n{images}"
                )
                .unwrap();
            }
        }
        text
    }

    /// Plans and confirms an intent.
    pub(crate) async fn confirm(&self, operation: &str, intent: &str) {
        let planned = self.operate("/v1/plans", &format!("{operation}-plan"), intent).await;
        let plan = planned["plan"].as_str().unwrap_or_else(|| panic!("no plan: {planned}"));
        let path = format!("/v1/plans/{plan}/confirm");
        let confirmed = self.operate(&path, &format!("{operation}-confirm"), "").await;
        assert!(confirmed["revision"].is_u64(), "{confirmed}");
    }

    /// Waits until all routers have acknowledged one roster and have had the answer to that.
    pub(crate) async fn settled(&self) {
        let start = Instant::now();
        let mut since: Option<Instant> = None;
        while since.is_none_or(|it| it.elapsed() < HEARTBEATS) {
            let token = Some(OPERATOR);
            let (_, page) = self
                .client
                .call(self.control.admin, "GET", "/v1/status", token, empty())
                .await
                .unwrap();
            let status: Value = serde_json::from_slice(&page).unwrap();
            let routers = status["routers"].as_array().unwrap();
            let same = routers.iter().all(|it| it["epoch"] == status["epoch"]);
            since = since.filter(|_| same).or(same.then(Instant::now));
            assert!(start.elapsed() < PATIENCE, "the roster does not settle: {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn operate(&self, path: &str, operation: &str, body: &str) -> Value {
        let start = Instant::now();
        loop {
            let request = Request::post(path)
                .header("operation-id", operation)
                .header("authorization", format!("Bearer {OPERATOR}"))
                .body(full(body.to_owned()))
                .unwrap();
            let response = self.client.send(self.control.admin, request).await.unwrap();
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await.unwrap().to_bytes();
            let value = serde_json::from_slice(&bytes).unwrap();
            if status == 200 {
                return value;
            }
            assert!(start.elapsed() < PATIENCE, "{path}: {status} {value}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends one streamed chat turn through a router.
    pub(crate) async fn chat(&self, router: usize, chat: &str, text: &str, tokens: u32) -> Got {
        let body = chat_body(text, tokens);
        let request = Request::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("jasminefront-chat", chat)
            .body(full(body.to_string()))
            .unwrap();
        self.send(router, request).await
    }

    /// Stores evidence under a key through a router.
    pub(crate) async fn store(&self, router: usize, key: &str, text: &str) -> Got {
        let request = Request::post(format!("/s/auditstore/evidence/{key}"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("idempotency-key", key)
            .body(full(text.to_owned()))
            .unwrap();
        self.send(router, request).await
    }

    pub(crate) async fn send(&self, router: usize, request: Request<edge::Body>) -> Got {
        let sent = self.client.send(self.routers[router].callers, request).await;
        let response = match sent {
            Ok(response) => response,
            Err(err) => {
                let (request, endpoint, outcome) = Default::default();
                return Got { status: 0, request, endpoint, outcome, body: Err(err.to_string()) };
            }
        };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let status = response.status().as_u16();
        let (request, endpoint) = (header("jasminefront-request"), header("jasminefront-endpoint"));
        let outcome = header("jasminefront-outcome");
        let body = response.into_body().collect().await.map_err(|it| it.to_string());
        let body = body.map(|it| String::from_utf8_lossy(&it.to_bytes()).into_owned());
        Got { status, request, endpoint, outcome, body }
    }

    /// How often the stores ran each key.
    pub(crate) async fn runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for store in &self.stores {
            let (_, body) =
                self.client.call(store.addr(), "GET", "/counts", None, empty()).await.unwrap();
            let counts: Value = serde_json::from_slice(&body).unwrap();
            runs += counts["keys"][key].as_u64().unwrap_or(0);
        }
        runs
    }
}

pub(crate) fn chat_body(text: &str, tokens: u32) -> Value {
    json!({ "model": "draft", "stream": true, "max_tokens": tokens, "messages": [{ "role": "user", "content": text }] })
}

/// Asserts that the caller got the whole answer to its own request.
pub(crate) fn assert_whole(got: &Got, text: &str, tokens: u32) {
    assert_eq!(got.status, 200, "{got:?}");
    let chat: ChatRequest = serde_json::from_value(chat_body(text, tokens)).unwrap();
    let answer = Completion::new(&chat, &got.request);
    let body = got.body.as_ref().unwrap_or_else(|it| panic!("broke off: {it}"));
    assert_eq!(body.len(), answer.body(0).len(), "{got:?}");
    let mut expected = answer.head();
    (0..tokens).for_each(|it| expected.push_str(&answer.part(it)));
    assert!(body.starts_with(&expected), "not this request's answer: {got:?}");
}

fn runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

fn control(data: &std::path::Path) -> Node<Control> {
    let operators = data.join("operators.toml");
    let token = Digest::of(OPERATOR.as_bytes());
    fs::write(&operators, format!("[[operator]]\nname = \"alice\"\ntoken = \"sha256:{token}\"\n"))
        .unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let settings = ControlSettings {
        advertise: None,
        directory: None,
        host: HostName("c1".into()),
        domain: Domain("prg-a".into()),
        data: data.join("data"),
        inner: any,
        admin: any,
        peers: Vec::new(),
        operators: Some(operators),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: settings::ListingSettings::default(),
        tls_inner: None,
        host_list: None,
        weights: WeightLimits::default(),
        log: quiet(),
    };
    let runtime = runtime();
    let (sender, receiver) = std::sync::mpsc::channel();
    runtime.spawn(async move { sender.send(Control::spawn(settings).await.unwrap()) });
    let control = receiver.recv().unwrap();
    let (inner, admin) = (control.inner(), control.admin());
    Node { inner, admin, callers: admin, runtime: Some(runtime), handle: Some(control) }
}

/// Starts a router that looks for control at an address.
pub(crate) fn router(at: usize, control: SocketAddr) -> Node<Router> {
    let any = "127.0.0.1:0".parse().unwrap();
    let settings = RouterSettings {
        host: HostName(format!("e{at}").into()),
        domain: Domain(DOMAINS[at % 3].into()),
        listen: any,
        inner: any,
        admin: any,
        control: vec![control],
        tls_inner: None,
        tls_callers: None,
        routing: Routing::Owner,
        limits: RequestLimits { deadline_default_ms: 20_000, ..RequestLimits::default() },
        log: quiet(),
    };
    let runtime = runtime();
    let (sender, receiver) = std::sync::mpsc::channel();
    runtime.spawn(async move {
        let telemetry = telemetry::open(&settings.log).unwrap();
        sender.send(Router::spawn(settings, telemetry).await.unwrap())
    });
    let router = receiver.recv().unwrap();
    let (inner, admin, callers) = (router.inner(), router.admin(), router.callers());
    Node { inner, admin, callers, runtime: Some(runtime), handle: Some(router) }
}

fn quiet() -> LogSettings {
    LogSettings { level: LogLevel::Error, ..LogSettings::default() }
}

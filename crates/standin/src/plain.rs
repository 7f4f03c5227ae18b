//! A mock plain service that counts the executions of each idempotency key.

use {
    crate::{
        fault::FaultState,
        lag::Lagged,
        response::{json, read_body},
        serve::{Endpoint, Handler},
        settings::PlainSettings,
    },
    edge::Body,
    eyre::Result,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    model::{Name, hash64},
    parking_lot::Mutex,
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// A mock plain service.
pub struct PlainService {
    name: Name,
    faults: FaultState,
    call_duration: Duration,
    state: Mutex<State>,
}

struct State {
    total: u64,
    counts: BTreeMap<String, u64>,
    running: u64,
    load: Lagged<u64>,
}

/// The response to a call, identical for all calls with the same method, path, key and body.
#[derive(Serialize)]
struct Echo<'a> {
    method: &'a str,
    path: &'a str,
    key: &'a str,
    bytes: usize,
    digest: String,
}

impl PlainService {
    /// Starts a service that listens on `settings.listen`. Its counts survive crashes, as those in a database would.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &PlainSettings) -> Result<Endpoint> {
        let load = Lagged::new(settings.load_lag_ms, 0);
        let state = State { total: 0, counts: BTreeMap::new(), running: 0, load };
        let plain = PlainService {
            name: settings.name.clone(),
            faults: FaultState::new(),
            call_duration: Duration::from_millis(settings.call_ms),
            state: Mutex::new(state),
        };
        Endpoint::bind(settings.listen, Arc::new(plain))
    }

    fn counts(&self) -> Response<Body> {
        let state = self.state.lock();
        let text = serde_json::json!({ "total": state.total, "keys": state.counts });
        json(StatusCode::OK, &text)
    }

    fn load(&self, now: bool) -> Response<Body> {
        let state = self.state.lock();
        let (work, age_ms) = if now { (state.running, 0) } else { state.load.get() };
        json(
            StatusCode::OK,
            &serde_json::json!({ "work": work, "running": work, "age_ms": age_ms }),
        )
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(rejection) => return rejection.into(),
        };
        let _running = RunningCall::begin(self);
        sleep(self.call_duration * self.faults.factor()).await;
        let key = head.headers.get("idempotency-key").and_then(|it| it.to_str().ok());
        self.count(key);
        let echo = Echo {
            method: head.method.as_str(),
            path: head.uri.path(),
            key: key.unwrap_or(""),
            bytes: body.len(),
            digest: format!("{:016x}", hash64(&body)),
        };
        tracing::debug!("standin: service {} executed {} {}", self.name, echo.method, echo.path);
        json(StatusCode::OK, &echo)
    }

    fn count(&self, key: Option<&str>) {
        let mut state = self.state.lock();
        state.total += 1;
        if let Some(key) = key {
            *state.counts.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// Counts a call as running until dropped.
struct RunningCall<'a>(&'a PlainService);

impl RunningCall<'_> {
    fn begin(plain: &PlainService) -> RunningCall<'_> {
        plain.state.lock().adjust_running(1);
        RunningCall(plain)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.state.lock().adjust_running(-1);
    }
}

impl State {
    fn adjust_running(&mut self, by: i64) {
        self.running = self.running.saturating_add_signed(by);
        self.load.set(self.running);
    }
}

impl Handler for PlainService {
    fn faults(&self) -> &FaultState {
        &self.faults
    }

    fn on_crash(&self) {}

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/counts" => self.counts(),
            "/load" => self.load(request.uri().query() == Some("now")),
            _ => self.call(request).await,
        }
    }
}

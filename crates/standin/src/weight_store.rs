//! A mock weight store with a rate limit on image downloads.

use {
    crate::{
        fault::FaultState,
        response::{Rejection, json},
        serve::{Endpoint, Handler},
        settings::WeightStoreSettings,
    },
    edge::Body,
    eyre::Result,
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const WINDOW: Duration = Duration::from_secs(10);

/// The mock weight store.
pub struct WeightStore {
    faults: FaultState,
    limit: usize,
    recent_grants: Mutex<VecDeque<Instant>>,
}

impl WeightStore {
    /// Starts the weight store on `settings.listen`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &WeightStoreSettings) -> Result<Endpoint> {
        let limit = settings.per_ten_seconds as usize;
        let store =
            WeightStore { faults: FaultState::new(), limit, recent_grants: Mutex::default() };
        Endpoint::bind(settings.listen, Arc::new(store))
    }

    /// Takes one permit from the current window, or returns the time until the next one is available.
    fn try_acquire(&self) -> Result<(), Duration> {
        let now = Instant::now();
        let mut recent_grants = self.recent_grants.lock();
        while recent_grants.front().is_some_and(|it| now.duration_since(*it) >= WINDOW) {
            recent_grants.pop_front();
        }
        if recent_grants.len() < self.limit {
            recent_grants.push_back(now);
            return Ok(());
        }
        Err(recent_grants.front().map_or(WINDOW, |it| WINDOW - now.duration_since(*it)))
    }
}

impl Handler for WeightStore {
    fn faults(&self) -> &FaultState {
        &self.faults
    }

    fn on_crash(&self) {}

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(image) = request.uri().path().strip_prefix("/weights/") else {
            return Rejection::new(StatusCode::NOT_FOUND, "expected GET /weights/{image}").into();
        };
        match self.try_acquire() {
            Ok(()) => json(StatusCode::OK, &serde_json::json!({ "image": image })),
            Err(wait) => {
                let mut response: Response<Body> =
                    Rejection::new(StatusCode::TOO_MANY_REQUESTS, "over the rate limit").into();
                let seconds = HeaderValue::from(wait.as_millis().div_ceil(1_000) as u64);
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
                response
            }
        }
    }
}

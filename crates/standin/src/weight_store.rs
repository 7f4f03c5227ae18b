//! The weight store, which hands out a limited number of images in a time.

use {
    crate::{
        fault::Line,
        reply::{Refused, json},
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

/// The stand-in weight store.
pub struct WeightStore {
    line: Line,
    limit: usize,
    given: Mutex<VecDeque<Instant>>,
}

impl WeightStore {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &WeightStoreSettings) -> Result<Endpoint> {
        let limit = settings.per_ten_seconds as usize;
        let store = WeightStore { line: Line::new(), limit, given: Mutex::default() };
        Endpoint::bind(settings.listen, Arc::new(store))
    }

    /// Takes one of the images of this window, or says how long until the next.
    fn take(&self) -> Result<(), Duration> {
        let now = Instant::now();
        let mut given = self.given.lock();
        while given.front().is_some_and(|it| now.duration_since(*it) >= WINDOW) {
            given.pop_front();
        }
        if given.len() < self.limit {
            given.push_back(now);
            return Ok(());
        }
        Err(given.front().map_or(WINDOW, |it| WINDOW - now.duration_since(*it)))
    }
}

impl Handler for WeightStore {
    fn line(&self) -> &Line {
        &self.line
    }

    fn crashed(&self) {}

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(image) = request.uri().path().strip_prefix("/weights/") else {
            return Refused::new(StatusCode::NOT_FOUND, "expected GET /weights/{image}").into();
        };
        match self.take() {
            Ok(()) => json(StatusCode::OK, &serde_json::json!({ "image": image })),
            Err(wait) => {
                let mut response: Response<Body> =
                    Refused::new(StatusCode::TOO_MANY_REQUESTS, "over the rate limit").into();
                let seconds = HeaderValue::from(wait.as_millis().div_ceil(1_000) as u64);
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
                response
            }
        }
    }
}

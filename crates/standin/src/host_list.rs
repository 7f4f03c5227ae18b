//! The platform's list of live and leaving hosts, which lags.

use {
    crate::{
        fault::Line,
        lag::Lagged,
        reply::{Refused, json, read_json},
        serve::{Endpoint, Handler},
        settings::{HostListSettings, ListedHost},
    },
    edge::Body,
    eyre::Result,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::sync::Arc,
};

/// The stand-in host list.
pub struct HostList {
    line: Line,
    hosts: Mutex<Lagged<Vec<ListedHost>>>,
}

impl HostList {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &HostListSettings) -> Result<Endpoint> {
        let hosts = Mutex::new(Lagged::new(settings.lag_ms, settings.hosts.clone()));
        Endpoint::bind(settings.listen, Arc::new(HostList { line: Line::new(), hosts }))
    }

    fn set(&self, host: ListedHost) {
        let mut hosts = self.hosts.lock();
        let mut list = hosts.latest();
        list.retain(|it| it.host != host.host);
        if &*host.state != "gone" {
            list.push(host);
        }
        hosts.set(list);
    }
}

impl Handler for HostList {
    fn line(&self) -> &Line {
        &self.line
    }

    fn crashed(&self) {}

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/hosts") => {
                let hosts = self.hosts.lock().get().0;
                json(StatusCode::OK, &hosts)
            }
            (&Method::POST, "/hosts") => match read_json(request.into_body()).await {
                Ok(host) => {
                    self.set(host);
                    json(StatusCode::OK, "set")
                }
                Err(refused) => refused.into(),
            },
            _ => Refused::new(StatusCode::NOT_FOUND, "expected GET or POST /hosts").into(),
        }
    }
}

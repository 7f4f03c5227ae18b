//! A mock of the platform's list of live and leaving hosts, served with a lag.

use {
    crate::{
        fault::FaultState,
        lag::Lagged,
        response::{Rejection, json, read_json},
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

/// The mock host list.
pub struct HostList {
    faults: FaultState,
    hosts: Mutex<Lagged<Vec<ListedHost>>>,
}

impl HostList {
    /// Starts the host list on `settings.listen`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &HostListSettings) -> Result<Endpoint> {
        let hosts = Mutex::new(Lagged::new(settings.lag_ms, settings.hosts.clone()));
        Endpoint::bind(settings.listen, Arc::new(HostList { faults: FaultState::new(), hosts }))
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
    fn faults(&self) -> &FaultState {
        &self.faults
    }

    fn on_crash(&self) {}

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
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
                Err(rejection) => rejection.into(),
            },
            _ => Rejection::new(StatusCode::NOT_FOUND, "expected GET or POST /hosts").into(),
        }
    }
}

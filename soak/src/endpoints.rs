//! The endpoints of a run and the list that names them.

use {
    crate::{
        calm::Cause,
        endpoint::{Endpoint, Identity},
        plan::{Harm, Mood, Part, Size},
        proxy::Proxy,
        record::Shared,
        site::{SLOTS, any_addr},
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    edge::{Body, Server, ServerLimits, full},
    eyre::{Result, WrapErr},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    model::Domain,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
    tower::service_fn,
};

/// How long an endpoint stays after it was listed as leaving: longer than any request.
const LEAVING: Duration = Duration::from_millis(5_000);

/// How long it takes until the list shows an endpoint that is new or gone.
const LAG: Duration = Duration::from_millis(300);

/// An endpoint, the proxy before it, and what the list says of it.
#[derive(Debug)]
struct Place {
    /// How often another endpoint took this place.
    generation: u32,
    /// None while it is down.
    endpoint: Option<Endpoint>,
    identity: Identity,
    addr: SocketAddr,
    proxy: Proxy,
    draining: bool,
    born: u64,
}

#[derive(Debug)]
struct Inner {
    places: Vec<Place>,
    /// Endpoints of another service that took over addresses.
    others: Vec<(Endpoint, Proxy)>,
    /// How many faults keep the list from being read.
    unlisted: u32,
}

/// All endpoints of a run.
#[derive(Debug)]
pub(crate) struct Endpoints {
    record: Shared,
    inner: Arc<Mutex<Inner>>,
    list: SocketAddr,
    #[debug(skip)]
    _server: Server,
}

impl Endpoints {
    /// Starts the endpoints and the list.
    pub(crate) async fn start(size: Size, record: Shared) -> Result<Endpoints> {
        let mut places = Vec::new();
        for number in 0..size.models + size.plains {
            let service = if number < size.models { "model" } else { "plain" };
            places.push(open(number, 0, service, record.clone()).await?);
        }
        let inner = Arc::new(Mutex::new(Inner { places, others: Vec::new(), unlisted: 0 }));
        let listed = inner.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = list(&listed.lock());
            async move { Ok(answer) }
        });
        let server = Server::bind(any_addr(), ServerLimits::default(), service).await?;
        Ok(Endpoints { record, inner, list: server.addr(), _server: server })
    }

    /// Where the list is read.
    pub(crate) fn list(&self) -> SocketAddr {
        self.list
    }

    /// Harms the connections to an endpoint for some time.
    pub(crate) async fn harm(&self, number: usize, harm: Harm, lasts: Duration) {
        self.inner.lock().places[number].proxy.harm(harm);
        sleep(lasts).await;
        self.inner.lock().places[number].proxy.heal();
    }

    /// Makes an endpoint misbehave for some time.
    pub(crate) async fn set_mood(&self, number: usize, mood: Mood, lasts: Duration) {
        let set = |mood| {
            let inner = self.inner.lock();
            inner.places[number].endpoint.iter().for_each(|it| it.set_mood(mood));
        };
        set(mood);
        sleep(lasts).await;
        set(Mood::Sound);
    }

    /// Crashes an endpoint, which starts again under its id.
    pub(crate) async fn crash(&self, number: usize, lasts: Duration) -> Result<()> {
        let crashed = {
            let mut inner = self.inner.lock();
            let place = &mut inner.places[number];
            place.endpoint.take().map(|_| (place.addr, place.identity.clone()))
        };
        let Some((addr, identity)) = crashed else { return Ok(()) };
        sleep(lasts).await;
        let again = Endpoint::bind(addr, identity, self.record.clone()).await?;
        let mut inner = self.inner.lock();
        let place = &mut inner.places[number];
        if place.draining {
            again.leave(Instant::now());
        }
        place.endpoint = Some(again);
        place.born = wall_ms();
        Ok(())
    }

    /// Drains an endpoint; when it has left, another one takes its place, and another service its address.
    pub(crate) async fn replace(&self, number: usize) -> Result<()> {
        let taken = {
            let mut inner = self.inner.lock();
            let place = &mut inner.places[number];
            match &place.endpoint {
                Some(endpoint) if !place.draining => {
                    endpoint.leave(Instant::now());
                    place.draining = true;
                    Some((place.generation, place.identity.service))
                }
                _ => None,
            }
        };
        let Some((generation, service)) = taken else { return Ok(()) };
        let next = open(number, generation + 1, service, self.record.clone()).await?;
        sleep(LEAVING).await;
        let old = {
            let mut inner = self.inner.lock();
            if inner.places[number].endpoint.is_none() {
                // It crashed meanwhile and starts again under its old id.
                inner.places[number].draining = false;
                return Ok(());
            }
            std::mem::replace(&mut inner.places[number], next)
        };
        let addr = old.addr;
        drop(old.endpoint);
        sleep(LAG).await;
        let identity = Identity { number, id: format!("other-{number}"), service: "other" };
        let other = Endpoint::bind(addr, identity, self.record.clone()).await?;
        self.inner.lock().others.push((other, old.proxy));
        Ok(())
    }

    /// Keeps the list from being read for some time.
    pub(crate) async fn unlist(&self, lasts: Duration) {
        self.record.disturb(Part::List, Cause::Fault, Instant::now());
        self.inner.lock().unlisted += 1;
        sleep(lasts).await;
        self.inner.lock().unlisted -= 1;
        self.record.calm(Part::List, Cause::Fault, Instant::now());
    }
}

async fn open(
    number: usize,
    generation: u32,
    service: &'static str,
    record: Shared,
) -> Result<Place> {
    let identity = Identity { number, id: format!("{service}-{number}-{generation}"), service };
    let endpoint = Endpoint::bind(any_addr(), identity.clone(), record).await?;
    let addr = endpoint.addr();
    let proxy = Proxy::bind(addr).await.wrap_err("proxy of an endpoint")?;
    let (endpoint, born) = (Some(endpoint), wall_ms());
    Ok(Place { generation, endpoint, identity, addr, proxy, draining: false, born })
}

fn list(inner: &Inner) -> Response<Body> {
    let listed = |place: &Place| ListedEndpoint {
        id: place.identity.id.as_str().into(),
        service: place.identity.service.into(),
        addr: place.proxy.addr(),
        domain: Domain(format!("d{}", place.identity.number % 3).into()),
        slots: SLOTS,
        draining: place.draining,
        started_at_ms: Some(place.born),
    };
    let listed: Vec<_> = inner.places.iter().map(listed).collect();
    let body = serde_json::to_vec(&listed).ok().filter(|_| inner.unlisted == 0);
    match body {
        Some(body) => Response::new(full(body)),
        None => {
            let mut response = Response::new(full("not now\n"));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

//! Carries out what the reconciler asks for: looks at endpoints and orders to them, over HTTP.

use {
    crate::control::Shared,
    derive_more::Debug,
    edge::{Body, Client, empty, full},
    http::{Request, header},
    intent::{ActionId, Observation, Order, OrderAction, OrderLimits, OrderReply, Reconciler},
    model::{EndpointId, FencingToken, Image, MILLISECOND, Term, Time},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{interval, timeout},
    },
};

/// How often the reconciler is asked.
const TICK: Duration = Duration::from_millis(100);

/// Results that may wait for the reconciler.
const BACKLOG: usize = 1_024;

/// The reconciler of one leadership.
struct Leadership {
    term: Term,
    reconciler: Reconciler,
}

/// What an action led to, under the leadership that asked for it.
#[derive(Debug)]
struct Done {
    term: Term,
    endpoint: EndpointId,
    action_id: ActionId,
    result: DoneResult,
}

#[derive(Debug)]
enum DoneResult {
    Seen(Option<Box<Observation>>),
    Replied(OrderReply),
}

/// The answer of an endpoint to `GET /images`.
#[derive(Deserialize)]
struct ImageList {
    images: Vec<ListedImage>,
    #[serde(default)]
    fence: FencingToken,
}

#[derive(Deserialize)]
struct ListedImage {
    #[serde(flatten)]
    image: Image,
    state: ImageState,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ImageState {
    Loading,
    Ready,
}

/// The body of `POST /orders`.
#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: FencingToken,
    deadline_ms: u64,
    order: &'a Order,
}

/// Keeps endpoints at what is intended while this replica leads.
pub(crate) async fn run(shared: Arc<Shared>) {
    let limits = limits(&shared);
    let client = Client::new(limits.probe_timeout / MILLISECOND);
    let (sender, mut results) = mpsc::channel(BACKLOG);
    let mut ticks = interval(TICK);
    let mut leadership = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(done) = results.recv() => take(&shared, &mut leadership, done),
        }
        for (term, action) in next(&shared, &mut leadership, limits) {
            let task = Task { shared: shared.clone(), client: client.clone(), term };
            tokio::spawn(task.carry_out(action, sender.clone()));
        }
    }
}

fn limits(shared: &Shared) -> OrderLimits {
    let load = shared.weights().load_ms(1) * MILLISECOND;
    OrderLimits { load_interval: load, ..OrderLimits::default() }
}

fn take(shared: &Shared, leadership: &mut Option<Leadership>, done: Done) {
    let Some(current) = leadership.as_mut().filter(|it| it.term == done.term) else { return };
    let now = shared.clock.now();
    match done.result {
        DoneResult::Seen(sight) => {
            let sight = sight.map(|it| *it);
            current.reconciler.on_observation(now, done.endpoint, done.action_id, sight);
        }
        DoneResult::Replied(reply) => {
            current.reconciler.on_reply(now, done.endpoint, done.action_id, reply);
        }
    }
}

/// Returns what to do now, by the reconciler of the present leadership.
fn next(
    shared: &Shared,
    leadership: &mut Option<Leadership>,
    limits: OrderLimits,
) -> Vec<(Term, OrderAction)> {
    let now = shared.clock.now();
    let Some(view) = shared.log.leading() else {
        *leadership = None;
        return Vec::new();
    };
    if leadership.as_ref().is_none_or(|it| it.term != view.term) {
        let reconciler = Reconciler::new(now, view.term, limits);
        *leadership = Some(Leadership { term: view.term, reconciler });
    }
    let Some(current) = leadership else { return Vec::new() };
    let config = shared.log.with(|it| it.intents.config().clone());
    current.reconciler.update_config(now, &config);
    let actions = current.reconciler.tick(now, Some(view.expires_at));
    *shared.orders.lock() = current.reconciler.progress();
    actions.into_iter().map(|it| (view.term, it)).collect()
}

/// Carries out one action.
struct Task {
    shared: Arc<Shared>,
    client: Client,
    term: Term,
}

impl Task {
    async fn carry_out(self, action: OrderAction, results: mpsc::Sender<Done>) {
        let (endpoint, action_id, result) = match action {
            OrderAction::Probe { endpoint, addr, action_id } => {
                (endpoint, action_id, DoneResult::Seen(self.look(addr).await.map(Box::new)))
            }
            OrderAction::Send { endpoint, addr, action_id, fence, order, deadline } => {
                let reply = self.order(addr, fence, &order, deadline).await;
                tracing::info!(
                    "control: order {fence} to {endpoint} at {addr}: {order}: {reply:?}"
                );
                (endpoint, action_id, DoneResult::Replied(reply))
            }
        };
        let _ = results.send(Done { term: self.term, endpoint, action_id, result }).await;
    }

    async fn look(&self, addr: SocketAddr) -> Option<Observation> {
        let called = self.client.call(addr, "GET", "/images", None, empty()).await;
        let (_, body) = called.ok().filter(|it| it.0 == 200)?;
        let list: ImageList = serde_json::from_slice(&body).ok()?;
        let (ready, loading): (Vec<_>, Vec<_>) =
            list.images.into_iter().partition(|it| it.state == ImageState::Ready);
        let images = |list: Vec<ListedImage>| list.into_iter().map(|it| it.image).collect();
        Some(Observation { images: images(ready), loading: images(loading), fence: list.fence })
    }

    /// Sends an order; when its deadline passes, the exchange is dropped and with it the connection.
    async fn order(
        &self,
        addr: SocketAddr,
        fence: FencingToken,
        order: &Order,
        deadline: Time,
    ) -> OrderReply {
        let left = deadline.since(self.shared.clock.now());
        let request = order_request(fence, order, left);
        let Some(request) = request.filter(|_| left > 0) else { return OrderReply::Unknown };
        let sent = timeout(Duration::from_micros(left), self.client.send(addr, request)).await;
        match sent {
            Ok(Ok(response)) => match response.status().as_u16() {
                200..=299 => OrderReply::Taken,
                409 => OrderReply::Stale,
                _ => OrderReply::Refused,
            },
            Ok(Err(_)) | Err(_) => OrderReply::Unknown,
        }
    }
}

fn order_request(fence: FencingToken, order: &Order, left: u64) -> Option<Request<Body>> {
    let body = OrderRequest { fence, deadline_ms: left / MILLISECOND, order };
    let json = serde_json::to_vec(&body).ok()?;
    let request = Request::post("/orders").header(header::CONTENT_TYPE, "application/json");
    request.body(full(json)).ok()
}

//! Executes the actions of the reconciler over HTTP: probes endpoints and sends them orders.

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

/// Interval between two ticks of the reconciler.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Capacity of the queue of results for the reconciler.
const RESULT_QUEUE_LEN: usize = 1_024;

/// The reconciler of one leader term.
struct Leadership {
    term: Term,
    reconciler: Reconciler,
}

/// The result of an action, with the term of the leader that requested it.
#[derive(Debug)]
struct ActionCompletion {
    term: Term,
    endpoint: EndpointId,
    action_id: ActionId,
    result: ActionResult,
}

#[derive(Debug)]
enum ActionResult {
    Observed(Option<Box<Observation>>),
    Replied(OrderReply),
}

/// The response of an endpoint to `GET /images`.
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

/// The limit on the list of an endpoint's images, in bytes. All endpoints are asked at once.
const MAX_IMAGES_BYTES: usize = 64 << 10;

/// The body of `POST /orders`.
#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: FencingToken,
    deadline_ms: u64,
    order: &'a Order,
}

/// Reconciles the images of the endpoints with the configuration while this replica is the leader.
pub(crate) async fn run(shared: Arc<Shared>) {
    let limits = order_limits(&shared);
    let probe_ms = limits.probe_timeout / MILLISECOND;
    let client = Client::new(probe_ms).with_limit(MAX_IMAGES_BYTES);
    let (sender, mut results) = mpsc::channel(RESULT_QUEUE_LEN);
    let mut ticks = interval(TICK_INTERVAL);
    let mut leadership = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(done) = results.recv() => handle_completion(&shared, &mut leadership, done),
        }
        for (term, action) in next_actions(&shared, &mut leadership, limits) {
            let task = ActionTask { shared: shared.clone(), client: client.clone(), term };
            tokio::spawn(task.run(action, sender.clone()));
        }
    }
}

fn order_limits(shared: &Shared) -> OrderLimits {
    let load_time = shared.weight_store().load_ms(1) * MILLISECOND;
    OrderLimits { load_interval: load_time, ..OrderLimits::default() }
}

fn handle_completion(
    shared: &Shared,
    leadership: &mut Option<Leadership>,
    completion: ActionCompletion,
) {
    let Some(current) = leadership.as_mut().filter(|it| it.term == completion.term) else { return };
    let now = shared.clock.now();
    match completion.result {
        ActionResult::Observed(observation) => {
            let observation = observation.map(|it| *it);
            current.reconciler.on_observation(
                now,
                completion.endpoint,
                completion.action_id,
                observation,
            );
        }
        ActionResult::Replied(reply) => {
            current.reconciler.on_reply(now, completion.endpoint, completion.action_id, reply);
        }
    }
}

/// Ticks the reconciler of the current term and returns the actions to execute.
fn next_actions(
    shared: &Shared,
    leadership: &mut Option<Leadership>,
    limits: OrderLimits,
) -> Vec<(Term, OrderAction)> {
    let now = shared.clock.now();
    let Some(lease) = shared.log.leader_lease() else {
        *leadership = None;
        return Vec::new();
    };
    if leadership.as_ref().is_none_or(|it| it.term != lease.term) {
        let reconciler = Reconciler::new(now, lease.term, limits);
        *leadership = Some(Leadership { term: lease.term, reconciler });
    }
    let Some(current) = leadership else { return Vec::new() };
    let config = shared.log.with_state(|it| it.intents.config().clone());
    current.reconciler.update_config(now, &config);
    let actions = current.reconciler.tick(now, Some(lease.expires_at));
    *shared.order_progress.lock() = current.reconciler.progress();
    actions.into_iter().map(|it| (lease.term, it)).collect()
}

/// Executes one action.
struct ActionTask {
    shared: Arc<Shared>,
    client: Client,
    term: Term,
}

impl ActionTask {
    async fn run(self, action: OrderAction, results: mpsc::Sender<ActionCompletion>) {
        let (endpoint, action_id, result) = match action {
            OrderAction::Probe { endpoint, addr, action_id } => {
                (endpoint, action_id, ActionResult::Observed(self.probe(addr).await.map(Box::new)))
            }
            OrderAction::Send { endpoint, addr, action_id, fence, order, deadline } => {
                let reply = self.send_order(addr, fence, &order, deadline).await;
                tracing::info!(
                    "control: order {fence} to {endpoint} at {addr}: {order}: {reply:?}"
                );
                (endpoint, action_id, ActionResult::Replied(reply))
            }
        };
        let _ =
            results.send(ActionCompletion { term: self.term, endpoint, action_id, result }).await;
    }

    async fn probe(&self, addr: SocketAddr) -> Option<Observation> {
        let result = self.client.call(addr, "GET", "/images", None, empty()).await;
        let (_, body) = result.ok().filter(|it| it.0 == 200)?;
        let list: ImageList = serde_json::from_slice(&body).ok()?;
        let (ready, loading): (Vec<_>, Vec<_>) =
            list.images.into_iter().partition(|it| it.state == ImageState::Ready);
        let images = |list: Vec<ListedImage>| list.into_iter().map(|it| it.image).collect();
        Some(Observation { images: images(ready), loading: images(loading), fence: list.fence })
    }

    /// Sends an order. When its deadline passes, the request is cancelled and its connection is closed.
    async fn send_order(
        &self,
        addr: SocketAddr,
        fence: FencingToken,
        order: &Order,
        deadline: Time,
    ) -> OrderReply {
        let remaining = deadline.since(self.shared.clock.now());
        let request = order_request(fence, order, remaining);
        let Some(request) = request.filter(|_| remaining > 0) else { return OrderReply::Unknown };
        let sent = timeout(Duration::from_micros(remaining), self.client.send(addr, request)).await;
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

fn order_request(fence: FencingToken, order: &Order, remaining: u64) -> Option<Request<Body>> {
    let body = OrderRequest { fence, deadline_ms: remaining / MILLISECOND, order };
    let json = serde_json::to_vec(&body).ok()?;
    let request = Request::post("/orders").header(header::CONTENT_TYPE, "application/json");
    request.body(full(json)).ok()
}

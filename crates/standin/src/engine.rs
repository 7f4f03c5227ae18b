//! A mock LLM engine: batching, prompt caching, load reports and image orders.

use {
    crate::{
        batch::{Batch, BatchLimits, Job, JobId, StepEvent},
        cache::PrefixCache,
        chat::{ChatRequest, PrefixBlock, prefix_chain},
        completion::Completion,
        events::{Event, EventKind, Events},
        fault::FaultState,
        lag::Lagged,
        orders::{ImageState, Order, OrderRequest, OrderState},
        routes,
        serve::{Endpoint, Handler},
        settings::EngineSettings,
    },
    bytes::Bytes,
    edge::{Body, Client, empty},
    eyre::Result,
    http::{Request, Response},
    hyper::body::Incoming,
    model::{FencingToken, Image, Name},
    parking_lot::{Mutex, MutexGuard},
    serde::Serialize,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::{
        sync::{
            Notify,
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        },
        time::{MissedTickBehavior, interval, sleep},
    },
};

const MAX_RECENT_REQUESTS: usize = 20_000;
const WEIGHT_STORE_RETRY: Duration = Duration::from_millis(200);

/// The load reported by `GET /load`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Load {
    /// Number of tokens still to compute.
    pub(crate) work: u64,
    /// Number of queued and running jobs.
    pub(crate) running: usize,
    /// Total prompt tokens of all submitted requests.
    pub(crate) prompt_tokens: u64,
    /// How many of these were found in the prompt cache.
    pub(crate) cached_tokens: u64,
}

/// A mock LLM engine.
pub struct Engine {
    pub(crate) settings: EngineSettings,
    faults: FaultState,
    wake: Notify,
    state: Mutex<State>,
}

pub(crate) struct State {
    batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) load: Lagged<Load>,
    totals: Load,
    events: Events,
    pub(crate) orders: OrderState,
    outputs: HashMap<JobId, UnboundedSender<Bytes>>,
    chains: RecentChains,
}

/// The prefix chains of recent requests, kept for KV cache export.
#[derive(Default)]
struct RecentChains {
    chains: HashMap<String, Vec<PrefixBlock>>,
    order: VecDeque<String>,
}

impl Engine {
    /// Starts an engine that listens on `settings.listen`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(settings: &EngineSettings) -> Result<Endpoint> {
        let engine = Arc::new(Engine {
            faults: FaultState::new(),
            wake: Notify::new(),
            state: Mutex::new(State::new(settings)),
            settings: settings.clone(),
        });
        tokio::spawn(run(Arc::downgrade(&engine)));
        Endpoint::bind(settings.listen, engine)
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Queues a request and returns the channel on which its response bytes arrive.
    pub(crate) fn submit(
        &self,
        chat: &ChatRequest,
        request: &str,
        attempt: u32,
        priority: u8,
        offset: u64,
    ) -> UnboundedReceiver<Bytes> {
        let poison = chat.messages.iter().any(|it| it.content.contains(&self.settings.poison));
        let completion = Completion::new(chat, request);
        let chain = prefix_chain(&chat.model, &chat.messages);
        let job = Job {
            request: request.to_owned(),
            attempt,
            priority,
            completion,
            chain,
            offset,
            poison,
        };
        let (sender, receiver) = unbounded_channel();
        self.state().submit(job, sender);
        self.wake.notify_one();
        receiver
    }

    /// Accepts an order and starts executing it; fails with the highest fencing token seen if the order is stale.
    pub(crate) fn order(self: &Arc<Self>, request: &OrderRequest) -> Result<(), FencingToken> {
        self.state().orders.apply(request)?;
        if let Order::Load(image) = &request.order {
            tokio::spawn(load_image(self.clone(), image.clone().into()));
        }
        Ok(())
    }

    /// Runs one step; returns false if there was nothing to do.
    fn step(&self) -> bool {
        let mut state = self.state();
        if state.batch.is_idle() {
            return false;
        }
        let crashed = state.step();
        drop(state);
        if crashed {
            tracing::info!(
                "standin: engine {} crashed while running a request",
                self.settings.name
            );
            self.faults.crash(self.settings.restart_ms, 0);
            self.on_crash();
        }
        true
    }
}

impl State {
    fn new(settings: &EngineSettings) -> State {
        let limits = BatchLimits { jobs: settings.batch_jobs, prefill: settings.prefill_tokens };
        let images: Vec<Image> = settings.images.iter().map(|it| it.clone().into()).collect();
        State {
            batch: Batch::new(limits),
            cache: PrefixCache::new(settings.cache_tokens),
            load: Lagged::new(settings.load_lag_ms, Load::default()),
            totals: Load::default(),
            events: Events::new(settings.event_delay_ms, settings.event_gap),
            orders: OrderState::new(settings.fencing, &images),
            outputs: HashMap::new(),
            chains: RecentChains::default(),
        }
    }

    fn submit(&mut self, job: Job, sender: UnboundedSender<Bytes>) {
        self.totals.prompt_tokens += u64::from(job.completion.prompt_tokens());
        self.totals.cached_tokens += u64::from(self.cache.cached(&job.chain));
        self.chains.insert(job.request.clone(), job.chain.clone());
        let id = self.batch.submit(job);
        self.outputs.insert(id, sender);
        self.report();
    }

    /// Runs one step; returns whether it crashed the engine.
    fn step(&mut self) -> bool {
        let disconnected: Vec<JobId> =
            self.outputs.iter().filter(|(_, it)| it.is_closed()).map(|(id, _)| *id).collect();
        disconnected.iter().for_each(|it| self.cancel(*it));
        for emission in self.batch.step(&mut self.cache) {
            match emission {
                StepEvent::Bytes { job, bytes } => self.send(job, bytes.into()),
                StepEvent::Done { job, request, stored, evicted } => {
                    self.send(job, Bytes::new());
                    self.outputs.remove(&job);
                    self.events.push(EventKind::Stored, &request, stored);
                    if evicted > 0 {
                        self.events.push(EventKind::Evicted, &request, evicted);
                    }
                }
                StepEvent::Crash => return true,
            }
        }
        self.report();
        false
    }

    fn send(&mut self, job: JobId, bytes: Bytes) {
        if let Some(output) = self.outputs.get(&job) {
            let _ = output.send(bytes);
        }
    }

    fn cancel(&mut self, job: JobId) {
        self.outputs.remove(&job);
        self.batch.cancel(job);
    }

    pub(crate) fn cancel_request(&mut self, request: &str, attempt: Option<u32>) -> usize {
        let cancelled = self.batch.cancel_request(request, attempt);
        cancelled.iter().for_each(|it| drop(self.outputs.remove(it)));
        self.report();
        cancelled.len()
    }

    pub(crate) fn events_after(&self, after: u64) -> Vec<Event> {
        self.events.after(after)
    }

    pub(crate) fn images(&self) -> Vec<(&Image, ImageState)> {
        self.orders.images().collect()
    }

    pub(crate) fn role(&self) -> &Name {
        self.orders.role()
    }

    pub(crate) fn chain_of(&self, request: &str) -> Option<&Vec<PrefixBlock>> {
        self.chains.chains.get(request)
    }

    fn report(&mut self) {
        let load = Load { work: self.batch.work(), running: self.batch.len(), ..self.totals };
        self.load.set(load);
    }

    /// Discards the jobs, the prompt cache and the recent chains. Fencing token, images and events survive a crash.
    fn crash(&mut self, settings: &EngineSettings) {
        self.batch.clear();
        self.outputs.clear();
        self.cache = PrefixCache::new(settings.cache_tokens);
        self.chains = RecentChains::default();
        self.report();
    }
}

impl RecentChains {
    fn insert(&mut self, request: String, chain: Vec<PrefixBlock>) {
        self.order.push_back(request.clone());
        self.chains.insert(request, chain);
        if self.order.len() > MAX_RECENT_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.chains.remove(&oldest);
        }
    }
}

impl Handler for Engine {
    fn faults(&self) -> &FaultState {
        &self.faults
    }

    fn on_crash(&self) {
        self.state().crash(&self.settings);
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        routes::handle(self, request).await
    }
}

/// Runs steps until the engine is dropped.
async fn run(engine: Weak<Engine>) {
    let Some(first) = engine.upgrade() else { return };
    let mut ticks = interval(Duration::from_micros(first.settings.step_us));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    drop(first);
    loop {
        ticks.tick().await;
        let Some(engine) = engine.upgrade() else { return };
        engine.faults.wait_unfrozen().await;
        if !engine.step() {
            engine.wake.notified().await;
            ticks.reset();
        }
        let extra = engine.faults.factor().saturating_sub(1);
        if extra > 0 {
            sleep(Duration::from_micros(engine.settings.step_us) * extra).await;
        }
    }
}

/// Loads an image, fetching it from the weight store if one is configured.
async fn load_image(engine: Arc<Engine>, image: Image) {
    if let Some(store) = engine.settings.weight_store {
        let client = Client::new(2_000);
        let path = format!("/weights/{image}").replace(['+', '@'], "-");
        while !matches!(client.call(store, "GET", &path, None, empty()).await, Ok((200, _))) {
            sleep(WEIGHT_STORE_RETRY).await;
        }
    }
    sleep(Duration::from_millis(engine.settings.image_load_ms)).await;
    engine.state().orders.mark_loaded(&image);
    tracing::info!("standin: engine {} loaded image {image}", engine.settings.name);
}

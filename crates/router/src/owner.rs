//! Serving a request at the owner of an endpoint: vetting, admission, and the exchange with the endpoint.

use {
    crate::{
        owned::{NotStarted, Running, Turn, deadline},
        shared::Shared,
        view::View,
    },
    admission::QueuedRequest,
    bytes::Bytes,
    edge::{EndpointError, EndpointErrorKind, EndpointEvent, EndpointRequest, EndpointStream},
    http::{HeaderMap, HeaderName, HeaderValue, Method},
    member::Permission,
    model::{
        Endpoint, EndpointId, EndpointState, MILLISECOND, Outcome, Reason, Refusal, ServiceKind,
        Time, Work,
    },
    placement::StartRequest,
    settings::Routing,
    smallvec::SmallVec,
    std::sync::Arc,
    tokio::{
        sync::{mpsc, oneshot},
        time::sleep_until,
    },
    wire::msg::{AdmissionMode, Forward, ForwardReply, Header},
};

/// When a request may come back after its endpoint failed, in milliseconds.
const FAILED_RETRY_MS: u32 = 1_000;

/// The queue answers at a deadline before the request gives its place up, in microseconds.
const QUEUE_MARGIN_US: u64 = 100 * MILLISECOND;

/// After so many parts of an answer the table learns how much work is left; a part is about a token.
const PROGRESS_PARTS: u64 = 16;

/// Where the frames of an answer go.
type Frames = mpsc::Sender<ForwardReply>;

/// Serves one attempt; its last frame ends it.
pub(crate) async fn serve(shared: Arc<Shared>, forward: Forward, frames: Frames) {
    let busy = shared.begin();
    let view = shared.view();
    let admitted = admit(&shared, &view, &forward).await;
    match admitted {
        Ok((endpoint, run)) => exchange(&shared, &view, &endpoint, &forward, run, frames).await,
        Err(refused) => {
            let _ = frames.send(reply(&shared, refused)).await;
        }
    }
    drop(busy);
}

fn reply(shared: &Shared, refused: NotStarted) -> ForwardReply {
    match refused {
        NotStarted::Moved(epoch) => ForwardReply::NotOwner { epoch },
        NotStarted::Elsewhere(endpoints) => {
            shared.metrics.spilled();
            ForwardReply::NoCapacity { endpoints }
        }
        NotStarted::Refused(refusal) => ForwardReply::Refused(refusal),
    }
}

/// An attempt that counts as running on its endpoint until this is dropped.
struct Run {
    shared: Arc<Shared>,
    running: Running,
}

impl Drop for Run {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.owned.lock().ended(now, &self.running);
    }
}

/// A place in the queue of an endpoint; dropping it gives the place up, also if its turn has just come.
struct Place {
    shared: Arc<Shared>,
    start: StartRequest,
    turn: oneshot::Receiver<Turn>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut owned = self.shared.owned.lock();
        owned.cancel(self.start.endpoint, self.start.request);
        if let Ok(Ok(running)) = self.turn.try_recv() {
            owned.ended(self.shared.clock.now(), &running);
        }
    }
}

/// Starts the attempt, now or when its turn comes.
async fn admit(
    shared: &Arc<Shared>,
    view: &View,
    forward: &Forward,
) -> Result<(Arc<Endpoint>, Run), NotStarted> {
    let now = shared.clock.now();
    let until = deadline(now, forward.budget_ms);
    let endpoint = view.endpoint(forward.endpoint).ok_or(NotStarted::Moved(view.roster.epoch))?;
    if endpoint.state != EndpointState::Active {
        return Err(NotStarted::Elsewhere(Default::default()));
    }
    let homes = view
        .homes(forward.service, &forward.image)
        .ok_or(NotStarted::Elsewhere(Default::default()))?;
    let start = start(forward);
    if shared.settings.routing != Routing::Owner {
        return Ok((endpoint.clone(), unbounded(shared, &start)));
    }
    let first = {
        let mut owned = shared.owned.lock();
        let vetted =
            owned.vet(now, forward.fingerprint, forward.request, &forward.crashed_endpoints, until);
        let struck = vetted.map_err(NotStarted::Refused)?;
        match owned.start(now, homes, &start, struck) {
            Ok(running) => Ok(running),
            Err(NotStarted::Elsewhere(others)) => {
                let patience = match forward.admission {
                    AdmissionMode::Queue => until + QUEUE_MARGIN_US,
                    AdmissionMode::Home | AdmissionMode::Spill => {
                        now + owned.table.prefix_wait(&start)
                    }
                };
                if patience == now {
                    return Err(NotStarted::Elsewhere(others));
                }
                let waiting = waiting(view, forward, until);
                let turn = owned.wait(now, waiting, start, homes.clone(), struck);
                Err((turn.map_err(NotStarted::Refused)?, patience, others))
            }
            Err(refused) => return Err(refused),
        }
    };
    let running = match first {
        Ok(running) => running,
        Err((turn, patience, others)) => queued(shared, start, turn, patience, others).await?,
    };
    Ok((endpoint.clone(), Run { shared: shared.clone(), running }))
}

/// Waits for the turn; once `patience` is over the request goes on to `others`.
///
/// A request whose prefix is cached here waits about as long as computing it elsewhere would take; one that has
/// nowhere else to go waits until its deadline, at which the queue answers.
async fn queued(
    shared: &Arc<Shared>,
    start: StartRequest,
    turn: oneshot::Receiver<Turn>,
    patience: Time,
    others: SmallVec<[EndpointId; 4]>,
) -> Result<Running, NotStarted> {
    let mut place = Place { shared: shared.clone(), start, turn };
    let over = shared.clock.deadline(patience);
    let turn = tokio::select! {
        turn = &mut place.turn => turn,
        () = sleep_until(over) => return Err(NotStarted::Elsewhere(others)),
    };
    turn.unwrap_or(Err(NotStarted::Refused(Refusal::not_run(Reason::Unavailable, FAILED_RETRY_MS))))
}

/// A run outside the bound, for the baselines.
fn unbounded(shared: &Arc<Shared>, start: &StartRequest) -> Run {
    let StartRequest { endpoint, request, attempt, cost, prompt, .. } = *start;
    let running = Running {
        endpoint,
        request,
        attempt,
        cost,
        prompt: Work(u64::from(prompt)),
        struck: false,
    };
    Run { shared: shared.clone(), running }
}

fn start(forward: &Forward) -> StartRequest {
    StartRequest {
        request: forward.request,
        attempt: forward.attempt,
        chat: forward.chat,
        endpoint: forward.endpoint,
        cost: forward.cost,
        prompt: forward.prompt,
        at_home: forward.admission == AdmissionMode::Home,
    }
}

fn waiting(view: &View, forward: &Forward, until: Time) -> QueuedRequest {
    let team = view.config.teams.get(&forward.team);
    QueuedRequest {
        request: forward.request,
        team: forward.team,
        weight: team.map_or(1, |it| it.weight),
        max_queued: team.map_or(1, |it| it.limits.queued),
        priority: forward.priority,
        cost: forward.cost,
        deadline: until,
    }
}

/// Sends the request to the endpoint and its answer to the entry router.
async fn exchange(
    shared: &Arc<Shared>,
    view: &View,
    endpoint: &Endpoint,
    forward: &Forward,
    run: Run,
    frames: Frames,
) {
    let kind = view.config.services.get(&endpoint.service).map_or(ServiceKind::Plain, |it| it.kind);
    let Some(request) = request(shared, forward) else {
        let _ = frames.send(ForwardReply::Refused(Refusal::not_run(Reason::BadRequest, 0))).await;
        return;
    };
    if !may_send(shared, endpoint.id) {
        let epoch = view.roster.epoch;
        drop(run);
        let _ = frames.send(ForwardReply::NotOwner { epoch }).await;
        return;
    }
    let stream = shared.client(endpoint, kind).send(request);
    let passed = tokio::select! {
        passed = pass(shared, &run, stream, &frames) => passed,
        // The entry router cancelled; dropping the stream cancels at the endpoint.
        () = frames.closed() => return,
    };
    let last = match passed {
        Ok(length) => {
            shared.owned.lock().suspects.clear(forward.fingerprint, forward.request);
            ForwardReply::End { length }
        }
        Err(err) => failed(shared, forward, &err),
    };
    // What waits for this endpoint is told before the caller: the run ends here.
    drop(run);
    let _ = frames.send(last).await;
}

/// Whether this router still has a right on the endpoint: the process may have been frozen since the start was decided.
fn may_send(shared: &Shared, endpoint: EndpointId) -> bool {
    let now = shared.clock.now();
    let right = || shared.owned.lock().member.permission(now, endpoint);
    shared.settings.routing != Routing::Owner
        || !matches!(right(), Permission::None | Permission::Wait)
}

fn request(shared: &Shared, forward: &Forward) -> Option<EndpointRequest> {
    let until = deadline(shared.clock.now(), forward.budget_ms);
    Some(EndpointRequest {
        request: forward.request,
        attempt: forward.attempt,
        priority: forward.priority,
        offset: forward.offset,
        idempotent: forward.idempotent,
        deadline: shared.clock.deadline(until),
        method: Method::from_bytes(forward.method.as_bytes()).ok()?,
        path: forward.path.to_string(),
        headers: headers(&forward.headers),
        body: forward.body.clone(),
    })
}

/// Passes the answer on; returns the length of its body.
async fn pass(
    shared: &Shared,
    run: &Run,
    mut stream: EndpointStream,
    frames: &Frames,
) -> Result<u64, EndpointError> {
    let mut left = run.running.cost;
    let mut parts = 0u64;
    loop {
        let frame = match stream.next().await? {
            EndpointEvent::Head { status, headers } => {
                left = left.saturating_sub(run.running.prompt);
                shared.owned.lock().progress(&run.running, left);
                ForwardReply::Head { status, headers: passed_on(&headers) }
            }
            EndpointEvent::Chunk { offset, bytes } => {
                parts += 1;
                if parts.is_multiple_of(PROGRESS_PARTS) {
                    left = left.saturating_sub(Work(PROGRESS_PARTS));
                    shared.owned.lock().progress(&run.running, left);
                }
                ForwardReply::Chunk { offset, bytes }
            }
            EndpointEvent::End { length } => return Ok(length),
        };
        // An error means that the entry router is gone; the caller of this function sees that too.
        let _ = frames.send(frame).await;
    }
}

/// Says what a failure means, and keeps new work from an endpoint that is down.
fn failed(shared: &Shared, forward: &Forward, err: &EndpointError) -> ForwardReply {
    let now = shared.clock.now();
    let request = Shared::short(forward.request);
    tracing::info!("router: {request} failed on {}: {err}", forward.endpoint);
    if err.crashed() {
        let until = deadline(now, forward.budget_ms);
        let (fingerprint, request) = (forward.fingerprint, forward.request);
        shared.owned.lock().strike(now, fingerprint, request, forward.endpoint, until);
    }
    if err.kind == EndpointErrorKind::Unreachable && err.outcome == Outcome::NotRun {
        shared.owned.lock().down(now, forward.endpoint);
        return ForwardReply::NoCapacity { endpoints: Default::default() };
    }
    let reason = if err.kind == EndpointErrorKind::Deadline {
        Reason::Deadline
    } else {
        Reason::EndpointFailed
    };
    let outcome = if err.outcome == Outcome::Ran { Outcome::Unknown } else { err.outcome };
    let refusal = Refusal { outcome, reason, retry_ms: FAILED_RETRY_MS };
    ForwardReply::Failed { refusal, endpoint_crashed: err.crashed() }
}

fn headers(from: &[Header]) -> HeaderMap {
    let pair = |it: &Header| {
        let name = HeaderName::try_from(&*it.name).ok()?;
        Some((name, HeaderValue::from_bytes(&it.value).ok()?))
    };
    from.iter().filter_map(pair).collect()
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

//! Serving a request at the owner of an endpoint: vetting, admission, and the exchange with the endpoint.

use {
    crate::{
        owned::{QueueOutcome, RunningAttempt, StartError, deadline_after},
        shared::Shared,
        view::ClusterView,
    },
    admission::QueuedRequest,
    bytes::Bytes,
    edge::{EndpointError, EndpointEvent, EndpointRequest, EndpointStream, Fault},
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
    wire::msg::{Admit, Forward, ForwardReply, Header},
};

/// When a request may come back after its endpoint failed, in milliseconds.
const FAILED_RETRY_MS: u32 = 1_000;

/// The queue answers at a deadline before the request gives its place up, in microseconds.
const QUEUE_MARGIN_US: u64 = 100 * MILLISECOND;

/// After so many parts of an answer the table learns how much work is left; a part is about a token.
const PROGRESS_CHUNKS: u64 = 16;

/// Where the frames of an answer go.
type ReplySender = mpsc::Sender<ForwardReply>;

/// Serves one attempt; its last frame ends it.
pub(crate) async fn serve(shared: Arc<Shared>, forward: Forward, replies: ReplySender) {
    let busy = shared.track_running();
    let view = shared.view();
    let admitted = admit(&shared, &view, &forward).await;
    match admitted {
        Ok((endpoint, run)) => exchange(&shared, &view, &endpoint, &forward, run, replies).await,
        Err(rejection) => {
            let _ = replies.send(rejection_reply(&shared, rejection)).await;
        }
    }
    drop(busy);
}

fn rejection_reply(shared: &Shared, rejection: StartError) -> ForwardReply {
    match rejection {
        StartError::NotOwner(epoch) => ForwardReply::Moved { epoch },
        StartError::NoCapacity(endpoints) => {
            shared.metrics.record_spilled();
            ForwardReply::Elsewhere { endpoints }
        }
        StartError::Refused(refusal) => ForwardReply::Refused(refusal),
    }
}

/// An attempt that counts as running on its endpoint until this is dropped.
struct AttemptGuard {
    shared: Arc<Shared>,
    running: RunningAttempt,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.owned.lock().finish(now, &self.running);
    }
}

/// A place in the queue of an endpoint; dropping it gives the place up, also if its turn has just come.
struct QueueSlot {
    shared: Arc<Shared>,
    start: StartRequest,
    outcome: oneshot::Receiver<QueueOutcome>,
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        let mut owned = self.shared.owned.lock();
        owned.cancel_queued(self.start.endpoint, self.start.request);
        if let Ok(Ok(running)) = self.outcome.try_recv() {
            owned.finish(self.shared.clock.now(), &running);
        }
    }
}

/// Starts the attempt, now or when its turn comes.
async fn admit(
    shared: &Arc<Shared>,
    view: &ClusterView,
    forward: &Forward,
) -> Result<(Arc<Endpoint>, AttemptGuard), StartError> {
    let now = shared.clock.now();
    let attempt_deadline = deadline_after(now, forward.budget_ms);
    let endpoint =
        view.endpoint(forward.endpoint).ok_or(StartError::NotOwner(view.roster.epoch))?;
    if endpoint.state != EndpointState::Active {
        return Err(StartError::NoCapacity(Default::default()));
    }
    let rendezvous = view
        .rendezvous(forward.service, &forward.image)
        .ok_or(StartError::NoCapacity(Default::default()))?;
    let start = start_request(forward);
    if shared.settings.routing != Routing::Owner {
        return Ok((endpoint.clone(), start_unbounded(shared, &start)));
    }
    let started = {
        let mut owned = shared.owned.lock();
        let checked = owned.check_suspect(
            now,
            forward.fingerprint,
            forward.request,
            &forward.strikes,
            attempt_deadline,
        );
        let suspected = checked.map_err(StartError::Refused)?;
        match owned.try_start(now, rendezvous, &start, suspected) {
            Ok(running) => Ok(running),
            Err(StartError::NoCapacity(alternatives)) => {
                let wait_until = match forward.admit {
                    Admit::Wait => attempt_deadline + QUEUE_MARGIN_US,
                    Admit::Home | Admit::Spill => now + owned.table.prefix_wait(&start),
                };
                if wait_until == now {
                    return Err(StartError::NoCapacity(alternatives));
                }
                let request = queued_request(view, forward, attempt_deadline);
                let outcome = owned.enqueue(now, request, start, rendezvous.clone(), suspected);
                Err((outcome.map_err(StartError::Refused)?, wait_until, alternatives))
            }
            Err(rejection) => return Err(rejection),
        }
    };
    let running = match started {
        Ok(running) => running,
        Err((outcome, wait_until, alternatives)) => {
            wait_in_queue(shared, start, outcome, wait_until, alternatives).await?
        }
    };
    Ok((endpoint.clone(), AttemptGuard { shared: shared.clone(), running }))
}

/// Waits for the turn; once `patience` is over the request goes on to `others`.
///
/// A request whose prefix is cached here waits about as long as computing it elsewhere would take; one that has
/// nowhere else to go waits until its deadline, at which the queue answers.
async fn wait_in_queue(
    shared: &Arc<Shared>,
    start: StartRequest,
    outcome: oneshot::Receiver<QueueOutcome>,
    wait_until: Time,
    alternatives: SmallVec<[EndpointId; 4]>,
) -> Result<RunningAttempt, StartError> {
    let mut slot = QueueSlot { shared: shared.clone(), start, outcome };
    let wait_deadline = shared.clock.deadline(wait_until);
    let outcome = tokio::select! {
        outcome = &mut slot.outcome => outcome,
        () = sleep_until(wait_deadline) => return Err(StartError::NoCapacity(alternatives)),
    };
    outcome
        .unwrap_or(Err(StartError::Refused(Refusal::not_run(Reason::Unavailable, FAILED_RETRY_MS))))
}

/// A run outside the bound, for the baselines.
fn start_unbounded(shared: &Arc<Shared>, start: &StartRequest) -> AttemptGuard {
    let StartRequest { endpoint, request, attempt, cost, prompt, .. } = *start;
    let running = RunningAttempt {
        endpoint,
        request,
        attempt,
        cost,
        prompt: Work(u64::from(prompt)),
        suspected: false,
    };
    AttemptGuard { shared: shared.clone(), running }
}

fn start_request(forward: &Forward) -> StartRequest {
    StartRequest {
        request: forward.request,
        attempt: forward.attempt,
        chat: forward.chat,
        endpoint: forward.endpoint,
        cost: forward.cost,
        prompt: forward.prompt,
        at_home: forward.admit == Admit::Home,
    }
}

fn queued_request(view: &ClusterView, forward: &Forward, attempt_deadline: Time) -> QueuedRequest {
    let team = view.config.teams.get(&forward.team);
    QueuedRequest {
        request: forward.request,
        team: forward.team,
        weight: team.map_or(1, |it| it.weight),
        max_queued: team.map_or(1, |it| it.limits.queued),
        priority: forward.priority,
        cost: forward.cost,
        deadline: attempt_deadline,
    }
}

/// Sends the request to the endpoint and its answer to the entry router.
async fn exchange(
    shared: &Arc<Shared>,
    view: &ClusterView,
    endpoint: &Endpoint,
    forward: &Forward,
    run: AttemptGuard,
    replies: ReplySender,
) {
    let kind = view.config.services.get(&endpoint.service).map_or(ServiceKind::Plain, |it| it.kind);
    let Some(request) = endpoint_request(shared, forward) else {
        let _ = replies.send(ForwardReply::Refused(Refusal::not_run(Reason::BadRequest, 0))).await;
        return;
    };
    if !is_still_permitted(shared, endpoint.id) {
        let epoch = view.roster.epoch;
        drop(run);
        let _ = replies.send(ForwardReply::Moved { epoch }).await;
        return;
    }
    let stream = shared.endpoint_client(endpoint, kind).send(request);
    let relayed = tokio::select! {
        relayed = relay(shared, &run, stream, &replies) => relayed,
        // The entry router cancelled; dropping the stream cancels at the endpoint.
        () = replies.closed() => return,
    };
    let final_reply = match relayed {
        Ok(length) => {
            shared.owned.lock().suspects.clear(forward.fingerprint, forward.request);
            ForwardReply::End { length }
        }
        Err(err) => failure_reply(shared, forward, &err),
    };
    // What waits for this endpoint is told before the caller: the run ends here.
    drop(run);
    let _ = replies.send(final_reply).await;
}

/// Whether this router still has a right on the endpoint: the process may have been frozen since the start was decided.
fn is_still_permitted(shared: &Shared, endpoint: EndpointId) -> bool {
    let now = shared.clock.now();
    let permission = || shared.owned.lock().membership.permission(now, endpoint);
    shared.settings.routing != Routing::Owner
        || !matches!(permission(), Permission::None | Permission::Wait)
}

fn endpoint_request(shared: &Shared, forward: &Forward) -> Option<EndpointRequest> {
    let attempt_deadline = deadline_after(shared.clock.now(), forward.budget_ms);
    Some(EndpointRequest {
        request: forward.request,
        attempt: forward.attempt,
        priority: forward.priority,
        offset: forward.offset,
        idempotent: forward.idempotent,
        deadline: shared.clock.deadline(attempt_deadline),
        method: Method::from_bytes(forward.method.as_bytes()).ok()?,
        path: forward.path.to_string(),
        headers: to_header_map(&forward.headers),
        body: forward.body.clone(),
    })
}

/// Passes the answer on; returns the length of its body.
async fn relay(
    shared: &Shared,
    run: &AttemptGuard,
    mut stream: EndpointStream,
    replies: &ReplySender,
) -> Result<u64, EndpointError> {
    let mut remaining = run.running.cost;
    let mut chunks = 0u64;
    loop {
        let frame = match stream.next().await? {
            EndpointEvent::Head { status, headers } => {
                remaining = remaining.saturating_sub(run.running.prompt);
                shared.owned.lock().update_progress(&run.running, remaining);
                ForwardReply::Head { status, headers: forwarded_headers(&headers) }
            }
            EndpointEvent::Chunk { offset, bytes } => {
                chunks += 1;
                if chunks.is_multiple_of(PROGRESS_CHUNKS) {
                    remaining = remaining.saturating_sub(Work(PROGRESS_CHUNKS));
                    shared.owned.lock().update_progress(&run.running, remaining);
                }
                ForwardReply::Chunk { offset, bytes }
            }
            EndpointEvent::End { length } => return Ok(length),
        };
        // An error means that the entry router is gone; the caller of this function sees that too.
        let _ = replies.send(frame).await;
    }
}

/// Says what a failure means, and keeps new work from an endpoint that is down.
fn failure_reply(shared: &Shared, forward: &Forward, err: &EndpointError) -> ForwardReply {
    let now = shared.clock.now();
    let request = Shared::short_id(forward.request);
    tracing::info!("router: {request} failed on {}: {err}", forward.endpoint);
    if err.died() {
        let attempt_deadline = deadline_after(now, forward.budget_ms);
        let (fingerprint, request) = (forward.fingerprint, forward.request);
        shared.owned.lock().record_crash(
            now,
            fingerprint,
            request,
            forward.endpoint,
            attempt_deadline,
        );
    }
    if err.fault == Fault::Unreachable && err.outcome == Outcome::NotRun {
        shared.owned.lock().mark_unavailable(now, forward.endpoint);
        return ForwardReply::Elsewhere { endpoints: Default::default() };
    }
    let reason =
        if err.fault == Fault::Deadline { Reason::Deadline } else { Reason::EndpointFailed };
    let outcome = if err.outcome == Outcome::Ran { Outcome::Unknown } else { err.outcome };
    let refusal = Refusal { outcome, reason, retry_ms: FAILED_RETRY_MS };
    ForwardReply::Broken { refusal, died: err.died() }
}

fn to_header_map(from: &[Header]) -> HeaderMap {
    let pair = |it: &Header| {
        let name = HeaderName::try_from(&*it.name).ok()?;
        Some((name, HeaderValue::from_bytes(&it.value).ok()?))
    };
    from.iter().filter_map(pair).collect()
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

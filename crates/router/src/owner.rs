//! Serves a request at the owner of an endpoint: the quarantine check, admission, and the exchange with the endpoint.

use {
    crate::{
        owned::{QueueOutcome, RunningAttempt, StartError, deadline_after},
        shared::Shared,
        view::ClusterView,
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

/// Retry delay suggested after a failure of the endpoint, in milliseconds.
const FAILED_RETRY_MS: u32 = 1_000;

/// Time that a request waits for the result from the queue beyond its deadline, in microseconds. It lets the queue
/// refuse the request at the deadline before the request leaves the queue.
const QUEUE_MARGIN_US: u64 = 100 * MILLISECOND;

/// Number of response chunks between updates of the remaining work. A chunk is about one token.
const PROGRESS_CHUNKS: u64 = 16;

/// The channel for reply frames.
type ReplySender = mpsc::Sender<ForwardReply>;

/// Serves one attempt; the last reply frame ends it.
pub(crate) async fn serve(shared: Arc<Shared>, forward: Forward, replies: ReplySender) {
    let running_guard = shared.track_running();
    let view = shared.view();
    let admitted = admit(&shared, &view, &forward).await;
    match admitted {
        Ok((endpoint, run)) => exchange(&shared, &view, &endpoint, &forward, run, replies).await,
        Err(rejection) => {
            let _ = replies.send(rejection_reply(&shared, rejection)).await;
        }
    }
    drop(running_guard);
}

fn rejection_reply(shared: &Shared, rejection: StartError) -> ForwardReply {
    match rejection {
        StartError::NotOwner(epoch) => ForwardReply::NotOwner { epoch },
        StartError::NoCapacity(endpoints) => {
            shared.metrics.record_spilled();
            ForwardReply::NoCapacity { endpoints }
        }
        StartError::Refused(refusal) => ForwardReply::Refused(refusal),
    }
}

/// Counts an attempt as running on its endpoint until it is dropped.
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

/// A place in the queue of an endpoint. Dropping it leaves the queue, and ends the attempt if it was started just
/// before.
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

/// Starts the attempt, at once or after waiting in the queue.
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
            &forward.crashed_endpoints,
            attempt_deadline,
        );
        let suspected = checked.map_err(StartError::Refused)?;
        match owned.try_start(now, rendezvous, &start, suspected) {
            Ok(running) => Ok(running),
            Err(StartError::NoCapacity(alternatives)) => {
                let wait_until = match forward.admission {
                    AdmissionMode::Queue => attempt_deadline + QUEUE_MARGIN_US,
                    AdmissionMode::Home | AdmissionMode::Spill => {
                        now + owned.table.prefix_wait(&start)
                    }
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

/// Waits for the result from the queue until `wait_until`, then redirects the request to `alternatives`.
///
/// A request whose prefix is cached on this endpoint waits about as long as computing the prefix on another endpoint
/// would take. A request without an alternative waits until its deadline, at which the queue refuses it.
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

/// Starts an attempt without the load bound, for the baseline routing policies.
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
        at_home: forward.admission == AdmissionMode::Home,
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

/// Sends the request to the endpoint and relays its response to the entry router.
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
        let _ = replies.send(ForwardReply::NotOwner { epoch }).await;
        return;
    }
    let stream = shared.endpoint_client(endpoint, kind).send(request);
    let relayed = tokio::select! {
        relayed = relay(shared, &run, stream, &replies) => relayed,
        // The entry router cancelled the attempt; dropping the stream cancels it at the endpoint.
        () = replies.closed() => return,
    };
    let final_reply = match relayed {
        Ok(length) => {
            shared.owned.lock().suspects.clear(forward.fingerprint, forward.request);
            ForwardReply::End { length }
        }
        Err(err) => failure_reply(shared, forward, &err),
    };
    // Ends the attempt, so that queued attempts start before the caller receives the end of the response.
    drop(run);
    let _ = replies.send(final_reply).await;
}

/// Whether this router still has permission to use the endpoint. The process may have been suspended since the attempt
/// was admitted.
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

/// Relays the response to the entry router; returns the length of its body.
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
        // An error means that the entry router closed the channel, which `exchange` detects itself.
        let _ = replies.send(frame).await;
    }
}

/// Converts a failure to a reply, records crashes, and sends no new work to an endpoint that is unavailable.
fn failure_reply(shared: &Shared, forward: &Forward, err: &EndpointError) -> ForwardReply {
    let now = shared.clock.now();
    let request = Shared::short_id(forward.request);
    tracing::info!("router: request {request} failed on {}: {err}", forward.endpoint);
    if err.crashed() {
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
    if err.kind == EndpointErrorKind::Unreachable && err.outcome == Outcome::NotRun {
        shared.owned.lock().mark_unavailable(now, forward.endpoint);
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

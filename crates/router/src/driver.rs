//! Drives one request at its entry router by performing the actions that [`retry::Attempts`] returns.
//!
//! The task that drives a request runs until the request has its final response or its caller disconnects. The
//! response head, or the refusal, is sent to the caller's connection over a one-shot channel. The body follows over a
//! bounded channel, so a slow caller applies backpressure to the endpoint and the router buffers little.

use {
    crate::{
        call::Call,
        forward::{AttemptEvent, AttemptHandle},
        hint,
        shared::Shared,
        view::ClusterView,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{AttemptNo, EndpointId, Epoch, Outcome, Reason, Refusal, RouterId, Time},
    retry::{Action, Actions, Admission, Attempts, Event, Reply, RequestSpec, RetryLimits},
    settings::Routing,
    smallvec::SmallVec,
    std::{collections::VecDeque, sync::Arc},
    tokio::{
        sync::{mpsc, oneshot},
        time::sleep_until,
    },
    wire::msg::{AdmissionMode, Forward, ForwardReply, Header},
};

/// Number of body parts that are buffered for the caller.
const BODY_CHANNEL_CAPACITY: usize = 32;

/// Maximum number of endpoints on which a request is tried.
const MAX_CANDIDATES: usize = 8;

/// The head of a response, with a receiver for its body.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) endpoint: EndpointId,
    #[debug(skip)]
    pub(crate) body: mpsc::Receiver<BodyPart>,
}

/// A part of a response body.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// The response is incomplete and ends here.
    Abort(Refusal),
}

/// Starts driving a request and waits for its response head.
///
/// # Errors
///
/// Returns the refusal if the request has no response.
pub(crate) async fn start(shared: &Arc<Shared>, call: Arc<Call>) -> Result<ResponseHead, Refusal> {
    let (head, receiver) = oneshot::channel();
    let running_guard = shared.track_running();
    let shared = shared.clone();
    tokio::spawn(async move {
        RequestDriver::new(shared, call, head).run().await;
        drop(running_guard);
    });
    receiver.await.unwrap_or(Err(Refusal {
        outcome: Outcome::Unknown,
        reason: Reason::EndpointFailed,
        retry_ms: 1_000,
    }))
}

/// What the caller has received so far.
enum CallerState {
    /// The caller waits for the response head.
    Waiting(oneshot::Sender<Result<ResponseHead, Refusal>>),
    /// The caller reads the body.
    Reading(mpsc::Sender<BodyPart>),
    /// The caller has its complete response or disconnected.
    Done,
}

struct CurrentAttempt {
    attempt: AttemptNo,
    endpoint: EndpointId,
    router: RouterId,
    handle: AttemptHandle,
}

struct RequestDriver {
    shared: Arc<Shared>,
    call: Arc<Call>,
    caller: CallerState,
    current: Option<CurrentAttempt>,
    /// Routers that could not be reached since the roster of `epoch` was installed.
    unreachable_routers: SmallVec<[RouterId; 4]>,
    epoch: Epoch,
    /// The headers of the latest response head.
    headers: Vec<Header>,
    wake_at: Time,
}

impl RequestDriver {
    fn new(
        shared: Arc<Shared>,
        call: Arc<Call>,
        head: oneshot::Sender<Result<ResponseHead, Refusal>>,
    ) -> RequestDriver {
        let epoch = shared.view().roster.epoch;
        let caller = CallerState::Waiting(head);
        let unreachable_routers = SmallVec::new();
        RequestDriver {
            shared,
            call,
            caller,
            current: None,
            unreachable_routers,
            epoch,
            headers: Vec::new(),
            wake_at: Time::NEVER,
        }
    }

    async fn run(mut self) {
        let (mut attempts, actions) = self.start_attempts();
        self.perform(&mut attempts, actions).await;
        let mut view_changes = self.shared.subscribe();
        while !attempts.is_over() {
            let event = tokio::select! {
                event = next_event(&mut self.current) => self.translate_event(event),
                () = caller_disconnected(&mut self.caller) => Event::CallerDisconnected,
                () = sleep_until(self.shared.clock.deadline(self.wake_at)) => {
                    self.wake_at = Time::NEVER;
                    Event::Tick
                }
                _ = view_changes.changed() => {
                    let view = self.shared.view();
                    attempts.replace_candidates(candidates(&self.shared, &view, &self.call));
                    Event::RosterChanged { epoch: view.roster.epoch }
                }
            };
            let now = self.shared.clock.now();
            let actions = attempts.handle(now, event, &self.shared.retry_budget);
            self.perform(&mut attempts, actions).await;
        }
    }

    fn start_attempts(&self) -> (Attempts, Actions) {
        let call = &self.call;
        let view = self.shared.view();
        let spec = RequestSpec {
            idempotent: call.idempotent,
            resumable: call.image.is_some(),
            deadline: call.deadline,
            candidates: candidates(&self.shared, &view, call),
        };
        let (now, epoch) = (self.shared.clock.now(), view.roster.epoch);
        Attempts::start(now, spec, RetryLimits::default(), epoch, &self.shared.retry_budget)
    }

    /// Translates an event of the current attempt into an event for [`Attempts`].
    fn translate_event(&mut self, event: AttemptEvent) -> Event {
        let Some(current) = &self.current else { return Event::Tick };
        let attempt = current.attempt;
        match event {
            AttemptEvent::Unreachable => {
                self.unreachable_routers.push(current.router);
                self.current = None;
                Event::Unreachable { attempt }
            }
            AttemptEvent::Lost => {
                self.unreachable_routers.push(current.router);
                self.current = None;
                Event::StreamLost { attempt }
            }
            AttemptEvent::Frame(frame) => {
                let (reply, last) = self.translate_frame(frame);
                if last {
                    self.current = None;
                }
                Event::Reply { attempt, reply }
            }
        }
    }

    /// Translates a reply frame; the flag tells whether it ends the attempt.
    fn translate_frame(&mut self, frame: ForwardReply) -> (Reply, bool) {
        match frame {
            ForwardReply::NotOwner { epoch } => (Reply::NotOwner { epoch }, true),
            ForwardReply::NoCapacity { endpoints } => (Reply::NoCapacity { endpoints }, true),
            ForwardReply::Refused(refusal) => (Reply::Refused(refusal), true),
            ForwardReply::Head { status, headers } => {
                self.headers = headers;
                (Reply::Head { status }, false)
            }
            ForwardReply::Chunk { offset, bytes } => (Reply::Chunk { offset, bytes }, false),
            ForwardReply::End { length } => (Reply::End { length }, true),
            ForwardReply::Failed { refusal, endpoint_crashed } => {
                (Reply::Failed { refusal, crashed: endpoint_crashed }, true)
            }
        }
    }

    async fn perform(&mut self, attempts: &mut Attempts, actions: Actions) {
        let mut queue: VecDeque<Action> = actions.into_iter().collect();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Forward { endpoint, attempt, offset, admission } => {
                    if !self.forward(
                        endpoint,
                        attempt,
                        offset,
                        admission,
                        attempts.crashed_endpoints(),
                    ) {
                        let now = self.shared.clock.now();
                        let event = Event::Unreachable { attempt };
                        queue.extend(attempts.handle(now, event, &self.shared.retry_budget));
                    }
                }
                Action::Head { status } => self.send_head(status),
                Action::Deliver(bytes) => self.send_part(BodyPart::Bytes(bytes)).await,
                Action::Finish => self.finish(BodyPart::End).await,
                Action::Abort(refusal) => self.finish(BodyPart::Abort(refusal)).await,
                Action::Refuse(refusal) => self.refuse(refusal),
                Action::Cancel { attempt, .. } => self.cancel(attempt),
                Action::Quarantine => {
                    let now = self.shared.clock.now();
                    self.shared.owned.lock().quarantine(now, self.call.fingerprint);
                }
                Action::WakeAt(at) => self.wake_at = at,
            }
        }
    }

    /// Forwards the request to a holder of the endpoint; returns `false` if none is known.
    fn forward(
        &mut self,
        endpoint: EndpointId,
        attempt: AttemptNo,
        offset: u64,
        admission: Admission,
        crashed_endpoints: &[EndpointId],
    ) -> bool {
        let view = self.shared.view();
        if view.roster.epoch != self.epoch {
            self.epoch = view.roster.epoch;
            self.unreachable_routers.clear();
        }
        let Some(router) = self.select_router(&view, endpoint) else { return false };
        let Some(addr) = view.router_addr(router) else { return false };
        let forward =
            self.build_forward(&view, endpoint, attempt, offset, admission, crashed_endpoints);
        let handle = AttemptHandle::spawn(&self.shared, router, addr, forward);
        self.current = Some(CurrentAttempt { attempt, endpoint, router, handle });
        true
    }

    /// Returns the first holder that is not known to be unreachable: the owner, then its standbys. If all are, forgets
    /// that and returns the owner.
    fn select_router(&mut self, view: &ClusterView, endpoint: EndpointId) -> Option<RouterId> {
        let holders = self.shared.holders(view, endpoint);
        let reached = holders.iter().find(|it| !self.unreachable_routers.contains(it));
        if let Some(router) = reached {
            return Some(*router);
        }
        self.unreachable_routers.clear();
        holders.first().copied()
    }

    fn build_forward(
        &self,
        view: &ClusterView,
        endpoint: EndpointId,
        attempt: AttemptNo,
        offset: u64,
        admission: Admission,
        crashed_endpoints: &[EndpointId],
    ) -> Forward {
        let call = &self.call;
        let remaining_ms = call.deadline.since(self.shared.clock.now()) / model::MILLISECOND;
        Forward {
            request: call.request,
            attempt,
            epoch: view.roster.epoch,
            team: call.team.id,
            service: call.service,
            endpoint,
            chat: call.chat,
            image: call.image.clone(),
            cost: call.cost,
            prompt: call.prompt_tokens,
            priority: call.team.priority,
            admission: match admission {
                Admission::Home => AdmissionMode::Home,
                Admission::Spill => AdmissionMode::Spill,
                Admission::Queue => AdmissionMode::Queue,
            },
            budget_ms: remaining_ms.min(u64::from(u32::MAX)) as u32,
            idempotent: call.idempotent,
            crashed_endpoints: crashed_endpoints.into(),
            fingerprint: call.fingerprint,
            offset,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        }
    }

    fn send_head(&mut self, status: u16) {
        let CallerState::Waiting(head) = std::mem::replace(&mut self.caller, CallerState::Done)
        else {
            return;
        };
        let (sender, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let endpoint = self.current.as_ref().map_or(EndpointId(0), |it| it.endpoint);
        self.report_spill(endpoint);
        let headers = std::mem::take(&mut self.headers);
        if head.send(Ok(ResponseHead { status, headers, endpoint, body })).is_ok() {
            self.caller = CallerState::Reading(sender);
        }
    }

    /// Tells the owner of the chat's home endpoint where the chat runs, if it runs on another endpoint.
    fn report_spill(&self, endpoint: EndpointId) {
        let view = self.shared.view();
        let by_home = self.shared.settings.routing == Routing::Owner && self.call.image.is_some();
        let rendezvous = view.rendezvous(self.call.service, &self.call.image).filter(|_| by_home);
        let Some(home) = rendezvous.and_then(|it| it.home(self.call.chat)) else { return };
        if home != endpoint {
            hint::report_spill(&self.shared, &view, home, self.call.chat, endpoint);
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        if let CallerState::Waiting(head) = std::mem::replace(&mut self.caller, CallerState::Done) {
            let _ = head.send(Err(refusal));
        }
        self.current = None;
    }

    async fn send_part(&mut self, part: BodyPart) {
        if let CallerState::Reading(body) = &self.caller {
            let _ = body.send(part).await;
        }
    }

    async fn finish(&mut self, part: BodyPart) {
        self.send_part(part).await;
        self.caller = CallerState::Done;
        self.current = None;
    }

    fn cancel(&mut self, attempt: AttemptNo) {
        if self.current.as_ref().is_some_and(|it| it.attempt == attempt) {
            self.current = None;
        }
    }
}

/// Returns the next event of the attempt in progress; never resolves if there is none.
async fn next_event(current: &mut Option<CurrentAttempt>) -> AttemptEvent {
    match current {
        Some(current) => current.handle.next_event().await,
        None => std::future::pending().await,
    }
}

/// Resolves when the caller disconnects.
async fn caller_disconnected(caller: &mut CallerState) {
    match caller {
        CallerState::Waiting(head) => head.closed().await,
        CallerState::Reading(body) => body.closed().await,
        CallerState::Done => std::future::pending().await,
    }
}

/// Returns the endpoints on which a call may run, in the order of the routing policy.
fn candidates(shared: &Shared, view: &ClusterView, call: &Call) -> SmallVec<[EndpointId; 8]> {
    let Some(hash) = view.rendezvous(call.service, &call.image) else { return SmallVec::new() };
    shared.rank_candidates(call, hash, MAX_CANDIDATES)
}

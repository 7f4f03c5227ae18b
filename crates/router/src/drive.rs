//! Drives one request at its entry router: carries out what [`retry::Attempts`] decides.
//!
//! The task that drives a request lives until the request has its final answer or its caller is gone. The head (or
//! the refusal) reaches the caller's connection over a one-shot channel; the body follows over a bounded one, so a
//! slow caller slows its endpoint and nothing piles up here.

use {
    crate::{
        call::Call,
        handoff::{Answer, Handoff},
        note,
        shared::Shared,
        view::View,
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

/// Parts of a body that may wait for the caller.
const PARTS: usize = 32;

/// Endpoints that a request is tried on, at most.
const CANDIDATES: usize = 8;

/// The beginning of an answer.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) endpoint: EndpointId,
    #[debug(skip)]
    pub(crate) body: mpsc::Receiver<Part>,
}

/// A part of an answer's body.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes, in order.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// The answer breaks off.
    Abort(Refusal),
}

/// Starts a request; resolves to its head or its refusal.
pub(crate) async fn start(shared: &Arc<Shared>, call: Arc<Call>) -> Result<Head, Refusal> {
    let (head, begun) = oneshot::channel();
    let busy = shared.begin();
    let shared = shared.clone();
    tokio::spawn(async move {
        Drive::new(shared, call, head).run().await;
        drop(busy);
    });
    begun.await.unwrap_or(Err(Refusal {
        outcome: Outcome::Unknown,
        reason: Reason::EndpointFailed,
        retry_ms: 1_000,
    }))
}

/// Whom the driver answers.
enum Caller {
    /// It waits for the head.
    Waiting(oneshot::Sender<Result<Head, Refusal>>),
    /// It reads the body.
    Reading(mpsc::Sender<Part>),
    /// It has its answer or went away.
    Done,
}

struct Current {
    attempt: AttemptNo,
    endpoint: EndpointId,
    router: RouterId,
    handoff: Handoff,
}

struct Drive {
    shared: Arc<Shared>,
    call: Arc<Call>,
    caller: Caller,
    current: Option<Current>,
    /// Routers that could not be reached under the roster `epoch`.
    unreached: SmallVec<[RouterId; 4]>,
    epoch: Epoch,
    /// The headers that came with the latest head.
    headers: Vec<Header>,
    wait: Time,
}

impl Drive {
    fn new(
        shared: Arc<Shared>,
        call: Arc<Call>,
        head: oneshot::Sender<Result<Head, Refusal>>,
    ) -> Drive {
        let epoch = shared.view().roster.epoch;
        let caller = Caller::Waiting(head);
        let unreached = SmallVec::new();
        Drive {
            shared,
            call,
            caller,
            current: None,
            unreached,
            epoch,
            headers: Vec::new(),
            wait: Time::NEVER,
        }
    }

    async fn run(mut self) {
        let (mut attempts, actions) = self.first();
        self.carry_out(&mut attempts, actions).await;
        let mut views = self.shared.views();
        while !attempts.is_over() {
            let event = tokio::select! {
                answer = next(&mut self.current) => self.event(answer),
                () = gone(&mut self.caller) => Event::CallerDisconnected,
                () = sleep_until(self.shared.clock.deadline(self.wait)) => {
                    self.wait = Time::NEVER;
                    Event::Tick
                }
                _ = views.changed() => {
                    let view = self.shared.view();
                    attempts.replace_candidates(candidates(&self.shared, &view, &self.call));
                    Event::RosterChanged { epoch: view.roster.epoch }
                }
            };
            let now = self.shared.clock.now();
            let actions = attempts.handle(now, event, &self.shared.budget);
            self.carry_out(&mut attempts, actions).await;
        }
    }

    fn first(&self) -> (Attempts, Actions) {
        let call = &self.call;
        let view = self.shared.view();
        let spec = RequestSpec {
            idempotent: call.idempotent,
            resumable: call.image.is_some(),
            deadline: call.deadline,
            candidates: candidates(&self.shared, &view, call),
        };
        let (now, epoch) = (self.shared.clock.now(), view.roster.epoch);
        Attempts::start(now, spec, RetryLimits::default(), epoch, &self.shared.budget)
    }

    /// Translates what the owner answered.
    fn event(&mut self, answer: Answer) -> Event {
        let Some(current) = &self.current else { return Event::Tick };
        let attempt = current.attempt;
        match answer {
            Answer::Unreachable => {
                self.unreached.push(current.router);
                self.current = None;
                Event::Unreachable { attempt }
            }
            Answer::Lost => {
                self.unreached.push(current.router);
                self.current = None;
                Event::StreamLost { attempt }
            }
            Answer::Frame(frame) => {
                let (reply, last) = self.reply(frame);
                if last {
                    self.current = None;
                }
                Event::Reply { attempt, reply }
            }
        }
    }

    /// Translates a frame; the flag says whether it ends the attempt.
    fn reply(&mut self, frame: ForwardReply) -> (Reply, bool) {
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

    async fn carry_out(&mut self, attempts: &mut Attempts, actions: Actions) {
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
                        queue.extend(attempts.handle(now, event, &self.shared.budget));
                    }
                }
                Action::Head { status } => self.head(status),
                Action::Deliver(bytes) => self.part(Part::Bytes(bytes)).await,
                Action::Finish => self.finish(Part::End).await,
                Action::Abort(refusal) => self.finish(Part::Abort(refusal)).await,
                Action::Refuse(refusal) => self.answer(refusal),
                Action::Cancel { attempt, .. } => self.cancel(attempt),
                Action::Quarantine => {
                    let now = self.shared.clock.now();
                    self.shared.owned.lock().crashed(now, self.call.fingerprint);
                }
                Action::WakeAt(at) => self.wait = at,
            }
        }
    }

    /// Hands the request to a holder of the endpoint; false if none is known.
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
            self.unreached.clear();
        }
        let Some(router) = self.holder(&view, endpoint) else { return false };
        let Some(addr) = view.addr(router) else { return false };
        let forward = self.message(&view, endpoint, attempt, offset, admission, crashed_endpoints);
        let handoff = Handoff::spawn(&self.shared, router, addr, forward);
        self.current = Some(Current { attempt, endpoint, router, handoff });
        true
    }

    /// The owner, or the first standby after it that was not found unreachable; the owner again if all were.
    fn holder(&mut self, view: &View, endpoint: EndpointId) -> Option<RouterId> {
        let holders = self.shared.holders(view, endpoint);
        let reached = holders.iter().find(|it| !self.unreached.contains(it));
        if let Some(router) = reached {
            return Some(*router);
        }
        self.unreached.clear();
        holders.first().copied()
    }

    fn message(
        &self,
        view: &View,
        endpoint: EndpointId,
        attempt: AttemptNo,
        offset: u64,
        admission: Admission,
        crashed_endpoints: &[EndpointId],
    ) -> Forward {
        let call = &self.call;
        let left = call.deadline.since(self.shared.clock.now()) / model::MILLISECOND;
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
            prompt: call.prompt,
            priority: call.team.priority,
            admission: match admission {
                Admission::Home => AdmissionMode::Home,
                Admission::Spill => AdmissionMode::Spill,
                Admission::Queue => AdmissionMode::Queue,
            },
            budget_ms: left.min(u64::from(u32::MAX)) as u32,
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

    fn head(&mut self, status: u16) {
        let Caller::Waiting(head) = std::mem::replace(&mut self.caller, Caller::Done) else {
            return;
        };
        let (sender, body) = mpsc::channel(PARTS);
        let endpoint = self.current.as_ref().map_or(EndpointId(0), |it| it.endpoint);
        self.tell_spilled(endpoint);
        let headers = std::mem::take(&mut self.headers);
        if head.send(Ok(Head { status, headers, endpoint, body })).is_ok() {
            self.caller = Caller::Reading(sender);
        }
    }

    /// Tells the owner of the chat's home where the chat runs, if that is elsewhere.
    fn tell_spilled(&self, endpoint: EndpointId) {
        let view = self.shared.view();
        let owned = self.shared.settings.routing == Routing::Owner && self.call.image.is_some();
        let homes = view.homes(self.call.service, &self.call.image).filter(|_| owned);
        let Some(home) = homes.and_then(|it| it.home(self.call.chat)) else { return };
        if home != endpoint {
            note::tell_spilled(&self.shared, &view, home, self.call.chat, endpoint);
        }
    }

    fn answer(&mut self, refusal: Refusal) {
        if let Caller::Waiting(head) = std::mem::replace(&mut self.caller, Caller::Done) {
            let _ = head.send(Err(refusal));
        }
        self.current = None;
    }

    async fn part(&mut self, part: Part) {
        if let Caller::Reading(body) = &self.caller {
            let _ = body.send(part).await;
        }
    }

    async fn finish(&mut self, part: Part) {
        self.part(part).await;
        self.caller = Caller::Done;
        self.current = None;
    }

    fn cancel(&mut self, attempt: AttemptNo) {
        if self.current.as_ref().is_some_and(|it| it.attempt == attempt) {
            self.current = None;
        }
    }
}

/// The next answer of the attempt in progress; waits for ever if there is none.
async fn next(current: &mut Option<Current>) -> Answer {
    match current {
        Some(current) => current.handoff.next().await,
        None => std::future::pending().await,
    }
}

/// Returns when the caller went away.
async fn gone(caller: &mut Caller) {
    match caller {
        Caller::Waiting(head) => head.closed().await,
        Caller::Reading(body) => body.closed().await,
        Caller::Done => std::future::pending().await,
    }
}

/// Where a call may run, the home first, by the routing of this router.
fn candidates(shared: &Shared, view: &View, call: &Call) -> SmallVec<[EndpointId; 8]> {
    let Some(homes) = view.homes(call.service, &call.image) else { return SmallVec::new() };
    shared.choose(call, homes, CANDIDATES)
}

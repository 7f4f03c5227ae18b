//! The attempts at one request.

mod place;

use {
    crate::{
        answer::{Answer, Fit},
        budget::RetryBudget,
        event::{Action, Actions, Admission, Event, Reply, RequestSpec, RetryLimits},
        routes::Routes,
        suspects::STRIKES,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{AttemptNo, EndpointId, Epoch, MILLISECOND, Outcome, Reason, Refusal, Time},
    smallvec::SmallVec,
};

/// One request at its entry router, from the first forward to its last byte.
#[derive(Clone, Debug)]
pub struct Attempts {
    spec: RequestSpec,
    limits: RetryLimits,
    state: State,
    last: AttemptNo,
    answer: Answer,
    /// The worst that earlier attempts may have done; the attempt in flight is not in it.
    outcome: Outcome,
    routes: Routes,
    /// Every attempt that was sent and not answered to its end.
    open: SmallVec<[(AttemptNo, EndpointId); 2]>,
    hops: u32,
    retries: u32,
    epoch: Epoch,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    /// The last attempt is with an owner.
    Sent { endpoint: EndpointId, admission: Admission, epoch: Epoch },
    /// The endpoint is asked again at the deadline, or when the roster changes.
    Paused { endpoint: EndpointId, admission: Admission, until: Time },
    /// The final answer was given.
    Over,
}

impl Attempts {
    /// Returns a request and the first forward, which counts in the budget as a first attempt.
    pub fn start(
        now: Time,
        mut spec: RequestSpec,
        limits: RetryLimits,
        epoch: Epoch,
        budget: &RetryBudget,
    ) -> (Attempts, Actions) {
        budget.earn();
        let routes = Routes::new(std::mem::take(&mut spec.candidates));
        let mut attempts = Attempts {
            spec,
            limits,
            state: State::Over,
            last: AttemptNo(0),
            answer: Answer::default(),
            outcome: Outcome::NotRun,
            routes,
            open: SmallVec::new(),
            hops: 0,
            retries: 0,
            epoch,
        };
        let mut actions = Actions::new();
        match attempts.routes.home() {
            _ if now >= attempts.spec.deadline => {
                attempts.give_up(Reason::Deadline, 0, &mut actions);
            }
            Some(home) => attempts.forward(home, Admission::Home, &mut actions),
            None => attempts.give_up(Reason::Unavailable, 0, &mut actions),
        }
        (attempts, actions)
    }

    /// The endpoints that died while running the request.
    pub fn crashed_endpoints(&self) -> &[EndpointId] {
        self.routes.strikes()
    }

    /// Whether the final answer was given.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Whether the caller has the head of the answer.
    pub fn has_begun(&self) -> bool {
        self.answer.begun()
    }

    /// Takes the places where the request may run by a newer configuration, the home first; none changes nothing.
    pub fn replace_candidates(&mut self, candidates: SmallVec<[EndpointId; 8]>) {
        if !candidates.is_empty() {
            self.routes.replace(candidates);
        }
    }

    /// Takes what happened and returns what to do.
    pub fn handle(&mut self, now: Time, event: Event, budget: &RetryBudget) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Reply { attempt, reply } => {
                self.reply(now, attempt, reply, budget, &mut actions);
            }
            Event::Unreachable { attempt } => {
                if self.is_current(attempt) {
                    self.close(attempt);
                    self.pause(now, &mut actions);
                }
            }
            Event::StreamLost { attempt } => {
                if self.is_current(attempt) {
                    self.outcome = self.outcome.max(Outcome::Unknown);
                    self.fail(now, Reason::EndpointFailed, 0, budget, &mut actions);
                }
            }
            Event::RosterChanged { epoch } => self.roster(now, epoch, &mut actions),
            Event::CallerDisconnected => self.gone(&mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn is_current(&self, attempt: AttemptNo) -> bool {
        attempt == self.last && matches!(self.state, State::Sent { .. })
    }

    fn reply(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reply: Reply,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        if !self.is_current(attempt) {
            return self.late(attempt, &reply, actions);
        }
        match reply {
            Reply::NotOwner { epoch } => {
                self.close(attempt);
                self.moved(now, epoch, actions);
            }
            Reply::NoCapacity { endpoints } => {
                self.close(attempt);
                self.elsewhere(now, endpoints, actions);
            }
            Reply::Refused(refusal) => {
                self.close(attempt);
                self.outcome = self.outcome.max(refusal.outcome);
                self.refused(now, refusal, actions);
            }
            Reply::Head { status } => self.head(now, status, budget, actions),
            Reply::Chunk { offset, bytes } => self.chunk(now, offset, bytes, budget, actions),
            Reply::End { length } => self.end(now, length, budget, actions),
            Reply::Failed { refusal, crashed } => {
                self.close(attempt);
                self.broken(now, refusal, crashed, budget, actions);
            }
        }
    }

    /// Drops a frame of an older attempt; one that still runs is cancelled once more.
    fn late(&mut self, attempt: AttemptNo, reply: &Reply, actions: &mut Actions) {
        let Some(&(_, endpoint)) = self.open.iter().find(|it| it.0 == attempt) else { return };
        match reply {
            Reply::Head { .. } | Reply::Chunk { .. } => {
                actions.push(Action::Cancel { attempt, endpoint });
            }
            _ => {}
        }
        self.close(attempt);
    }

    fn close(&mut self, attempt: AttemptNo) {
        self.open.retain(|it| it.0 != attempt);
    }

    fn head(&mut self, now: Time, status: u16, budget: &RetryBudget, actions: &mut Actions) {
        match self.answer.head(status) {
            Some(true) => actions.push(Action::Head { status }),
            Some(false) => {}
            None => self.contradiction(now, budget, actions),
        }
    }

    fn chunk(
        &mut self,
        now: Time,
        offset: u64,
        bytes: Bytes,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        match self.answer.part(offset, bytes) {
            Fit::Next(fresh) if fresh.is_empty() => {}
            Fit::Next(fresh) => actions.push(Action::Deliver(fresh)),
            Fit::Gap => self.contradiction(now, budget, actions),
        }
    }

    fn end(&mut self, now: Time, length: u64, budget: &RetryBudget, actions: &mut Actions) {
        if !self.answer.begun() || length != self.answer.length() {
            return self.contradiction(now, budget, actions);
        }
        self.close(self.last);
        self.cancel_open(actions);
        self.state = State::Over;
        actions.push(Action::Finish);
    }

    /// The attempt's frames do not fit what the caller has: it is broken off and tried again.
    fn contradiction(&mut self, now: Time, budget: &RetryBudget, actions: &mut Actions) {
        self.outcome = self.outcome.max(Outcome::Unknown);
        self.fail(now, Reason::EndpointFailed, 0, budget, actions);
    }

    fn broken(
        &mut self,
        now: Time,
        refusal: Refusal,
        crashed: bool,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        let State::Sent { endpoint, .. } = self.state else { return };
        self.outcome = self.outcome.max(refusal.outcome);
        if crashed && refusal.outcome != Outcome::NotRun {
            self.routes.strike(endpoint);
        }
        self.routes.avoid(endpoint);
        if self.routes.strikes().len() >= STRIKES {
            actions.push(Action::Quarantine);
            return self.give_up(Reason::Quarantined, 0, actions);
        }
        self.fail(now, refusal.reason, refusal.retry_ms, budget, actions);
    }

    /// Tries again after a failure, where that is allowed.
    fn fail(
        &mut self,
        now: Time,
        reason: Reason,
        retry_ms: u32,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        self.retries += 1;
        let allowed = self.may_repeat() && self.retries <= self.limits.retries;
        let home = self.routes.home().filter(|_| allowed && now < self.spec.deadline);
        match home {
            Some(home) if budget.spend() => {
                self.cancel_open(actions);
                self.routes.clear_spill();
                self.forward(home, Admission::Home, actions);
            }
            _ => self.give_up(reason, retry_ms, actions),
        }
    }

    /// Whether another attempt cannot double the work or the answer.
    fn may_repeat(&self) -> bool {
        let harmless = self.spec.idempotent || self.outcome == Outcome::NotRun;
        harmless && (!self.answer.begun() || self.spec.resumable)
    }

    fn gone(&mut self, actions: &mut Actions) {
        self.cancel_open(actions);
        self.state = State::Over;
    }

    fn tick(&mut self, now: Time, actions: &mut Actions) {
        if self.is_over() {
            return;
        }
        if now >= self.spec.deadline {
            return self.give_up(Reason::Deadline, 0, actions);
        }
        match self.state {
            State::Paused { endpoint, admission, until } if now >= until => {
                self.forward(endpoint, admission, actions);
            }
            State::Paused { until, .. } => actions.push(Action::WakeAt(until)),
            State::Sent { .. } => actions.push(Action::WakeAt(self.spec.deadline)),
            State::Over => {}
        }
    }

    fn forward(&mut self, endpoint: EndpointId, admission: Admission, actions: &mut Actions) {
        self.last = self.last.next();
        self.open.push((self.last, endpoint));
        self.state = State::Sent { endpoint, admission, epoch: self.epoch };
        let (attempt, offset) = (self.last, self.answer.length());
        actions.push(Action::Forward { endpoint, attempt, offset, admission });
        actions.push(Action::WakeAt(self.spec.deadline));
    }

    fn cancel_open(&mut self, actions: &mut Actions) {
        let cancel = |&(attempt, endpoint): &(_, _)| Action::Cancel { attempt, endpoint };
        actions.extend(self.open.iter().map(cancel));
    }

    /// Gives the request up; the time to come back is the owner's, if it gave one.
    fn give_up(&mut self, reason: Reason, retry_ms: u32, actions: &mut Actions) {
        let comeback = (self.limits.comeback / MILLISECOND) as u32;
        let retry_ms = match reason {
            Reason::Quarantined => 0,
            _ if retry_ms > 0 => retry_ms,
            _ => comeback,
        };
        self.finish_with(Refusal { outcome: self.outcome, reason, retry_ms }, actions);
    }

    /// Gives the final answer; an attempt that was not answered to its end may have run.
    fn finish_with(&mut self, refusal: Refusal, actions: &mut Actions) {
        if !self.open.is_empty() {
            self.outcome = self.outcome.max(Outcome::Unknown);
        }
        let outcome = self.outcome.max(refusal.outcome);
        let refusal = Refusal { outcome, ..refusal };
        self.cancel_open(actions);
        self.state = State::Over;
        let begun = self.answer.begun();
        actions.push(if begun { Action::Abort(refusal) } else { Action::Refuse(refusal) });
    }
}

//! State machine for the attempts at one request.

mod redirect;

use {
    crate::{
        budget::RetryBudget,
        event::{Action, Actions, Admission, Event, Reply, RequestSpec, RetryLimits},
        response::{Append, DeliveredResponse},
        selector::EndpointSelector,
        suspects::QUARANTINE_CRASHES,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{AttemptNo, EndpointId, Epoch, MILLISECOND, Outcome, Reason, Refusal, Time},
    smallvec::SmallVec,
};

/// Drives one request at its entry router, from the first forward to the last byte of the response.
///
/// Performs no I/O and reads no clock: [`Attempts::handle`] takes an [`Event`] and returns the [`Actions`] to execute.
#[derive(Clone, Debug)]
pub struct Attempts {
    spec: RequestSpec,
    limits: RetryLimits,
    state: State,
    last_attempt: AttemptNo,
    response: DeliveredResponse,
    /// The worst outcome that finished attempts may have had; attempts in flight are not included.
    worst_outcome: Outcome,
    selector: EndpointSelector,
    /// Attempts that were sent and whose replies are not complete.
    in_flight: SmallVec<[(AttemptNo, EndpointId); 2]>,
    hops: u32,
    retries: u32,
    epoch: Epoch,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    /// The last attempt was forwarded to the owner of `endpoint`.
    InFlight { endpoint: EndpointId, admission: Admission, epoch: Epoch },
    /// The next attempt goes to `endpoint` at `until`, or earlier if the roster changes.
    BackingOff { endpoint: EndpointId, admission: Admission, until: Time },
    /// The response was completed, refused or aborted, or the caller disconnected.
    Finished,
}

impl Attempts {
    /// Starts a request and returns its first actions; the first attempt makes a deposit in `budget`.
    pub fn start(
        now: Time,
        mut spec: RequestSpec,
        limits: RetryLimits,
        epoch: Epoch,
        budget: &RetryBudget,
    ) -> (Attempts, Actions) {
        budget.deposit();
        let selector = EndpointSelector::new(std::mem::take(&mut spec.candidates));
        let mut attempts = Attempts {
            spec,
            limits,
            state: State::Finished,
            last_attempt: AttemptNo(0),
            response: DeliveredResponse::default(),
            worst_outcome: Outcome::NotRun,
            selector,
            in_flight: SmallVec::new(),
            hops: 0,
            retries: 0,
            epoch,
        };
        let mut actions = Actions::new();
        match attempts.selector.best_candidate() {
            _ if now >= attempts.spec.deadline => {
                attempts.give_up(Reason::Deadline, 0, &mut actions);
            }
            Some(home) => attempts.forward(home, Admission::Home, &mut actions),
            None => attempts.give_up(Reason::Unavailable, 0, &mut actions),
        }
        (attempts, actions)
    }

    /// Endpoints that crashed while running the request.
    pub fn crashed_endpoints(&self) -> &[EndpointId] {
        self.selector.crashed()
    }

    /// Whether the request is finished: no further action can follow, except cancellations of stale attempts.
    pub fn is_over(&self) -> bool {
        self.state == State::Finished
    }

    /// Whether the response head was delivered to the caller.
    pub fn has_response_head(&self) -> bool {
        self.response.has_head()
    }

    /// Replaces the candidate endpoints after a configuration change, the home first; an empty list is ignored.
    pub fn replace_candidates(&mut self, candidates: SmallVec<[EndpointId; 8]>) {
        if !candidates.is_empty() {
            self.selector.replace_candidates(candidates);
        }
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Time, event: Event, budget: &RetryBudget) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Reply { attempt, reply } => {
                self.on_reply(now, attempt, reply, budget, &mut actions);
            }
            Event::Unreachable { attempt } => {
                if self.is_current(attempt) {
                    self.remove_in_flight(attempt);
                    self.on_unreachable(now, &mut actions);
                }
            }
            Event::StreamLost { attempt } => {
                if self.is_current(attempt) {
                    self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
                    self.retry_or_give_up(now, Reason::EndpointFailed, 0, budget, &mut actions);
                }
            }
            Event::RosterChanged { epoch } => self.on_roster_changed(now, epoch, &mut actions),
            Event::CallerDisconnected => self.on_caller_disconnected(&mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    fn is_current(&self, attempt: AttemptNo) -> bool {
        attempt == self.last_attempt && matches!(self.state, State::InFlight { .. })
    }

    fn on_reply(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reply: Reply,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        if !self.is_current(attempt) {
            return self.on_stale_reply(attempt, &reply, actions);
        }
        match reply {
            Reply::NotOwner { epoch } => {
                self.remove_in_flight(attempt);
                self.on_not_owner(now, epoch, actions);
            }
            Reply::NoCapacity { endpoints } => {
                self.remove_in_flight(attempt);
                self.on_no_capacity(now, endpoints, actions);
            }
            Reply::Refused(refusal) => {
                self.remove_in_flight(attempt);
                self.worst_outcome = self.worst_outcome.max(refusal.outcome);
                self.on_refused(now, refusal, actions);
            }
            Reply::Head { status } => self.on_head(now, status, budget, actions),
            Reply::Chunk { offset, bytes } => self.on_chunk(now, offset, bytes, budget, actions),
            Reply::End { length } => self.on_end(now, length, budget, actions),
            Reply::Failed { refusal, crashed } => {
                self.remove_in_flight(attempt);
                self.on_failed(now, refusal, crashed, budget, actions);
            }
        }
    }

    /// Drops a frame of a superseded attempt; if that attempt still runs, it is cancelled again.
    fn on_stale_reply(&mut self, attempt: AttemptNo, reply: &Reply, actions: &mut Actions) {
        let Some(&(_, endpoint)) = self.in_flight.iter().find(|it| it.0 == attempt) else { return };
        match reply {
            Reply::Head { .. } | Reply::Chunk { .. } => {
                actions.push(Action::Cancel { attempt, endpoint });
            }
            _ => {}
        }
        self.remove_in_flight(attempt);
    }

    fn remove_in_flight(&mut self, attempt: AttemptNo) {
        self.in_flight.retain(|it| it.0 != attempt);
    }

    fn on_head(&mut self, now: Time, status: u16, budget: &RetryBudget, actions: &mut Actions) {
        match self.response.accept_head(status) {
            Some(true) => actions.push(Action::Head { status }),
            Some(false) => {}
            None => self.on_inconsistent_frame(now, budget, actions),
        }
    }

    fn on_chunk(
        &mut self,
        now: Time,
        offset: u64,
        bytes: Bytes,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        match self.response.append(offset, bytes) {
            Append::New(fresh) if fresh.is_empty() => {}
            Append::New(fresh) => actions.push(Action::Deliver(fresh)),
            Append::Gap => self.on_inconsistent_frame(now, budget, actions),
        }
    }

    fn on_end(&mut self, now: Time, length: u64, budget: &RetryBudget, actions: &mut Actions) {
        if !self.response.has_head() || length != self.response.length() {
            return self.on_inconsistent_frame(now, budget, actions);
        }
        self.remove_in_flight(self.last_attempt);
        self.cancel_in_flight(actions);
        self.state = State::Finished;
        actions.push(Action::Finish);
    }

    /// Fails an attempt whose frames contradict the part of the response that was already delivered.
    fn on_inconsistent_frame(&mut self, now: Time, budget: &RetryBudget, actions: &mut Actions) {
        self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
        self.retry_or_give_up(now, Reason::EndpointFailed, 0, budget, actions);
    }

    fn on_failed(
        &mut self,
        now: Time,
        refusal: Refusal,
        crashed: bool,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        let State::InFlight { endpoint, .. } = self.state else { return };
        self.worst_outcome = self.worst_outcome.max(refusal.outcome);
        if crashed && refusal.outcome != Outcome::NotRun {
            self.selector.record_crash(endpoint);
        }
        self.selector.avoid(endpoint);
        if self.selector.crashed().len() >= QUARANTINE_CRASHES {
            actions.push(Action::Quarantine);
            return self.give_up(Reason::Quarantined, 0, actions);
        }
        self.retry_or_give_up(now, refusal.reason, refusal.retry_ms, budget, actions);
    }

    /// Starts another attempt after a failure if idempotency, retry limit, deadline and budget allow it.
    fn retry_or_give_up(
        &mut self,
        now: Time,
        reason: Reason,
        retry_ms: u32,
        budget: &RetryBudget,
        actions: &mut Actions,
    ) {
        self.retries += 1;
        let allowed = self.can_retry() && self.retries <= self.limits.max_retries;
        let next = self.selector.best_candidate().filter(|_| allowed && now < self.spec.deadline);
        match next {
            Some(next) if budget.try_withdraw() => {
                self.cancel_in_flight(actions);
                self.selector.clear_spill_targets();
                self.forward(next, Admission::Home, actions);
            }
            _ => self.give_up(reason, retry_ms, actions),
        }
    }

    /// Whether another attempt can neither run a non-idempotent request twice nor deliver response bytes twice.
    fn can_retry(&self) -> bool {
        let safe_to_rerun = self.spec.idempotent || self.worst_outcome == Outcome::NotRun;
        safe_to_rerun && (!self.response.has_head() || self.spec.resumable)
    }

    fn on_caller_disconnected(&mut self, actions: &mut Actions) {
        self.cancel_in_flight(actions);
        self.state = State::Finished;
    }

    fn on_tick(&mut self, now: Time, actions: &mut Actions) {
        if self.is_over() {
            return;
        }
        if now >= self.spec.deadline {
            return self.give_up(Reason::Deadline, 0, actions);
        }
        match self.state {
            State::BackingOff { endpoint, admission, until } if now >= until => {
                self.forward(endpoint, admission, actions);
            }
            State::BackingOff { until, .. } => actions.push(Action::WakeAt(until)),
            State::InFlight { .. } => actions.push(Action::WakeAt(self.spec.deadline)),
            State::Finished => {}
        }
    }

    fn forward(&mut self, endpoint: EndpointId, admission: Admission, actions: &mut Actions) {
        self.last_attempt = self.last_attempt.next();
        self.in_flight.push((self.last_attempt, endpoint));
        self.state = State::InFlight { endpoint, admission, epoch: self.epoch };
        let (attempt, offset) = (self.last_attempt, self.response.length());
        actions.push(Action::Forward { endpoint, attempt, offset, admission });
        actions.push(Action::WakeAt(self.spec.deadline));
    }

    fn cancel_in_flight(&mut self, actions: &mut Actions) {
        let cancel = |&(attempt, endpoint): &(_, _)| Action::Cancel { attempt, endpoint };
        actions.extend(self.in_flight.iter().map(cancel));
    }

    /// Ends the request with a refusal. Its retry time is zero for a quarantine, else `retry_ms`, or the configured
    /// default if that is zero.
    fn give_up(&mut self, reason: Reason, retry_ms: u32, actions: &mut Actions) {
        let default_retry_ms = (self.limits.retry_after_us / MILLISECOND) as u32;
        let retry_ms = match reason {
            Reason::Quarantined => 0,
            _ if retry_ms > 0 => retry_ms,
            _ => default_retry_ms,
        };
        self.finish_with_refusal(
            Refusal { outcome: self.worst_outcome, reason, retry_ms },
            actions,
        );
    }

    /// Ends the request with a refusal. Attempts still in flight may have run, which makes the outcome unknown.
    fn finish_with_refusal(&mut self, refusal: Refusal, actions: &mut Actions) {
        if !self.in_flight.is_empty() {
            self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
        }
        let outcome = self.worst_outcome.max(refusal.outcome);
        let refusal = Refusal { outcome, ..refusal };
        self.cancel_in_flight(actions);
        self.state = State::Finished;
        let head_sent = self.response.has_head();
        actions.push(if head_sent { Action::Abort(refusal) } else { Action::Refuse(refusal) });
    }
}

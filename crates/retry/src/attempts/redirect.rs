//! Redirects requests that did not start.
//!
//! Nothing here can run a request twice: each step follows either the owner's proof that the attempt did not run, or
//! the fact that the attempt never left this router.

use {
    super::{Attempts, State},
    crate::event::{Action, Actions, Admission},
    model::{EndpointId, Epoch, Outcome, Reason, Refusal, Time},
    smallvec::SmallVec,
};

impl Attempts {
    /// Handles the reply of a router that does not own the endpoint. Forwards again at once if a newer roster arrived
    /// since the attempt was sent and is not older than the roster of that router; otherwise backs off.
    pub(super) fn on_not_owner(&mut self, now: Time, router_epoch: Epoch, actions: &mut Actions) {
        let State::InFlight { endpoint, admission, epoch } = self.state else { return };
        if epoch < self.epoch && router_epoch <= self.epoch {
            self.forward(endpoint, admission, actions);
        } else {
            self.back_off(now, endpoint, admission, actions);
        }
    }

    /// Handles an endpoint without capacity: tries the endpoints that its owner suggested, then candidates that were
    /// not tried yet, and finally asks the home to queue the request.
    pub(super) fn on_no_capacity(
        &mut self,
        now: Time,
        endpoints: SmallVec<[EndpointId; 4]>,
        actions: &mut Actions,
    ) {
        let State::InFlight { endpoint, admission, .. } = self.state else { return };
        if admission == Admission::Queue {
            // The owner gave the queue up because it was not moving, for example while the ownership changes.
            return self.try_next_or_back_off(now, endpoint, Admission::Queue, actions);
        }
        self.hops += 1;
        match admission {
            Admission::Home if endpoints.is_empty() => self.selector.avoid(endpoint),
            Admission::Home => self.selector.set_spill_targets(endpoint, &endpoints),
            Admission::Spill | Admission::Queue => {}
        }
        let within_hop_limit = self.hops <= self.limits.max_hops;
        if let Some(next) = self.selector.next_spill_target().filter(|_| within_hop_limit) {
            return self.forward(next, Admission::Spill, actions);
        }
        let Some(home) = self.selector.best_candidate() else {
            return self.give_up(Reason::Overloaded, 0, actions);
        };
        let no_alternatives = endpoints.is_empty() && admission != Admission::Spill;
        let try_untried =
            no_alternatives && within_hop_limit && self.selector.first_untried().is_some();
        let admission = if try_untried { Admission::Home } else { Admission::Queue };
        self.forward(home, admission, actions);
    }

    /// Handles an endpoint at which nothing can start for now: forwards to the next untried candidate, or after the
    /// last one backs off and starts over with all of them.
    fn try_next_or_back_off(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        admission: Admission,
        actions: &mut Actions,
    ) {
        self.selector.avoid(endpoint);
        if let Some(next) = self.selector.first_untried() {
            return self.forward(next, admission, actions);
        }
        self.selector.clear_avoided();
        match self.selector.best_candidate() {
            Some(home) => self.back_off(now, home, admission, actions),
            None => self.give_up(Reason::Unavailable, 0, actions),
        }
    }

    /// Handles a refusal, which is final unless it applies to this endpoint alone and proves that nothing ran.
    pub(super) fn on_refused(&mut self, now: Time, refusal: Refusal, actions: &mut Actions) {
        let State::InFlight { endpoint, admission, .. } = self.state else { return };
        if refusal.outcome != Outcome::NotRun {
            return self.finish_with_refusal(refusal, actions);
        }
        match refusal.reason {
            Reason::Overloaded if admission != Admission::Queue => {
                self.on_no_capacity(now, SmallVec::new(), actions);
            }
            Reason::Unavailable | Reason::Draining | Reason::EndpointFailed => {
                self.selector.avoid(endpoint);
                match self.selector.first_untried() {
                    Some(next) => self.forward(next, Admission::Home, actions),
                    None => self.finish_with_refusal(refusal, actions),
                }
            }
            _ => self.finish_with_refusal(refusal, actions),
        }
    }

    /// Handles an owner that could not be reached.
    pub(super) fn on_unreachable(&mut self, now: Time, actions: &mut Actions) {
        let State::InFlight { endpoint, .. } = self.state else { return };
        self.try_next_or_back_off(now, endpoint, Admission::Home, actions);
    }

    fn back_off(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        admission: Admission,
        actions: &mut Actions,
    ) {
        let until = (now + self.limits.backoff_us).min(self.spec.deadline);
        self.state = State::BackingOff { endpoint, admission, until };
        actions.push(Action::WakeAt(until));
    }

    pub(super) fn on_roster_changed(&mut self, now: Time, epoch: Epoch, actions: &mut Actions) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        if let State::BackingOff { endpoint, admission, .. } = self.state
            && now < self.spec.deadline
        {
            self.forward(endpoint, admission, actions);
        }
    }
}

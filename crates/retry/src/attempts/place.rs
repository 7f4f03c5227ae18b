//! Where a request goes next that was not started.
//!
//! Nothing here may repeat work: every step follows an owner's proof that the attempt did not run, or that it never
//! left this router.

use {
    super::{Attempts, State},
    crate::event::{Action, Actions, Admission},
    model::{EndpointId, Epoch, Outcome, Reason, Refusal, Time},
    smallvec::SmallVec,
};

impl Attempts {
    /// The owner is another router: asked again at once where the roster has changed since, else a little later.
    pub(super) fn moved(&mut self, now: Time, theirs: Epoch, actions: &mut Actions) {
        let State::Sent { endpoint, admission, epoch } = self.state else { return };
        if epoch < self.epoch && theirs <= self.epoch {
            self.forward(endpoint, admission, actions);
        } else {
            self.wait(now, endpoint, admission, actions);
        }
    }

    /// The endpoint did not start the request: on to the places that its owner named, then to candidates that were
    /// not asked yet, and at last into the queue of the home.
    pub(super) fn elsewhere(
        &mut self,
        now: Time,
        endpoints: SmallVec<[EndpointId; 4]>,
        actions: &mut Actions,
    ) {
        let State::Sent { endpoint, admission, .. } = self.state else { return };
        if admission == Admission::Queue {
            // The queue does not move, as while the owner changes.
            return self.next_or_wait(now, endpoint, Admission::Queue, actions);
        }
        self.hops += 1;
        match admission {
            Admission::Home if endpoints.is_empty() => self.routes.avoid(endpoint),
            Admission::Home => self.routes.set_spill(endpoint, &endpoints),
            Admission::Spill | Admission::Queue => {}
        }
        let hop = self.hops <= self.limits.hops;
        if let Some(next) = self.routes.next_spill().filter(|_| hop) {
            return self.forward(next, Admission::Spill, actions);
        }
        let Some(home) = self.routes.home() else {
            return self.give_up(Reason::Overloaded, 0, actions);
        };
        let asked = endpoints.is_empty() && admission != Admission::Spill;
        let again = asked && hop && self.routes.untried().is_some();
        let admission = if again { Admission::Home } else { Admission::Queue };
        self.forward(home, admission, actions);
    }

    /// Nothing can be started at an endpoint for now: the request goes to another candidate, and after the last one
    /// begins again a little later.
    fn next_or_wait(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        admission: Admission,
        actions: &mut Actions,
    ) {
        self.routes.avoid(endpoint);
        if let Some(next) = self.routes.untried() {
            return self.forward(next, admission, actions);
        }
        self.routes.pardon();
        match self.routes.home() {
            Some(home) => self.wait(now, home, admission, actions),
            None => self.give_up(Reason::Unavailable, 0, actions),
        }
    }

    /// A refusal is final, but for one that holds for this endpoint alone and proves that nothing ran.
    pub(super) fn refused(&mut self, now: Time, refusal: Refusal, actions: &mut Actions) {
        let State::Sent { endpoint, admission, .. } = self.state else { return };
        if refusal.outcome != Outcome::NotRun {
            return self.finish_with(refusal, actions);
        }
        match refusal.reason {
            Reason::Overloaded if admission != Admission::Queue => {
                self.elsewhere(now, SmallVec::new(), actions);
            }
            Reason::Unavailable | Reason::Draining | Reason::EndpointFailed => {
                self.routes.avoid(endpoint);
                match self.routes.untried() {
                    Some(next) => self.forward(next, Admission::Home, actions),
                    None => self.finish_with(refusal, actions),
                }
            }
            _ => self.finish_with(refusal, actions),
        }
    }

    /// The owner of the endpoint could not be reached.
    pub(super) fn pause(&mut self, now: Time, actions: &mut Actions) {
        let State::Sent { endpoint, .. } = self.state else { return };
        self.next_or_wait(now, endpoint, Admission::Home, actions);
    }

    fn wait(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        admission: Admission,
        actions: &mut Actions,
    ) {
        let until = (now + self.limits.pause).min(self.spec.deadline);
        self.state = State::Paused { endpoint, admission, until };
        actions.push(Action::WakeAt(until));
    }

    pub(super) fn roster(&mut self, now: Time, epoch: Epoch, actions: &mut Actions) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        if let State::Paused { endpoint, admission, .. } = self.state
            && now < self.spec.deadline
        {
            self.forward(endpoint, admission, actions);
        }
    }
}

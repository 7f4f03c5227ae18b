//! The state of an endpoint as the leader knows it, and the order that it needs next.

use {
    crate::orders::action::{ActionId, Observation, Order, OrderLimits, OrderReply},
    derive_more::Debug,
    model::{Endpoint, EndpointState, FencingToken, Time},
    std::sync::Arc,
};

/// The request to an endpoint that is in flight.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Pending {
    /// No request.
    None,
    /// A probe, abandoned at this instant.
    Probe(ActionId, Time),
    /// An order, in flight until this instant at the latest.
    Order(ActionId, Time),
}

/// An endpoint as the leader knows it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct TrackedEndpoint {
    /// The desired state.
    pub(crate) desired: Arc<Endpoint>,
    /// The last observation, unless an order was sent after it.
    observation: Option<Observation>,
    pending: Pending,
    next_probe: Time,
}

impl TrackedEndpoint {
    /// Creates an endpoint that has not been observed yet.
    pub(crate) fn new(desired: Arc<Endpoint>, next_probe: Time) -> TrackedEndpoint {
        TrackedEndpoint { desired, observation: None, pending: Pending::None, next_probe }
    }

    /// Abandons the request in flight if its deadline passed.
    pub(crate) fn expire(&mut self, now: Time, limits: &OrderLimits) {
        match self.pending {
            Pending::Probe(_, deadline) if now >= deadline => {
                self.on_probe_failed(now, limits);
            }
            Pending::Order(_, deadline) if now >= deadline => {
                self.pending = Pending::None;
                self.next_probe = now;
            }
            _ => {}
        }
    }

    /// Whether a probe is due.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.pending == Pending::None && now >= self.next_probe
    }

    /// Records that a probe was sent.
    pub(crate) fn on_probe_sent(&mut self, action_id: ActionId, deadline: Time) {
        self.pending = Pending::Probe(action_id, deadline);
    }

    /// Records that an order was sent, which invalidates the last observation.
    pub(crate) fn on_order_sent(&mut self, action_id: ActionId, deadline: Time) {
        self.pending = Pending::Order(action_id, deadline);
        self.observation = None;
    }

    /// Handles the result of a probe: the observation, or `None` if the endpoint could not be
    /// reached.
    pub(crate) fn on_observation(
        &mut self,
        now: Time,
        action_id: ActionId,
        observation: Option<Observation>,
        limits: &OrderLimits,
    ) {
        if !matches!(self.pending, Pending::Probe(own, _) if own == action_id) {
            return;
        }
        let Some(observation) = observation else { return self.on_probe_failed(now, limits) };
        let is_idle =
            observation.loading.is_empty() && required_order(&self.desired, &observation).is_none();
        self.pending = Pending::None;
        self.next_probe = now + if is_idle { limits.idle_interval } else { limits.busy_interval };
        self.observation = Some(observation);
    }

    /// Handles the reply to an order. If the outcome is unknown, the order counts as in flight
    /// until its deadline.
    pub(crate) fn on_reply(
        &mut self,
        now: Time,
        action_id: ActionId,
        reply: OrderReply,
        limits: &OrderLimits,
    ) {
        if !matches!(self.pending, Pending::Order(own, _) if own == action_id) {
            return;
        }
        match reply {
            OrderReply::Unknown => return,
            OrderReply::Taken => self.next_probe = now,
            OrderReply::Stale | OrderReply::Refused => self.next_probe = now + limits.busy_interval,
        }
        self.pending = Pending::None;
    }

    /// Whether the endpoint is known to serve requests: it is active, has an image loaded, and no
    /// load is in progress.
    pub(crate) fn is_serving(&self) -> bool {
        let is_ready = |it: &Observation| it.loading.is_empty() && !it.images.is_empty();
        self.desired.state == EndpointState::Active
            && self.observation.as_ref().is_some_and(is_ready)
    }

    /// Returns the next order under this fencing token, if one is due.
    pub(crate) fn next_order(&self, fence: FencingToken) -> Option<Order> {
        if self.pending != Pending::None || self.desired.state != EndpointState::Active {
            return None;
        }
        let observation = self.observation.as_ref()?;
        let is_superseded = observation.fence > fence;
        if is_superseded || !observation.loading.is_empty() {
            None
        } else {
            required_order(&self.desired, observation)
        }
    }

    /// Whether the endpoint has exactly the desired images.
    pub(crate) fn has_converged(&self) -> bool {
        let is_converged =
            |it: &Observation| it.loading.is_empty() && required_order(&self.desired, it).is_none();
        self.observation.as_ref().is_some_and(is_converged)
    }

    fn on_probe_failed(&mut self, now: Time, limits: &OrderLimits) {
        self.pending = Pending::None;
        self.observation = None;
        self.next_probe = now + limits.busy_interval;
    }
}

/// Returns the next order for an endpoint in the observed state: load a missing image, or else
/// unload a superfluous one.
fn required_order(desired: &Endpoint, observation: &Observation) -> Option<Order> {
    let missing = desired.images.iter().find(|it| !observation.images.contains(it));
    if let Some(image) = missing {
        return Some(Order::Load(image.clone()));
    }
    let extra = observation.images.iter().find(|it| !desired.images.contains(it));
    extra.cloned().map(Order::Unload)
}

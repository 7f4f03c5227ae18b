//! What the leader knows of one endpoint, and what is missing there.

use {
    crate::orders::action::{ActionId, Observation, Order, OrderLimits, OrderReply},
    derive_more::Debug,
    model::{Endpoint, EndpointState, FencingToken, Time},
    std::sync::Arc,
};

/// What is on its way to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Pending {
    /// Nothing.
    None,
    /// A look, given up at this instant.
    Look(ActionId, Time),
    /// An order, on its way until this instant at the latest.
    Order(ActionId, Time),
}

/// One endpoint as the leader knows it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Unit {
    /// What is intended.
    pub(crate) target: Arc<Endpoint>,
    /// What it was seen to carry, if that was after the last order.
    sight: Option<Observation>,
    pending: Pending,
    next_look: Time,
}

impl Unit {
    /// Returns an endpoint of which nothing is known.
    pub(crate) fn new(target: Arc<Endpoint>, next_look: Time) -> Unit {
        Unit { target, sight: None, pending: Pending::None, next_look }
    }

    /// Gives up what is on its way past its deadline.
    pub(crate) fn expire(&mut self, now: Time, limits: &OrderLimits) {
        match self.pending {
            Pending::Look(_, until) if now >= until => {
                self.lost(now, limits);
            }
            Pending::Order(_, until) if now >= until => {
                self.pending = Pending::None;
                self.next_look = now;
            }
            _ => {}
        }
    }

    /// Whether it is time for a look.
    pub(crate) fn is_look_due(&self, now: Time) -> bool {
        self.pending == Pending::None && now >= self.next_look
    }

    /// Notes that a look is on its way.
    pub(crate) fn look(&mut self, action_id: ActionId, until: Time) {
        self.pending = Pending::Look(action_id, until);
    }

    /// Notes that an order is on its way; what was seen before it no longer counts.
    pub(crate) fn order(&mut self, action_id: ActionId, until: Time) {
        self.pending = Pending::Order(action_id, until);
        self.sight = None;
    }

    /// Takes what a look saw; nothing if the endpoint could not be reached.
    pub(crate) fn seen(
        &mut self,
        now: Time,
        action_id: ActionId,
        sight: Option<Observation>,
        limits: &OrderLimits,
    ) {
        if !matches!(self.pending, Pending::Look(own, _) if own == action_id) {
            return;
        }
        let Some(sight) = sight else { return self.lost(now, limits) };
        let idle = sight.loading.is_empty() && wanted(&self.target, &sight).is_none();
        self.pending = Pending::None;
        self.next_look = now + if idle { limits.idle_interval } else { limits.busy_interval };
        self.sight = Some(sight);
    }

    /// Takes the reply to an order. Without one, the order counts as on its way until its deadline.
    pub(crate) fn replied(
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
            OrderReply::Taken => self.next_look = now,
            OrderReply::Stale | OrderReply::Refused => self.next_look = now + limits.busy_interval,
        }
        self.pending = Pending::None;
    }

    /// Whether it is known to serve requests: it takes work, carries something, and nothing is being changed.
    pub(crate) fn is_serving(&self) -> bool {
        let ready = |it: &Observation| it.loading.is_empty() && !it.images.is_empty();
        self.target.state == EndpointState::Active && self.sight.as_ref().is_some_and(ready)
    }

    /// Returns the next order by this fencing number, if one is due.
    pub(crate) fn next_order(&self, fence: FencingToken) -> Option<Order> {
        if self.pending != Pending::None || self.target.state != EndpointState::Active {
            return None;
        }
        let sight = self.sight.as_ref()?;
        let fenced = sight.fence > fence;
        if fenced || !sight.loading.is_empty() { None } else { wanted(&self.target, sight) }
    }

    /// Whether it carries exactly what is intended.
    pub(crate) fn is_settled(&self) -> bool {
        let done = |it: &Observation| it.loading.is_empty() && wanted(&self.target, it).is_none();
        self.sight.as_ref().is_some_and(done)
    }

    fn lost(&mut self, now: Time, limits: &OrderLimits) {
        self.pending = Pending::None;
        self.sight = None;
        self.next_look = now + limits.busy_interval;
    }
}

/// Returns what an endpoint that was seen so should do next: load what is missing, then unload what is too much.
fn wanted(target: &Endpoint, sight: &Observation) -> Option<Order> {
    let missing = target.images.iter().find(|it| !sight.images.contains(it));
    if let Some(image) = missing {
        return Some(Order::Load(image.clone()));
    }
    let extra = sight.images.iter().find(|it| !target.images.contains(it));
    extra.cloned().map(Order::Unload)
}

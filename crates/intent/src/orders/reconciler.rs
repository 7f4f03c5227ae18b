//! The reconciler of one leadership.

use {
    crate::orders::{
        action::{ActionId, Observation, Order, OrderAction, OrderLimits, OrderReply},
        bucket::Bucket,
        unit::Unit,
    },
    derive_more::Debug,
    model::{Config, EndpointId, EndpointState, FencingToken, Revision, ServiceId, Term, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// Compares what endpoints carry with what is intended, and orders what is missing.
///
/// Made anew with each leadership; nothing in it needs to survive one.
#[derive(Clone, Debug)]
pub struct Reconciler {
    limits: OrderLimits,
    term: Term,
    quiet_until: Time,
    loads: Bucket,
    revision: Revision,
    minimums: BTreeMap<ServiceId, u32>,
    units: BTreeMap<EndpointId, Unit>,
    last_action_id: ActionId,
}

/// How far the endpoints are from what is intended.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct OrderProgress {
    /// Endpoints that carry exactly what is intended.
    pub converged: usize,
    /// Endpoints that do not yet.
    pub pending: usize,
}

impl Reconciler {
    /// Returns the reconciler of a leadership that began at `now`.
    pub fn new(now: Time, term: Term, limits: OrderLimits) -> Reconciler {
        let quiet_until = now + limits.takeover_delay;
        Reconciler {
            limits,
            term,
            quiet_until,
            loads: Bucket::empty(quiet_until, limits.load_interval),
            revision: Revision::default(),
            minimums: BTreeMap::new(),
            units: BTreeMap::new(),
            last_action_id: ActionId::default(),
        }
    }

    /// Takes the configuration in force.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        if config.revision <= self.revision {
            return;
        }
        self.revision = config.revision;
        self.minimums = config.services.values().map(|it| (it.id, it.minimum)).collect();
        // An order to an endpoint that is gone may be on its way still, and the next id may have the same address.
        let first_look = now + self.limits.order_timeout;
        self.units.retain(|id, _| config.endpoints.contains_key(id));
        for endpoint in config.endpoints.values().filter(|it| !it.images.is_empty()) {
            let unit = self.units.entry(endpoint.id);
            let unit = unit.or_insert_with(|| Unit::new(endpoint.clone(), first_look));
            unit.target = endpoint.clone();
        }
    }

    /// Returns what to do now; `lease` is until when this replica surely leads, if it does.
    pub fn tick(&mut self, now: Time, lease: Option<Time>) -> SmallVec<[OrderAction; 4]> {
        let limits = self.limits;
        self.units.values_mut().for_each(|it| it.expire(now, &limits));
        let mut actions = SmallVec::new();
        if now < self.quiet_until || lease.is_none_or(|it| it <= now) {
            return actions;
        }
        let due: SmallVec<[EndpointId; 8]> =
            self.units.iter().filter(|it| it.1.is_look_due(now)).map(|it| *it.0).collect();
        actions.extend(due.into_iter().filter_map(|it| self.look(now, it)));
        if lease.is_some_and(|it| it >= now + limits.order_timeout) {
            let all: Vec<EndpointId> = self.units.keys().copied().collect();
            actions.extend(all.into_iter().filter_map(|it| self.order(now, it)));
        }
        actions
    }

    /// Takes what a look saw; nothing if the endpoint could not be reached.
    pub fn on_observation(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        action_id: ActionId,
        sight: Option<Observation>,
    ) {
        if let Some(unit) = self.units.get_mut(&endpoint) {
            unit.seen(now, action_id, sight, &self.limits);
        }
    }

    /// Takes the reply to an order.
    pub fn on_reply(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        action_id: ActionId,
        reply: OrderReply,
    ) {
        if let Some(unit) = self.units.get_mut(&endpoint) {
            unit.replied(now, action_id, reply, &self.limits);
        }
    }

    /// How far the endpoints are.
    pub fn progress(&self) -> OrderProgress {
        let converged = self.units.values().filter(|it| it.is_settled()).count();
        OrderProgress { converged, pending: self.units.len() - converged }
    }

    fn look(&mut self, now: Time, endpoint: EndpointId) -> Option<OrderAction> {
        let action_id = self.next_action_id();
        let unit = self.units.get_mut(&endpoint)?;
        unit.look(action_id, now + self.limits.probe_timeout);
        Some(OrderAction::Probe { endpoint, addr: unit.target.addr, action_id })
    }

    fn order(&mut self, now: Time, endpoint: EndpointId) -> Option<OrderAction> {
        let fence = FencingToken { term: self.term, revision: self.revision };
        let order = self.units.get(&endpoint)?.next_order(fence)?;
        let load = matches!(order, Order::Load(_));
        if (load && !self.loads.is_ready(now)) || !self.may_change(endpoint) {
            return None;
        }
        if load {
            self.loads.take(now);
        }
        let (action_id, deadline) = (self.next_action_id(), now + self.limits.order_timeout);
        let unit = self.units.get_mut(&endpoint)?;
        unit.order(action_id, deadline);
        let addr = unit.target.addr;
        Some(OrderAction::Send { endpoint, addr, action_id, fence, order, deadline })
    }

    /// Whether enough others of its service serve while an endpoint is changed.
    fn may_change(&self, endpoint: EndpointId) -> bool {
        let Some(unit) = self.units.get(&endpoint) else { return false };
        let service = unit.target.service;
        let own =
            |it: &&Unit| it.target.service == service && it.target.state == EndpointState::Active;
        let others = self.units.iter().filter(|(id, it)| **id != endpoint && own(it));
        let serving = others.filter(|it| it.1.is_serving()).count() as u32;
        let minimum = self.minimums.get(&service).copied().unwrap_or(0);
        !unit.is_serving() || serving >= minimum
    }

    fn next_action_id(&mut self) -> ActionId {
        self.last_action_id = ActionId(self.last_action_id.0 + 1);
        self.last_action_id
    }
}

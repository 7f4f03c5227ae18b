//! The reconciler, which exists for the duration of one leadership.

use {
    crate::orders::{
        action::{ActionId, Observation, Order, OrderAction, OrderLimits, OrderReply},
        load_limiter::LoadLimiter,
        tracked_endpoint::TrackedEndpoint,
    },
    derive_more::Debug,
    model::{Config, EndpointId, EndpointState, FencingToken, Revision, ServiceId, Term, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// Compares the images that endpoints have loaded with the desired ones, and orders the difference.
///
/// Each leadership creates a new reconciler; none of its state needs to survive a change of leader.
#[derive(Clone, Debug)]
pub struct Reconciler {
    limits: OrderLimits,
    term: Term,
    takeover_until: Time,
    load_limiter: LoadLimiter,
    revision: Revision,
    minimums: BTreeMap<ServiceId, u32>,
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    last_action_id: ActionId,
}

/// How many endpoints match the desired state.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct OrderProgress {
    /// The endpoints that have exactly the desired images.
    pub converged: usize,
    /// The endpoints that do not have them yet.
    pub pending: usize,
}

impl Reconciler {
    /// Creates the reconciler of a leadership that started at `now`.
    pub fn new(now: Time, term: Term, limits: OrderLimits) -> Reconciler {
        let takeover_until = now + limits.takeover_delay;
        Reconciler {
            limits,
            term,
            takeover_until,
            load_limiter: LoadLimiter::new(takeover_until, limits.load_interval),
            revision: Revision::default(),
            minimums: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_action_id: ActionId::default(),
        }
    }

    /// Handles the configuration in force.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        if config.revision <= self.revision {
            return;
        }
        self.revision = config.revision;
        self.minimums = config.services.values().map(|it| (it.id, it.minimum)).collect();
        // An order to a removed endpoint may still be in flight, and a new endpoint may have the
        // same address.
        let first_probe = now + self.limits.order_timeout;
        self.endpoints.retain(|id, _| config.endpoints.contains_key(id));
        for endpoint in config.endpoints.values().filter(|it| !it.images.is_empty()) {
            let tracked = self.endpoints.entry(endpoint.id);
            let tracked =
                tracked.or_insert_with(|| TrackedEndpoint::new(endpoint.clone(), first_probe));
            tracked.desired = endpoint.clone();
        }
    }

    /// Returns the actions to take now. `lease` is the instant until which this replica is
    /// certainly the leader, if it is.
    pub fn tick(&mut self, now: Time, lease: Option<Time>) -> SmallVec<[OrderAction; 4]> {
        let limits = self.limits;
        self.endpoints.values_mut().for_each(|it| it.expire(now, &limits));
        let mut actions = SmallVec::new();
        if now < self.takeover_until || lease.is_none_or(|it| it <= now) {
            return actions;
        }
        let due: SmallVec<[EndpointId; 8]> =
            self.endpoints.iter().filter(|it| it.1.is_probe_due(now)).map(|it| *it.0).collect();
        actions.extend(due.into_iter().filter_map(|it| self.probe(now, it)));
        if lease.is_some_and(|it| it >= now + limits.order_timeout) {
            let all: Vec<EndpointId> = self.endpoints.keys().copied().collect();
            actions.extend(all.into_iter().filter_map(|it| self.next_order(now, it)));
        }
        actions
    }

    /// Handles the result of a probe: the observation, or `None` if the endpoint could not be
    /// reached.
    pub fn on_observation(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        action_id: ActionId,
        observation: Option<Observation>,
    ) {
        if let Some(tracked) = self.endpoints.get_mut(&endpoint) {
            tracked.on_observation(now, action_id, observation, &self.limits);
        }
    }

    /// Handles the reply to an order.
    pub fn on_reply(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        action_id: ActionId,
        reply: OrderReply,
    ) {
        if let Some(tracked) = self.endpoints.get_mut(&endpoint) {
            tracked.on_reply(now, action_id, reply, &self.limits);
        }
    }

    /// Returns how many endpoints match the desired state.
    pub fn progress(&self) -> OrderProgress {
        let converged = self.endpoints.values().filter(|it| it.has_converged()).count();
        OrderProgress { converged, pending: self.endpoints.len() - converged }
    }

    fn probe(&mut self, now: Time, endpoint: EndpointId) -> Option<OrderAction> {
        let action_id = self.next_action_id();
        let tracked = self.endpoints.get_mut(&endpoint)?;
        tracked.on_probe_sent(action_id, now + self.limits.probe_timeout);
        Some(OrderAction::Probe { endpoint, addr: tracked.desired.addr, action_id })
    }

    fn next_order(&mut self, now: Time, endpoint: EndpointId) -> Option<OrderAction> {
        let fence = FencingToken { term: self.term, revision: self.revision };
        let order = self.endpoints.get(&endpoint)?.next_order(fence)?;
        let is_load = matches!(order, Order::Load(_));
        if (is_load && !self.load_limiter.is_ready(now)) || !self.may_take_out_of_service(endpoint)
        {
            return None;
        }
        if is_load {
            self.load_limiter.record_load(now);
        }
        let (action_id, deadline) = (self.next_action_id(), now + self.limits.order_timeout);
        let tracked = self.endpoints.get_mut(&endpoint)?;
        tracked.on_order_sent(action_id, deadline);
        let addr = tracked.desired.addr;
        Some(OrderAction::Send { endpoint, addr, action_id, fence, order, deadline })
    }

    /// Whether enough other endpoints of the service can serve requests while this one is changed.
    fn may_take_out_of_service(&self, endpoint: EndpointId) -> bool {
        let Some(tracked) = self.endpoints.get(&endpoint) else { return false };
        let service = tracked.desired.service;
        let is_active_peer = |it: &&TrackedEndpoint| {
            it.desired.service == service && it.desired.state == EndpointState::Active
        };
        let others =
            self.endpoints.iter().filter(|(id, it)| **id != endpoint && is_active_peer(it));
        let serving = others.filter(|it| it.1.is_serving()).count() as u32;
        let minimum = self.minimums.get(&service).copied().unwrap_or(0);
        !tracked.is_serving() || serving >= minimum
    }

    fn next_action_id(&mut self) -> ActionId {
        self.last_action_id = ActionId(self.last_action_id.0 + 1);
        self.last_action_id
    }
}

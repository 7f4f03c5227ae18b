//! Orders of several leaders to endpoints, some of which ignore fencing tokens.

mod common;

use {
    common::{document, operation, planned},
    intent::{
        Action, ActionId, Answer, IntentState, Observation, Order, OrderAction, OrderLimits,
        OrderReply, Reconciler,
    },
    model::{
        Config, EndpointId, EndpointState, Fencing, FencingToken, Image, MILLISECOND, Term, Time,
    },
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
        prop_assert, prop_assert_eq, proptest,
        test_runner::TestCaseResult,
    },
    std::{collections::BTreeMap, sync::Arc},
};

const PORTS: [u16; 3] = [7001, 7002, 7003];
const LEASE: u64 = 1_000 * MILLISECOND;
const START: Time = Time(1_000_000);

fn limits() -> OrderLimits {
    OrderLimits {
        order_timeout: 300 * MILLISECOND,
        probe_timeout: 500 * MILLISECOND,
        takeover_delay: LEASE,
        idle_interval: 2_000 * MILLISECOND,
        busy_interval: 200 * MILLISECOND,
        load_interval: 50 * MILLISECOND,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    /// A leader, possibly a deposed one, runs the reconciler.
    Tick(usize),
    /// The current leader renews its lease.
    Renew,
    /// A new leader is elected; the old one does not know it yet.
    Elect,
    /// Operators change the desired images or drain an endpoint.
    Change([u8; 3], u32, Option<usize>),
    /// A leader runs the reconciler, receives the results of its probes and runs it again. Its
    /// orders stay in flight.
    TickAndProbe(usize),
    Deliver(usize),
    Lose(usize),
    /// The connection that carries an order breaks. The order may still arrive.
    BreakConnection(usize),
    /// An endpoint finishes its loads.
    Loaded(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let change = ([1..4u8, 1..4u8, 1..4u8], 0..3u32, proptest::option::weighted(0.2, 0..3usize));
    prop_oneof![
        3 => (1..150u64).prop_map(|it| Event::Advance(it * MILLISECOND)),
        1 => (300..400u64).prop_map(|it| Event::Advance(it * MILLISECOND)),
        2 => (0..2usize).prop_map(Event::Tick),
        8 => (0..2usize).prop_map(Event::TickAndProbe),
        3 => Just(Event::Renew),
        1 => Just(Event::Elect),
        2 => change.prop_map(|(versions, minimum, drained)| Event::Change(versions, minimum, drained)),
        6 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => any::<usize>().prop_map(Event::BreakConnection),
        4 => (0..3usize).prop_map(Event::Loaded),
    ]
}

/// The actual state of an endpoint.
#[derive(Default)]
struct EngineState {
    checked: bool,
    observation: Observation,
    /// The highest fencing token of the orders that it executed.
    highest_fence: FencingToken,
}

impl EngineState {
    fn serves(&self) -> bool {
        self.observation.loading.is_empty() && !self.observation.images.is_empty()
    }

    fn execute(&mut self, fence: FencingToken, order: &Order) -> OrderReply {
        if self.checked && fence < self.observation.fence {
            return OrderReply::Stale;
        }
        if self.checked {
            self.observation.fence = fence;
        }
        match order {
            Order::Load(image) => self.observation.loading.push(image.clone()),
            Order::Unload(image) => self.observation.images.retain(|it| it != image),
        }
        OrderReply::Taken
    }

    fn loaded(&mut self) {
        for image in std::mem::take(&mut self.observation.loading) {
            if !self.observation.images.contains(&image) {
                self.observation.images.push(image);
            }
        }
    }
}

struct Leader {
    reconciler: Reconciler,
    config: Arc<Config>,
    lease: Time,
}

#[derive(Clone)]
enum Message {
    Action(OrderAction),
    Seen(EndpointId, ActionId, Observation),
    Replied(EndpointId, ActionId, OrderReply),
}

struct Simulation {
    now: Time,
    intents: IntentState,
    leaders: Vec<Leader>,
    engines: BTreeMap<EndpointId, EngineState>,
    in_flight: Vec<(usize, Message)>,
    loads: Vec<Time>,
}

fn image(version: u8) -> Image {
    Image { model: "draft".into(), adapter: "".into(), version: version.to_string().into() }
}

impl Simulation {
    fn new() -> Simulation {
        let mut simulation = Simulation {
            now: START,
            intents: IntentState::default(),
            leaders: Vec::new(),
            engines: BTreeMap::new(),
            in_flight: Vec::new(),
            loads: Vec::new(),
        };
        simulation.change([1, 1, 1], 1, None);
        for id in simulation.intents.config().endpoints.keys() {
            let checked = id.0 == 1;
            simulation.engines.insert(*id, EngineState { checked, ..EngineState::default() });
        }
        simulation.elect();
        simulation
    }

    fn run(&mut self, event: &Event) -> TestCaseResult {
        match *event {
            Event::Advance(micros) => self.advance(micros),
            Event::Tick(age) => return self.tick(self.leader_index(age)),
            Event::TickAndProbe(age) => return self.tick_and_probe(self.leader_index(age)),
            Event::BreakConnection(pick) => self.break_connection(pick),
            Event::Renew => self.renew(),
            Event::Elect => self.elect(),
            Event::Change(versions, minimum, drained) => self.change(versions, minimum, drained),
            Event::Deliver(pick) => return self.deliver(pick),
            Event::Lose(pick) if !self.in_flight.is_empty() => {
                let at = pick % self.in_flight.len();
                self.in_flight.swap_remove(at);
            }
            Event::Lose(_) => {}
            Event::Loaded(at) => self.engines.values_mut().nth(at).unwrap().loaded(),
        }
        Ok(())
    }

    /// Drops the orders whose deadlines passed.
    fn advance(&mut self, micros: u64) {
        self.now = self.now + micros;
        let now = self.now;
        let has_time_left = |it: &Message| !matches!(it, Message::Action(OrderAction::Send { deadline, .. }) if *deadline <= now);
        self.in_flight.retain(|it| has_time_left(&it.1));
    }

    fn renew(&mut self) {
        let lease = self.now + LEASE;
        self.leaders.last_mut().unwrap().lease = lease;
    }

    fn elect(&mut self) {
        let term = Term(self.leaders.len() as u64 + 1);
        let mut reconciler = Reconciler::new(self.now, term, limits());
        let config = self.intents.config().clone();
        reconciler.update_config(self.now, &config);
        self.leaders.push(Leader { reconciler, config, lease: self.now + LEASE });
    }

    fn change(&mut self, versions: [u8; 3], minimum: u32, drained: Option<usize>) {
        let mut desired = document(&PORTS, &[1]);
        desired.services[0].minimum = minimum;
        for (at, endpoint) in desired.endpoints.iter_mut().enumerate() {
            endpoint.images[0].version = versions[at].to_string().into();
            endpoint.fencing = if at == 0 { Fencing::Checked } else { Fencing::Ignored };
            if drained == Some(at) {
                endpoint.state = EndpointState::Draining;
            }
        }
        let number = self.intents.audit().count();
        let plan = operation(&format!("plan-{number}"), "alice", Action::Plan(desired));
        let plan = planned(self.intents.apply(&plan)).plan;
        let confirmed = common::confirm(&mut self.intents, &format!("confirm-{number}"), plan);
        assert!(matches!(confirmed, Answer::Confirmed { .. }));
        if let Some(leader) = self.leaders.last_mut() {
            leader.config = self.intents.config().clone();
            leader.reconciler.update_config(self.now, &leader.config);
        }
    }

    /// Returns the index of the leader that was elected `age` elections ago; zero is the current
    /// leader.
    fn leader_index(&self, age: usize) -> usize {
        self.leaders.len().saturating_sub(1 + age)
    }

    fn tick_and_probe(&mut self, at: usize) -> TestCaseResult {
        self.tick(at)?;
        let is_probe_message = |it: &(usize, Message)| {
            it.0 == at && !matches!(it.1, Message::Action(OrderAction::Send { .. }))
        };
        while let Some(pick) = self.in_flight.iter().position(is_probe_message) {
            self.deliver(pick)?;
        }
        self.tick(at)
    }

    fn break_connection(&mut self, pick: usize) {
        let sent = self.in_flight.iter().filter_map(|(at, it)| match it {
            Message::Action(OrderAction::Send { endpoint, action_id, .. }) => {
                Some((*at, *endpoint, *action_id))
            }
            _ => None,
        });
        let sent: Vec<_> = sent.collect();
        if sent.is_empty() {
            return;
        }
        let (at, endpoint, action_id) = sent[pick % sent.len()];
        let leader = &mut self.leaders[at].reconciler;
        leader.on_reply(self.now, endpoint, action_id, OrderReply::Unknown);
    }

    fn tick(&mut self, at: usize) -> TestCaseResult {
        let leader = &mut self.leaders[at];
        let actions = leader.reconciler.tick(self.now, Some(leader.lease));
        prop_assert!(
            actions.is_empty() || self.now < leader.lease,
            "a leader without a lease acts"
        );
        for action in actions {
            if let OrderAction::Send { endpoint, order, deadline, .. } = &action {
                prop_assert!(
                    *deadline <= self.leaders[at].lease,
                    "the deadline of an order is later than the end of the lease"
                );
                self.check_minimum(at, *endpoint)?;
                if matches!(order, Order::Load(_)) {
                    self.check_load_interval()?;
                }
            }
            self.in_flight.push((at, Message::Action(action)));
        }
        Ok(())
    }

    /// Checks that changing an endpoint leaves the minimum of its service.
    fn check_minimum(&self, at: usize, endpoint: EndpointId) -> TestCaseResult {
        let config = &self.leaders[at].config;
        let minimum = config.services.values().next().unwrap().minimum;
        let active = |id: &EndpointId| config.endpoints[id].state == EndpointState::Active;
        let changing = |id: &EndpointId| {
            let to = |it: &Message| matches!(it, Message::Action(OrderAction::Send { endpoint, .. }) if endpoint == id);
            self.in_flight.iter().any(|it| to(&it.1))
        };
        let serving = |id: &EndpointId| self.engines[id].serves() && active(id) && !changing(id);
        let others = self.engines.keys().filter(|it| **it != endpoint && serving(it)).count();
        let is_allowed = !self.engines[&endpoint].serves() || others as u32 >= minimum;
        prop_assert!(is_allowed, "{} others serve, the minimum is {}", others, minimum);
        Ok(())
    }

    /// Checks the minimum interval between loads, across leaders.
    fn check_load_interval(&mut self) -> TestCaseResult {
        let last = self.loads.last().copied();
        self.loads.push(self.now);
        let is_far_enough = last.is_none_or(|it| self.now.since(it) >= limits().load_interval);
        prop_assert!(is_far_enough, "loads at {:?} and {:?}", last, self.now);
        Ok(())
    }

    fn deliver(&mut self, pick: usize) -> TestCaseResult {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let (at, message) = self.in_flight.swap_remove(pick % self.in_flight.len());
        match message {
            Message::Action(OrderAction::Probe { endpoint, action_id, .. }) => {
                let observation = self.engines[&endpoint].observation.clone();
                self.in_flight.push((at, Message::Seen(endpoint, action_id, observation)));
            }
            Message::Action(OrderAction::Send { endpoint, action_id, fence, order, .. }) => {
                let engine = self.engines.get_mut(&endpoint).unwrap();
                let reply = engine.execute(fence, &order);
                if reply == OrderReply::Taken {
                    prop_assert!(
                        fence >= engine.highest_fence,
                        "{} after {}",
                        fence,
                        engine.highest_fence
                    );
                    engine.highest_fence = fence;
                }
                self.in_flight.push((at, Message::Replied(endpoint, action_id, reply)));
            }
            Message::Seen(endpoint, action_id, observation) => {
                self.leaders[at].reconciler.on_observation(
                    self.now,
                    endpoint,
                    action_id,
                    Some(observation),
                );
            }
            Message::Replied(endpoint, action_id, reply) => {
                self.leaders[at].reconciler.on_reply(self.now, endpoint, action_id, reply);
            }
        }
        Ok(())
    }

    /// Checks that endpoints converge to the desired state under a stable leader without losses.
    fn check_convergence(&mut self) -> TestCaseResult {
        self.change([3, 2, 3], 1, None);
        for _ in 0..400 {
            self.advance(100 * MILLISECOND);
            self.renew();
            self.tick(self.leaders.len() - 1)?;
            while !self.in_flight.is_empty() {
                self.deliver(0)?;
            }
            self.engines.values_mut().for_each(EngineState::loaded);
        }
        for (engine, version) in self.engines.values().zip([3, 2, 3]) {
            prop_assert_eq!(&engine.observation.images[..], &[image(version)]);
        }
        let progress = self.leaders.last().unwrap().reconciler.progress();
        prop_assert_eq!((progress.converged, progress.pending), (3, 0));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn older_orders_never_follow_newer_ones_and_endpoints_converge(events in vec(event(), 1..250)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.run(event)?;
        }
        simulation.check_convergence()?;
    }
}

#[test]
fn orders_are_encoded_as_json_with_a_kind() {
    let order = Order::Load(image(1));
    let text = serde_json::to_value(&order).unwrap();
    let expected = serde_json::json!({
        "kind": "load",
        "model": "draft",
        "adapter": "",
        "version": "1",
    });
    assert_eq!(text, expected);
}

/// Returns the id of the only action of a tick, if there is one, and whether it is an order.
fn single_action(reconciler: &mut Reconciler, now: Time) -> Option<(ActionId, bool)> {
    let actions = reconciler.tick(now, Some(now + LEASE));
    assert!(actions.len() <= 1, "{actions:?}");
    actions.first().map(|it| match it {
        OrderAction::Probe { action_id, .. } => (*action_id, false),
        OrderAction::Send { action_id, .. } => (*action_id, true),
    })
}

#[test]
fn a_delayed_probe_result_from_before_an_order_is_ignored() {
    let mut intents = IntentState::default();
    common::commit(&mut intents, "base", document(&PORTS[..1], &[1]));
    let mut reconciler = Reconciler::new(START, Term(1), limits());
    reconciler.update_config(START, intents.config());
    let (endpoint, empty) = (EndpointId(1), Observation::default);
    let mut now = START + limits().takeover_delay;
    let (stale_probe, _) = single_action(&mut reconciler, now).unwrap();
    now = now + limits().probe_timeout;
    assert_eq!(single_action(&mut reconciler, now), None);
    now = now + limits().busy_interval;
    let (probe, _) = single_action(&mut reconciler, now).unwrap();
    reconciler.on_observation(now, endpoint, probe, Some(empty()));
    let (order, is_order) = single_action(&mut reconciler, now).unwrap();
    assert!(is_order);
    reconciler.on_reply(now, endpoint, order, OrderReply::Taken);
    assert!(matches!(single_action(&mut reconciler, now), Some((_, false))));
    reconciler.on_observation(now, endpoint, stale_probe, Some(empty()));
    now = now + limits().load_interval;
    assert_eq!(single_action(&mut reconciler, now), None);
}

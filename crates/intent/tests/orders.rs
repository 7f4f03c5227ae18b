//! Orders of several leaders to endpoints, some of which ignore fencing numbers.

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
    /// A leader, perhaps an old one, looks what to do.
    Tick(usize),
    /// The leader in office renews its lease.
    Renew,
    /// Another leader takes over; the old one does not know.
    Elect,
    /// Operators change what endpoints should carry, or drain one.
    Change([u8; 3], u32, Option<usize>),
    /// A leader looks what to do, sees what it asks to see, and looks again; its orders stay on their way.
    Round(usize),
    Deliver(usize),
    Lose(usize),
    /// The connection that carries an order breaks; the order may still arrive.
    Break(usize),
    /// An endpoint has loaded what it was loading.
    Loaded(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let change = ([1..4u8, 1..4u8, 1..4u8], 0..3u32, proptest::option::weighted(0.2, 0..3usize));
    prop_oneof![
        3 => (1..150u64).prop_map(|it| Event::Advance(it * MILLISECOND)),
        1 => (300..400u64).prop_map(|it| Event::Advance(it * MILLISECOND)),
        2 => (0..2usize).prop_map(Event::Tick),
        8 => (0..2usize).prop_map(Event::Round),
        3 => Just(Event::Renew),
        1 => Just(Event::Elect),
        2 => change.prop_map(|(versions, minimum, drained)| Event::Change(versions, minimum, drained)),
        6 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => any::<usize>().prop_map(Event::Break),
        4 => (0..3usize).prop_map(Event::Loaded),
    ]
}

/// An endpoint as it really is.
#[derive(Default)]
struct Engine {
    checked: bool,
    sight: Observation,
    /// The highest fencing number whose order it carried out.
    newest: FencingToken,
}

impl Engine {
    fn serves(&self) -> bool {
        self.sight.loading.is_empty() && !self.sight.images.is_empty()
    }

    fn carry_out(&mut self, fence: FencingToken, order: &Order) -> OrderReply {
        if self.checked && fence < self.sight.fence {
            return OrderReply::Stale;
        }
        if self.checked {
            self.sight.fence = fence;
        }
        match order {
            Order::Load(image) => self.sight.loading.push(image.clone()),
            Order::Unload(image) => self.sight.images.retain(|it| it != image),
        }
        OrderReply::Taken
    }

    fn loaded(&mut self) {
        for image in std::mem::take(&mut self.sight.loading) {
            if !self.sight.images.contains(&image) {
                self.sight.images.push(image);
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

struct Bench {
    now: Time,
    intents: IntentState,
    leaders: Vec<Leader>,
    engines: BTreeMap<EndpointId, Engine>,
    bag: Vec<(usize, Message)>,
    loads: Vec<Time>,
}

fn image(version: u8) -> Image {
    Image { model: "draft".into(), adapter: "".into(), version: version.to_string().into() }
}

impl Bench {
    fn new() -> Bench {
        let mut bench = Bench {
            now: START,
            intents: IntentState::default(),
            leaders: Vec::new(),
            engines: BTreeMap::new(),
            bag: Vec::new(),
            loads: Vec::new(),
        };
        bench.change([1, 1, 1], 1, None);
        for id in bench.intents.config().endpoints.keys() {
            let checked = id.0 == 1;
            bench.engines.insert(*id, Engine { checked, ..Engine::default() });
        }
        bench.elect();
        bench
    }

    fn run(&mut self, event: &Event) -> TestCaseResult {
        match *event {
            Event::Advance(micros) => self.advance(micros),
            Event::Tick(back) => return self.tick(self.back(back)),
            Event::Round(back) => return self.round(self.back(back)),
            Event::Break(pick) => self.break_off(pick),
            Event::Renew => self.renew(),
            Event::Elect => self.elect(),
            Event::Change(versions, minimum, drained) => self.change(versions, minimum, drained),
            Event::Deliver(pick) => return self.deliver(pick),
            Event::Lose(pick) if !self.bag.is_empty() => {
                let at = pick % self.bag.len();
                self.bag.swap_remove(at);
            }
            Event::Lose(_) => {}
            Event::Loaded(at) => self.engines.values_mut().nth(at).unwrap().loaded(),
        }
        Ok(())
    }

    /// An order that is on its way at its deadline is gone.
    fn advance(&mut self, micros: u64) {
        self.now = self.now + micros;
        let now = self.now;
        let alive = |it: &Message| !matches!(it, Message::Action(OrderAction::Send { deadline, .. }) if *deadline <= now);
        self.bag.retain(|it| alive(&it.1));
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
        let mut wanted = document(&PORTS, &[1]);
        wanted.services[0].minimum = minimum;
        for (at, endpoint) in wanted.endpoints.iter_mut().enumerate() {
            endpoint.images[0].version = versions[at].to_string().into();
            endpoint.fencing = if at == 0 { Fencing::Checked } else { Fencing::Ignored };
            if drained == Some(at) {
                endpoint.state = EndpointState::Draining;
            }
        }
        let number = self.intents.audit().count();
        let plan = operation(&format!("plan-{number}"), "alice", Action::Plan(wanted));
        let plan = planned(self.intents.apply(&plan)).plan;
        let confirmed = common::confirm(&mut self.intents, &format!("confirm-{number}"), plan);
        assert!(matches!(confirmed, Answer::Confirmed { .. }));
        if let Some(leader) = self.leaders.last_mut() {
            leader.config = self.intents.config().clone();
            leader.reconciler.update_config(self.now, &leader.config);
        }
    }

    /// The leader in office, or one that was so many elections ago.
    fn back(&self, back: usize) -> usize {
        self.leaders.len().saturating_sub(1 + back)
    }

    fn round(&mut self, at: usize) -> TestCaseResult {
        self.tick(at)?;
        let quick = |it: &(usize, Message)| {
            it.0 == at && !matches!(it.1, Message::Action(OrderAction::Send { .. }))
        };
        while let Some(pick) = self.bag.iter().position(quick) {
            self.deliver(pick)?;
        }
        self.tick(at)
    }

    fn break_off(&mut self, pick: usize) {
        let sent = self.bag.iter().filter_map(|(at, it)| match it {
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
        prop_assert!(actions.is_empty() || self.now < leader.lease, "a leader without lease acts");
        for action in actions {
            if let OrderAction::Send { endpoint, order, deadline, .. } = &action {
                prop_assert!(*deadline <= self.leaders[at].lease, "an order outlasts the lease");
                self.check_minimum(at, *endpoint)?;
                if matches!(order, Order::Load(_)) {
                    self.check_pace()?;
                }
            }
            self.bag.push((at, Message::Action(action)));
        }
        Ok(())
    }

    /// Taking one endpoint out of service leaves the service's minimum.
    fn check_minimum(&self, at: usize, endpoint: EndpointId) -> TestCaseResult {
        let config = &self.leaders[at].config;
        let minimum = config.services.values().next().unwrap().minimum;
        let active = |id: &EndpointId| config.endpoints[id].state == EndpointState::Active;
        let changing = |id: &EndpointId| {
            let to = |it: &Message| matches!(it, Message::Action(OrderAction::Send { endpoint, .. }) if endpoint == id);
            self.bag.iter().any(|it| to(&it.1))
        };
        let serving = |id: &EndpointId| self.engines[id].serves() && active(id) && !changing(id);
        let others = self.engines.keys().filter(|it| **it != endpoint && serving(it)).count();
        let fine = !self.engines[&endpoint].serves() || others as u32 >= minimum;
        prop_assert!(fine, "{} others serve, the minimum is {}", others, minimum);
        Ok(())
    }

    /// Loads begin no more often than the weight store allows, whoever leads.
    fn check_pace(&mut self) -> TestCaseResult {
        let last = self.loads.last().copied();
        self.loads.push(self.now);
        let apart = last.is_none_or(|it| self.now.since(it) >= limits().load_interval);
        prop_assert!(apart, "loads at {:?} and {:?}", last, self.now);
        Ok(())
    }

    fn deliver(&mut self, pick: usize) -> TestCaseResult {
        if self.bag.is_empty() {
            return Ok(());
        }
        let (at, message) = self.bag.swap_remove(pick % self.bag.len());
        match message {
            Message::Action(OrderAction::Probe { endpoint, action_id, .. }) => {
                let sight = self.engines[&endpoint].sight.clone();
                self.bag.push((at, Message::Seen(endpoint, action_id, sight)));
            }
            Message::Action(OrderAction::Send { endpoint, action_id, fence, order, .. }) => {
                let engine = self.engines.get_mut(&endpoint).unwrap();
                let reply = engine.carry_out(fence, &order);
                if reply == OrderReply::Taken {
                    prop_assert!(fence >= engine.newest, "{} after {}", fence, engine.newest);
                    engine.newest = fence;
                }
                self.bag.push((at, Message::Replied(endpoint, action_id, reply)));
            }
            Message::Seen(endpoint, action_id, sight) => {
                self.leaders[at].reconciler.on_observation(
                    self.now,
                    endpoint,
                    action_id,
                    Some(sight),
                );
            }
            Message::Replied(endpoint, action_id, reply) => {
                self.leaders[at].reconciler.on_reply(self.now, endpoint, action_id, reply);
            }
        }
        Ok(())
    }

    /// With a leader in office and nothing lost, endpoints come to carry what is intended.
    fn settle(&mut self) -> TestCaseResult {
        self.change([3, 2, 3], 1, None);
        for _ in 0..400 {
            self.advance(100 * MILLISECOND);
            self.renew();
            self.tick(self.leaders.len() - 1)?;
            while !self.bag.is_empty() {
                self.deliver(0)?;
            }
            self.engines.values_mut().for_each(Engine::loaded);
        }
        for (engine, version) in self.engines.values().zip([3, 2, 3]) {
            prop_assert_eq!(&engine.sight.images[..], &[image(version)]);
        }
        let progress = self.leaders.last().unwrap().reconciler.progress();
        prop_assert_eq!((progress.converged, progress.pending), (3, 0));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn endpoints_never_end_in_the_older_state(events in vec(event(), 1..250)) {
        let mut bench = Bench::new();
        for event in &events {
            bench.run(event)?;
        }
        bench.settle()?;
    }
}

#[test]
fn orders_are_json_with_a_kind() {
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

/// The only action of a tick, as its action_id and whether it is an order.
fn only(reconciler: &mut Reconciler, now: Time) -> Option<(ActionId, bool)> {
    let actions = reconciler.tick(now, Some(now + LEASE));
    assert!(actions.len() <= 1, "{actions:?}");
    actions.first().map(|it| match it {
        OrderAction::Probe { action_id, .. } => (*action_id, false),
        OrderAction::Send { action_id, .. } => (*action_id, true),
    })
}

#[test]
fn a_late_look_from_before_an_order_does_not_count() {
    let mut intents = IntentState::default();
    common::bring(&mut intents, "base", document(&PORTS[..1], &[1]));
    let mut reconciler = Reconciler::new(START, Term(1), limits());
    reconciler.update_config(START, intents.config());
    let (endpoint, empty) = (EndpointId(1), Observation::default);
    let mut now = START + limits().takeover_delay;
    let (late, _) = only(&mut reconciler, now).unwrap();
    now = now + limits().probe_timeout;
    assert_eq!(only(&mut reconciler, now), None);
    now = now + limits().busy_interval;
    let (look, _) = only(&mut reconciler, now).unwrap();
    reconciler.on_observation(now, endpoint, look, Some(empty()));
    let (order, is_order) = only(&mut reconciler, now).unwrap();
    assert!(is_order);
    reconciler.on_reply(now, endpoint, order, OrderReply::Taken);
    assert!(matches!(only(&mut reconciler, now), Some((_, false))));
    reconciler.on_observation(now, endpoint, late, Some(empty()));
    now = now + limits().load_interval;
    assert_eq!(only(&mut reconciler, now), None);
}

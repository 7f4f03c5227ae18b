//! A fleet of routers over a network that loses datagrams: streams keep their version, and those
//! whose origin is known go on.

use {
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Time, hash64},
    origin::{
        Action, LookupId, Message, Origin, Origins, Record, Resolution, Source, StreamKey, Wanted,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
};

const SERVICE: &str = "model";
const DOMAINS: usize = 3;
const MAX_AGE_MS: u64 = 10_000;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// The interval between confirmations of a list of endpoints, in microseconds.
const CONFIRM_INTERVAL: u64 = 1_000 * MILLISECOND;

/// The delay of a datagram, in milliseconds.
const DELAY_MS: u64 = 5;

fn service() -> u64 {
    hash64(SERVICE.as_bytes())
}

fn addr(at: usize) -> SocketAddr {
    ([10, 0, 0, 1], at as u16 + 1).into()
}

fn build(version: &str) -> BuildId {
    BuildId(hash64(version.as_bytes()))
}

fn endpoint(version: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e-{version}").into(),
        service: SERVICE.into(),
        addr: addr(0),
        domain: Domain("d0".into()),
        slots: 1,
        draining: false,
        started_at_ms: None,
        build: Some(version.into()),
    }
}

fn wanted(key: StreamKey) -> Wanted {
    Wanted { key: Some(key), service: Some(service()), max_age_ms: MAX_AGE_MS }
}

/// What happens to the fleet.
#[derive(Clone, Debug)]
enum Step {
    /// A stream begins at a router, at one of the listed versions.
    Begin { router: usize, version: usize },
    /// A client resumes one of its streams.
    Resume { router: usize, stream: usize },
    /// A router is killed and starts again with nothing.
    Kill { router: usize },
    /// A router leaves in good order and starts again with nothing.
    Restart { router: usize },
    /// A router gets a list with these versions.
    List { router: usize, versions: usize },
    /// All routers get a list with these versions.
    Release { versions: usize },
    /// A router doesn't know another one, or knows it again.
    Forget { router: usize, other: usize },
    /// Time passes.
    Wait { ms: u64 },
}

fn step(routers: usize) -> impl Strategy<Value = Step> {
    let router = 0..routers;
    prop_oneof![
        6 => (router.clone(), 0_usize..3).prop_map(|(router, version)| Step::Begin { router, version }),
        8 => (router.clone(), any::<usize>()).prop_map(|(router, stream)| Step::Resume { router, stream }),
        1 => router.clone().prop_map(|router| Step::Kill { router }),
        1 => router.clone().prop_map(|router| Step::Restart { router }),
        1 => (router.clone(), 1_usize..8).prop_map(|(router, versions)| Step::List { router, versions }),
        1 => (1_usize..8).prop_map(|versions| Step::Release { versions }),
        1 => (router.clone(), router).prop_map(|(router, other)| Step::Forget { router, other }),
        2 => (1_u64..4_000).prop_map(|ms| Step::Wait { ms }),
    ]
}

struct Fleet {
    now: Time,
    routers: Vec<Origins>,
    /// The routers that each one doesn't know.
    forgotten: Vec<HashSet<usize>>,
    /// The versions listed at each router, as bits.
    listed: Vec<usize>,
    /// The routers whose lists are not confirmed, as they are cut off or do not run.
    unconfirmed: HashSet<usize>,
    in_transit: Vec<(Time, usize, SocketAddr, Message)>,
    results: HashMap<(usize, LookupId), Resolution>,
    random: ChaCha8Rng,
    /// The share of datagrams that are lost, in percent.
    loss: u32,
    /// The key and the version of each stream.
    streams: Vec<(StreamKey, BuildId)>,
}

impl Fleet {
    fn new(routers: usize, loss: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Time(0),
            routers: (0..routers).map(|it| Origins::new(addr(it))).collect(),
            forgotten: vec![HashSet::new(); routers],
            listed: vec![1; routers],
            unconfirmed: HashSet::new(),
            in_transit: Vec::new(),
            results: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            streams: Vec::new(),
        };
        (0..routers).for_each(|it| fleet.start(it));
        fleet
    }

    fn start(&mut self, at: usize) {
        self.routers[at] = Origins::new(addr(at));
        self.results.retain(|it, _| it.0 != at);
        self.set_members(at);
        self.list(at, self.listed[at]);
    }

    fn set_members(&mut self, at: usize) {
        let domains: Vec<_> = (0..DOMAINS).map(|it| Domain(format!("d{it}").into())).collect();
        let known = (0..self.routers.len()).filter(|it| !self.forgotten[at].contains(it));
        let members = known.map(|it| (addr(it), &domains[it % DOMAINS]));
        self.routers[at].set_members(addr(at), members);
    }

    fn list(&mut self, at: usize, versions: usize) {
        self.listed[at] = versions;
        let listed = VERSIONS.iter().enumerate().filter(|it| versions & (1 << it.0) != 0);
        let listed: Vec<_> = listed.map(|it| endpoint(it.1)).collect();
        self.routers[at].update_endpoints(self.now, &listed);
    }

    /// Returns whether a router has a version in its list.
    fn lists(&self, at: usize, version: BuildId) -> bool {
        let listed = VERSIONS.iter().enumerate().filter(|it| self.listed[at] & (1 << it.0) != 0);
        listed.map(|it| build(it.1)).any(|it| it == version)
    }

    /// Confirms the lists of endpoints, as control does all the time.
    fn confirm(&mut self) {
        for (at, router) in self.routers.iter_mut().enumerate() {
            if !self.unconfirmed.contains(&at) {
                router.confirm_endpoints(self.now);
            }
        }
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if self.random.random_range(0..100) >= self.loss {
                        let arrives = self.now + DELAY_MS * MILLISECOND;
                        self.in_transit.push((arrives, at, to, message));
                    }
                }
                Action::Resolve { lookup, resolution } => {
                    let before = self.results.insert((at, lookup), resolution);
                    assert_eq!(before, None, "a lookup ended twice");
                }
            }
        }
    }

    /// Lets time pass until `until`.
    fn advance(&mut self, until: Time) {
        while self.now + CONFIRM_INTERVAL < until {
            self.deliver_until(self.now + CONFIRM_INTERVAL);
            self.confirm();
        }
        self.deliver_until(until);
        self.confirm();
    }

    fn deliver_until(&mut self, until: Time) {
        loop {
            let arrival = self.in_transit.iter().map(|it| it.0).min().unwrap_or(Time::NEVER);
            let deadline = self.routers.iter().map(Origins::next_deadline).min();
            let next = arrival.min(deadline.unwrap_or(Time::NEVER));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            let now = self.now;
            let arrived: Vec<_> = self.in_transit.extract_if(.., |it| it.0 <= now).collect();
            for (_, from, to, message) in arrived {
                let at = usize::from(to.port()) - 1;
                let actions = self.routers[at].receive(now, addr(from), message);
                self.perform(at, actions);
            }
            for at in 0..self.routers.len() {
                let actions = self.routers[at].tick(now);
                self.perform(at, actions);
            }
        }
        self.now = self.now.max(until);
    }

    fn begin(&mut self, at: usize, version: usize) {
        let versions = self.listed[at];
        let version = (0..3).map(|it| (version + it) % 3).find(|it| versions & (1 << it) != 0);
        let build = build(VERSIONS[version.expect("no version is listed")]);
        let key = StreamKey::new("team", self.streams.len().to_string().as_bytes());
        self.streams.push((key, build));
        self.tell(at, key, build);
    }

    fn tell(&mut self, at: usize, key: StreamKey, build: BuildId) {
        let origin = Origin { service: service(), build };
        let record = Record { key, origin, keep_ms: MAX_AGE_MS };
        let actions = self.routers[at].begin(self.now, record, Some(service()));
        self.perform(at, actions);
    }

    /// Resumes a stream whose client does not name it.
    fn resume_unnamed(&mut self, at: usize) -> Resolution {
        self.look_up(at, Wanted { key: None, ..wanted(StreamKey(0)) })
    }

    /// Resumes a stream and returns the result.
    fn resume(&mut self, at: usize, key: StreamKey) -> Resolution {
        self.look_up(at, wanted(key))
    }

    fn look_up(&mut self, at: usize, wanted: Wanted) -> Resolution {
        let (lookup, actions) = self.routers[at].look_up(self.now, wanted, self.now);
        self.perform(at, actions);
        while !self.results.contains_key(&(at, lookup)) {
            let deadline = self.routers[at].next_deadline();
            assert_ne!(deadline, Time::NEVER, "a lookup never ends");
            self.advance((self.now + DELAY_MS * MILLISECOND).min(deadline));
        }
        self.results[&(at, lookup)]
    }
}

fn play(routers: usize, loss: u32, seed: u64, steps: &[Step]) {
    // A router whose list lags can't know of a version that began a stream elsewhere.
    let lists_differ = steps.iter().any(|it| matches!(it, Step::List { .. }));
    let mut fleet = Fleet::new(routers, loss, seed);
    fleet.advance(Time(60_000 * MILLISECOND));
    let mut began: BTreeMap<usize, Time> = BTreeMap::new();
    for step in steps {
        match *step {
            Step::Begin { router, version } => {
                began.insert(fleet.streams.len(), fleet.now);
                fleet.begin(router, version);
                fleet.advance(fleet.now + DELAY_MS * MILLISECOND);
            }
            Step::Resume { router, stream } => {
                let Some(at) = stream.checked_rem(fleet.streams.len()) else { continue };
                // A client gives up before the origin expires.
                if fleet.now >= began[&at] + (MAX_AGE_MS - 1_000) * MILLISECOND {
                    continue;
                }
                let (key, build) = fleet.streams[at];
                if let Resolution::Known { origin, source } = fleet.resume(router, key) {
                    if !lists_differ || source != Source::OnlyVersion {
                        assert_eq!(origin.build, build, "stream {at} goes on at another version");
                    }
                    // Without an endpoint of its version, the stream ends here.
                    if !fleet.lists(router, origin.build) {
                        continue;
                    }
                    began.insert(at, fleet.now);
                    fleet.streams[at].1 = origin.build;
                    fleet.tell(router, key, origin.build);
                }
            }
            Step::Kill { router } => fleet.start(router),
            Step::Restart { router } => {
                let actions = fleet.routers[router].leave(fleet.now);
                fleet.perform(router, actions);
                fleet.start(router);
            }
            Step::List { router, versions } => fleet.list(router, versions),
            Step::Release { versions } => {
                (0..routers).for_each(|it| fleet.list(it, versions));
            }
            Step::Forget { router, other } => {
                if !fleet.forgotten[router].remove(&other) {
                    fleet.forgotten[router].insert(other);
                }
                fleet.set_members(router);
            }
            Step::Wait { ms } => fleet.advance(fleet.now + ms * MILLISECOND),
        }
    }
}

fn in_fleet(mut steps: Vec<Step>, routers: usize) -> Vec<Step> {
    steps.retain(|it| match it {
        Step::Begin { router, .. }
        | Step::Resume { router, .. }
        | Step::Kill { router }
        | Step::Restart { router }
        | Step::List { router, .. } => *router < routers,
        Step::Forget { router, other } => *router < routers && *other < routers,
        Step::Release { .. } | Step::Wait { .. } => true,
    });
    steps
}

proptest! {
    #[test]
    fn a_stream_never_goes_on_at_another_version(
        routers in 1_usize..9,
        loss in 0_u32..60,
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(8), 1..80),
    ) {
        let steps = in_fleet(steps, routers);
        play(routers, loss, seed, &steps);
    }

    #[test]
    fn a_stream_never_goes_on_at_another_version_while_lists_agree(
        routers in 1_usize..9,
        loss in 0_u32..60,
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(8), 1..80),
    ) {
        let mut steps = in_fleet(steps, routers);
        steps.retain(|it| !matches!(it, Step::List { .. }));
        play(routers, loss, seed, &steps);
    }

    #[test]
    fn an_origin_survives_two_kills_and_the_loss_of_all_first_questions(
        routers in 6_usize..40,
        seed in any::<u64>(),
        killed in any::<usize>(),
        asker in any::<usize>(),
    ) {
        let mut fleet = Fleet::new(routers, 0, seed);
        (0..routers).for_each(|it| fleet.list(it, 3));
        let first = fleet.random.random_range(0..routers);
        fleet.begin(first, 1);
        fleet.advance(fleet.now + 10 * MILLISECOND);
        fleet.start(first);
        fleet.start(killed % routers);
        // The first questions are all lost.
        let key = fleet.streams[0].0;
        let asker = asker % routers;
        let (lookup, actions) = fleet.routers[asker].look_up(fleet.now, wanted(key), fleet.now);
        let at_once = actions.into_iter().filter(|it| matches!(it, Action::Resolve { .. }));
        fleet.perform(asker, at_once.collect());
        fleet.advance(fleet.now + 300 * MILLISECOND);
        let result = fleet.results.get(&(asker, lookup)).copied();
        let is_known = matches!(result, Some(Resolution::Known { origin, .. }) if origin.build == build("v2"));
        prop_assert!(is_known, "{:?}", result);
    }

    #[test]
    fn origins_survive_a_rolling_restart_of_all_routers(routers in 4_usize..20, seed in any::<u64>()) {
        let mut fleet = Fleet::new(routers, 0, seed);
        (0..routers).for_each(|it| fleet.list(it, 3));
        for at in 0..40 {
            fleet.begin(at % routers, at);
        }
        fleet.advance(fleet.now + 10 * MILLISECOND);
        for at in 0..routers {
            let actions = fleet.routers[at].leave(fleet.now);
            fleet.perform(at, actions);
            fleet.start(at);
            fleet.advance(fleet.now + 10 * MILLISECOND);
        }
        for stream in 0..40 {
            let (key, build) = fleet.streams[stream];
            let result = fleet.resume(stream % routers, key);
            let is_known = matches!(result, Resolution::Known { origin, .. } if origin.build == build);
            prop_assert!(is_known, "{:?}", result);
        }
    }

    #[test]
    fn messages_of_unknown_senders_are_harmless(
        keys in proptest::collection::vec(any::<u64>(), 0..50),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(4, 0, seed);
        (0..4).for_each(|it| fleet.list(it, 3));
        fleet.begin(0, 0);
        let (key, build) = fleet.streams[0];
        fleet.advance(fleet.now + 10 * MILLISECOND);
        let other = Origin { service: service(), build: BuildId(1) };
        for forged in keys.into_iter().map(StreamKey).chain([key]) {
            let record = Record { key: forged, origin: other, keep_ms: u64::MAX };
            for message in [
                Message::Known(record),
                Message::NotKnown { wanted: wanted(forged), only: Some(BuildId(1)) },
                Message::Tell(vec![record; 100]),
            ] {
                let actions = fleet.routers[0].receive(fleet.now, addr(500), message);
                fleet.perform(0, actions);
            }
        }
        let known = Resolution::Known {
            origin: Origin { service: service(), build },
            source: Source::Own,
        };
        prop_assert_eq!(fleet.resume(0, key), known);
    }
}

#[test]
fn answer_of_a_router_that_was_not_asked_is_ignored() {
    let mut fleet = Fleet::new(2, 100, 1);
    let key = StreamKey(7);
    let (lookup, _) = fleet.routers[0].look_up(fleet.now, wanted(key), fleet.now);
    let origin = Origin { service: service(), build: build("v2") };
    let answer = Message::Known(Record { key, origin, keep_ms: MAX_AGE_MS });
    let actions = fleet.routers[0].receive(fleet.now, addr(500), answer.clone());
    assert_eq!(actions, []);
    let actions = fleet.routers[0].receive(fleet.now, addr(1), answer);
    let resolution = Resolution::Known { origin, source: Source::Peer(addr(1)) };
    assert_eq!(actions, [Action::Resolve { lookup, resolution }]);
}

#[test]
fn only_version_is_not_proved_while_a_router_is_silent() {
    let mut fleet = Fleet::new(3, 100, 1);
    fleet.advance(Time(60_000 * MILLISECOND));
    let result = fleet.resume(0, StreamKey(7));
    assert!(matches!(result, Resolution::Unknown { .. }), "{result:?}");
}

#[test]
fn router_that_has_just_started_asks_the_client_to_return_soon() {
    let mut origins = Origins::new(addr(0));
    origins.update_endpoints(Time(0), &[endpoint("v1")]);
    let mut retry_ms = |at| {
        origins.confirm_endpoints(Time(at * MILLISECOND));
        let now = Time(at * MILLISECOND);
        let actions = origins.look_up(now, wanted(StreamKey(7)), now).1;
        match actions[..] {
            [Action::Resolve { resolution: Resolution::Unknown { retry_ms }, .. }] => retry_ms,
            _ => panic!("expected a refusal, found {actions:?}"),
        }
    };
    assert_eq!(retry_ms(500), 1_000);
    assert_eq!(retry_ms(4_000), 6_000);
}

/// Returns the result of an unnamed resumption at a router of three that has just started, where
/// the others have had lists with `before` and then `now`.
fn unnamed_resumption_after_a_restart(before: usize, now: usize, age_ms: u64) -> Resolution {
    let mut fleet = Fleet::new(3, 0, 1);
    (0..3).for_each(|it| fleet.list(it, before));
    fleet.advance(Time(60_000 * MILLISECOND));
    (0..3).for_each(|it| fleet.list(it, now));
    fleet.advance(fleet.now + age_ms * MILLISECOND);
    fleet.start(0);
    fleet.advance(fleet.now + 100 * MILLISECOND);
    fleet.resume_unnamed(0)
}

#[test]
fn router_that_has_started_learns_from_others_that_there_was_only_one_version() {
    let origin = Origin { service: service(), build: build("v1") };
    let known = Resolution::Known { origin, source: Source::OnlyVersion };
    assert_eq!(unnamed_resumption_after_a_restart(1, 1, 0), known);
    assert_eq!(unnamed_resumption_after_a_restart(3, 1, MAX_AGE_MS), known);
    for (before, now) in [(3, 1), (2, 1), (1, 3)] {
        let result = unnamed_resumption_after_a_restart(before, now, MAX_AGE_MS - 1_000);
        assert!(matches!(result, Resolution::Unknown { .. }), "{before} {now}: {result:?}");
    }
}

#[test]
fn only_version_is_not_proved_by_others_whose_lists_differ() {
    let mut fleet = Fleet::new(3, 0, 1);
    fleet.advance(Time(60_000 * MILLISECOND));
    fleet.start(0);
    fleet.list(0, 2);
    assert!(matches!(fleet.resume_unnamed(0), Resolution::Unknown { .. }));
}

#[test]
fn only_version_is_proved_once_the_list_is_older_than_any_stream() {
    let mut fleet = Fleet::new(3, 0, 1);
    fleet.advance(Time((MAX_AGE_MS - 1_000) * MILLISECOND));
    let Resolution::Unknown { retry_ms } = fleet.resume(0, StreamKey(7)) else {
        panic!("the list is too new");
    };
    fleet.advance(fleet.now + retry_ms * MILLISECOND);
    let origin = Origin { service: service(), build: build("v1") };
    let known = Resolution::Known { origin, source: Source::OnlyVersion };
    assert_eq!(fleet.resume(0, StreamKey(7)), known);
    // A version that left may have begun the stream.
    fleet.list(0, 3);
    fleet.list(0, 1);
    assert!(matches!(fleet.resume(0, StreamKey(7)), Resolution::Unknown { .. }));
    (0..3).for_each(|it| fleet.start(it));
    assert!(matches!(fleet.resume(1, StreamKey(7)), Resolution::Unknown { .. }));
}

/// Returns a fleet of three in which the list of router 0 was not confirmed since `gap_ms` ago. Meanwhile the others got
/// one with a second version, and a stream began there without the others being told.
fn fleet_with_a_router_out_of_step(gap_ms: u64) -> (Fleet, StreamKey) {
    let mut fleet = Fleet::new(3, 0, 1);
    fleet.advance(Time(60_000 * MILLISECOND));
    fleet.unconfirmed.insert(0);
    (1..3).for_each(|it| fleet.list(it, 3));
    fleet.loss = 100;
    fleet.begin(1, 1);
    fleet.loss = 0;
    fleet.advance(fleet.now + gap_ms * MILLISECOND);
    let key = fleet.streams[0].0;
    fleet.start(1);
    fleet.advance(fleet.now);
    (fleet, key)
}

/// A gateway that was cut off or stood still took up a stream at the version of its old list.
#[test]
fn only_version_is_not_proved_by_a_list_that_was_not_confirmed_lately() {
    let (mut fleet, key) = fleet_with_a_router_out_of_step(2_000);
    for result in [fleet.resume(0, key), fleet.resume_unnamed(0)] {
        assert_eq!(result, Resolution::Unknown { retry_ms: 1_000 });
    }
    // The list of the others arrives.
    fleet.unconfirmed.clear();
    fleet.list(0, 3);
    fleet.advance(fleet.now);
    for result in [fleet.resume(0, key), fleet.resume_unnamed(0)] {
        assert!(matches!(result, Resolution::Unknown { .. }), "{result:?}");
    }
}

/// A gateway that stood still first reads the messages that have waited, and only then the new list.
#[test]
fn message_that_waited_while_a_router_stood_still_does_not_confirm_its_list() {
    let (mut fleet, key) = fleet_with_a_router_out_of_step(0);
    fleet.routers[0].record_run(fleet.now);
    fleet.unconfirmed.clear();
    fleet.unconfirmed.insert(0);
    fleet.advance(fleet.now + 3_000 * MILLISECOND);
    fleet.routers[0].record_run(fleet.now);
    fleet.routers[0].confirm_endpoints(fleet.now);
    for result in [fleet.resume(0, key), fleet.resume_unnamed(0)] {
        assert!(matches!(result, Resolution::Unknown { .. }), "{result:?}");
    }
}

/// Others that are asked instead must not prove anything by old lists either.
#[test]
fn only_version_is_not_proved_by_a_list_of_others_that_was_not_confirmed_lately() {
    let (mut fleet, _) = fleet_with_a_router_out_of_step(2_000);
    fleet.unconfirmed.extend(0..3);
    (0..3).for_each(|it| fleet.list(it, 1));
    fleet.advance(fleet.now + 20_000 * MILLISECOND);
    let result = fleet.resume_unnamed(0);
    assert!(matches!(result, Resolution::Unknown { .. }), "{result:?}");
}

/// A version that joined and left while a gateway was cut off is in none of its lists.
#[test]
fn only_version_is_not_proved_for_the_time_of_a_long_gap() {
    let (mut fleet, key) = fleet_with_a_router_out_of_step(6_000);
    (1..3).for_each(|it| fleet.list(it, 1));
    fleet.unconfirmed.clear();
    fleet.advance(fleet.now);
    for result in [fleet.resume(0, key), fleet.resume_unnamed(0)] {
        assert!(matches!(result, Resolution::Unknown { .. }), "{result:?}");
    }
    fleet.advance(fleet.now + MAX_AGE_MS * MILLISECOND);
    let origin = Origin { service: service(), build: build("v1") };
    let known = Resolution::Known { origin, source: Source::OnlyVersion };
    assert_eq!(fleet.resume_unnamed(0), known);
}

#[test]
fn kept_origins_are_bounded_and_expire() {
    let mut origins = Origins::new(addr(0));
    let origin = Origin { service: 1, build: BuildId(2) };
    for key in 0..70_000 {
        let record = Record { key: StreamKey(key), origin, keep_ms: 1_000 };
        origins.begin(Time(key), record, None);
    }
    assert_eq!(origins.len(), 65_536);
    let record = Record { key: StreamKey(0), origin, keep_ms: 1_000 };
    origins.begin(Time(2_000_000), record, None);
    assert_eq!(origins.len(), 1);
}

//! Which replica a router asks, while replicas fail to answer in all ways.

use {
    fanout::{RequestCause, Requests, Turn},
    model::{MILLISECOND, Time},
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    std::net::SocketAddr,
};

/// The time within which a change must be in force on the users' platform, in milliseconds.
const IN_FORCE_MS: u64 = 2_500;

/// How long a replica takes to answer, in milliseconds.
const ANSWER_MS: u64 = 20;

/// How long a referral takes that fails, in milliseconds.
const REFERRAL_MS: u64 = 400;

fn replica(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 7_360).into()
}

fn ms(ms: u64) -> Time {
    Time(ms * MILLISECOND)
}

/// What a replica does about a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Behavior {
    Send,
    Ignore,
    /// Its stream ends.
    Close,
    /// It refers to a router that fails.
    Refer,
}

/// A router and the replicas that it watches, in steps of a millisecond.
struct Model {
    requests: Requests,
    replicas: Vec<(Behavior, Option<u64>)>,
    /// When a replica answers, in milliseconds.
    answers: Vec<(u64, usize)>,
    asked: Vec<(u64, usize)>,
    now_ms: u64,
    installed: u64,
}

impl Model {
    fn new(behaviors: &[Behavior]) -> Model {
        let mut requests = Requests::default();
        requests.record_installed(ms(0), 1, replica(0));
        let replicas = behaviors.iter().map(|it| (*it, Some(1))).collect();
        let (answers, asked) = (Vec::new(), Vec::new());
        Model { requests, replicas, answers, asked, now_ms: 0, installed: 1 }
    }

    fn announce(&mut self, index: usize, version: u64) {
        if let Some(announced) = &mut self.replicas[index].1 {
            *announced = version;
            self.requests.record_announced(replica(index), version);
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now = ms(self.now_ms);
        let due: Vec<_> = self.answers.extract_if(.., |it| it.0 <= self.now_ms).collect();
        for (_, index) in due {
            self.answer(now, index);
        }
        for index in 0..self.replicas.len() {
            if let Turn::Ask { .. } = self.requests.next(now, replica(index)) {
                self.asked.push((self.now_ms, index));
                self.ask(index);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        match self.replicas[index].0 {
            Behavior::Ignore => {}
            Behavior::Send | Behavior::Close => self.answers.push((self.now_ms + ANSWER_MS, index)),
            Behavior::Refer => {
                self.answers.push((self.now_ms + REFERRAL_MS, index));
            }
        }
    }

    fn answer(&mut self, now: Time, index: usize) {
        let (behavior, announced) = self.replicas[index];
        match (behavior, announced) {
            (Behavior::Send, Some(version)) if version > self.installed => {
                self.installed = version;
                self.requests.record_installed(now, version, replica(index));
            }
            (Behavior::Close, _) => {
                self.replicas[index].1 = None;
                self.requests.record_lost(now, replica(index));
            }
            (Behavior::Refer, _) => {
                let cause = RequestCause::ReferralFailed;
                self.requests.record_settled(now, replica(index), cause);
            }
            _ => {}
        }
    }

    fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.step();
        }
    }
}

#[test]
fn other_replicas_are_asked_in_turn() {
    let mut model = Model::new(&[Behavior::Ignore, Behavior::Ignore, Behavior::Ignore]);
    for index in 0..3 {
        model.announce(index, 2);
        model.step();
    }
    model.run(6_000);
    let first: Vec<_> = model.asked.iter().map(|it| it.1).collect();
    assert!(first.starts_with(&[0, 1, 2, 0, 1, 2]), "asked {:?}", model.asked);
}

#[rstest]
#[case::stream_lost(Behavior::Close, ANSWER_MS)]
#[case::referral_failed(Behavior::Refer, REFERRAL_MS)]
fn another_replica_is_asked_as_soon_as_a_request_has_failed(
    #[case] behavior: Behavior,
    #[case] failed_ms: u64,
) {
    let mut model = Model::new(&[behavior, Behavior::Send]);
    model.announce(0, 2);
    model.step();
    model.announce(1, 2);
    model.run(IN_FORCE_MS);
    assert_eq!(model.asked.iter().map(|it| it.1).collect::<Vec<_>>(), [0, 1]);
    let pause_ms = model.asked[1].0 - model.asked[0].0 - failed_ms;
    assert!(pause_ms <= 100, "asked another replica after {pause_ms} ms more");
}

#[test]
fn replica_that_owes_an_answer_is_not_asked_while_others_answer() {
    let mut model = Model::new(&[Behavior::Ignore, Behavior::Send, Behavior::Send]);
    for version in 2..100 {
        for index in 0..3 {
            model.announce(index, version);
            model.run(model.now_ms + 30);
        }
    }
    let silent = model.asked.iter().filter(|it| it.1 == 0).count();
    assert_eq!(silent, 1, "asked {:?}", model.asked);
    assert!(model.installed >= 98);
}

#[test]
fn slow_replica_is_asked_again_if_no_other_one_can_be() {
    let mut model = Model::new(&[Behavior::Ignore, Behavior::Send]);
    model.announce(0, 2);
    model.step();
    model.announce(1, 2);
    model.run(1_000);
    assert_eq!((model.installed, model.asked.len()), (2, 2));
    model.replicas[0].0 = Behavior::Send;
    model.requests.record_lost(ms(1_000), replica(1));
    model.replicas[1].1 = None;
    for version in 3..6 {
        model.announce(0, version);
        model.run(model.now_ms + IN_FORCE_MS);
        assert_eq!(model.installed, version);
    }
}

#[test]
fn requests_are_not_repeated_without_need() {
    let mut model = Model::new(&[Behavior::Send, Behavior::Send, Behavior::Send]);
    for version in 2..100 {
        for index in 0..3 {
            model.announce(index, version);
            model.run(model.now_ms + 5);
        }
        model.run(model.now_ms + 85);
    }
    assert_eq!(model.installed, 99);
    assert_eq!(model.asked.len(), 98, "asked {:?}", model.asked);
}

#[test]
fn version_is_requested_at_once_from_the_replica_that_knows_it() {
    let mut model = Model::new(&[Behavior::Ignore, Behavior::Send]);
    model.announce(0, 2);
    model.step();
    model.announce(1, 3);
    model.step();
    assert_eq!(model.asked, [(1, 0), (2, 1)]);
}

#[test]
fn replica_that_has_left_is_not_waited_for() {
    let mut model = Model::new(&[Behavior::Ignore, Behavior::Ignore, Behavior::Send]);
    model.announce(0, 2);
    model.announce(1, 2);
    model.step();
    model.requests.record_lost(ms(2), replica(0));
    model.requests.record_lost(ms(2), replica(1));
    model.replicas[0].1 = None;
    model.replicas[1].1 = None;
    model.announce(2, 2);
    model.run(100);
    assert_eq!(model.installed, 2);
}

fn behavior() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        Just(Behavior::Send),
        Just(Behavior::Ignore),
        Just(Behavior::Close),
        Just(Behavior::Refer),
    ]
}

proptest! {
    /// One of three replicas sends what it announced, the others do anything, and changes go on.
    #[test]
    fn change_is_in_force_in_time_while_one_replica_sends_it(
        behaviors in vec(behavior(), 2),
        sender in 0..3_usize,
        delays_ms in vec(0..40_u64, 3),
        interval_ms in 50..1_500_u64,
    ) {
        let mut behaviors = behaviors;
        behaviors.insert(sender, Behavior::Send);
        let mut model = Model::new(&behaviors);
        let mut events = Vec::new();
        for version in 2..40 {
            let at = (version - 1) * interval_ms;
            events.extend(delays_ms.iter().enumerate().map(|(index, it)| (at + it, index, version)));
        }
        events.sort_unstable();
        let end_ms = events.last().map_or(0, |it| it.0) + IN_FORCE_MS;
        let mut announced = Vec::new();
        for (at, index, version) in events {
            while model.now_ms < at {
                model.step();
                let is_due = |it: &&(u64, u64)| it.0 + IN_FORCE_MS <= model.now_ms;
                let due = announced.iter().rfind(is_due).map_or(1, |it| it.1);
                prop_assert!(model.installed >= due, "{} in force, {due} is due", model.installed);
            }
            model.announce(index, version);
            if index == sender {
                announced.push((at, version));
            }
        }
        model.run(end_ms);
        prop_assert_eq!(model.installed, 39);
    }
}

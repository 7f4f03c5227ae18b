//! Drives requests at an entry router against owners and endpoints whose messages are delayed, lost, duplicated and
//! reordered.

mod fleet;

use {
    fleet::{Fault, Fleet, Step, any_step, calm_step, survivable_failure},
    model::{AttemptNo, EndpointId, Epoch, Outcome, Reason, Time},
    proptest::{collection::vec, prelude::*},
    retry::{Action, Admission, Attempts, Event, Reply, RequestSpec, RetryBudget, RetryLimits},
};

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Every caller receives each byte of its own response once and in order, and the end only after the last byte.
    #[test]
    fn response_bytes_arrive_once_and_in_order(
        kinds in vec((any::<bool>(), any::<bool>()), 1..4),
        steps in vec(any_step(), 0..150),
    ) {
        let mut fleet = Fleet::new(&kinds, 100);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert_eq!(fleet.faults(&[Fault::Body]), vec![]);
    }

    /// A request is reported as not run only if no endpoint starts it, before or after the report.
    #[test]
    fn started_requests_are_never_reported_as_not_run(
        kinds in vec((any::<bool>(), any::<bool>()), 1..4),
        steps in vec(any_step(), 0..150),
    ) {
        let mut fleet = Fleet::new(&kinds, 100);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert_eq!(fleet.faults(&[Fault::Outcome]), vec![]);
    }

    /// A non-idempotent request is started at most once.
    #[test]
    fn non_idempotent_requests_run_at_most_once(
        resumable in vec(any::<bool>(), 1..4),
        steps in vec(any_step(), 0..150),
    ) {
        let kinds: Vec<_> = resumable.into_iter().map(|it| (false, it)).collect();
        let mut fleet = Fleet::new(&kinds, 100);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert_eq!(fleet.faults(&[Fault::Reran]), vec![]);
    }

    /// Every request completes exactly once, and retries stay within the budget.
    #[test]
    fn requests_complete_once_and_retries_stay_within_the_budget(
        kinds in vec((any::<bool>(), any::<bool>()), 1..6),
        reserve in 0u32..4,
        steps in vec(any_step(), 0..150),
    ) {
        let mut fleet = Fleet::new(&kinds, reserve);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert_eq!(fleet.faults(&[Fault::Completion]), vec![]);
        let earned =
            u64::from(reserve) * 1_000 + kinds.len() as u64 * u64::from(fleet::RETRY_PERMILLE);
        prop_assert!(fleet.retries() * 1_000 <= earned, "{} retries", fleet.retries());
    }
}

proptest! {
    #![proptest_config(config())]

    /// Resumable requests receive complete responses despite as many failures as they have retries, one of which may
    /// be the crash of an endpoint.
    #[test]
    fn resumable_requests_survive_failures(
        requests in 1usize..4,
        calm_runs in vec(vec(calm_step(), 0..25), 5),
        failures in vec(survivable_failure(), 0..4),
        crash in proptest::option::of(any::<usize>()),
    ) {
        let mut fleet = Fleet::new(&vec![(true, true); requests], 100);
        let mut failures = failures.into_iter().chain(crash.map(Step::Crash));
        for steps in calm_runs {
            steps.into_iter().chain(failures.next()).for_each(|it| fleet.step(it));
        }
        prop_assert_eq!(fleet.finish(), Vec::<usize>::new());
    }
}

const HOME: EndpointId = EndpointId(1);
const NEXT: EndpointId = EndpointId(2);

fn start(idempotent: bool) -> (Attempts, RetryBudget) {
    let budget = RetryBudget::new(100, 10);
    let spec = RequestSpec {
        idempotent,
        resumable: true,
        deadline: Time(1_000_000),
        candidates: [HOME, NEXT].into_iter().collect(),
    };
    let (attempts, actions) =
        Attempts::start(Time(1), spec, RetryLimits::default(), Epoch(1), &budget);
    assert!(matches!(actions[0], Action::Forward { endpoint: HOME, .. }));
    (attempts, budget)
}

fn failed(crashed: bool) -> Reply {
    let refusal =
        model::Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 7 };
    Reply::Failed { refusal, crashed }
}

#[test]
fn a_second_crash_quarantines_the_request() {
    let (mut attempts, budget) = start(true);
    let event = |no, reply| Event::Reply { attempt: AttemptNo(no), reply };
    let actions = attempts.handle(Time(2), event(1, failed(true)), &budget);
    assert!(matches!(actions[0], Action::Forward { endpoint: NEXT, .. }), "{actions:?}");
    let actions = attempts.handle(Time(3), event(2, failed(true)), &budget);
    assert_eq!(actions[0], Action::Quarantine);
    let Action::Refuse(refusal) = actions[1] else { panic!("{actions:?}") };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Quarantined, Outcome::Unknown));
}

#[test]
fn an_endpoint_without_capacity_is_skipped_for_the_next_candidate() {
    let (mut attempts, budget) = start(false);
    let reply = Reply::NoCapacity { endpoints: Default::default() };
    let event = Event::Reply { attempt: AttemptNo(1), reply };
    let actions = attempts.handle(Time(2), event, &budget);
    let admission = Admission::Home;
    let next = Action::Forward { endpoint: NEXT, attempt: AttemptNo(2), offset: 0, admission };
    assert_eq!(actions[0], next);
}

#[test]
fn a_deadline_refusal_is_immediate_and_unknown_while_an_attempt_is_in_flight() {
    let (mut attempts, budget) = start(true);
    let actions = attempts.handle(Time(1_000_000), Event::Tick, &budget);
    assert_eq!(actions[0], Action::Cancel { attempt: AttemptNo(1), endpoint: HOME });
    let Action::Refuse(refusal) = actions[1] else { panic!("{actions:?}") };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Deadline, Outcome::Unknown));
    assert!(refusal.retry_ms > 0);
}

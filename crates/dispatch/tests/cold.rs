//! Which endpoints a router believes to be cold, and for how long.

mod common;

use {
    common::{NOW, chat, domain, listed, plain},
    directory::ListedEndpoint,
    dispatch::{
        Assignment, AttemptOutcome, ColdRate, ColdReport, ColdSource, DispatchRequest, Dispatcher,
        LimitChange, SubmitResult,
    },
    model::{MILLISECOND, SECOND, Time},
    rstest::rstest,
};

const RATE: ColdRate = ColdRate { start_ms: 10_000, rate: 8.0, max_per_second: 17.0 };

fn run(at: u16, started_at_ms: u64) -> ListedEndpoint {
    ListedEndpoint { started_at_ms: Some(started_at_ms), ..listed("model", at, 100) }
}

/// Returns a dispatcher whose only endpoint, which may be cold, has been listed for long.
fn single() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(domain("d0"), 1);
    dispatcher.set_kv_capacity(&"model".into(), Some(600_000));
    dispatcher.set_cold_rate(NOW, &"model".into(), Some(RATE));
    dispatcher.update_endpoints(&[run(0, 1)]);
    dispatcher
}

fn send(dispatcher: &mut Dispatcher, now: Time) -> Option<Assignment> {
    let request = DispatchRequest { wait_until: now, ..chat(now, 1, 300, now.0) };
    match dispatcher.submit(now, request) {
        SubmitResult::Started(it) => Some(it),
        SubmitResult::Queued(_) | SubmitResult::Refused { .. } => None,
    }
}

/// Returns how many requests start in the second from `from`.
fn per_second(dispatcher: &mut Dispatcher, from: Time) -> usize {
    let mut started = 0;
    for at in (0..100).map(|it| from + it * 10 * MILLISECOND) {
        let Some(sent) = send(dispatcher, at) else { continue };
        started += 1;
        dispatcher.finish(at, &sent, AttemptOutcome::Abandoned, 0.0);
    }
    started
}

/// Checks that the endpoint is cold for `millis` milliseconds from [`NOW`].
fn check_cold(dispatcher: &mut Dispatcher, millis: u64, source: ColdSource) {
    let changes = dispatcher.take_cold_changes(NOW);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].source, changes[0].remaining_ms), (source, millis));
    let cold = per_second(dispatcher, NOW);
    assert!(cold <= 8, "{cold} requests");
    let last = NOW + millis * MILLISECOND;
    assert!(per_second(dispatcher, last.saturating_sub(SECOND + 1)) <= 9);
    assert_eq!(dispatcher.take_cold_changes(last.saturating_sub(1)), []);
    assert_eq!(dispatcher.take_cold_changes(last)[0].remaining_ms, 0);
    assert_eq!(per_second(dispatcher, last), 100);
}

#[test]
fn endpoints_are_not_cold_because_of_the_first_list() {
    let mut dispatcher = single();
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
    assert_eq!(dispatcher.take_cold_changes(NOW), []);
}

#[rstest]
#[case::rate_first(true)]
#[case::list_first(false)]
fn listed_cold(#[case] rate_first: bool) {
    let mut dispatcher = single();
    if rate_first {
        dispatcher.set_cold(NOW, &[("model-0".into(), 4_000)]);
    } else {
        dispatcher.set_cold_rate(NOW, &"model".into(), None);
        dispatcher.set_cold(NOW, &[("model-0".into(), 4_000)]);
        dispatcher.set_cold_rate(NOW, &"model".into(), Some(RATE));
    }
    check_cold(&mut dispatcher, 4_000, ColdSource::Listed);
}

#[test]
fn listed_before_the_endpoint_itself() {
    let mut dispatcher = single();
    dispatcher.set_cold(NOW, &[("model-1".into(), 14_000)]);
    dispatcher.update_endpoints(&[run(1, 1)]);
    check_cold(&mut dispatcher, 14_000, ColdSource::Listed);
}

#[test]
fn newly_listed() {
    let mut dispatcher = single();
    dispatcher.update_endpoints(&[run(1, 1)]);
    check_cold(&mut dispatcher, 10_000, ColdSource::Added);
}

#[test]
fn restarted() {
    let mut dispatcher = single();
    dispatcher.update_endpoints(&[run(0, 2)]);
    check_cold(&mut dispatcher, 10_000, ColdSource::Restarted);
}

/// An endpoint that a list omitted by mistake has not restarted.
#[test]
fn listed_again_with_the_same_start_time() {
    let mut dispatcher = single();
    dispatcher.update_endpoints(&[]);
    dispatcher.update_endpoints(&[run(0, 1)]);
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
}

#[test]
fn list_says_that_a_new_endpoint_is_not_cold() {
    let mut dispatcher = single();
    dispatcher.update_endpoints(&[run(1, 1)]);
    dispatcher.set_cold(NOW, &[("model-1".into(), 0)]);
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
}

/// A list that is up to 2 s old may not contain a newer belief.
#[test]
fn list_without_the_endpoint_ends_old_beliefs_only() {
    let mut dispatcher = single();
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    dispatcher.set_cold(NOW + SECOND, &[]);
    assert!(per_second(&mut dispatcher, NOW + SECOND) <= 9);
    dispatcher.set_cold(NOW + 2 * SECOND, &[]);
    assert_eq!(per_second(&mut dispatcher, NOW + 2 * SECOND), 100);
}

#[test]
fn evacuation_withdrawn() {
    let mut dispatcher = single();
    dispatcher.set_evacuated(NOW, &[domain("d0")]);
    assert_eq!(send(&mut dispatcher, NOW), None);
    dispatcher.set_evacuated(NOW, &[]);
    dispatcher.set_cold(NOW, &[("model-0".into(), 0)]);
    check_cold(&mut dispatcher, 10_000, ColdSource::Evacuated);
}

#[test]
fn endpoint_says_that_it_is_cold() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW).unwrap();
    dispatcher.record_cold(NOW, &sent, 3_000);
    check_cold(&mut dispatcher, 3_000, ColdSource::Reported);
}

#[test]
fn endpoint_says_that_it_is_not_cold() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW).unwrap();
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    dispatcher.record_cold(NOW, &sent, 0);
    // What others know is older.
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    let incarnation = sent.incarnation;
    let report = ColdReport { incarnation, remaining_ms: 9_000, hops: 0 };
    dispatcher.apply_cold_reports(NOW, &[report]);
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
}

#[test]
fn unreachable_and_back() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW.saturating_sub(5 * SECOND)).unwrap();
    let failed_at = NOW.saturating_sub(4 * SECOND);
    dispatcher.finish(failed_at, &sent, AttemptOutcome::Unreachable, 1.0);
    assert!(per_second(&mut dispatcher, failed_at) <= 8);
    dispatcher.finish(NOW, &sent, AttemptOutcome::Served, 1.0);
    check_cold(&mut dispatcher, 10_000, ColdSource::Unreachable);
}

#[test]
fn failures_of_the_path_do_not_make_endpoints_cold() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW).unwrap();
    dispatcher.finish(NOW, &sent, AttemptOutcome::Unreachable, 1.0);
    dispatcher.forgive_failures(None);
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
}

#[test]
fn another_router_says_so() {
    let mut dispatcher = single();
    let mut other = single();
    other.set_cold(NOW, &[("model-0".into(), 6_000)]);
    dispatcher.apply_cold_reports(NOW, &other.cold_reports(NOW));
    check_cold(&mut dispatcher, 6_000, ColdSource::Told);
}

/// Each message arrives late, which would prolong a cold period for ever if routers repeated what
/// they heard from each other.
#[test]
fn reports_end_although_routers_repeat_them() {
    let mut routers = [single(), single(), single()];
    routers[0].set_cold(NOW, &[("model-0".into(), 3_000)]);
    let mut now = NOW;
    while now < NOW + 6 * SECOND {
        let reports: Vec<_> = routers.iter().map(|it| it.cold_reports(now)).collect();
        now = now + 300 * MILLISECOND;
        for (at, it) in routers.iter_mut().enumerate() {
            it.apply_cold_reports(now, &reports[(at + 1) % 3]);
            it.apply_cold_reports(now, &reports[(at + 2) % 3]);
        }
    }
    for it in &mut routers {
        assert_eq!(per_second(it, now), 100);
    }
}

/// What only this router sees is not told: others would spare endpoints that it can't reach.
#[test]
fn own_connection_failures_are_not_told_to_others() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW).unwrap();
    dispatcher.finish(NOW, &sent, AttemptOutcome::Unreachable, 1.0);
    assert_eq!(dispatcher.cold_reports(NOW), []);
}

#[test]
fn endpoints_of_services_without_a_cold_rate_are_never_cold() {
    let mut dispatcher = single();
    dispatcher.set_cold_rate(NOW, &"model".into(), None);
    let sent = send(&mut dispatcher, NOW).unwrap();
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    dispatcher.record_cold(NOW, &sent, 9_000);
    dispatcher.set_evacuated(NOW, &[domain("d0")]);
    dispatcher.set_evacuated(NOW, &[]);
    dispatcher.finish(NOW, &sent, AttemptOutcome::Unreachable, 1.0);
    let report = ColdReport { incarnation: sent.incarnation, remaining_ms: 9_000, hops: 0 };
    dispatcher.apply_cold_reports(NOW, &[report]);
    dispatcher.update_endpoints(&[run(0, 2)]);
    assert_eq!(per_second(&mut dispatcher, NOW), 100);
    assert_eq!(dispatcher.take_cold_changes(NOW), []);
    assert_eq!(dispatcher.cold_reports(NOW), []);
}

#[test]
fn lower_one_of_cold_rate_and_named_limit_is_kept() {
    let mut dispatcher = single();
    let sent = send(&mut dispatcher, NOW).unwrap();
    let change: Option<LimitChange> = dispatcher.record_limit(NOW, sent.handle, Some(1.0));
    assert!(change.is_some());
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    let sent = (0..8).map(|it| per_second(&mut dispatcher, NOW + it * SECOND)).sum::<usize>();
    assert!(sent <= 11, "{sent} requests in 8 s");
}

/// A request that can wait does so for this router's next turn, and is told that time otherwise.
#[test]
fn requests_wait_for_the_next_turn_while_all_endpoints_are_cold() {
    let mut dispatcher = single();
    dispatcher.set_cold(NOW, &[("model-0".into(), 9_000)]);
    let late = DispatchRequest { wait_until: NOW, ..chat(NOW, 1, 300, 1) };
    let SubmitResult::Refused { retry_ms } = dispatcher.submit(NOW, late) else { panic!() };
    assert!((1..=2_000).contains(&retry_ms), "{retry_ms}");
    let patient = DispatchRequest { wait_until: NOW + 4 * SECOND, ..chat(NOW, 1, 300, 1) };
    assert!(matches!(dispatcher.submit(NOW, patient), SubmitResult::Queued(_)));
    let started = dispatcher.start_all_queued(NOW + retry_ms * MILLISECOND);
    assert_eq!(started.len(), 1);
    // Nothing of this concerns other services.
    assert!(!dispatcher.has_endpoints(&plain(NOW).service, None));
}

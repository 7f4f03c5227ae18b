//! Tests of requests for which there is no room.

mod common;

use {
    common::{NOW, chat, dispatcher, plain},
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult, WaiterId},
    model::{MILLISECOND, SECOND, Time},
    proptest::prelude::*,
    std::collections::HashMap,
};

const SLOTS: f64 = 6.0;

/// The time that a request runs, in milliseconds.
const RUN_MS: f64 = 30.0;

/// Returns a dispatcher whose plain endpoints are full, and the running requests.
fn fully_loaded() -> (Dispatcher, Vec<Assignment>) {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let mut assignments = Vec::new();
    // Lets some requests end first, so that the mean time that one occupies an endpoint is known.
    for _ in 0..200 {
        let SubmitResult::Started(assignment) = dispatcher.submit(NOW, plain(NOW)) else {
            unreachable!()
        };
        dispatcher.finish(NOW, &assignment, AttemptOutcome::Served, 30.0);
    }
    loop {
        match dispatcher.submit(NOW, plain(NOW)) {
            SubmitResult::Started(assignment) => assignments.push(assignment),
            SubmitResult::Queued(id) => {
                dispatcher.cancel(&"plain".into(), id);
                return (dispatcher, assignments);
            }
            SubmitResult::Refused { .. } => return (dispatcher, assignments),
        }
    }
}

fn without_waiting(now: Time) -> DispatchRequest {
    DispatchRequest { wait_until: now, ..plain(now) }
}

fn queued_id(result: SubmitResult) -> WaiterId {
    match result {
        SubmitResult::Queued(id) => id,
        other => panic!("expected a queued request, found {other:?}"),
    }
}

#[test]
fn request_that_cannot_be_served_in_time_is_refused_at_once() {
    let (mut dispatcher, assignments) = fully_loaded();
    assert!(assignments.len() >= 18, "at least all slots are used");
    let refused = dispatcher.submit(NOW, without_waiting(NOW));
    let SubmitResult::Refused(refusal) = refused else { panic!("{refused:?}") };
    assert!((100..=2_000).contains(&refusal.retry_ms));
}

#[test]
fn request_for_an_unknown_service_is_refused() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let request = DispatchRequest { service: "other".into(), ..plain(NOW) };
    assert!(matches!(dispatcher.submit(NOW, request), SubmitResult::Refused { .. }));
}

#[test]
fn queued_request_starts_when_a_slot_is_free() {
    let (mut dispatcher, assignments) = fully_loaded();
    let waiting = queued_id(dispatcher.submit(NOW, plain(NOW)));
    // The request shared the slots of its endpoint with all others there.
    let load = assignments.iter().filter(|it| it.handle == assignments[0].handle).count();
    let service_ms = RUN_MS * load as f64 / SLOTS;
    let next = dispatcher.finish(NOW, &assignments[0], AttemptOutcome::Served, service_ms);
    assert_eq!(next.iter().map(|it| it.0).collect::<Vec<_>>(), [waiting]);
    assert_eq!(next[0].1.id, assignments[0].id);
}

#[test]
fn queued_requests_start_by_priority_then_by_age() {
    let (mut dispatcher, assignments) = fully_loaded();
    let mut wait =
        |priority| queued_id(dispatcher.submit(NOW, DispatchRequest { priority, ..plain(NOW) }));
    let (low, first, second, high) = (wait(2), wait(1), wait(1), wait(0));
    let ends =
        assignments.iter().flat_map(|it| dispatcher.finish(NOW, it, AttemptOutcome::Served, 30.0));
    let order: Vec<_> = ends.map(|it| it.0).collect();
    assert_eq!(order, [high, first, second, low]);
}

#[test]
fn request_starts_at_once_after_the_queue_is_empty() {
    let (mut dispatcher, assignments) = fully_loaded();
    let first = queued_id(dispatcher.submit(NOW, plain(NOW)));
    // The waiting request is cancelled before a slot becomes free, so nothing goes before the new
    // request.
    dispatcher.cancel(&"plain".into(), first);
    dispatcher.finish(NOW, &assignments[0], AttemptOutcome::Abandoned, 0.0);
    assert!(matches!(dispatcher.submit(NOW, plain(NOW)), SubmitResult::Started(_)));
}

#[test]
fn queued_request_that_no_endpoint_can_serve_blocks_no_other() {
    let (mut dispatcher, assignments) = fully_loaded();
    // The request has already been sent to every endpoint.
    let excluded = assignments.iter().map(|it| it.handle).collect();
    queued_id(dispatcher.submit(NOW, DispatchRequest { excluded, priority: 0, ..plain(NOW) }));
    dispatcher.finish(NOW, &assignments[0], AttemptOutcome::Served, 30.0);
    assert!(matches!(dispatcher.submit(NOW, plain(NOW)), SubmitResult::Started(_)));
}

#[test]
fn queued_request_expires_at_its_deadline() {
    let (mut dispatcher, _) = fully_loaded();
    let waiting = queued_id(dispatcher.submit(NOW, plain(NOW)));
    assert_eq!(dispatcher.next_deadline(), NOW + 100 * MILLISECOND);
    assert!(dispatcher.expire(NOW + 99 * MILLISECOND).is_empty());
    let expired = dispatcher.expire(NOW + 100 * MILLISECOND);
    assert_eq!(expired.iter().map(|it| it.0).collect::<Vec<_>>(), [waiting]);
    assert_eq!(dispatcher.next_deadline(), Time::NEVER);
}

#[test]
fn cancelled_request_is_not_started() {
    let (mut dispatcher, assignments) = fully_loaded();
    let waiting = queued_id(dispatcher.submit(NOW, plain(NOW)));
    dispatcher.cancel(&"plain".into(), waiting);
    assert!(dispatcher.finish(NOW, &assignments[0], AttemptOutcome::Served, 30.0).is_empty());
}

#[test]
fn prompts_stay_within_the_kv_capacity_of_an_endpoint() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let mut tokens = 0;
    for own in 0..64 {
        let request = DispatchRequest { wait_until: NOW, ..chat(NOW, own, 29_500, own) };
        if let SubmitResult::Started(assignment) = dispatcher.submit(NOW, request) {
            tokens += assignment.tokens;
        }
    }
    assert!((400_000..=600_000).contains(&tokens), "{tokens} tokens");
}

/// A step of the generated load.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { priority: u8, max_wait_ms: u64 },
    End(usize),
    Cancel(usize),
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..3, 0_u64..300).prop_map(|(priority, max_wait_ms)| Step::Submit { priority, max_wait_ms }),
        3 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (1_u64..100).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Checks that an endpoint has no more requests than its slots and its short queue hold, or than it
/// can start while the new one may wait.
fn check_start(
    now: Time,
    until: Time,
    run_known: bool,
    running: &[Assignment],
    new: &Assignment,
) -> Result<(), TestCaseError> {
    let load = running.iter().filter(|it| it.handle == new.handle).count();
    let wait_ms = if run_known { until.since(now) as f64 / MILLISECOND as f64 } else { 0.0 };
    let max = SLOTS * (1.0 + (wait_ms / RUN_MS).max(0.5));
    prop_assert!((load as f64) < max, "request {} on an endpoint for {max}", load + 1);
    Ok(())
}

proptest! {
    /// Each request is started, refused, or cancelled exactly once, and no endpoint gets more
    /// requests than its slots, its short queue, and those that it can start while they may wait.
    #[test]
    fn each_request_is_settled_exactly_once(steps in proptest::collection::vec(step(), 1..400)) {
        let (mut dispatcher, _) = dispatcher(1, 64);
        let (mut now, mut running, mut waiting) = (NOW, Vec::<Assignment>::new(), Vec::<WaiterId>::new());
        let (mut arrived, mut settled, mut run_known) = (0, 0, false);
        let mut wait_until = HashMap::new();
        for step in steps {
            let started = match step {
                Step::Submit { priority, max_wait_ms } => {
                    arrived += 1;
                    let until = now + max_wait_ms * MILLISECOND;
                    let request = DispatchRequest { priority, wait_until: until, ..plain(now) };
                    match dispatcher.submit(now, request) {
                        SubmitResult::Started(assignment) => {
                            settled += 1;
                            check_start(now, until, run_known, &running, &assignment)?;
                            running.push(assignment);
                        }
                        SubmitResult::Refused { .. } => settled += 1,
                        SubmitResult::Queued(id) => {
                            wait_until.insert(id, until);
                            waiting.push(id);
                        }
                    }
                    Vec::new()
                }
                Step::End(at) if !running.is_empty() => {
                    let assignment = running.swap_remove(at % running.len());
                    run_known = true;
                    let others = running.iter().filter(|it| it.handle == assignment.handle).count();
                    let service_ms = RUN_MS * ((others + 1) as f64 / SLOTS).max(1.0);
                    dispatcher.finish(now, &assignment, AttemptOutcome::Served, service_ms)
                }
                Step::Cancel(at) if !waiting.is_empty() => {
                    let id = waiting.swap_remove(at % waiting.len());
                    dispatcher.cancel(&"plain".into(), id);
                    settled += 1;
                    Vec::new()
                }
                Step::End(_) | Step::Cancel(_) => Vec::new(),
                Step::Advance { ms } => {
                    now = now + ms * MILLISECOND;
                    for (id, _) in dispatcher.expire(now) {
                        let at = waiting.iter().position(|it| *it == id);
                        waiting.swap_remove(at.expect("unknown waiter"));
                        settled += 1;
                    }
                    Vec::new()
                }
            };
            for (id, assignment) in started {
                let at = waiting.iter().position(|it| *it == id);
                waiting.swap_remove(at.expect("unknown waiter"));
                settled += 1;
                check_start(now, wait_until[&id], run_known, &running, &assignment)?;
                running.push(assignment);
            }
            prop_assert_eq!(arrived, settled + waiting.len());
        }
        now = now + SECOND;
        prop_assert_eq!(dispatcher.expire(now).len(), waiting.len());
    }
}

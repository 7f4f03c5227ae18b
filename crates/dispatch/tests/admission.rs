//! Tests of which requests wait and which are refused when there is too little capacity.

mod common;

use {
    common::{NOW, dispatcher, plain},
    dispatch::{
        Assignment, AttemptOutcome, Cause, DemandReport, DispatchRequest, Dispatcher, Refusal,
        Reporter, SubmitResult, WaiterId,
    },
    model::{MILLISECOND, SECOND, Time, hash64},
};

/// The time that a request runs, in milliseconds.
const RUN_MS: f64 = 30.0;

/// Returns a dispatcher whose plain endpoints are full, and the running requests.
fn fully_loaded() -> (Dispatcher, Vec<Assignment>) {
    let (mut dispatcher, _) = dispatcher(1, 64);
    for _ in 0..200 {
        let SubmitResult::Started(assignment) = dispatcher.submit(NOW, urgent(2)) else { break };
        dispatcher.finish(NOW, &assignment, AttemptOutcome::Served, RUN_MS);
    }
    let mut assignments = Vec::new();
    while let SubmitResult::Started(assignment) = dispatcher.submit(NOW, urgent(2)) {
        assignments.push(assignment);
    }
    for (id, _) in dispatcher.expire(NOW + 100 * MILLISECOND) {
        dispatcher.cancel(&"plain".into(), id);
    }
    (dispatcher, assignments)
}

fn urgent(priority: u8) -> DispatchRequest {
    DispatchRequest { priority, ..plain(NOW) }
}

fn submit(
    dispatcher: &mut Dispatcher,
    now: Time,
    ask: DispatchRequest,
) -> Result<WaiterId, Refusal> {
    match dispatcher.submit(now, ask) {
        SubmitResult::Queued(id) => Ok(id),
        SubmitResult::Refused(refusal) => Err(refusal),
        SubmitResult::Started(it) => panic!("expected no room, found {it:?}"),
    }
}

/// Guards against newcomers that are refused although less urgent requests wait.
#[test]
fn urgent_newcomer_displaces_a_waiting_request_that_becomes_too_late() {
    let (mut dispatcher, _) = fully_loaded();
    let mut waiting = Vec::new();
    let refused = loop {
        match submit(&mut dispatcher, NOW, urgent(2)) {
            Ok(id) => waiting.push(id),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refused.cause, Cause::WaitTooLong);
    submit(&mut dispatcher, NOW, urgent(0)).expect("an urgent request goes before the others");
    let displaced = dispatcher.expire(NOW);
    let ids: Vec<_> = displaced.iter().map(|it| it.0).collect();
    assert_eq!(ids, waiting[waiting.len() - 1..]);
    assert_eq!(displaced[0].1.cause, Cause::Displaced);
}

/// Guards against refusals of requests that can still be answered before their deadline.
#[test]
fn request_that_can_only_be_late_waits_behind_the_others_until_its_deadline() {
    let (mut dispatcher, assignments) = fully_loaded();
    let deadline = Some(NOW + 2 * SECOND);
    let ask = DispatchRequest { wait_until: NOW, deadline, priority: 0, ..plain(NOW) };
    let late = submit(&mut dispatcher, NOW, ask).expect("there is time until the deadline");
    let on_time = submit(&mut dispatcher, NOW, urgent(2)).expect("there is room in the queue");
    let ends = assignments
        .iter()
        .flat_map(|it| dispatcher.finish(NOW, it, AttemptOutcome::Served, RUN_MS));
    assert_eq!(ends.map(|it| it.0).collect::<Vec<_>>(), [on_time, late]);
}

/// Guards against requests that are held although they cannot be answered before their deadline.
#[test]
fn request_without_time_for_its_run_is_refused_at_once() {
    let (mut dispatcher, _) = fully_loaded();
    let deadline = Some(NOW + 20 * MILLISECOND);
    let ask = DispatchRequest { wait_until: NOW, deadline, ..plain(NOW) };
    let refusal = submit(&mut dispatcher, NOW, ask).expect_err("a run takes 30 ms");
    assert_eq!(refusal.cause, Cause::WaitTooLong);
    assert!(refusal.retry_ms <= 20 / 3, "{refusal:?}");
}

/// Guards against callers that return together or are told to come back later than they would.
#[test]
fn retries_are_spread_within_a_third_of_the_time_left_the_urgent_ones_first() {
    let (mut dispatcher, _) = fully_loaded();
    let mut retries = [Vec::new(), Vec::new(), Vec::new()];
    for at in 0..240 {
        let priority = at % 3;
        // The deadline is long, but the request may not start late.
        let ask = DispatchRequest { wait_until: NOW, ..urgent(priority) };
        let refusal = submit(&mut dispatcher, NOW, ask).expect_err("it cannot wait");
        retries[usize::from(priority)].push(refusal.retry_ms);
    }
    let mean = |it: &Vec<u64>| it.iter().sum::<u64>() / it.len() as u64;
    let means: Vec<_> = retries.iter().map(mean).collect();
    assert!(means.is_sorted(), "{means:?}");
    for retries in &mut retries {
        retries.sort_unstable();
        retries.dedup();
        assert!(retries.len() >= 50 && retries[retries.len() - 1] <= 2_000, "{retries:?}");
    }
}

/// Guards against a team whose demand other routers report, but which this router sees little of.
#[test]
fn team_beyond_its_share_in_the_fleet_goes_behind_the_others() {
    let (mut dispatcher, assignments) = fully_loaded();
    let report = DemandReport { total: 40_000, teams: vec![(7, 39_000)] };
    let later = NOW + 100 * MILLISECOND;
    dispatcher.apply_demand_report(
        later,
        Reporter::LocalRouter(1),
        hash64(b"plain") as u32,
        report,
    );
    let ask = |team| DispatchRequest { team, ..plain(later) };
    let large: Vec<_> =
        (0..20).filter_map(|_| submit(&mut dispatcher, later, ask(7)).ok()).collect();
    let small = submit(&mut dispatcher, later, ask(8)).expect("a small team is within its share");
    let ends = assignments
        .iter()
        .flat_map(|it| dispatcher.finish(later, it, AttemptOutcome::Served, RUN_MS));
    let order: Vec<_> = ends.map(|it| it.0).collect();
    let before = order.iter().position(|it| *it == small).expect("it starts");
    assert!(before < large.len() / 2, "{before} of {} went before", large.len());
}

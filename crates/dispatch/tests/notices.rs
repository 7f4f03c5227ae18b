//! Tests of endpoints that ask for no further requests, or for none for some time.

mod common;

use {
    common::{NOW, dispatcher, listed, plain},
    directory::ListedEndpoint,
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult},
    model::{MILLISECOND, SECOND, Time},
    std::collections::BTreeSet,
};

/// Assigns a request and ends it at once.
fn assign(dispatcher: &mut Dispatcher, now: Time) -> Result<Assignment, u64> {
    let request = DispatchRequest { wait_until: now, ..plain(now) };
    match dispatcher.submit(now, request) {
        SubmitResult::Started(assignment) => {
            dispatcher.finish(now, &assignment, AttemptOutcome::Served, 30.0);
            Ok(assignment)
        }
        SubmitResult::Refused(refusal) => Err(refusal.retry_ms),
        SubmitResult::Queued(id) => panic!("{id} waits for an endpoint that takes no requests"),
    }
}

fn used(dispatcher: &mut Dispatcher, now: Time) -> BTreeSet<String> {
    let assignments = (0..60).filter_map(|_| assign(dispatcher, now).ok());
    assignments.map(|it| it.id.to_string()).collect()
}

/// Returns a dispatcher that knows only the first plain endpoint, and an assignment to it.
fn single_endpoint() -> (Dispatcher, Assignment, Vec<ListedEndpoint>) {
    let (mut dispatcher, mut listing) = dispatcher(0, 64);
    listing.truncate(1);
    dispatcher.update_endpoints(&listing);
    let assignment = assign(&mut dispatcher, NOW).expect("no endpoint");
    (dispatcher, assignment, listing)
}

#[test]
fn leaving_endpoint_gets_no_requests() {
    let (mut dispatcher, _) = dispatcher(0, 64);
    let leaving = assign(&mut dispatcher, NOW).expect("no endpoint");
    assert!(dispatcher.record_leaving(&leaving));
    assert!(!dispatcher.record_leaving(&leaving), "the second notice is not new");
    for later in [0, 1, 60] {
        let used = used(&mut dispatcher, NOW + later * SECOND);
        assert!(!used.is_empty() && !used.contains(&*leaving.id), "{used:?}");
    }
}

#[test]
fn request_is_refused_at_once_if_all_endpoints_leave() {
    let (mut dispatcher, leaving, _) = single_endpoint();
    dispatcher.record_leaving(&leaving);
    assert!(!dispatcher.has_endpoints(&"plain".into(), None));
    let request = DispatchRequest { wait_until: NOW + 10 * SECOND, ..plain(NOW) };
    let result = dispatcher.submit(NOW, request);
    assert!(matches!(result, SubmitResult::Refused { .. }), "{result:?}");
}

#[test]
fn closed_endpoint_gets_no_requests_until_it_opens() {
    let (mut dispatcher, _) = dispatcher(0, 64);
    let closed = assign(&mut dispatcher, NOW).expect("no endpoint");
    dispatcher.record_closed(&closed, NOW + 1_500 * MILLISECOND);
    // A shorter delay does not take back a longer one.
    dispatcher.record_closed(&closed, NOW + 100 * MILLISECOND);
    for later_ms in [0, 600, 1_499] {
        let used = used(&mut dispatcher, NOW + later_ms * MILLISECOND);
        assert!(!used.is_empty() && !used.contains(&*closed.id), "{used:?} after {later_ms} ms");
    }
    let used = used(&mut dispatcher, NOW + 1_500 * MILLISECOND);
    assert!(used.contains(&*closed.id), "{used:?}");
}

#[test]
fn callers_are_told_when_the_first_closed_endpoint_opens() {
    let (mut dispatcher, _) = dispatcher(0, 64);
    let mut delay_ms = 2_500;
    while let Ok(assignment) = assign(&mut dispatcher, NOW) {
        dispatcher.record_closed(&assignment, NOW + delay_ms * MILLISECOND);
        delay_ms += 400;
    }
    assert_eq!(assign(&mut dispatcher, NOW), Err(2_500));
    let later = NOW + 2_400 * MILLISECOND;
    assert_eq!(assign(&mut dispatcher, later), Err(100));
    assert!(assign(&mut dispatcher, NOW + 2_500 * MILLISECOND).is_ok());
}

#[test]
fn request_that_may_wait_starts_when_the_endpoint_opens() {
    let (mut dispatcher, closed, _) = single_endpoint();
    dispatcher.record_closed(&closed, NOW + 50 * MILLISECOND);
    let SubmitResult::Queued(waiting) = dispatcher.submit(NOW, plain(NOW)) else {
        panic!("expected a queued request");
    };
    assert!(dispatcher.start_all_queued(NOW + 49 * MILLISECOND).is_empty());
    let started = dispatcher.start_all_queued(NOW + 50 * MILLISECOND);
    assert_eq!(started.iter().map(|it| it.0).collect::<Vec<_>>(), [waiting]);
}

#[test]
fn notices_survive_changes_of_the_list_but_not_a_restart() {
    let (mut dispatcher, leaving, mut listing) = single_endpoint();
    listing[0].started_at_ms = Some(1);
    dispatcher.update_endpoints(&listing);
    dispatcher.record_leaving(&leaving);
    listing[0].slots += 1;
    dispatcher.update_endpoints(&listing);
    assert!(assign(&mut dispatcher, NOW).is_err(), "after a change");
    dispatcher.update_endpoints(&[]);
    dispatcher.update_endpoints(&listing);
    assert!(assign(&mut dispatcher, NOW).is_err(), "after a list without the endpoint");
    listing[0].started_at_ms = Some(2);
    dispatcher.update_endpoints(&listing);
    assert!(assign(&mut dispatcher, NOW).is_ok(), "after a restart");
}

#[test]
fn pause_asked_for_while_an_endpoint_is_listed_anew_is_kept() {
    let (mut dispatcher, assignment, listing) = single_endpoint();
    dispatcher.update_endpoints(&[]);
    dispatcher.update_endpoints(&listing);
    dispatcher.record_closed(&assignment, NOW + 3 * SECOND);
    assert!(used(&mut dispatcher, NOW + SECOND).is_empty());
    assert!(!used(&mut dispatcher, NOW + 3 * SECOND).is_empty());
}

#[test]
fn pause_asked_for_while_an_endpoint_is_not_listed_is_kept() {
    let (mut dispatcher, assignment, listing) = single_endpoint();
    dispatcher.update_endpoints(&[]);
    dispatcher.record_closed(&assignment, NOW + 3 * SECOND);
    dispatcher.update_endpoints(&listing);
    assert!(used(&mut dispatcher, NOW + SECOND).is_empty());
}

#[test]
fn endpoint_that_leaves_while_it_is_listed_anew_gets_no_requests() {
    let (mut dispatcher, assignment, listing) = single_endpoint();
    dispatcher.update_endpoints(&[]);
    dispatcher.update_endpoints(&listing);
    dispatcher.record_leaving(&assignment);
    assert!(used(&mut dispatcher, NOW + SECOND).is_empty());
}

#[test]
fn pause_asked_by_an_endpoint_ends_when_it_restarts() {
    let (mut dispatcher, _, listing) = single_endpoint();
    let started =
        |at| listing.iter().map(move |it| ListedEndpoint { started_at_ms: Some(at), ..it.clone() });
    dispatcher.update_endpoints(&started(1).collect::<Vec<_>>());
    let assignment = assign(&mut dispatcher, NOW).expect("no endpoint");
    dispatcher.update_endpoints(&started(2).collect::<Vec<_>>());
    dispatcher.record_closed(&assignment, NOW + 3 * SECOND);
    assert!(!used(&mut dispatcher, NOW + SECOND).is_empty());
}

#[test]
fn pause_is_kept_while_many_other_endpoints_come_and_go() {
    let (mut dispatcher, assignment, listing) = single_endpoint();
    dispatcher.record_closed(&assignment, NOW + 60 * SECOND);
    dispatcher.update_endpoints(&[]);
    for at in 0..1_500 {
        let other = listed("plain", 1_000 + at, 6);
        dispatcher.update_endpoints(std::slice::from_ref(&other));
        let now = NOW + u64::from(at) * MILLISECOND;
        let assignment = assign(&mut dispatcher, now).expect("no endpoint");
        dispatcher.record_closed(&assignment, now + 10 * MILLISECOND);
    }
    dispatcher.update_endpoints(&listing);
    assert!(used(&mut dispatcher, NOW + 2 * SECOND).is_empty());
}

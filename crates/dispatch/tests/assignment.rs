//! Tests of which endpoint a request is assigned to.

mod common;

use {
    common::{NOW, chat, dispatcher, domain, listed, plain, whole},
    dispatch::{
        Assignment, AttemptOutcome, DispatchRequest, Dispatcher, EndpointChange, LoadReport,
        Reporter, SubmitResult,
    },
    model::{MILLISECOND, SECOND, hash64},
    std::collections::{BTreeSet, HashMap},
};

fn assigned(result: SubmitResult) -> Assignment {
    match result {
        SubmitResult::Started(assignment) => assignment,
        other => panic!("expected an assignment, found {other:?}"),
    }
}

#[test]
fn all_routers_assign_a_chat_to_the_same_endpoint() {
    let (mut first_router, _) = dispatcher(12, 64);
    let (mut second_router, _) = dispatcher(12, 64);
    for at in 0..200 {
        let first = assigned(first_router.submit(NOW, chat(NOW, at, 5_000, at)));
        first_router.finish(NOW, &first, AttemptOutcome::Served, 10.0);
        let again = assigned(second_router.submit(NOW, chat(NOW, at, 5_000, 500 + at)));
        second_router.finish(NOW, &again, AttemptOutcome::Served, 10.0);
        assert_eq!(first.id, again.id);
    }
}

#[test]
fn new_endpoint_takes_over_few_chats_and_fetches_their_prompts() {
    let (mut dispatcher, mut listing) = dispatcher(12, 64);
    let place = |it: &mut Dispatcher, own| -> HashMap<u64, Assignment> {
        let assignments = (0..300).map(|at| {
            let assignment = assigned(it.submit(NOW, chat(NOW, at, 5_000, own + at)));
            it.finish(NOW, &assignment, AttemptOutcome::Served, 10.0);
            (at, assignment)
        });
        assignments.collect()
    };
    let before = place(&mut dispatcher, 0);
    listing.push(listed("model", 50, 64));
    dispatcher.update_endpoints(&listing);
    let after = place(&mut dispatcher, 1_000);
    let moved: Vec<_> = before.keys().filter(|it| before[*it].id != after[*it].id).collect();
    assert!((1..=60).contains(&moved.len()), "{} of 300 chats moved", moved.len());
    for at in moved {
        assert_eq!(&*after[at].id, "model-50");
        assert_eq!(after[at].fetch_from, Some(before[at].addr));
    }
}

#[test]
fn prompt_is_fetched_from_the_endpoint_that_another_router_used() {
    let (mut first_router, listing) = dispatcher(12, 64);
    let (mut second_router, _) = dispatcher(12, 64);
    let first = assigned(first_router.submit(NOW, chat(NOW, 7, 5_000, 1)));
    second_router.record_peer_parts(NOW, &first_router.take_new_parts(100));
    let left: Vec<_> = listing
        .into_iter()
        .map(|mut it| {
            it.draining = it.id == first.id;
            it
        })
        .collect();
    second_router.update_endpoints(&left);
    let assignment = assigned(second_router.submit(NOW, chat(NOW, 7, 5_000, 2)));
    assert_ne!(assignment.id, first.id);
    assert_eq!(assignment.fetch_from, Some(first.addr));
}

#[test]
fn prompt_that_spills_is_fetched_from_its_home_although_nobody_reported_it() {
    let (mut first_router, _) = dispatcher(12, 64);
    let (mut second_router, _) = dispatcher(12, 64);
    let home = assigned(first_router.submit(NOW, chat(NOW, 7, 5_000, 1)));
    // The first router's report is lost, and the second one knows only that the home is loaded.
    let load = LoadReport { requests: 20, tokens: 100_000 };
    second_router.apply_peer_report(
        NOW,
        Reporter::RemoteRouter(9),
        &whole(&[(hash64(home.id.as_bytes()), load)]),
    );
    let spilled = assigned(second_router.submit(NOW, chat(NOW, 7, 5_000, 2)));
    assert_ne!(spilled.id, home.id);
    assert_eq!(spilled.fetch_from, Some(home.addr));
}

#[test]
fn nothing_is_fetched_for_a_prompt_that_is_in_memory_or_hardly_shared() {
    let (mut dispatcher, _) = dispatcher(12, 64);
    assigned(dispatcher.submit(NOW, chat(NOW, 7, 5_000, 1)));
    let again = assigned(dispatcher.submit(NOW, chat(NOW, 7, 5_000, 2)));
    assert_eq!(again.fetch_from, None);
    let short = assigned(dispatcher.submit(NOW, chat(NOW, 8, 20, 3)));
    assert_eq!(short.fetch_from, None);
}

#[test]
fn last_shared_part_tells_other_routers_of_the_whole_prompt() {
    let (mut first_router, _) = dispatcher(12, 64);
    let (mut second_router, _) = dispatcher(12, 64);
    let home = assigned(first_router.submit(NOW, chat(NOW, 7, 5_000, 1)));
    assigned(first_router.submit(NOW, chat(NOW, 7, 5_000, 2)));
    let parts = first_router.take_new_parts(100);
    assert_eq!(parts, [(hash64(home.id.as_bytes()), 1_007)]);
    second_router.record_peer_parts(NOW, &parts);
    let again = assigned(second_router.submit(NOW, chat(NOW, 7, 5_000, 3)));
    assert_eq!((again.id, again.fetch_from), (home.id, None));
}

#[test]
fn short_prompt_stays_in_the_local_domain() {
    let (mut dispatcher, _) = dispatcher(12, 64);
    for at in 0..50 {
        let assignment = assigned(dispatcher.submit(NOW, chat(NOW, at, 300, at)));
        assert_eq!(assignment.domain, domain("d0"));
        dispatcher.finish(NOW, &assignment, AttemptOutcome::Served, 10.0);
    }
}

#[test]
fn hot_chat_spills_before_its_endpoint_has_twice_the_mean_load() {
    let (mut dispatcher, _) = dispatcher(12, 64);
    let mut loads: HashMap<_, u32> = HashMap::new();
    for own in 0..240 {
        let assignment = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        *loads.entry(assignment.id).or_default() += 1;
    }
    let most = loads.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 240 / 12 + 3, "{most} of 240 requests on one of 12 endpoints");
}

#[test]
fn endpoint_with_the_prompt_in_memory_takes_more_than_one_without_it() {
    let (mut dispatcher, listing) = dispatcher(12, 64);
    let home = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 0)));
    dispatcher.finish(NOW, &home, AttemptOutcome::Served, 10.0);
    // All endpoints run 4 requests, the home 7.
    let load = |it: &directory::ListedEndpoint| {
        let requests = if it.id == home.id { 7 } else { 4 };
        (hash64(it.id.as_bytes()), LoadReport { requests, tokens: 1_000 })
    };
    let loads: Vec<_> = listing.iter().filter(|it| &*it.service == "model").map(load).collect();
    dispatcher.apply_peer_report(NOW, Reporter::RemoteRouter(9), &whole(&loads));
    let again = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    assert_eq!(again.id, home.id);
    // Another prompt with the same home goes elsewhere.
    let other = (2..1_000).find(|it| {
        let (mut idle, _) = common::dispatcher(12, 64);
        assigned(idle.submit(NOW, chat(NOW, *it, 5_000, 0))).id == home.id
    });
    let new = assigned(dispatcher.submit(NOW, chat(NOW, other.expect("no chat"), 5_000, 2)));
    assert_ne!(new.id, home.id);
}

#[test]
fn peer_load_reports_count_until_they_expire() {
    let (mut dispatcher, listing) = dispatcher(3, 4);
    let busy: Vec<_> = listing
        .iter()
        .filter(|it| &*it.service == "model")
        .map(|it| (hash64(it.id.as_bytes()), LoadReport { requests: 4, tokens: 4_000 }))
        .collect();
    dispatcher.apply_peer_report(NOW, Reporter::RemoteRouter(9), &whole(&busy));
    let fully_loaded =
        dispatcher.submit(NOW, DispatchRequest { wait_until: NOW, ..chat(NOW, 1, 5_000, 1) });
    assert!(matches!(fully_loaded, SubmitResult::Refused { .. }), "{fully_loaded:?}");
    let later = NOW + 3 * SECOND;
    assigned(dispatcher.submit(later, chat(later, 1, 5_000, 2)));
}

#[test]
fn own_report_of_an_endpoint_counts_in_place_of_older_reports_of_routers() {
    let (mut dispatcher, listing) = dispatcher(1, 4);
    let first = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    let busy = [(hash64(listing[0].id.as_bytes()), LoadReport { requests: 4, tokens: 4_000 })];
    dispatcher.apply_peer_report(NOW, Reporter::RemoteRouter(9), &whole(&busy));
    let submit = |dispatcher: &mut Dispatcher, now| {
        dispatcher.submit(now, DispatchRequest { wait_until: now, ..chat(now, 1, 5_000, 2) })
    };
    let refused = submit(&mut dispatcher, NOW);
    assert!(matches!(refused, SubmitResult::Refused { .. }), "{refused:?}");
    // The endpoint runs this router's request and one of another router.
    dispatcher.record_reported_load(NOW, first.handle, 2);
    let second = assigned(submit(&mut dispatcher, NOW));
    assert_eq!(second.load, 2);
    dispatcher.finish(NOW, &second, AttemptOutcome::Abandoned, 0.0);
    let later = submit(&mut dispatcher, NOW + 500 * MILLISECOND);
    assert!(matches!(later, SubmitResult::Refused { .. }), "{later:?}");
}

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let (mut dispatcher, mut listing) = dispatcher(3, 64);
    listing.iter_mut().filter(|it| &*it.id != "model-2").for_each(|it| {
        it.draining = &*it.service == "model";
    });
    let changes = dispatcher.update_endpoints(&listing);
    let draining: BTreeSet<_> = changes
        .iter()
        .filter_map(|it| match it {
            EndpointChange::Draining(id) => Some(&**id),
            _ => None,
        })
        .collect();
    assert_eq!(draining, BTreeSet::from(["model-0", "model-1"]));
    for at in 0..50 {
        let assignment = assigned(dispatcher.submit(NOW, chat(NOW, at, 5_000, at)));
        assert_eq!(&*assignment.id, "model-2");
        dispatcher.finish(NOW, &assignment, AttemptOutcome::Served, 10.0);
    }
}

#[test]
fn restarted_endpoint_with_the_same_id_has_no_load() {
    let (mut dispatcher, mut listing) = dispatcher(1, 64);
    listing[0].started_at_ms = Some(1);
    dispatcher.update_endpoints(&listing);
    let before = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    listing[0].started_at_ms = Some(2);
    let changes = dispatcher.update_endpoints(&listing);
    assert_eq!(changes, [EndpointChange::Restarted(listing[0].id.clone())]);
    let after = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 2)));
    assert_ne!((before.handle, before.incarnation), (after.handle, after.incarnation));
    assert_eq!(after.load, 0, "requests from before the restart must not count");
    // The end of a request from before the restart does not affect the new run.
    dispatcher.finish(NOW, &before, AttemptOutcome::Broken, 10.0);
    let third = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 3)));
    assert_eq!(third.load, 1);
}

#[test]
fn address_reassigned_to_another_service_serves_that_service() {
    let (mut dispatcher, mut listing) = dispatcher(1, 64);
    listing[0].service = "plain".into();
    dispatcher.update_endpoints(&listing);
    assert!(!dispatcher.has_endpoints(&"model".into(), None));
}

#[test]
fn unreachable_endpoint_is_avoided_and_retried_later() {
    let (mut dispatcher, _) = dispatcher(6, 64);
    let unreachable = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    dispatcher.finish(NOW, &unreachable, AttemptOutcome::Unreachable, 0.0);
    let other = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 2)));
    assert_ne!(other.id, unreachable.id);
    dispatcher.finish(NOW, &other, AttemptOutcome::Served, 10.0);
    let later = NOW + 600 * MILLISECOND;
    let back = assigned(dispatcher.submit(later, chat(later, 1, 5_000, 3)));
    assert_eq!(back.id, unreachable.id);
}

#[test]
fn endpoint_with_a_higher_failure_rate_is_avoided() {
    let (mut dispatcher, _) = dispatcher(6, 64);
    let bad = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 0))).id;
    let mut late_uses = 0;
    for own in 1..40 {
        let assignment = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        let outcome =
            if assignment.id == bad { AttemptOutcome::Failed } else { AttemptOutcome::Served };
        late_uses += u32::from(own > 10 && assignment.id == bad);
        dispatcher.finish(NOW, &assignment, outcome, 10.0);
    }
    assert_eq!(late_uses, 0);
}

#[test]
fn unhealthy_endpoint_is_used_if_no_healthy_one_is_left() {
    let (mut dispatcher, _) = dispatcher(2, 64);
    for own in 0..4 {
        let assignment = assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        dispatcher.finish(NOW, &assignment, AttemptOutcome::Unreachable, 0.0);
    }
    assigned(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 9)));
}

#[test]
fn plain_requests_prefer_the_local_domain_until_it_fills() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let assignments: Vec<_> =
        (0..12).map(|_| assigned(dispatcher.submit(NOW, plain(NOW)))).collect();
    assert!(assignments[..3].iter().all(|it| it.domain == assignments[0].domain));
    assert!(assignments.iter().any(|it| it.domain != assignments[0].domain));
}

/// A crash of one endpoint that several routers see must not count several times.
#[test]
fn all_routers_agree_on_the_run_of_an_endpoint() {
    let (mut first, mut listing) = dispatcher(5, 64);
    listing.reverse();
    let mut second = Dispatcher::new(domain("d0"), 2);
    second.set_kv_capacity(&"model".into(), Some(600_000));
    second.update_endpoints(&listing);
    let run = |it: &mut Dispatcher| {
        let assignment = assigned(it.submit(NOW, chat(NOW, 1, 5_000, 0)));
        (assignment.id, assignment.incarnation)
    };
    assert_eq!(run(&mut first), run(&mut second));
}

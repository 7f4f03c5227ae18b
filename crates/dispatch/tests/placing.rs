//! Where requests are placed.

mod common;

use {
    common::{NOW, chat, dispatcher, domain, listed, plain},
    dispatch::{
        Assignment, AttemptOutcome, DispatchRequest, Dispatcher, EndpointChange, LoadReport,
        SubmitResult,
    },
    model::{MILLISECOND, SECOND, hash64},
    std::collections::{BTreeSet, HashMap},
};

fn started(arrival: SubmitResult) -> Assignment {
    match arrival {
        SubmitResult::Started(pick) => pick,
        other => panic!("expected a place, found {other:?}"),
    }
}

#[test]
fn a_chat_returns_to_its_endpoint_in_every_router() {
    let (mut one, _) = dispatcher(12, 64);
    let (mut two, _) = dispatcher(12, 64);
    for at in 0..200 {
        let first = started(one.submit(NOW, chat(NOW, at, 5_000, at)));
        one.finish(NOW, &first, AttemptOutcome::Served, 10.0);
        let again = started(two.submit(NOW, chat(NOW, at, 5_000, 500 + at)));
        two.finish(NOW, &again, AttemptOutcome::Served, 10.0);
        assert_eq!(first.id, again.id);
    }
}

#[test]
fn a_new_endpoint_takes_over_few_chats_and_fetches_their_prompts() {
    let (mut dispatcher, mut listing) = dispatcher(12, 64);
    let place = |it: &mut Dispatcher, own| -> HashMap<u64, Assignment> {
        let picks = (0..300).map(|at| {
            let pick = started(it.submit(NOW, chat(NOW, at, 5_000, own + at)));
            it.finish(NOW, &pick, AttemptOutcome::Served, 10.0);
            (at, pick)
        });
        picks.collect()
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
fn a_prompt_is_fetched_from_where_another_router_sent_it() {
    let (mut one, listing) = dispatcher(12, 64);
    let (mut two, _) = dispatcher(12, 64);
    let home = started(one.submit(NOW, chat(NOW, 7, 5_000, 1)));
    two.record_peer_parts(NOW, &one.take_new_parts(100));
    let left: Vec<_> = listing
        .into_iter()
        .map(|mut it| {
            it.draining = it.id == home.id;
            it
        })
        .collect();
    two.update_endpoints(&left);
    let pick = started(two.submit(NOW, chat(NOW, 7, 5_000, 2)));
    assert_ne!(pick.id, home.id);
    assert_eq!(pick.fetch_from, Some(home.addr));
}

#[test]
fn a_short_prompt_stays_in_its_domain() {
    let (mut dispatcher, _) = dispatcher(12, 64);
    for at in 0..50 {
        let pick = started(dispatcher.submit(NOW, chat(NOW, at, 300, at)));
        assert_eq!(pick.domain, domain("d0"));
        dispatcher.finish(NOW, &pick, AttemptOutcome::Served, 10.0);
    }
}

#[test]
fn one_hot_chat_spreads_before_its_endpoint_carries_twice_the_mean() {
    let (mut dispatcher, _) = dispatcher(12, 64);
    let mut loads: HashMap<_, u32> = HashMap::new();
    for own in 0..240 {
        let pick = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        *loads.entry(pick.id).or_default() += 1;
    }
    let most = loads.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 240 / 12 + 3, "{most} of 240 requests on one of 12 endpoints");
}

#[test]
fn loads_of_other_routers_count_until_they_are_old() {
    let (mut dispatcher, listing) = dispatcher(3, 4);
    let busy: Vec<_> = listing
        .iter()
        .filter(|it| &*it.service == "model")
        .map(|it| (hash64(it.id.as_bytes()), LoadReport { requests: 4, tokens: 4_000 }))
        .collect();
    dispatcher.apply_peer_report(NOW, 9, &busy);
    let full =
        dispatcher.submit(NOW, DispatchRequest { wait_until: NOW, ..chat(NOW, 1, 5_000, 1) });
    assert!(matches!(full, SubmitResult::Refused { .. }), "{full:?}");
    let later = NOW + 3 * SECOND;
    started(dispatcher.submit(later, chat(later, 1, 5_000, 2)));
}

#[test]
fn a_draining_endpoint_gets_no_new_request() {
    let (mut dispatcher, mut listing) = dispatcher(3, 64);
    listing.iter_mut().filter(|it| &*it.id != "model-2").for_each(|it| {
        it.draining = &*it.service == "model";
    });
    let changes = dispatcher.update_endpoints(&listing);
    let gone: BTreeSet<_> = changes
        .iter()
        .filter_map(|it| match it {
            EndpointChange::Draining(id) => Some(&**id),
            _ => None,
        })
        .collect();
    assert_eq!(gone, BTreeSet::from(["model-0", "model-1"]));
    for at in 0..50 {
        let pick = started(dispatcher.submit(NOW, chat(NOW, at, 5_000, at)));
        assert_eq!(&*pick.id, "model-2");
        dispatcher.finish(NOW, &pick, AttemptOutcome::Served, 10.0);
    }
}

#[test]
fn an_endpoint_that_started_again_under_its_id_holds_nothing() {
    let (mut dispatcher, mut listing) = dispatcher(1, 64);
    listing[0].started_at_ms = Some(1);
    dispatcher.update_endpoints(&listing);
    let before = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    listing[0].started_at_ms = Some(2);
    let changes = dispatcher.update_endpoints(&listing);
    assert_eq!(changes, [EndpointChange::Restarted(listing[0].id.clone())]);
    let after = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 2)));
    assert_ne!((before.handle, before.incarnation), (after.handle, after.incarnation));
    assert_eq!(after.load, 0, "what ran before the restart is gone");
    // The end of a request at the former start does not count at the new one.
    dispatcher.finish(NOW, &before, AttemptOutcome::Broken, 10.0);
    let third = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 3)));
    assert_eq!(third.load, 1);
}

#[test]
fn an_address_that_another_service_got_serves_that_one() {
    let (mut dispatcher, mut listing) = dispatcher(1, 64);
    listing[0].service = "plain".into();
    dispatcher.update_endpoints(&listing);
    assert!(!dispatcher.has_endpoints(&"model".into()));
}

#[test]
fn unreachable_endpoints_are_avoided_and_tried_again() {
    let (mut dispatcher, _) = dispatcher(6, 64);
    let dead = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 1)));
    dispatcher.finish(NOW, &dead, AttemptOutcome::Unreachable, 0.0);
    let other = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 2)));
    assert_ne!(other.id, dead.id);
    dispatcher.finish(NOW, &other, AttemptOutcome::Served, 10.0);
    let later = NOW + 600 * MILLISECOND;
    let back = started(dispatcher.submit(later, chat(later, 1, 5_000, 3)));
    assert_eq!(back.id, dead.id);
}

#[test]
fn an_endpoint_that_fails_more_than_others_is_avoided() {
    let (mut dispatcher, _) = dispatcher(6, 64);
    let bad = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 0))).id;
    let mut after_ten = 0;
    for own in 1..40 {
        let pick = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        let ending = if pick.id == bad { AttemptOutcome::Failed } else { AttemptOutcome::Served };
        after_ten += u32::from(own > 10 && pick.id == bad);
        dispatcher.finish(NOW, &pick, ending, 10.0);
    }
    assert_eq!(after_ten, 0);
}

#[test]
fn with_all_endpoints_unsound_one_is_tried_all_the_same() {
    let (mut dispatcher, _) = dispatcher(2, 64);
    for own in 0..4 {
        let pick = started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, own)));
        dispatcher.finish(NOW, &pick, AttemptOutcome::Unreachable, 0.0);
    }
    started(dispatcher.submit(NOW, chat(NOW, 1, 5_000, 9)));
}

#[test]
fn plain_requests_prefer_their_domain_until_it_fills() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let picks: Vec<_> = (0..12).map(|_| started(dispatcher.submit(NOW, plain(NOW)))).collect();
    assert!(picks[..3].iter().all(|it| it.domain == picks[0].domain));
    assert!(picks.iter().any(|it| it.domain != picks[0].domain));
}

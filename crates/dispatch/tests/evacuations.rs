//! Endpoints of evacuated domains get no request.

mod common;

use {
    common::{NOW, chat, dispatcher, domain, listed, plain},
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult, WaiterId},
    model::{MILLISECOND, SECOND},
};

fn start(dispatcher: &mut Dispatcher, request: DispatchRequest) -> Option<Assignment> {
    match dispatcher.submit(NOW, request) {
        SubmitResult::Started(it) => Some(it),
        SubmitResult::Queued(_) | SubmitResult::Refused { .. } => None,
    }
}

/// Starts requests until no endpoint has room.
fn fill(dispatcher: &mut Dispatcher) -> Vec<Assignment> {
    let request = || DispatchRequest { wait_until: NOW, ..chat(NOW, 1, 200, 0) };
    std::iter::from_fn(|| start(dispatcher, request())).collect()
}

fn waiter(dispatcher: &mut Dispatcher) -> WaiterId {
    let request = DispatchRequest { wait_until: NOW + 5 * SECOND, ..chat(NOW, 1, 200, 0) };
    match dispatcher.submit(NOW, request) {
        SubmitResult::Queued(it) => it,
        it => panic!("{it:?}"),
    }
}

fn all_domains() -> Vec<model::Domain> {
    ["d0", "d1", "d2"].map(domain).to_vec()
}

#[test]
fn endpoints_of_an_evacuated_domain_get_no_request_and_are_not_fetched_from() {
    let (mut dispatcher, listing) = dispatcher(6, 100);
    let before = start(&mut dispatcher, chat(NOW, 1, 3_000, 0)).unwrap();
    dispatcher.set_evacuated(NOW, std::slice::from_ref(&before.domain));
    // A router that is asked to connect another one says that the endpoint is closed, not unknown.
    let (service, found) = dispatcher.find(NOW, before.incarnation).expect("it is listed");
    assert!(!dispatcher.accepts(NOW, &service, found.handle));
    let evacuated: Vec<_> =
        listing.iter().filter(|it| it.domain == before.domain).map(|it| it.addr).collect();
    for own in 0..300 {
        let request = if own % 2 == 0 { chat(NOW, own % 7, 3_000, own) } else { plain(NOW) };
        let Some(sent) = start(&mut dispatcher, request) else { continue };
        assert_ne!(sent.domain, before.domain);
        assert!(sent.fetch_from.is_none_or(|it| !evacuated.contains(&it)), "{sent:?}");
    }
}

#[test]
fn request_is_refused_at_once_while_all_endpoints_of_its_service_are_evacuated() {
    let (mut dispatcher, _) = dispatcher(3, 4);
    dispatcher.set_evacuated(NOW, &all_domains());
    assert!(!dispatcher.has_endpoints(&"plain".into(), None));
    let request = DispatchRequest { wait_until: NOW + 9 * SECOND, ..plain(NOW) };
    let refused = SubmitResult::Refused { retry_ms: 1_000 };
    assert_eq!(dispatcher.submit(NOW, request), refused);
}

#[test]
fn waiting_requests_are_given_back_once_all_endpoints_are_evacuated() {
    let (mut dispatcher, _) = dispatcher(3, 4);
    fill(&mut dispatcher);
    let id = waiter(&mut dispatcher);
    dispatcher.set_evacuated(NOW, &[domain("d0"), domain("d1")]);
    assert_eq!(dispatcher.expire(NOW), []);
    dispatcher.set_evacuated(NOW, &all_domains());
    assert_eq!(dispatcher.next_deadline(), NOW);
    assert_eq!(dispatcher.expire(NOW), [(id, 1_000)]);
}

#[test]
fn waiting_requests_are_given_back_once_only_evacuated_endpoints_are_listed() {
    let (mut dispatcher, mut listing) = dispatcher(3, 4);
    fill(&mut dispatcher);
    let id = waiter(&mut dispatcher);
    dispatcher.set_evacuated(NOW, &[domain("d0"), domain("d1")]);
    listing.retain(|it| it.domain != domain("d2"));
    dispatcher.update_endpoints(&listing);
    assert_eq!(dispatcher.expire(NOW + MILLISECOND), [(id, 1_000)]);
}

#[test]
fn waiting_request_does_not_start_where_a_request_of_an_evacuated_domain_ends() {
    let (mut dispatcher, _) = dispatcher(3, 4);
    let running = fill(&mut dispatcher);
    let id = waiter(&mut dispatcher);
    dispatcher.set_evacuated(NOW, &[domain("d1")]);
    let (evacuated, others): (Vec<_>, Vec<_>) =
        running.into_iter().partition(|it| it.domain == domain("d1"));
    for sent in &evacuated {
        assert_eq!(dispatcher.finish(NOW, sent, AttemptOutcome::Served, 50.0), []);
    }
    let started = others.iter().find_map(|it| {
        dispatcher.finish(NOW, it, AttemptOutcome::Served, 50.0).first().map(|it| it.0)
    });
    assert_eq!(started, Some(id));
}

#[test]
fn a_list_of_endpoints_does_not_end_an_evacuation() {
    let (mut dispatcher, mut listing) = dispatcher(3, 4);
    dispatcher.set_evacuated(NOW, &all_domains());
    listing.iter_mut().for_each(|it| it.started_at_ms = Some(5));
    listing.push(listed("plain", 140, 6));
    dispatcher.update_endpoints(&listing);
    assert_eq!(start(&mut dispatcher, plain(NOW)), None);
    dispatcher.set_evacuated(NOW, &[]);
    assert!(start(&mut dispatcher, plain(NOW)).is_some());
}

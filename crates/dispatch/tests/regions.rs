//! Requests that may run in some regions only.

mod common;

use {
    common::{NOW, chat, dispatcher, domain, plain},
    dispatch::{AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult},
    model::SECOND,
    smallvec::smallvec,
};

/// Returns a dispatcher with domains d0 and d1 in the regions north and south, and d2 in none.
fn regional(model_endpoints: u16, slots: u32) -> Dispatcher {
    let (mut dispatcher, _) = dispatcher(model_endpoints, slots);
    let regions = [(domain("d0"), "north".into()), (domain("d1"), "south".into())];
    dispatcher.set_regions(regions.into_iter().collect());
    dispatcher
}

fn within(region: &str, request: DispatchRequest) -> DispatchRequest {
    DispatchRequest { regions: Some(smallvec![region.into()]), ..request }
}

#[test]
fn requests_run_and_fetch_in_their_regions_only() {
    let mut dispatcher = regional(9, 100);
    let mut domains = std::collections::HashSet::new();
    for own in 0..300 {
        let request = if own % 2 == 0 { chat(NOW, own % 7, 3_000, own) } else { plain(NOW) };
        let is_free = own % 3 == 0;
        let request = if is_free { request } else { within("south", request) };
        let SubmitResult::Started(sent) = dispatcher.submit(NOW, request) else { continue };
        if is_free {
            domains.insert(sent.domain.clone());
            continue;
        }
        assert_eq!(sent.domain, domain("d1"));
        let fetched =
            dispatcher.endpoints().into_iter().find(|it| Some(it.addr) == sent.fetch_from);
        assert!(fetched.is_none_or(|it| it.domain == domain("d1")), "{sent:?}");
    }
    assert!(domains.len() == 3, "requests without regions ran in {domains:?}");
}

#[test]
fn waiting_request_starts_in_its_region_only() {
    let mut dispatcher = regional(3, 4);
    let mut running = Vec::new();
    let at_once = || DispatchRequest { wait_until: NOW, ..chat(NOW, 1, 200, 0) };
    while let SubmitResult::Started(it) = dispatcher.submit(NOW, at_once()) {
        running.push(it);
    }
    let ask = DispatchRequest { wait_until: NOW + 5 * SECOND, ..chat(NOW, 1, 200, 0) };
    let SubmitResult::Queued(id) = dispatcher.submit(NOW, within("south", ask)) else { panic!() };
    for sent in &running {
        for (started, at) in dispatcher.finish(NOW, sent, AttemptOutcome::Served, 50.0) {
            assert_eq!((started, at.domain), (id, domain("d1")));
        }
    }
    dispatcher.cancel(&"model".into(), id);
}

#[test]
fn request_without_an_endpoint_in_its_regions_is_refused_at_once() {
    let mut dispatcher = regional(3, 4);
    let ask = DispatchRequest { wait_until: NOW + 9 * SECOND, ..plain(NOW) };
    for region in ["west", ""] {
        let result = dispatcher.submit(NOW, within(region, ask.clone()));
        assert!(matches!(result, SubmitResult::Refused { .. }), "{region}: {result:?}");
        assert!(!dispatcher.has_endpoints_in(&"plain".into(), None, Some(&[region.into()])));
    }
    // Neither helps a request that no region allows.
    let nowhere = DispatchRequest { regions: Some(smallvec![]), ..ask.clone() };
    assert!(matches!(dispatcher.submit(NOW, nowhere), SubmitResult::Refused { .. }));
    dispatcher.set_evacuated(NOW, &[domain("d1")]);
    let refused = SubmitResult::Refused { retry_ms: 1_000 };
    assert_eq!(dispatcher.submit(NOW, within("south", ask)), refused);
}

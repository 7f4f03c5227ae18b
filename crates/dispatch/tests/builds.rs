//! Tests of requests that only one software version of endpoints may run.

mod common;

use {
    common::{NOW, domain, listed, plain},
    directory::{BuildId, ListedEndpoint},
    dispatch::{AttemptOutcome, DispatchRequest, Dispatcher, EndpointChange, SubmitResult},
    model::hash64,
    proptest::prelude::*,
    std::collections::HashMap,
};

fn versioned(at: u16, build: &str) -> ListedEndpoint {
    ListedEndpoint { build: Some(build.into()), ..listed("plain", at, 4) }
}

fn demanding(build: &str) -> DispatchRequest {
    DispatchRequest { build: Some(BuildId(hash64(build.as_bytes()))), ..plain(NOW) }
}

fn dispatcher(listing: &[ListedEndpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(domain("d0"), 1);
    dispatcher.update_endpoints(listing);
    dispatcher
}

proptest! {
    #[test]
    fn request_that_demands_a_version_starts_only_there(
        steps in proptest::collection::vec((0_usize..4, any::<prop::sample::Index>()), 1..80),
    ) {
        let listing = [versioned(0, "v1"), versioned(1, "v2"), versioned(2, "v1"), versioned(3, "v2")];
        let mut dispatcher = dispatcher(&listing);
        let mut running = Vec::new();
        let mut waiting = HashMap::new();
        for (kind, index) in steps {
            let build = ["v1", "v2"].get(kind);
            let request = build.map_or_else(|| plain(NOW), |it| demanding(it));
            let demanded = request.build;
            let mut started = Vec::new();
            if kind < 3 {
                match dispatcher.submit(NOW, request) {
                    SubmitResult::Started(it) => started.push((demanded, it)),
                    SubmitResult::Queued(id) => { waiting.insert(id, demanded); }
                    SubmitResult::Refused { .. } => {}
                }
            } else if !running.is_empty() {
                let ended = running.swap_remove(index.index(running.len()));
                for (id, it) in dispatcher.finish(NOW, &ended, AttemptOutcome::Served, 30.0) {
                    started.push((waiting.remove(&id).expect("unknown waiter"), it));
                }
            }
            for (demanded, assignment) in started {
                prop_assert!(demanded.is_none_or(|it| it == assignment.build));
                running.push(assignment);
            }
        }
    }
}

#[test]
fn request_that_demands_a_version_waits_while_another_one_has_room() {
    let mut dispatcher = dispatcher(&[versioned(0, "v1"), versioned(1, "v2")]);
    let mut first = None;
    while let SubmitResult::Started(it) = dispatcher.submit(NOW, demanding("v1")) {
        first = Some(it);
    }
    let SubmitResult::Queued(id) = dispatcher.submit(NOW, demanding("v1")) else {
        panic!("expected a queued request");
    };
    assert!(matches!(dispatcher.submit(NOW, demanding("v2")), SubmitResult::Started(_)));
    let first = first.expect("no request started");
    let next = dispatcher.finish(NOW, &first, AttemptOutcome::Served, 30.0);
    assert!(next.iter().any(|it| it.0 == id));
}

#[test]
fn request_that_demands_a_version_that_is_not_listed_is_refused_at_once() {
    let mut dispatcher = dispatcher(&[versioned(0, "v1"), listed("plain", 1, 4)]);
    assert!(matches!(dispatcher.submit(NOW, demanding("v2")), SubmitResult::Refused { .. }));
    assert!(dispatcher.has_endpoints(&"plain".into(), None));
    assert!(!dispatcher.has_endpoints(&"plain".into(), demanding("v2").build));
    assert!(dispatcher.has_endpoints(&"plain".into(), demanding("v1").build));
}

#[test]
fn endpoint_that_is_listed_at_another_version_has_restarted() {
    let mut dispatcher = dispatcher(&[versioned(0, "v1")]);
    let changes = dispatcher.update_endpoints(&[versioned(0, "v2")]);
    assert!(matches!(changes[..], [EndpointChange::Restarted(_)]), "{changes:?}");
}

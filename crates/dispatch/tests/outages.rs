//! Tests of what routers tell each other about endpoints that they cannot use.

mod common;

use {
    common::{NOW, chat, dispatcher, domain, listed},
    directory::ListedEndpoint,
    dispatch::{
        Assignment, AttemptOutcome, DispatchRequest, Dispatcher, Outage, OutageReport, SubmitResult,
    },
    model::{MILLISECOND, SECOND, Time, hash64, mix2},
    rstest::rstest,
};

const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];

fn incarnation(endpoint: &ListedEndpoint) -> u64 {
    mix2(hash64(endpoint.id.as_bytes()), endpoint.started_at_ms.unwrap_or_default())
}

fn report(endpoint: &ListedEndpoint, outage: Outage) -> OutageReport {
    OutageReport { incarnation: incarnation(endpoint), outage }
}

fn start(dispatcher: &mut Dispatcher, now: Time, request: DispatchRequest) -> Assignment {
    match dispatcher.submit(now, request) {
        SubmitResult::Started(it) => it,
        other => panic!("expected a start, got {other:?}"),
    }
}

/// Returns the home of a chat, which is idle.
fn home(dispatcher: &mut Dispatcher, now: Time) -> Assignment {
    let home = start(dispatcher, now, chat(now, 7, 4_000, 1));
    dispatcher.finish(now, &home, AttemptOutcome::Abandoned, 0.0);
    home
}

/// Guards against a cut-off domain whose routers talk all others out of sound endpoints, and against
/// endpoints that are avoided for long after they have recovered.
#[rstest]
#[case::one_domain(&["d1", "d1"], false)]
#[case::two_domains(&["d1", "d2"], true)]
fn endpoint_is_avoided_if_it_is_unreachable_from_two_domains(
    #[case] reporters: &[&str],
    #[case] is_avoided: bool,
) {
    let (mut dispatcher, listing) = dispatcher(9, 8);
    let first = home(&mut dispatcher, NOW);
    let endpoint = listing.iter().find(|it| it.id == first.id).expect("endpoint is not listed");
    for reporter in reporters {
        let reports = [report(endpoint, Outage::Unreachable)];
        dispatcher.apply_outages(NOW, hash64(reporter.as_bytes()), &reports);
    }
    let now = NOW + 100 * MILLISECOND;
    assert_eq!(home(&mut dispatcher, now).id != first.id, is_avoided);
    let recovered = NOW + 600 * MILLISECOND;
    assert_eq!(home(&mut dispatcher, recovered).id, first.id);
}

/// Guards against requests to an address that belongs to another endpoint by now, which cost a
/// retry each, at every router of the fleet.
#[test]
fn replaced_endpoint_is_avoided_until_it_is_listed_anew() {
    let (mut dispatcher, mut listing) = dispatcher(9, 8);
    listing.iter_mut().for_each(|it| it.started_at_ms = Some(1));
    dispatcher.update_endpoints(&listing);
    let first = home(&mut dispatcher, NOW);
    let at = listing.iter().position(|it| it.id == first.id).expect("endpoint is not listed");
    let reports = [report(&listing[at], Outage::Replaced)];
    assert_eq!(dispatcher.apply_outages(NOW, 1, &reports).len(), 1);
    assert_ne!(home(&mut dispatcher, NOW + 2 * SECOND).id, first.id);
    listing[at].started_at_ms = Some(2);
    dispatcher.update_endpoints(&listing);
    assert_eq!(home(&mut dispatcher, NOW + 2 * SECOND).id, first.id);
}

/// Guards against reports that outweigh what a router has just seen itself.
#[test]
fn response_outweighs_reports_that_an_endpoint_is_unreachable() {
    let (mut dispatcher, listing) = dispatcher(9, 8);
    let first = start(&mut dispatcher, NOW, chat(NOW, 7, 4_000, 1));
    dispatcher.finish(NOW, &first, AttemptOutcome::Served, 50.0);
    let endpoint = listing.iter().find(|it| it.id == first.id).expect("endpoint is not listed");
    for reporter in ["d1", "d2"] {
        let reports = [report(endpoint, Outage::Unreachable)];
        dispatcher.apply_outages(NOW, hash64(reporter.as_bytes()), &reports);
    }
    assert_eq!(home(&mut dispatcher, NOW).id, first.id);
}

/// Guards against a request that tries one endpoint of its dark domain after the other until its
/// attempts are used up. Short prompts have a home in each domain.
#[test]
fn request_leaves_its_domain_after_two_failures_there() {
    let (mut dispatcher, _) = dispatcher(30, 8);
    let mut request = chat(NOW, 7, 500, 1);
    for _ in 0..2 {
        let failed = start(&mut dispatcher, NOW, request.clone());
        assert_eq!(failed.domain, domain("d0"));
        request.excluded.push(failed.handle);
        dispatcher.finish(NOW, &failed, AttemptOutcome::Unreachable, 1.0);
    }
    let domains: Vec<_> = (0..20).map(|it| chat(NOW, 100 + it, 500, 1)).collect();
    let elsewhere = domains.into_iter().filter(|it| {
        let request = DispatchRequest { excluded: request.excluded.clone(), ..it.clone() };
        let started = start(&mut dispatcher, NOW, request);
        started.domain != domain("d0")
    });
    // Without a preference two thirds of the homes are elsewhere.
    assert!(elsewhere.count() >= 8);
}

/// Plays 60 routers that each start a request on 40 endpoints of which a third was replaced, while
/// the list still shows the former ones. Returns how many requests reached a replaced endpoint.
fn misdirected_requests(shares_reports: bool) -> usize {
    let listing: Vec<_> = (0..40).map(|it| listed("model", it, 16)).collect();
    let mut routers: Vec<_> = (0..60)
        .map(|at| {
            let mut router = Dispatcher::new(domain(DOMAINS[at % 3]), at as u64);
            router.set_kv_capacity(&"model".into(), Some(600_000));
            router.update_endpoints(&listing);
            router
        })
        .collect();
    let mut misdirected = 0;
    for round in 0..100_u64 {
        let now = NOW + round * 10 * MILLISECOND;
        for at in 0..routers.len() {
            let chat_id = mix2(round, at as u64) % 200;
            let assignment = start(&mut routers[at], now, chat(now, chat_id, 4_000, round));
            let number: u16 =
                assignment.id.rsplit('-').next().and_then(|it| it.parse().ok()).expect("id");
            let outcome = match number % 3 {
                0 => AttemptOutcome::Misdirected,
                _ => AttemptOutcome::Served,
            };
            misdirected += usize::from(outcome == AttemptOutcome::Misdirected);
            routers[at].finish(now, &assignment, outcome, 5.0);
            let reports = routers[at].take_outages();
            if shares_reports {
                let reporter = hash64(DOMAINS[at % 3].as_bytes());
                let others = routers.iter_mut().enumerate().filter(|it| it.0 != at);
                others.for_each(|it| drop(it.1.apply_outages(now, reporter, &reports)));
            }
        }
    }
    misdirected
}

/// Guards against a whole fleet that finds out router by router that endpoints were replaced: the
/// list lags by seconds, and each finding costs a retry.
#[test]
fn a_fleet_sends_few_requests_to_replaced_endpoints() {
    let (alone, together) = (misdirected_requests(false), misdirected_requests(true));
    assert!(together <= 14, "{together} requests to 14 replaced endpoints");
    assert!(alone >= 10 * together, "{alone} without reports, {together} with them");
}

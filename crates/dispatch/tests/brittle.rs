//! Tests of endpoints that fail if all routers together make them reject too many requests.

mod common;

use {
    common::{NOW, domain, listed, plain},
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult},
    model::{MILLISECOND, SECOND, Time},
    rstest::rstest,
    std::{collections::VecDeque, net::SocketAddr},
};

const SLOTS: u32 = 6;

/// The rejections per second that the endpoint bears.
const RATE: u32 = 5;

/// How long the endpoint runs a request.
const RUN_TIME: u64 = 60 * MILLISECOND;

fn addr(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (router / 200) as u8, (router % 200) as u8], 7_000))
}

/// Returns routers that know one endpoint, and nothing of what others send there.
fn routers(count: usize) -> Vec<Dispatcher> {
    let router = |at| {
        let mut dispatcher = Dispatcher::new(domain("d0"), at as u64);
        dispatcher.update_endpoints(&[listed("plain", 1, SLOTS)]);
        dispatcher.set_routers(NOW, addr(at), (0..count).map(addr));
        dispatcher
    };
    (0..count).map(router).collect()
}

fn assign(dispatcher: &mut Dispatcher, now: Time) -> Option<Assignment> {
    let request = DispatchRequest { wait_until: now, ..plain(now) };
    match dispatcher.submit(now, request) {
        SubmitResult::Started(assignment) => Some(assignment),
        SubmitResult::Refused { .. } => None,
        SubmitResult::Queued(id) => panic!("{id} waits although it may not"),
    }
}

/// Lets all routers ask for a place each 10 ms for ten seconds. Returns the rejections and answers of
/// each second. The endpoint queues nothing.
fn play(routers: &mut [Dispatcher]) -> Vec<(u32, u32)> {
    let mut running: VecDeque<(Time, usize, Assignment)> = VecDeque::new();
    let mut seconds = vec![(0, 0); 10];
    for tick in 0..1_000 {
        let now = NOW + tick * 10 * MILLISECOND;
        let (rejected, answered) = &mut seconds[tick as usize / 100];
        while running.front().is_some_and(|it| it.0 <= now) {
            let Some((_, at, assignment)) = running.pop_front() else { break };
            routers[at].finish(now, &assignment, AttemptOutcome::Served, 60.0);
            *answered += 1;
        }
        for (at, router) in routers.iter_mut().enumerate() {
            let Some(assignment) = assign(router, now) else { continue };
            if running.len() < SLOTS as usize {
                running.push_back((now + RUN_TIME, at, assignment));
            } else {
                router.finish(now, &assignment, AttemptOutcome::Full, 1.0);
                *rejected += 1;
            }
        }
    }
    seconds
}

#[rstest]
#[case::one(1)]
#[case::six(6)]
#[case::seven(7)]
#[case::three_hundred(300)]
fn routers_together_make_a_brittle_endpoint_reject_few_requests(#[case] count: usize) {
    let mut routers = routers(count);
    for router in &mut routers {
        let known = assign(router, NOW).expect("no endpoint");
        router.finish(NOW, &known, AttemptOutcome::Served, 60.0);
        assert!(router.record_brittle(known.handle, Some(f64::from(RATE))));
    }
    let seconds = play(&mut routers);
    let failed = seconds.iter().filter(|it| it.0 > RATE).count();
    assert!(failed <= 2, "too many rejections in {failed} seconds: {seconds:?}");
    let answered: u32 = seconds.iter().map(|it| it.1).sum();
    assert!(answered >= 200, "only {answered} requests answered");
}

#[test]
fn endpoint_is_used_in_full_once_it_is_no_longer_brittle() {
    let mut routers = routers(6);
    let router = &mut routers[0];
    let first = assign(router, NOW).expect("no endpoint");
    router.record_brittle(first.handle, Some(1.0));
    assert!(assign(router, NOW).is_none());
    assert!(router.record_brittle(first.handle, None));
    assert!(assign(router, NOW).is_some());
}

#[test]
fn router_that_a_brittle_endpoint_rejected_stays_away() {
    let mut routers = routers(6);
    let router = &mut routers[0];
    let first = assign(router, NOW).expect("no endpoint");
    router.record_brittle(first.handle, Some(3.0));
    router.finish(NOW, &first, AttemptOutcome::Full, 1.0);
    assert!(assign(router, NOW + 1_900 * MILLISECOND).is_none());
    assert!(assign(router, NOW + 2 * SECOND).is_some());
}

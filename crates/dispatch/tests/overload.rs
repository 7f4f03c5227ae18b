//! Tests of which requests wait and which are refused when there is too little room and late
//! responses are of use.

mod common;

use {
    common::{NOW, chat, dispatcher},
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult, WaiterId},
    model::{MILLISECOND, SECOND, Time},
    std::collections::{BTreeMap, HashMap},
};

/// The time that a request runs, in milliseconds.
const RUN_MS: u64 = 60;

/// Returns a dispatcher whose only model endpoint is full, and the running requests.
fn fully_loaded() -> (Dispatcher, Vec<Assignment>) {
    let (mut dispatcher, _) = dispatcher(1, 4);
    let request = chat(NOW, 1, 100, 1);
    for _ in 0..200 {
        let SubmitResult::Started(it) = dispatcher.submit(NOW, request.clone()) else { break };
        dispatcher.finish(NOW, &it, AttemptOutcome::Served, RUN_MS as f64);
    }
    let mut running = Vec::new();
    let full = DispatchRequest { wait_until: NOW, ..request };
    while let SubmitResult::Started(it) = dispatcher.submit(NOW, full.clone()) {
        running.push(it);
    }
    (dispatcher, running)
}

fn lasting(priority: u8, wait_ms: u64, finish_ms: u64) -> DispatchRequest {
    let (wait_until, finish_by) = (NOW + wait_ms * MILLISECOND, NOW + finish_ms * MILLISECOND);
    let request = chat(NOW, 1, 100, 1);
    DispatchRequest { priority, wait_until, finish_by: Some(finish_by), ..request }
}

fn queued(result: SubmitResult) -> WaiterId {
    match result {
        SubmitResult::Queued(id) => id,
        other => panic!("expected a queued request, found {other:?}"),
    }
}

fn finish_all(dispatcher: &mut Dispatcher, running: &[Assignment]) -> Vec<WaiterId> {
    let started = running
        .iter()
        .flat_map(|it| dispatcher.finish(NOW, it, AttemptOutcome::Served, RUN_MS as f64));
    started.map(|it| it.0).collect()
}

/// Guards against refusals of requests that can still be answered before their deadline, and against
/// late ones that take the room of those that can be on time.
#[test]
fn late_request_waits_behind_less_urgent_ones_that_can_be_on_time() {
    let (mut dispatcher, running) = fully_loaded();
    let late = queued(dispatcher.submit(NOW, lasting(0, 0, 2_000)));
    let on_time = queued(dispatcher.submit(NOW, lasting(2, 200, 2_000)));
    assert_eq!(finish_all(&mut dispatcher, &running), [on_time, late]);
}

/// Guards against requests that lose their place when they can no longer be on time.
#[test]
fn waiting_request_counts_as_late_once_it_cannot_be_on_time() {
    let (mut dispatcher, running) = fully_loaded();
    let urgent = queued(dispatcher.submit(NOW, lasting(0, 100, 2_000)));
    let other = queued(dispatcher.submit(NOW, lasting(1, 200, 2_000)));
    assert!(dispatcher.expire(NOW + 150 * MILLISECOND).is_empty());
    assert_eq!(finish_all(&mut dispatcher, &running), [other, urgent]);
}

/// Guards against requests that are held although their run cannot end before their deadline.
#[test]
fn request_without_time_for_its_run_is_refused_at_once() {
    let (mut dispatcher, _) = fully_loaded();
    let refused = dispatcher.submit(NOW, lasting(0, 0, RUN_MS));
    let SubmitResult::Refused { retry_ms } = refused else { panic!("{refused:?}") };
    assert!(retry_ms <= RUN_MS / 3, "{retry_ms}");
    let late = queued(dispatcher.submit(NOW, lasting(0, 0, 1_000)));
    let expired = dispatcher.expire(NOW + 950 * MILLISECOND);
    assert_eq!(expired.iter().map(|it| it.0).collect::<Vec<_>>(), [late]);
}

/// Guards against a full queue that refuses the urgent newcomer and keeps the others.
#[test]
fn newcomer_displaces_the_last_request_of_a_full_queue() {
    let (mut dispatcher, _) = fully_loaded();
    let mut waiting = Vec::new();
    while let SubmitResult::Queued(id) = dispatcher.submit(NOW, lasting(2, 60_000, 90_000)) {
        waiting.push(id);
    }
    queued(dispatcher.submit(NOW, lasting(0, 60_000, 90_000)));
    let displaced = dispatcher.expire(NOW);
    assert_eq!(displaced.iter().map(|it| it.0).collect::<Vec<_>>(), waiting[waiting.len() - 1..]);
}

/// Guards against requests of one priority that are late because others with more time went first.
#[test]
fn requests_of_a_priority_start_by_their_latest_start() {
    let (mut dispatcher, running) = fully_loaded();
    let patient = queued(dispatcher.submit(NOW, lasting(1, 900, 4_000)));
    let hurried = queued(dispatcher.submit(NOW, lasting(1, 100, 4_000)));
    assert_eq!(finish_all(&mut dispatcher, &running), [hurried, patient]);
}

/// Guards against callers that return together, or later than they would.
#[test]
fn retries_are_spread_and_the_urgent_ones_come_first() {
    let (mut dispatcher, _) = fully_loaded();
    while let SubmitResult::Queued(_) = dispatcher.submit(NOW, lasting(0, 60_000, 90_000)) {}
    let mut retries: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
    for at in 0..240 {
        let refused = dispatcher.submit(NOW, lasting(at % 3, 0, 6_000));
        let SubmitResult::Refused { retry_ms } = refused else { panic!("{refused:?}") };
        retries.entry(at % 3).or_default().push(retry_ms);
    }
    let means: Vec<_> = retries.values().map(|it| it.iter().sum::<u64>() / 80).collect();
    assert!(means.is_sorted(), "{means:?}");
    for (_, mut retries) in retries {
        retries.sort_unstable();
        retries.dedup();
        assert!(retries.len() >= 40 && retries[retries.len() - 1] <= 2_000, "{retries:?}");
    }
}

/// What became of the requests of one priority.
#[derive(Clone, Copy, Default, Debug)]
struct Tally {
    sent: usize,
    on_time: usize,
    late: usize,
}

/// Plays a surge on five model endpoints with four slots (333 requests a second): 450 a second for
/// three seconds, three priorities, an aim of 300 ms and a deadline of 4 s. Callers do not retry.
fn play_surge(takes_late: bool) -> BTreeMap<u8, Tally> {
    let (mut dispatcher, _) = dispatcher(5, 4);
    let mut tallies: BTreeMap<u8, Tally> = BTreeMap::new();
    let mut arrivals: HashMap<WaiterId, (u8, Time)> = HashMap::new();
    let mut running: Vec<(Time, u8, Time, Assignment)> = Vec::new();
    let mut sent = 0_u64;
    for step in 0..8_000_u64 {
        let now = NOW + step * MILLISECOND;
        let done: Vec<_> = running.extract_if(.., |it| it.0 <= now).collect();
        let mut started = Vec::new();
        for (_, priority, arrived, assignment) in done {
            let tally = tallies.entry(priority).or_default();
            let elapsed = now.since(arrived);
            tally.on_time += usize::from(elapsed <= 300 * MILLISECOND);
            tally.late += usize::from((300 * MILLISECOND + 1..=4 * SECOND).contains(&elapsed));
            let service_ms = RUN_MS as f64;
            started.extend(dispatcher.finish(now, &assignment, AttemptOutcome::Served, service_ms));
        }
        for (id, assignment) in started {
            let (priority, arrived) = arrivals.remove(&id).expect("unknown waiter");
            running.push((now + RUN_MS * MILLISECOND, priority, arrived, assignment));
        }
        for (id, _) in dispatcher.expire(now) {
            arrivals.remove(&id);
        }
        while step < 3_000 && sent * 1_000 < (step + 1) * 450 {
            let priority = (sent % 3) as u8;
            sent += 1;
            tallies.entry(priority).or_default().sent += 1;
            let finish_by = takes_late.then_some(now + 4 * SECOND);
            let wait_until = now + 180 * MILLISECOND;
            let request = chat(now, sent % 40, 100, sent);
            let request = DispatchRequest { priority, wait_until, finish_by, ..request };
            match dispatcher.submit(now, request) {
                SubmitResult::Started(it) => {
                    running.push((now + RUN_MS * MILLISECOND, priority, now, it));
                }
                SubmitResult::Queued(id) => {
                    arrivals.insert(id, (priority, now));
                }
                SubmitResult::Refused { .. } => {}
            }
        }
    }
    tallies
}

/// Guards against a surge in which a third of the requests is refused although the endpoints could
/// answer all of them before their deadlines, and against late ones that make others late.
#[test]
fn surge_is_served_by_its_deadlines_without_fewer_responses_on_time() {
    let (before, after) = (play_surge(false), play_surge(true));
    println!("without late responses: {before:?}\nwith late responses: {after:?}");
    let sum = |it: &BTreeMap<u8, Tally>, f: fn(&Tally) -> usize| it.values().map(f).sum::<usize>();
    let sent = sum(&after, |it| it.sent);
    assert!(sum(&after, |it| it.on_time + it.late) * 100 >= sent * 98);
    assert!(sum(&after, |it| it.on_time) * 100 >= sum(&before, |it| it.on_time) * 95);
    let served: Vec<_> =
        after.values().map(|it| (it.on_time + it.late) as f64 / it.sent as f64).collect();
    assert!(served[0] + 0.05 >= served[1] && served[1] + 0.05 >= served[2], "{served:?}");
}

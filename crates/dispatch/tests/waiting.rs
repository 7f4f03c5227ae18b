//! Requests for which there is no room.

mod common;

use {
    common::{NOW, chat, dispatcher, plain},
    dispatch::{Assignment, AttemptOutcome, DispatchRequest, Dispatcher, SubmitResult, WaiterId},
    model::{MILLISECOND, SECOND, Time},
    proptest::prelude::*,
};

/// Fills all plain endpoints.
fn full() -> (Dispatcher, Vec<Assignment>) {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let mut picks = Vec::new();
    // Some requests have ended before, so that the time that one holds its place is known.
    for _ in 0..200 {
        let SubmitResult::Started(pick) = dispatcher.submit(NOW, plain(NOW)) else {
            unreachable!()
        };
        dispatcher.finish(NOW, &pick, AttemptOutcome::Served, 30.0);
    }
    while let SubmitResult::Started(pick) = dispatcher.submit(NOW, impatient(NOW)) {
        picks.push(pick);
    }
    (dispatcher, picks)
}

fn impatient(now: Time) -> DispatchRequest {
    DispatchRequest { wait_until: now, ..plain(now) }
}

fn ticket(arrival: SubmitResult) -> WaiterId {
    match arrival {
        SubmitResult::Queued(ticket) => ticket,
        other => panic!("expected to wait, found {other:?}"),
    }
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let (mut dispatcher, picks) = full();
    assert!(picks.len() >= 18, "at least all slots are used");
    let refused = dispatcher.submit(NOW, impatient(NOW));
    let SubmitResult::Refused { retry_ms } = refused else { panic!("{refused:?}") };
    assert!((100..=2_000).contains(&retry_ms));
}

#[test]
fn an_unknown_service_has_no_room() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let ask = DispatchRequest { service: "other".into(), ..plain(NOW) };
    assert!(matches!(dispatcher.submit(NOW, ask), SubmitResult::Refused { .. }));
}

#[test]
fn a_waiting_request_starts_when_a_place_is_free() {
    let (mut dispatcher, picks) = full();
    let waiting = ticket(dispatcher.submit(NOW, plain(NOW)));
    let next = dispatcher.finish(NOW, &picks[0], AttemptOutcome::Served, 30.0);
    assert_eq!(next.iter().map(|it| it.0).collect::<Vec<_>>(), [waiting]);
    assert_eq!(next[0].1.id, picks[0].id);
}

#[test]
fn urgent_requests_start_first_and_the_older_ones_of_a_rank() {
    let (mut dispatcher, picks) = full();
    let mut wait =
        |priority| ticket(dispatcher.submit(NOW, DispatchRequest { priority, ..plain(NOW) }));
    let (late, first, second, urgent) = (wait(2), wait(1), wait(1), wait(0));
    let ends = picks.iter().flat_map(|it| dispatcher.finish(NOW, it, AttemptOutcome::Served, 30.0));
    let order: Vec<_> = ends.map(|it| it.0).collect();
    assert_eq!(order, [urgent, first, second, late]);
}

#[test]
fn a_request_does_not_overtake_one_that_could_start() {
    let (mut dispatcher, picks) = full();
    let first = ticket(dispatcher.submit(NOW, plain(NOW)));
    // Room comes by an endpoint that another router told of, so that nobody has started the waiting request yet.
    dispatcher.cancel(&"plain".into(), first);
    dispatcher.finish(NOW, &picks[0], AttemptOutcome::Abandoned, 0.0);
    assert!(matches!(dispatcher.submit(NOW, plain(NOW)), SubmitResult::Started(_)));
}

#[test]
fn a_request_that_nothing_can_serve_holds_up_no_other() {
    let (mut dispatcher, picks) = full();
    // It has been to every endpoint.
    let excluded = picks.iter().map(|it| it.handle).collect();
    ticket(dispatcher.submit(NOW, DispatchRequest { excluded, priority: 0, ..plain(NOW) }));
    dispatcher.finish(NOW, &picks[0], AttemptOutcome::Served, 30.0);
    assert!(matches!(dispatcher.submit(NOW, plain(NOW)), SubmitResult::Started(_)));
}

#[test]
fn a_request_waits_no_longer_than_it_can() {
    let (mut dispatcher, _) = full();
    let waiting = ticket(dispatcher.submit(NOW, plain(NOW)));
    assert_eq!(dispatcher.next_deadline(), NOW + 100 * MILLISECOND);
    assert!(dispatcher.expire(NOW + 99 * MILLISECOND).is_empty());
    let expired = dispatcher.expire(NOW + 100 * MILLISECOND);
    assert_eq!(expired.iter().map(|it| it.0).collect::<Vec<_>>(), [waiting]);
    assert_eq!(dispatcher.next_deadline(), Time::NEVER);
}

#[test]
fn a_request_whose_caller_left_gets_no_place() {
    let (mut dispatcher, picks) = full();
    let waiting = ticket(dispatcher.submit(NOW, plain(NOW)));
    dispatcher.cancel(&"plain".into(), waiting);
    assert!(dispatcher.finish(NOW, &picks[0], AttemptOutcome::Served, 30.0).is_empty());
}

#[test]
fn prompts_do_not_overfill_the_memory_of_an_engine() {
    let (mut dispatcher, _) = dispatcher(1, 64);
    let mut tokens = 0;
    for own in 0..64 {
        let ask = DispatchRequest { wait_until: NOW, ..chat(NOW, own, 29_500, own) };
        if let SubmitResult::Started(pick) = dispatcher.submit(NOW, ask) {
            tokens += pick.tokens;
        }
    }
    assert!((400_000..=600_000).contains(&tokens), "{tokens} tokens");
}

/// One step of a load.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { priority: u8, patience_ms: u64 },
    End(usize),
    Leave(usize),
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..3, 0_u64..300).prop_map(|(priority, patience_ms)| Step::Arrive { priority, patience_ms }),
        3 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (1_u64..100).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    /// Each request gets exactly one of: a place, a refusal, its caller's leave; and no endpoint gets more than its
    /// slots and its short queue.
    #[test]
    fn each_request_is_settled_once(steps in proptest::collection::vec(step(), 1..400)) {
        let (mut dispatcher, _) = dispatcher(1, 64);
        let (mut now, mut running, mut waiting) = (NOW, Vec::<Assignment>::new(), Vec::<WaiterId>::new());
        let (mut arrived, mut settled) = (0, 0);
        for step in steps {
            let started = match step {
                Step::Arrive { priority, patience_ms } => {
                    arrived += 1;
                    let wait_until = now + patience_ms * MILLISECOND;
                    match dispatcher.submit(now, DispatchRequest { priority, wait_until, ..plain(now) }) {
                        SubmitResult::Started(pick) => {
                            settled += 1;
                            running.push(pick);
                        }
                        SubmitResult::Refused { .. } => settled += 1,
                        SubmitResult::Queued(ticket) => waiting.push(ticket),
                    }
                    Vec::new()
                }
                Step::End(at) if !running.is_empty() => {
                    let pick = running.swap_remove(at % running.len());
                    dispatcher.finish(now, &pick, AttemptOutcome::Served, 30.0)
                }
                Step::Leave(at) if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(at % waiting.len());
                    dispatcher.cancel(&"plain".into(), ticket);
                    settled += 1;
                    Vec::new()
                }
                Step::End(_) | Step::Leave(_) => Vec::new(),
                Step::Pass { ms } => {
                    now = now + ms * MILLISECOND;
                    for (ticket, _) in dispatcher.expire(now) {
                        let at = waiting.iter().position(|it| *it == ticket);
                        waiting.swap_remove(at.expect("a waiting request"));
                        settled += 1;
                    }
                    Vec::new()
                }
            };
            for (ticket, pick) in started {
                let at = waiting.iter().position(|it| *it == ticket);
                waiting.swap_remove(at.expect("a waiting request"));
                settled += 1;
                running.push(pick);
            }
            prop_assert_eq!(arrived, settled + waiting.len());
            for pick in &running {
                let load = running.iter().filter(|it| it.handle == pick.handle).count();
                prop_assert!(load <= 9, "{load} requests on an endpoint with 6 slots");
            }
        }
        now = now + SECOND;
        prop_assert_eq!(dispatcher.expire(now).len(), waiting.len());
    }
}

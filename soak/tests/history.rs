//! Each invariant detects the scenarios that violate it and accepts those that do not.

#![allow(clippy::disallowed_methods, reason = "entries carry times of the real clock")]

use {
    bytes::Bytes,
    rstest::rstest,
    soak::{
        Cause, Component, Excuse, History, Outcome, ReceivedRequest, RequestKind, SentRequest,
        TEAM, expected_event, expected_response, expected_signature,
    },
    std::time::{Duration, Instant},
};

const ID: &str = "a-1";

fn sent(kind: RequestKind, at: Instant) -> SentRequest {
    let (path, body) = (format!("/{kind}/x"), Bytes::from("body"));
    SentRequest {
        kind,
        gateway: 0,
        incarnation: 0,
        path,
        body,
        at,
        deadline: at + Duration::from_secs(4),
    }
}

fn arrival(kind: RequestKind) -> ReceivedRequest {
    ReceivedRequest {
        endpoint: 3,
        service: if kind == RequestKind::Stream { "model" } else { "plain" },
        path: format!("/{kind}/x"),
        body: Bytes::from("body"),
        team: Some(TEAM.to_owned()),
        has_team_key: false,
        time_left: Duration::from_secs(4),
        drain_deadline: None,
    }
}

fn completed(status: u16, body: Bytes) -> Outcome {
    let signature = (status == 200).then(|| expected_signature(3, ID));
    Outcome::Completed { status, signature, body }
}

fn violated_rules(history: &History) -> Vec<String> {
    history.finish();
    let rule = |it: &String| it.split(':').next().unwrap_or_default().to_owned();
    history.violations().0.iter().map(rule).collect()
}

/// Records the events of a request that was just sent.
type Scenario = fn(&History, Instant);

fn run(history: &History, kind: RequestKind, now: Instant) {
    let run = history.record_start(ID, &arrival(kind), now);
    history.record_finish(ID, run, now);
}

#[rstest]
#[case::completed(RequestKind::Read, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    history.record_outcome(ID, completed(200, expected_response(ID)), now);
})]
#[case::retried_read(RequestKind::Read, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    run(history, RequestKind::Read, now);
    history.record_outcome(ID, completed(200, expected_response(ID)), now);
})]
#[case::refused(RequestKind::Write, |history: &History, now: Instant| history.record_outcome(ID, completed(503, Bytes::new()), now))]
#[case::cancelled(RequestKind::Write, |history: &History, now: Instant| {
    run(history, RequestKind::Write, now);
    history.record_outcome(ID, Outcome::Cancelled, now);
})]
fn valid_history_is_accepted(#[case] kind: RequestKind, #[case] scenario: Scenario) {
    let (history, now) = (History::default(), Instant::now());
    history.record_sent(ID, sent(kind, now));
    scenario(&history, now);
    assert_eq!(violated_rules(&history), [""; 0]);
}

#[rstest]
#[case::never_sent("unexpected", RequestKind::Read, |history: &History, now: Instant| {
    history.record_start("other", &arrival(RequestKind::Read), now);
})]
#[case::modified_body("unexpected", RequestKind::Read, |history: &History, now: Instant| {
    let arrival = ReceivedRequest { body: Bytes::from("other"), ..arrival(RequestKind::Read) };
    history.record_start(ID, &arrival, now);
})]
#[case::team_key_forwarded("unexpected", RequestKind::Read, |history: &History, now: Instant| {
    history.record_start(ID, &ReceivedRequest { has_team_key: true, ..arrival(RequestKind::Read) }, now);
})]
#[case::wrong_service("route", RequestKind::Read, |history: &History, now: Instant| {
    history.record_start(ID, &ReceivedRequest { service: "model", ..arrival(RequestKind::Read) }, now);
})]
#[case::retried_write("duplicate", RequestKind::Write, |history: &History, now: Instant| {
    run(history, RequestKind::Write, now);
    run(history, RequestKind::Write, now);
})]
#[case::refused_after_it_ran("refused", RequestKind::Write, |history: &History, now: Instant| {
    run(history, RequestKind::Write, now);
    history.record_outcome(ID, completed(503, Bytes::new()), now);
})]
#[case::runs_after_it_was_refused("refused", RequestKind::Write, |history: &History, now: Instant| {
    history.record_outcome(ID, completed(503, Bytes::new()), now);
    run(history, RequestKind::Write, now);
})]
#[case::response_of_another_request("wrong-response", RequestKind::Read, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    history.record_outcome(ID, completed(200, expected_response("other")), now);
})]
#[case::unsigned("wrong-response", RequestKind::Read, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    let end = Outcome::Completed { status: 200, signature: None, body: expected_response(ID) };
    history.record_outcome(ID, end, now);
})]
#[case::missing_event("order", RequestKind::Stream, |history: &History, now: Instant| {
    run(history, RequestKind::Stream, now);
    let events = expected_event(ID, 1) + &expected_event(ID, 3);
    history.record_outcome(ID, completed(200, events.into()), now);
})]
#[case::incomplete_stream("order", RequestKind::Stream, |history: &History, now: Instant| {
    run(history, RequestKind::Stream, now);
    history.record_outcome(ID, completed(200, expected_event(ID, 1).into()), now);
})]
#[case::late_response("late", RequestKind::Read, |history: &History, now: Instant| {
    history.record_outcome(ID, completed(504, Bytes::new()), now + Duration::from_secs(6));
})]
#[case::disconnected("lost", RequestKind::Read, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    history.record_outcome(ID, Outcome::Disconnected { events: Bytes::new() }, now);
})]
#[case::deadline_extended("deadline", RequestKind::Read, |history: &History, now: Instant| {
    history.record_start(ID, &ReceivedRequest { time_left: Duration::from_secs(9), ..arrival(RequestKind::Read) }, now);
})]
#[case::draining_endpoint("drain", RequestKind::Read, |history: &History, now: Instant| {
    let drain_deadline = Some(now - Duration::from_millis(1));
    history.record_start(ID, &ReceivedRequest { drain_deadline, ..arrival(RequestKind::Read) }, now);
})]
#[case::runs_after_cancellation("not-cancelled", RequestKind::Read, |history: &History, now: Instant| {
    let run = history.record_start(ID, &arrival(RequestKind::Read), now);
    history.record_outcome(ID, Outcome::Cancelled, now);
    history.record_finish(ID, run, now + Duration::from_secs(2));
})]
#[case::denied("denied", RequestKind::Read, |history: &History, now: Instant| {
    history.record_outcome(ID, completed(404, Bytes::new()), now);
})]
#[case::old_configuration("configuration", RequestKind::VersionOnly(1), |history: &History, now: Instant| {
    history.record_publish(2, now - Duration::from_secs(9));
    history.record_acknowledged(2, now - Duration::from_secs(3));
    run(history, RequestKind::VersionOnly(1), now);
})]
#[case::configuration_not_applied("configuration", RequestKind::VersionOnly(1), |history: &History, now: Instant| {
    history.record_publish(1, now - Duration::from_secs(9));
    history.record_acknowledged(1, now - Duration::from_secs(3));
    history.record_outcome(ID, completed(404, Bytes::new()), now);
})]
fn violation_is_detected(
    #[case] rule: &str,
    #[case] kind: RequestKind,
    #[case] scenario: Scenario,
) {
    let (history, now) = (History::default(), Instant::now());
    history.record_sent(ID, sent(kind, now));
    scenario(&history, now);
    assert_eq!(violated_rules(&history), [rule]);
}

#[rstest]
fn gateway_must_not_return_to_an_older_configuration() {
    let (history, now) = (History::default(), Instant::now());
    let later = now + Duration::from_secs(1);
    for (id, version, at) in [("a-1", 2, now), ("a-2", 1, later)] {
        history.record_sent(id, sent(RequestKind::VersionOnly(version), at));
        history.record_start(id, &arrival(RequestKind::VersionOnly(version)), at);
    }
    assert_eq!(violated_rules(&history), ["configuration"]);
}

#[rstest]
fn retries_beyond_the_budget_are_detected() {
    let (history, now) = (History::default(), Instant::now());
    for number in 0..60 {
        let id = format!("a-{number}");
        history.record_sent(&id, sent(RequestKind::Read, now));
        for _ in 0..3 {
            history.record_start(&id, &arrival(RequestKind::Read), now);
        }
    }
    assert_eq!(violated_rules(&history), ["budget"]);
}

const GATEWAY: Component = Component::Gateway(0);

fn cut(history: &History, now: Instant) {
    history.record_outcome(ID, Outcome::Disconnected { events: Bytes::new() }, now);
}

#[rstest]
#[case::passed_on_at_a_stop(|history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Planned, now);
    run(history, RequestKind::Read, now);
    cut(history, now);
    history.begin_disturbance(GATEWAY, Cause::Down, now);
})]
#[case::unread_while_the_gateway_stops(|history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Planned, now);
    cut(history, now);
})]
#[case::long_unread_while_the_gateway_stops(|history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Planned, now);
    cut(history, now + Duration::from_millis(300));
    history.begin_disturbance(GATEWAY, Cause::Down, now + Duration::from_millis(301));
})]
#[case::another_endpoint_is_disturbed(|history: &History, now: Instant| {
    history.begin_disturbance(Component::Endpoint(4), Cause::Fault, now);
    run(history, RequestKind::Read, now);
    cut(history, now);
})]
fn cut_request_is_lost(#[case] scenario: Scenario) {
    let (history, now) = (History::default(), Instant::now());
    history.record_sent(ID, sent(RequestKind::Read, now));
    scenario(&history, now);
    assert_eq!(violated_rules(&history), ["lost"]);
    assert_eq!(history.cuts().lost, 1);
}

#[rstest]
#[case::before_it_was_read(Excuse::NotRead, |history: &History, now: Instant| cut(history, now))]
#[case::while_the_process_exits(Excuse::NotRead, |history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Planned, now);
    cut(history, now);
    history.begin_disturbance(GATEWAY, Cause::Down, now + Duration::from_millis(50));
})]
#[case::process_not_running(Excuse::GatewayDown, |history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Down, now);
    cut(history, now + Duration::from_millis(300));
})]
#[case::gateway_disturbed(Excuse::GatewayDisturbed, |history: &History, now: Instant| {
    history.begin_disturbance(GATEWAY, Cause::Fault, now);
    run(history, RequestKind::Read, now);
    cut(history, now);
})]
#[case::its_endpoint_disturbed(Excuse::EndpointDisturbed, |history: &History, now: Instant| {
    history.begin_disturbance(Component::Endpoint(3), Cause::Fault, now);
    run(history, RequestKind::Read, now);
    cut(history, now);
})]
#[case::after_its_deadline(Excuse::DeadlinePassed, |history: &History, now: Instant| {
    run(history, RequestKind::Read, now);
    cut(history, now + Duration::from_millis(4_500));
})]
fn cut_request_is_excused_with_the_reason(#[case] excuse: Excuse, #[case] scenario: Scenario) {
    let (history, now) = (History::default(), Instant::now());
    history.record_sent(ID, sent(RequestKind::Read, now));
    scenario(&history, now);
    assert_eq!(violated_rules(&history), [""; 0]);
    assert_eq!(history.cuts().excused, [(excuse, 1)].into());
}

//! Every promise of the record is seen to be broken by what breaks it, and kept by what does not.

#![allow(clippy::disallowed_methods, reason = "the record is told by the clock")]

use {
    bytes::Bytes,
    rstest::rstest,
    soak::{Arrival, End, Kind, Record, Sent, TEAM, answer_of, event_of, signature_of},
    std::time::{Duration, Instant},
};

const ID: &str = "a-1";

fn sent(kind: Kind, at: Instant) -> Sent {
    let (path, body) = (format!("/{kind}/x"), Bytes::from("body"));
    Sent { kind, gateway: 0, life: 0, path, body, at, deadline: at + Duration::from_secs(4) }
}

fn arrival(kind: Kind) -> Arrival {
    Arrival {
        endpoint: 3,
        service: if kind == Kind::Stream { "model" } else { "plain" },
        path: format!("/{kind}/x"),
        body: Bytes::from("body"),
        team: Some(TEAM.to_owned()),
        keyed: false,
        left: Duration::from_secs(4),
        drained: None,
    }
}

fn answered(status: u16, body: Bytes) -> End {
    let signature = (status == 200).then(|| signature_of(3, ID));
    End::Answered { status, signature, body }
}

fn broken(record: &Record) -> Vec<String> {
    record.close();
    let rule = |it: &String| it.split(':').next().unwrap_or_default().to_owned();
    record.violations().0.iter().map(rule).collect()
}

/// What happens to a request that was sent just now.
type Story = fn(&Record, Instant);

fn ran(record: &Record, kind: Kind, now: Instant) {
    let run = record.runs(ID, &arrival(kind), now);
    record.ran(ID, run, now);
}

#[rstest]
#[case::answered(Kind::Read, |record: &Record, now: Instant| {
    ran(record, Kind::Read, now);
    record.ended(ID, answered(200, answer_of(ID)), now);
})]
#[case::read_again(Kind::Read, |record: &Record, now: Instant| {
    ran(record, Kind::Read, now);
    ran(record, Kind::Read, now);
    record.ended(ID, answered(200, answer_of(ID)), now);
})]
#[case::refused(Kind::Write, |record: &Record, now: Instant| record.ended(ID, answered(503, Bytes::new()), now))]
#[case::left(Kind::Write, |record: &Record, now: Instant| {
    ran(record, Kind::Write, now);
    record.ended(ID, End::Left, now);
})]
fn is_kept(#[case] kind: Kind, #[case] story: Story) {
    let (record, now) = (Record::default(), Instant::now());
    record.sent(ID, sent(kind, now));
    story(&record, now);
    assert_eq!(broken(&record), [""; 0]);
}

#[rstest]
#[case::unasked("unasked", Kind::Read, |record: &Record, now: Instant| {
    record.runs("other", &arrival(Kind::Read), now);
})]
#[case::changed("unasked", Kind::Read, |record: &Record, now: Instant| {
    let arrival = Arrival { body: Bytes::from("other"), ..arrival(Kind::Read) };
    record.runs(ID, &arrival, now);
})]
#[case::key_passed_on("unasked", Kind::Read, |record: &Record, now: Instant| {
    record.runs(ID, &Arrival { keyed: true, ..arrival(Kind::Read) }, now);
})]
#[case::wrong_service("route", Kind::Read, |record: &Record, now: Instant| {
    record.runs(ID, &Arrival { service: "model", ..arrival(Kind::Read) }, now);
})]
#[case::write_again("twice", Kind::Write, |record: &Record, now: Instant| {
    ran(record, Kind::Write, now);
    ran(record, Kind::Write, now);
})]
#[case::refused_after_it_ran("refused", Kind::Write, |record: &Record, now: Instant| {
    ran(record, Kind::Write, now);
    record.ended(ID, answered(503, Bytes::new()), now);
})]
#[case::runs_after_it_was_refused("refused", Kind::Write, |record: &Record, now: Instant| {
    record.ended(ID, answered(503, Bytes::new()), now);
    ran(record, Kind::Write, now);
})]
#[case::other_answer("mixed", Kind::Read, |record: &Record, now: Instant| {
    ran(record, Kind::Read, now);
    record.ended(ID, answered(200, answer_of("other")), now);
})]
#[case::unsigned("mixed", Kind::Read, |record: &Record, now: Instant| {
    ran(record, Kind::Read, now);
    let end = End::Answered { status: 200, signature: None, body: answer_of(ID) };
    record.ended(ID, end, now);
})]
#[case::event_missing("order", Kind::Stream, |record: &Record, now: Instant| {
    ran(record, Kind::Stream, now);
    let events = event_of(ID, 1) + &event_of(ID, 3);
    record.ended(ID, answered(200, events.into()), now);
})]
#[case::short_stream_looks_whole("order", Kind::Stream, |record: &Record, now: Instant| {
    ran(record, Kind::Stream, now);
    record.ended(ID, answered(200, event_of(ID, 1).into()), now);
})]
#[case::late("late", Kind::Read, |record: &Record, now: Instant| {
    record.ended(ID, answered(504, Bytes::new()), now + Duration::from_secs(6));
})]
#[case::cut("lost", Kind::Read, |record: &Record, now: Instant| {
    ran(record, Kind::Read, now);
    record.ended(ID, End::Cut { events: Bytes::new() }, now);
})]
#[case::more_time_than_left("deadline", Kind::Read, |record: &Record, now: Instant| {
    record.runs(ID, &Arrival { left: Duration::from_secs(9), ..arrival(Kind::Read) }, now);
})]
#[case::leaving_endpoint("drain", Kind::Read, |record: &Record, now: Instant| {
    let drained = Some(now - Duration::from_millis(1));
    record.runs(ID, &Arrival { drained, ..arrival(Kind::Read) }, now);
})]
#[case::goes_on_after_its_caller_left("gone", Kind::Read, |record: &Record, now: Instant| {
    let run = record.runs(ID, &arrival(Kind::Read), now);
    record.ended(ID, End::Left, now);
    record.ran(ID, run, now + Duration::from_secs(2));
})]
#[case::denied("denied", Kind::Read, |record: &Record, now: Instant| {
    record.ended(ID, answered(404, Bytes::new()), now);
})]
#[case::old_configuration("configuration", Kind::Only(1), |record: &Record, now: Instant| {
    record.publishes(2, now - Duration::from_secs(9));
    record.published(2, now - Duration::from_secs(3));
    ran(record, Kind::Only(1), now);
})]
#[case::not_in_force("configuration", Kind::Only(1), |record: &Record, now: Instant| {
    record.publishes(1, now - Duration::from_secs(9));
    record.published(1, now - Duration::from_secs(3));
    record.ended(ID, answered(404, Bytes::new()), now);
})]
fn is_broken(#[case] rule: &str, #[case] kind: Kind, #[case] story: Story) {
    let (record, now) = (Record::default(), Instant::now());
    record.sent(ID, sent(kind, now));
    story(&record, now);
    assert_eq!(broken(&record), [rule]);
}

#[rstest]
fn a_gateway_that_goes_back_to_an_older_configuration_breaks_a_promise() {
    let (record, now) = (Record::default(), Instant::now());
    let later = now + Duration::from_secs(1);
    for (id, version, at) in [("a-1", 2, now), ("a-2", 1, later)] {
        record.sent(id, sent(Kind::Only(version), at));
        record.runs(id, &arrival(Kind::Only(version)), at);
    }
    assert_eq!(broken(&record), ["configuration"]);
}

#[rstest]
fn sends_beyond_the_budget_break_a_promise() {
    let (record, now) = (Record::default(), Instant::now());
    for number in 0..60 {
        let id = format!("a-{number}");
        record.sent(&id, sent(Kind::Read, now));
        for _ in 0..3 {
            record.runs(&id, &arrival(Kind::Read), now);
        }
    }
    assert_eq!(broken(&record), ["budget"]);
}

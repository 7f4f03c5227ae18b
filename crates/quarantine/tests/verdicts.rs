//! Verdicts of one router on the crashes and answers that it sees.

use {
    model::{MILLISECOND, SECOND, Time},
    quarantine::{Admission, AnswerReport, Change, Message, Quarantine, Report, Subject},
    rstest::rstest,
    std::net::SocketAddr,
};

const REQUEST: Subject = Subject::Request(7);
const PART: Subject = Subject::Part(0xbad);
const FIRST_PART: Subject = Subject::Part(0xa);

fn addr(at: u16) -> SocketAddr {
    ([10, 0, 0, 1], at).into()
}

fn at_ms(ms: u64) -> Time {
    Time(SECOND + ms * MILLISECOND)
}

fn quarantine() -> Quarantine {
    let mut quarantine = Quarantine::new(addr(1));
    quarantine.set_members([addr(1)]);
    quarantine
}

fn is_blocked(quarantine: &mut Quarantine, now: Time, subject: Subject) -> bool {
    matches!(quarantine.check(now, &[subject]), Admission::Blocked { .. })
}

/// Records crashes of endpoints that ran requests with these subjects, 200 ms apart. Returns the time
/// of the last one.
fn crash(quarantine: &mut Quarantine, subjects: &[Subject], from_ms: u64, count: u64) -> Time {
    for at in 0..count {
        let now = at_ms(from_ms + at * 200);
        quarantine.record_crash(now, subjects, from_ms + at, now);
    }
    at_ms(from_ms + (count - 1) * 200)
}

#[test]
fn request_that_crashed_two_endpoints_is_blocked_until_its_record_expires() {
    let (mut quarantine, now) = (quarantine(), at_ms(0));
    quarantine.record_crash(now, &[REQUEST], 1, now);
    assert!(!is_blocked(&mut quarantine, now, REQUEST), "one crash may have had another cause");
    quarantine.record_crash(now, &[REQUEST], 1, now);
    assert!(!is_blocked(&mut quarantine, now, REQUEST), "the same crash counts once");
    quarantine.record_crash(now, &[REQUEST], 2, now);
    assert!(is_blocked(&mut quarantine, now, REQUEST));
    assert!(!is_blocked(&mut quarantine, now, Subject::Request(8)));
    quarantine.ask(now + 601 * SECOND);
    assert_eq!(quarantine.check(now + 601 * SECOND, &[REQUEST]), Admission::Allowed);
}

#[test]
fn served_request_clears_its_crash_record() {
    let (mut quarantine, now) = (quarantine(), at_ms(0));
    quarantine.record_crash(now, &[REQUEST], 1, now);
    quarantine.record_answer(now, [REQUEST]);
    quarantine.record_crash(now + 1, &[REQUEST], 2, now + 1);
    assert!(!is_blocked(&mut quarantine, now + 1, REQUEST));
}

#[test]
fn part_under_which_three_endpoints_crashed_is_blocked_and_the_answered_part_is_not() {
    let mut quarantine = quarantine();
    for at in 0..3 {
        crash(&mut quarantine, &[Subject::Request(at), FIRST_PART, PART], at * 300, 1);
        quarantine.record_answer(at_ms(at * 300 + 250), [FIRST_PART]);
    }
    let admission = quarantine.check(at_ms(900), &[PART]);
    assert_eq!(
        admission,
        Admission::Undecided { until: at_ms(1_100) },
        "an answer may be on its way"
    );
    assert!(is_blocked(&mut quarantine, at_ms(1_200), PART));
    assert!(!is_blocked(&mut quarantine, at_ms(1_200), FIRST_PART));
    // A request like none before, with the part.
    let subjects = [Subject::Request(99), FIRST_PART, PART];
    assert!(matches!(
        quarantine.check(at_ms(1_200), &subjects),
        Admission::Blocked { subject: PART, .. }
    ));
    let changes = quarantine.take_changes(at_ms(1_200));
    assert!(matches!(changes[..], [Change::Convicted(PART, verdict)] if verdict.crashes == 3));
}

#[test]
fn endpoints_that_end_at_one_moment_do_not_convict_a_part_that_was_answered() {
    let mut quarantine = quarantine();
    quarantine.record_answer(at_ms(0), [PART]);
    for endpoint in 1..8 {
        let now = at_ms(endpoint);
        quarantine.record_crash(now, &[PART], endpoint, now);
    }
    assert!(!is_blocked(&mut quarantine, at_ms(5_000), PART));
}

/// All endpoints of a service end one after the other, and nothing is answered until they are back.
#[test]
fn part_that_was_sound_is_tried_soon() {
    let mut quarantine = quarantine();
    quarantine.record_answer(at_ms(0), [PART]);
    let last_crash = crash(&mut quarantine, &[PART], 100, 3);
    assert!(!is_blocked(&mut quarantine, last_crash + SECOND, PART));
    let last_crash = crash(&mut quarantine, &[PART], 700, 6);
    assert!(is_blocked(&mut quarantine, last_crash + SECOND, PART));
    assert_eq!(quarantine.admit(last_crash + 2 * SECOND, &[PART]), Admission::Trial(PART));
}

#[test]
fn crashes_in_a_burst_convict_a_part_that_is_never_answered() {
    let mut quarantine = quarantine();
    for endpoint in 0..3 {
        let now = at_ms(endpoint * 20);
        quarantine.record_crash(now, &[PART], endpoint, now);
    }
    assert!(is_blocked(&mut quarantine, at_ms(1_000), PART));
}

#[test]
fn bystander_of_all_crashes_is_released_once_they_are_explained() {
    let mut quarantine = quarantine();
    let bystander = Subject::Part(0xb);
    crash(&mut quarantine, &[PART, bystander], 0, 3);
    assert!(is_blocked(&mut quarantine, at_ms(1_000), bystander), "it can't be told apart yet");
    crash(&mut quarantine, &[PART], 1_000, 1);
    assert!(!is_blocked(&mut quarantine, at_ms(2_000), bystander));
    assert!(is_blocked(&mut quarantine, at_ms(2_000), PART));
    assert!(quarantine.take_changes(at_ms(2_000)).contains(&Change::Released(bystander)));
}

#[test]
fn request_is_not_blamed_for_the_crashes_of_a_part() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[PART], 0, 5);
    // It ran during two of them.
    for endpoint in 0..2 {
        quarantine.record_crash(at_ms(1_000), &[REQUEST], endpoint, at_ms(endpoint * 200));
    }
    assert!(is_blocked(&mut quarantine, at_ms(2_000), PART));
    assert!(!is_blocked(&mut quarantine, at_ms(2_000), REQUEST));
}

#[test]
fn answer_ends_a_verdict() {
    let mut quarantine = quarantine();
    let last = crash(&mut quarantine, &[PART], 0, 3) + SECOND;
    assert!(is_blocked(&mut quarantine, last, PART));
    // The request was sent before the verdict.
    quarantine.record_answer(last, [PART]);
    assert_eq!(quarantine.check(last, &[PART]), Admission::Allowed);
}

/// Trials become rarer while they fail, so few more endpoints crash.
#[test]
fn verdict_ends_with_a_trial_that_succeeds_and_lasts_longer_after_one_that_fails() {
    let mut quarantine = quarantine();
    let mut last_crash = crash(&mut quarantine, &[PART], 0, 3);
    let mut pause_s = 30;
    for failed_trial in 0..2 {
        let trial_at = last_crash + pause_s * SECOND;
        assert!(is_blocked(&mut quarantine, trial_at.saturating_sub(MILLISECOND), PART));
        assert_eq!(quarantine.admit(trial_at, &[PART]), Admission::Trial(PART));
        assert!(is_blocked(&mut quarantine, trial_at, PART), "one request at a time");
        last_crash = trial_at + 100 * MILLISECOND;
        quarantine.record_crash(last_crash, &[PART], 100 + failed_trial, last_crash);
        pause_s *= 4;
    }
    let trial_at = last_crash + pause_s * SECOND;
    assert!(is_blocked(&mut quarantine, trial_at.saturating_sub(MILLISECOND), PART));
    assert_eq!(quarantine.admit(trial_at, &[PART]), Admission::Trial(PART));
    quarantine.record_answer(trial_at + SECOND, [PART]);
    assert_eq!(quarantine.check(trial_at + SECOND, &[PART]), Admission::Allowed);
}

#[test]
fn slow_crashes_convict_a_part_that_is_never_answered() {
    let mut quarantine = quarantine();
    for at in 0..3 {
        let now = Time((at + 1) * 100 * SECOND);
        quarantine.record_crash(now, &[PART], at, now);
    }
    assert!(is_blocked(&mut quarantine, Time(301 * SECOND), PART));
}

#[test]
fn a_flood_of_subjects_does_not_drop_the_one_that_crashes() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[PART], 0, 3);
    for at in 0..20_000 {
        quarantine.record_crash(at_ms(2_000), &[Subject::Request(at)], at + 1_000, at_ms(2_000));
    }
    assert!(is_blocked(&mut quarantine, at_ms(2_000), PART));
}

/// Each time makes an answer seem later, so that it would contradict all crashes in the end.
#[test]
fn answer_is_passed_on_only_a_few_times() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[PART], 0, 3);
    let now = at_ms(1_000);
    for (hops, released) in [(4, false), (3, true)] {
        let answer = Some(AnswerReport { age_ms: 0, hops });
        let report = Report { subject: PART, crashes: Vec::new(), answer, trials: 0, tried_ms: 0 };
        quarantine.receive(now, &Message::Tell(vec![report]));
        assert_eq!(is_blocked(&mut quarantine, now, PART), !released);
    }
}

/// One router tells another one what it knows, whichever of them asks.
#[rstest]
#[case::asked(true)]
#[case::asking(false)]
fn router_that_joins_learns_the_verdicts(#[case] joining_asks: bool) {
    let (mut old, mut new) = (quarantine(), Quarantine::new(addr(2)));
    crash(&mut old, &[PART], 0, 3);
    let now = at_ms(10_000);
    let (asking, asked) = if joining_asks { (&mut new, &mut old) } else { (&mut old, &mut new) };
    let question = asking.ask(now);
    let answer = asked.receive(now, &question).expect("no answer");
    let rest = asking.receive(now, &answer);
    rest.map(|it| asked.receive(now, &it));
    assert!(is_blocked(&mut new, now, PART));
    // Nothing is told twice.
    assert_eq!(new.receive(now, &old.ask(now)), None);
}

#[test]
fn router_that_knows_an_answer_tells_those_that_know_only_crashes() {
    let (mut informed, mut cut) = (quarantine(), Quarantine::new(addr(2)));
    crash(&mut cut, &[FIRST_PART], 0, 3);
    informed.record_answer(at_ms(5_000), [FIRST_PART]);
    let now = at_ms(10_000);
    let crashes = cut.take_news(now);
    assert!(matches!(crashes[..], [Message::Tell(_)]));
    crashes.iter().for_each(|it| assert_eq!(informed.receive(now, it), None));
    assert!(!is_blocked(&mut informed, now, FIRST_PART));
    let news = informed.take_news(informed.news_at());
    news.iter().for_each(|it| assert_eq!(cut.receive(now, it), None));
    assert!(!is_blocked(&mut cut, now, FIRST_PART));
}

//! Prompts with as many parts as a request head can carry, and callers who send new parts each time.

use {
    model::{MILLISECOND, SECOND, Time},
    quarantine::{Admission, Message, Quarantine, Subject},
    rstest::rstest,
    std::{collections::HashSet, net::SocketAddr},
};

const PART: Subject = Subject::Part(0xbad);
const OTHER_PART: Subject = Subject::Part(0xbee);

/// The most parts of a head of 16,384 bytes whose ids differ.
const MAX_PARTS: usize = 2_700;

/// The maximum size of the messages on one crash to one router, in bytes per part.
const MAX_BYTES_PER_PART: usize = 10;

fn addr(at: u16) -> SocketAddr {
    ([10, 0, 0, 1], at).into()
}

fn at_ms(ms: u64) -> Time {
    Time(SECOND + ms * MILLISECOND)
}

fn quarantine(routers: u16) -> Quarantine {
    let mut quarantine = Quarantine::new(addr(1));
    quarantine.set_members((1..=routers).map(addr));
    quarantine
}

/// Returns the subjects of a request like no other, with `parts` parts of its own of which the one at
/// `at` is replaced by `part`.
fn request(id: u64, parts: usize, at: usize, part: Subject) -> Vec<Subject> {
    let own = (0..parts as u64).map(|it| Subject::Part((id << 32) + it));
    let mut subjects: Vec<_> = std::iter::once(Subject::Request(id)).chain(own).collect();
    subjects[1 + at] = part;
    subjects
}

fn is_blocked(quarantine: &mut Quarantine, now: Time, subjects: &[Subject]) -> bool {
    matches!(quarantine.check(now, subjects), Admission::Blocked { .. })
}

/// A part was never found behind 64 others (review/15).
#[rstest]
fn part_is_found_among_any_number_of_new_ones(
    #[values(64, 65, 70, MAX_PARTS, 60_000)] parts: usize,
    #[values(0, 1, 2)] position: usize,
) {
    let mut quarantine = quarantine(1);
    let at = position * (parts - 1) / 2;
    for id in 1..=3 {
        let now = at_ms(id * 1_000);
        assert!(quarantine.record_crash(now, &request(id, parts, at, PART), id, now));
        quarantine.take_news(now);
    }
    let now = at_ms(4_000);
    assert!(is_blocked(&mut quarantine, now, &request(9, parts, parts - 1, PART)));
    assert_eq!(quarantine.check(now, &request(1, parts, at, OTHER_PART)), Admission::Allowed);
}

#[test]
fn part_that_comes_twice_in_a_prompt_counts_once() {
    let mut quarantine = quarantine(1);
    let mut subjects = request(1, 100, 0, PART);
    subjects[50] = PART;
    for incarnation in 1..=2 {
        quarantine.record_crash(
            at_ms(incarnation),
            &subjects[1..],
            incarnation,
            at_ms(incarnation),
        );
        quarantine.take_news(at_ms(incarnation));
    }
    assert!(!is_blocked(&mut quarantine, at_ms(2_000), &[PART]));
}

#[test]
fn two_parts_at_a_time_are_both_found() {
    let mut quarantine = quarantine(1);
    for id in 1..=6 {
        let now = at_ms(id * 500);
        let part = if id % 2 == 0 { PART } else { OTHER_PART };
        quarantine.record_crash(now, &request(id, 1_000, 999, part), id, now);
        quarantine.take_news(now);
    }
    assert!(is_blocked(&mut quarantine, at_ms(4_000), &[PART]));
    assert!(is_blocked(&mut quarantine, at_ms(4_000), &[OTHER_PART]));
}

/// A short prompt tells its parts one by one, a long one only their ids.
#[rstest]
#[case::short_first([10, 1_000, 1_000])]
#[case::short_between([1_000, 10, 1_000])]
#[case::short_last([1_000, 1_000, 10])]
#[case::one_long([10, 10, 1_000])]
fn part_is_found_in_short_and_long_prompts(#[case] parts: [usize; 3]) {
    let mut quarantine = quarantine(1);
    for (id, parts) in (1..).zip(parts) {
        let now = at_ms(id * 500);
        quarantine.record_crash(now, &request(id, parts, parts - 1, PART), id, now);
        quarantine.take_news(now);
    }
    assert!(is_blocked(&mut quarantine, at_ms(3_000), &[PART]));
}

/// Many new parts with each crash must not displace what is known about another part.
#[rstest]
#[case::known_from_short_prompts(10)]
#[case::known_from_long_prompts(1_000)]
fn evidence_survives_a_flood_of_new_parts(#[case] parts: usize) {
    let mut quarantine = quarantine(1);
    for id in 1..=2 {
        let now = at_ms(id * 200);
        quarantine.record_crash(now, &request(id, parts, 5, PART), id, now);
        quarantine.take_news(now);
    }
    for id in 100..400 {
        let now = at_ms(id * 10);
        quarantine.record_crash(now, &request(id, MAX_PARTS, 7, OTHER_PART), id, now);
        quarantine.take_news(now);
    }
    let now = at_ms(5_000);
    quarantine.record_crash(now, &request(3, parts, 5, PART), 3, now);
    assert!(is_blocked(&mut quarantine, at_ms(6_000), &[PART]));
    assert!(is_blocked(&mut quarantine, at_ms(6_000), &[OTHER_PART]));
}

#[test]
fn kept_parts_and_subjects_are_bounded() {
    let mut quarantine = quarantine(1);
    for id in 0..500 {
        let now = at_ms(id * 10);
        quarantine.record_crash(now, &request(id, 3_000, 7, PART), id, now);
        // The same request once more, so that each of its parts is in two crashes.
        quarantine.record_crash(now, &request(id, 3_000, 7, PART), 1_000 + id, now);
        quarantine.take_news(now);
        let (subjects, parts) = quarantine.sizes();
        assert!(subjects <= 4_096 && parts <= 262_144, "{subjects} subjects, {parts} parts");
    }
    let (_, parts) = quarantine.sizes();
    assert!(parts >= 2 * MAX_PARTS);
    quarantine.ask(at_ms(5_000) + 601 * SECOND);
    assert_eq!(quarantine.sizes(), (0, 0));
}

/// Few routers are told the parts, and a bounded number of bytes at a time, however many parts and
/// routers there are.
#[rstest]
#[case::small(3, MAX_PARTS)]
#[case::large(320, MAX_PARTS)]
#[case::configured_head(320, 60_000)]
fn messages_on_a_crash_are_bounded(#[case] routers: u16, #[case] parts: usize) {
    let mut quarantine = quarantine(routers);
    let now = at_ms(0);
    quarantine.record_crash(now, &request(1, parts, 7, PART), 1, now);
    let (mut told, mut bytes) = (0, 0);
    for round in 0.. {
        let news = quarantine.take_news(now);
        assert!(news.len() <= 16, "{} messages to all", news.len());
        let (collectors, messages) = quarantine.take_parts(now);
        assert_eq!(collectors.len(), usize::from(routers - 1).min(6));
        assert!(messages.len() <= 8, "{} messages to collectors", messages.len());
        for message in &messages {
            let Message::Crashed { parts, .. } = message else { panic!("{message:?}") };
            let length = 12 + parts.len() * 9;
            assert!(length <= 1_200, "{length} bytes");
            (told, bytes) = (told + parts.len(), bytes + length);
        }
        if quarantine.news_at() == Time::NEVER {
            break;
        }
        assert!(round < 1_000, "the news never end");
    }
    assert_eq!(told, parts);
    assert!(bytes <= parts * MAX_BYTES_PER_PART, "{bytes} bytes");
    // The same crash is not told again.
    quarantine.record_crash(now, &request(1, parts, 7, PART), 1, now);
    assert!(quarantine.take_parts(now).1.is_empty());
}

/// More parts have two crashes than become subjects at a time, and one has three.
#[rstest]
fn parts_with_the_most_crashes_become_subjects_first(
    #[values(0xb0, 0xb1, 0xb2, 0xb3, 0xb4, 0xb5, 0xb6, 0xb7)] part: u64,
) {
    let mut quarantine = quarantine(1);
    let part = Subject::Part(part);
    for (id, incarnation) in [(1, 1), (1, 2), (2, 3)] {
        let now = at_ms(incarnation * 500);
        quarantine.record_crash(now, &request(id, MAX_PARTS, 7, part), incarnation, now);
        quarantine.take_news(now);
    }
    assert!(is_blocked(&mut quarantine, at_ms(3_000), &[part]));
}

/// Those that became subjects first turn out to be sound, and no other crash follows.
#[rstest]
fn an_answer_makes_room_for_other_suspects(
    #[values(0xb0, 0xb1, 0xb2, 0xb3, 0xb4, 0xb5, 0xb6, 0xb7)] part: u64,
) {
    let mut quarantine = quarantine(1);
    let common = (0..2_500).map(|it| Subject::Part(0x5c1e_0000 + it));
    let sound: Vec<_> = common.collect();
    let crashing = [sound.as_slice(), &[Subject::Part(part)]].concat();
    for incarnation in 1..=3 {
        let now = at_ms(incarnation * 500);
        quarantine.record_crash(now, &crashing, incarnation, now);
    }
    quarantine.take_news(at_ms(1_500));
    quarantine.record_answer(at_ms(1_600), &sound);
    quarantine.take_news(at_ms(1_700));
    assert!(is_blocked(&mut quarantine, at_ms(3_000), &crashing));
    assert_eq!(quarantine.check(at_ms(3_000), &sound), Admission::Allowed);
}

#[test]
fn news_of_many_subjects_are_told_a_part_at_a_time() {
    let mut quarantine = quarantine(3);
    let now = at_ms(0);
    for id in 1..=20 {
        quarantine.record_crash(now, &request(id, 64, 7, PART), id, now);
    }
    let (mut rounds, mut told) = (0, HashSet::new());
    while quarantine.news_at() <= now {
        let news = quarantine.take_news(now);
        assert!((1..=16).contains(&news.len()), "{} messages", news.len());
        for message in news {
            let Message::Tell(reports) = message else { panic!("{message:?}") };
            if rounds == 0 && told.is_empty() {
                assert_eq!(reports[0].subject, PART, "the one with the most crashes comes first");
            }
            told.extend(reports.into_iter().map(|it| it.subject));
        }
        rounds += 1;
    }
    // One for each request, one for each of its own parts, and the common part.
    assert_eq!((told.len(), rounds > 1), (20 + 20 * 63 + 1, true));
}

/// Lets routers tell each other all news.
fn exchange(now: Time, routers: &mut [Quarantine]) {
    for _ in 0..40 {
        for from in 0..routers.len() {
            let mut sent = Vec::new();
            for message in routers[from].take_news(now) {
                sent.extend((0..routers.len()).map(|to| (to, message.clone())));
            }
            let (collectors, messages) = routers[from].take_parts(now);
            for message in messages {
                let to = collectors.iter().map(|it| usize::from(it.port()) - 1);
                sent.extend(to.map(|to| (to, message.clone())));
            }
            for (to, message) in sent.into_iter().filter(|it| it.0 != from) {
                routers[to].receive(now, &message);
            }
        }
    }
}

fn fleet(count: u16) -> Vec<Quarantine> {
    let router = |own| {
        let mut quarantine = Quarantine::new(addr(own));
        quarantine.set_members((1..=count).map(addr));
        quarantine
    };
    (1..=count).map(router).collect()
}

/// Each crash is seen by another router.
#[rstest]
#[case::small(3)]
#[case::large(40)]
fn crashes_seen_by_different_routers_convict_a_part_everywhere(#[case] count: u16) {
    let mut routers = fleet(count);
    for id in 1..=3 {
        let now = at_ms(id * 1_000);
        let seen_by = usize::from(count) - id as usize;
        routers[seen_by].record_crash(now, &request(id, MAX_PARTS, 2_000, PART), id, now);
        exchange(now, &mut routers);
    }
    for router in &mut routers {
        assert!(is_blocked(router, at_ms(4_000), &[PART]));
    }
}

/// The sound parts of a long chat come with the one that crashes endpoints, and are answered
/// elsewhere. More of them have as many crashes than become subjects at a time.
#[rstest]
fn common_parts_that_are_answered_do_not_hide_the_one_that_crashes_endpoints(
    #[values(0xb0, 0xb1, 0xb2, 0xb3, 0xb4, 0xb5, 0xb6, 0xb7)] part: u64,
) {
    let (part, mut routers) = (Subject::Part(part), fleet(3));
    let chat = |id, last| {
        let common = (0..1_000).map(|it| Subject::Part(0x5c1e_0000 + it));
        let own = [Subject::Request(id)].into_iter();
        own.chain(common).chain([last]).collect::<Vec<_>>()
    };
    for id in 0..40 {
        routers[2].record_answer(at_ms(id), chat(id, Subject::Part(id)));
    }
    for id in 1..=3 {
        let now = at_ms(id * 1_000);
        routers[id as usize % 2].record_crash(now, &chat(100 + id, part), id, now);
        exchange(now + 10 * MILLISECOND, &mut routers);
        let answered_at = now + 300 * MILLISECOND;
        routers[2].record_answer(answered_at, chat(200 + id, Subject::Part(id)));
        exchange(answered_at + 10 * MILLISECOND, &mut routers);
    }
    for router in &mut routers {
        assert!(is_blocked(router, at_ms(4_000), &chat(300, part)));
        assert_eq!(router.check(at_ms(4_000), &chat(301, Subject::Part(9))), Admission::Allowed);
    }
}

/// Answers to prompts with many new parts must not make a router forget those to common ones, as a
/// part that was answered shortly before needs more crashes.
#[test]
fn answers_to_new_parts_do_not_displace_those_to_common_ones() {
    let mut quarantine = quarantine(1);
    for id in 0..200 {
        let now = at_ms(id * 10);
        if id % 20 == 0 {
            quarantine.record_answer(now, [OTHER_PART]);
        }
        quarantine.record_answer(now, request(id, MAX_PARTS, 0, Subject::Part(1)));
    }
    for id in 1..=3 {
        let now = at_ms(2_000 + id * 200);
        quarantine.record_crash(now, &[OTHER_PART], id, now);
    }
    assert!(!is_blocked(&mut quarantine, at_ms(4_000), &[OTHER_PART]), "three may be an outage");
}

//! What a build without the messages on long prompts makes of them.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    quarantine::{Message, Report, Subject},
    serde::Deserialize,
};

/// The messages of commit 0d4d3b9.
#[derive(PartialEq, Eq, Debug, Deserialize)]
enum OlderMessage {
    Ask(u64),
    Answer(u64, Vec<Report>),
    Tell(Vec<Report>),
}

fn decode(message: &Message) -> Option<OlderMessage> {
    let bytes = encode_to_vec(message, standard()).expect("failed to encode");
    decode_from_slice(&bytes, standard()).ok().map(|it| it.0)
}

#[test]
fn older_build_drops_what_it_does_not_know_and_reads_the_rest() {
    let report = Report {
        subject: Subject::Part(7),
        crashes: vec![(1, 20)],
        answer: None,
        trials: 0,
        tried_ms: 0,
    };
    let crashed = Message::Crashed { incarnation: 1, age_ms: 20, parts: vec![7, u64::MAX] };
    assert_eq!(decode(&crashed), None);
    assert_eq!(decode(&Message::Ask(3)), Some(OlderMessage::Ask(3)));
    let answer = Message::Answer(3, vec![report.clone()]);
    assert_eq!(decode(&answer), Some(OlderMessage::Answer(3, vec![report.clone()])));
    let tell = Message::Tell(vec![report.clone()]);
    assert_eq!(decode(&tell), Some(OlderMessage::Tell(vec![report])));
}

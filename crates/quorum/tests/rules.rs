//! Single rules of the consensus that need a rare order of events.

use {
    model::{ReplicaId, SECOND, Term, Time},
    proptest::prelude::*,
    quorum::{
        Action, Actions, Config, Core, Durable, Entry, Envelope, Event, HardState, Member, Members,
        Message, Payload, Write,
    },
    std::collections::BTreeMap,
};

const ME: ReplicaId = ReplicaId(1);

fn members() -> Members {
    let member = |id: u16| Member {
        id: ReplicaId(id.into()),
        addr: ([127, 0, 0, 1], id).into(),
        voter: true,
    };
    Members((1..=3).map(member).collect())
}

fn open(now: Time, hard: HardState, terms: &[u64]) -> Core {
    let entry = |(index, term): (u64, &u64)| Entry {
        index,
        term: Term(*term),
        payload: if index == 1 { Payload::Members(members()) } else { Payload::Empty },
    };
    let entries = (1..).zip(terms).map(entry).collect();
    let durable = Durable { hard, entries, ..Durable::default() };
    Core::open(now, Config::default(), ME, durable, 1).0
}

fn from(id: u64, term: u64, message: Message) -> Event {
    let (from, term) = (ReplicaId(id), Term(term));
    Event::Received(Envelope { group: 7, from, to: ME, term, message })
}

/// Syncs all that was written.
fn sync(core: &mut Core, now: Time, actions: &Actions) -> Actions {
    let written = actions.iter().filter_map(|it| match it {
        Action::Write(number, _) => Some(*number),
        _ => None,
    });
    core.step(now, Event::Synced(written.max().unwrap_or(0)))
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_count() {
    let hard = HardState { group: 7, term: Term(3), vote: None, commit: 0 };
    let mut core = open(Time(SECOND), hard, &[1, 2]);
    let now = core.deadline();
    core.step(now, Event::Tick);
    let campaign = core.step(now, from(2, 4, Message::PreVote { granted: true }));
    sync(&mut core, now, &campaign);
    let elected = core.step(now, from(2, 4, Message::Vote { granted: true }));
    assert_eq!(core.leader(), Some(ME));
    assert_eq!(core.last(), 3);
    // The second entry is on two of three disks, but another leader could still overwrite it.
    core.step(now, from(2, 4, Message::Appended { matched: 2, sent: now }));
    sync(&mut core, now, &elected);
    assert_eq!(core.commit(), 0);
    core.step(now, from(2, 4, Message::Appended { matched: 3, sent: now }));
    assert_eq!(core.commit(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_vote_a_term_across_restarts(
        asks in prop::collection::vec((2..4u64, 1..4u64, any::<bool>(), any::<bool>()), 1..20)
    ) {
        let mut hard = HardState { group: 7, ..HardState::default() };
        let mut now = Time(SECOND);
        let mut core = open(now, hard, &[0]);
        let mut votes = BTreeMap::new();
        for (candidate, term, synced, restart) in asks {
            now = now + 3 * SECOND;
            let ask = Message::AskVote { last_index: 1, last_term: Term(0) };
            let mut actions = core.step(now, from(candidate, term, ask));
            if synced {
                for action in &actions {
                    if let Action::Write(_, Write::State(written)) = action {
                        hard = *written;
                    }
                }
                let released = sync(&mut core, now, &actions);
                actions.extend(released);
            }
            for action in &actions {
                if let Action::Send(Envelope { to, term, message: Message::Vote { granted: true }, .. }) = action {
                    prop_assert_eq!(*votes.entry(*term).or_insert(*to), *to);
                }
            }
            if restart || !synced {
                core = open(now, hard, &[0]);
            }
        }
    }
}

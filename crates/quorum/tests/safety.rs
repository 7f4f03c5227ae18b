//! Safety rules of Raft that only a rare order of events puts to the test.

use {
    model::{ReplicaId, SECOND, Term, Time},
    proptest::prelude::*,
    quorum::{
        Action, Actions, Config, DurableState, Entry, Envelope, Event, HardState, Member,
        MemberRole, Membership, Message, Payload, Raft, Write,
    },
    std::collections::BTreeMap,
};

const LOCAL_ID: ReplicaId = ReplicaId(1);

fn members() -> Membership {
    let member = |id: u16| Member {
        id: ReplicaId(id.into()),
        addr: ([127, 0, 0, 1], id).into(),
        role: MemberRole::Voter,
    };
    Membership((1..=3).map(member).collect())
}

fn open(now: Time, hard_state: HardState, terms: &[u64]) -> Raft {
    let entry = |(index, term): (u64, &u64)| Entry {
        index,
        term: Term(*term),
        payload: if index == 1 { Payload::Membership(members()) } else { Payload::Empty },
    };
    let entries = (1..).zip(terms).map(entry).collect();
    let durable = DurableState { hard_state, entries, ..DurableState::default() };
    Raft::open(now, Config::default(), LOCAL_ID, durable, 1).0
}

fn from(id: u64, term: u64, message: Message) -> Event {
    let (from, term) = (ReplicaId(id), Term(term));
    Event::Received(Envelope { group: 7, from, to: LOCAL_ID, term, message })
}

/// Reports all writes among `actions` as synced.
fn sync(raft: &mut Raft, now: Time, actions: &Actions) -> Actions {
    let writes = actions.iter().filter_map(|it| match it {
        Action::Write(number, _) => Some(*number),
        _ => None,
    });
    raft.step(now, Event::Synced(writes.max().unwrap_or(0)))
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let hard_state = HardState { group: 7, term: Term(3), vote: None, commit_index: 0 };
    let mut raft = open(Time(SECOND), hard_state, &[1, 2]);
    let now = raft.deadline();
    raft.step(now, Event::Tick);
    let campaign = raft.step(now, from(2, 4, Message::PreVoteResponse { granted: true }));
    sync(&mut raft, now, &campaign);
    let elected = raft.step(now, from(2, 4, Message::VoteResponse { granted: true }));
    assert_eq!(raft.leader(), Some(LOCAL_ID));
    assert_eq!(raft.last_index(), 3);
    // Entry 2 is on two of three disks, but a leader of another term could still overwrite it.
    raft.step(now, from(2, 4, Message::AppendAccepted { match_index: 2, sent_at: now }));
    sync(&mut raft, now, &elected);
    assert_eq!(raft.commit_index(), 0);
    raft.step(now, from(2, 4, Message::AppendAccepted { match_index: 3, sent_at: now }));
    assert_eq!(raft.commit_index(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn at_most_one_vote_per_term_across_restarts(
        requests in prop::collection::vec((2..4u64, 1..4u64, any::<bool>(), any::<bool>()), 1..20)
    ) {
        let mut hard_state = HardState { group: 7, ..HardState::default() };
        let mut now = Time(SECOND);
        let mut raft = open(now, hard_state, &[0]);
        let mut votes = BTreeMap::new();
        for (candidate, term, synced, restart) in requests {
            now = now + 3 * SECOND;
            let request = Message::RequestVote { last_index: 1, last_term: Term(0) };
            let mut actions = raft.step(now, from(candidate, term, request));
            if synced {
                for action in &actions {
                    if let Action::Write(_, Write::HardState(written)) = action {
                        hard_state = *written;
                    }
                }
                let released = sync(&mut raft, now, &actions);
                actions.extend(released);
            }
            for action in &actions {
                if let Action::Send(Envelope {
                    to, term, message: Message::VoteResponse { granted: true }, ..
                }) = action {
                    prop_assert_eq!(*votes.entry(*term).or_insert(*to), *to);
                }
            }
            if restart || !synced {
                raft = open(now, hard_state, &[0]);
            }
        }
    }
}

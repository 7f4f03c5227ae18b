//! How long a group is without a leader.

mod common;

use {
    common::{lead, open, receive, step},
    model::{MILLISECOND, ReplicaId, Term},
    quorum::{Event, Message},
};

/// The default election timeout.
const ELECTION_TIMEOUT: u64 = 1_000 * MILLISECOND;

/// Guards against an outage of several election timeouts when two replicas campaign at once.
#[test]
fn a_split_vote_is_followed_by_another_election_within_half_a_timeout() {
    let mut raft = open(1, common::voters(3));
    let now = raft.deadline();
    step(&mut raft, now, Event::Tick);
    receive(&mut raft, now, 2, Message::PreVoteResponse { granted: true });
    assert_eq!(raft.hard_state().term, Term(2));
    receive(&mut raft, now, 2, Message::VoteResponse { granted: false });
    assert!(raft.deadline() <= now + ELECTION_TIMEOUT / 2, "{:?}", raft.deadline());
    // A vote that arrives later still counts.
    receive(&mut raft, now, 3, Message::VoteResponse { granted: true });
    assert_eq!(raft.leader(), Some(ReplicaId(1)));
}

#[test]
fn a_denied_vote_does_not_make_a_leader_campaign() {
    let mut raft = lead(open(1, common::voters(3)), &[2]);
    let (now, deadline) = (raft.deadline(), raft.deadline());
    receive(&mut raft, now, 3, Message::VoteResponse { granted: false });
    assert_eq!((raft.leader(), raft.deadline()), (Some(ReplicaId(1)), deadline));
}

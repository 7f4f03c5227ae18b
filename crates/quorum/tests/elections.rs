//! How long a group is without a leader.

mod common;

use {
    common::{acknowledge, lead, lead_at, member, open, open_with, receive, step},
    model::{MILLISECOND, ReplicaId, Term, Time},
    quorum::{Config, Event, MemberRole, Membership, Message, Raft},
    rstest::rstest,
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

/// After a restart of all replicas, the only one that can be elected may ask before the others may vote: each of them must
/// wait an election timeout after its own start. Its next attempt must not take up to one and a half timeouts.
#[test]
fn a_denied_pre_vote_is_followed_by_another_within_half_a_timeout() {
    let mut raft = open(1, common::voters(3));
    let now = raft.deadline();
    step(&mut raft, now, Event::Tick);
    // The term of a denial is that of its sender.
    let denial = quorum::Envelope {
        group: 7,
        from: ReplicaId(2),
        to: ReplicaId(1),
        term: Term(1),
        message: Message::PreVoteResponse { granted: false },
    };
    step(&mut raft, now, Event::Received(denial));
    assert!(raft.deadline() <= now + ELECTION_TIMEOUT / 2, "{:?} at {now:?}", raft.deadline());
    // A pre-vote that arrives later still counts.
    receive(&mut raft, now, 3, Message::PreVoteResponse { granted: true });
    assert_eq!(raft.hard_state().term, Term(2));
}

#[test]
fn a_denied_vote_does_not_make_a_leader_campaign() {
    let mut raft = lead(open(1, common::voters(3)), &[2]);
    let (now, deadline) = (raft.deadline(), raft.deadline());
    receive(&mut raft, now, 3, Message::VoteResponse { granted: false });
    assert_eq!((raft.leader(), raft.deadline()), (Some(ReplicaId(1)), deadline));
}

const VOTER_TIMEOUT: u64 = 4_000 * MILLISECOND;
const HEARTBEAT: u64 = 100 * MILLISECOND;
const SPARE: ReplicaId = ReplicaId(4);

/// Runs a leader until the spare has a vote, and returns the time of that. These members answer it.
fn time_of_replacement(leader: &mut Raft, answering: &[u64], limit: Time) -> Time {
    let mut now = leader.deadline();
    while now <= limit {
        step(leader, now, Event::Tick);
        acknowledge(leader, now, answering);
        if leader.members().is_voter(SPARE) {
            return now;
        }
        now = now + HEARTBEAT;
    }
    panic!("no voter was replaced until {limit:?}");
}

/// Guards against an election that delays the replacement of a lost voter, so that the next loss is final.
#[rstest]
#[case::leader_was_lost(3)]
#[case::follower_was_lost(2)]
fn a_voters_silence_before_an_election_counts(#[case] lost: u64) {
    let spare = member(SPARE.0, 4, MemberRole::NonVoter);
    let members = Membership(common::voters(3).0.iter().copied().chain([spare]).collect());
    let mut config = Config::default();
    config.set_target_voters(3, VOTER_TIMEOUT);
    let mut raft = open_with(1, members, config);
    let heartbeat_at = raft.deadline();
    let heartbeat = Message::AppendEntries {
        prev_index: 1,
        prev_term: Term(1),
        entries: Vec::new(),
        commit_index: 1,
        sent_at: heartbeat_at,
    };
    let envelope = quorum::Envelope {
        group: 7,
        from: ReplicaId(3),
        to: ReplicaId(1),
        term: Term(1),
        message: heartbeat,
    };
    step(&mut raft, heartbeat_at, Event::Received(envelope));
    // Elected only with its third campaign.
    let elected_at = heartbeat_at + 3 * ELECTION_TIMEOUT;
    let other = 5 - lost;
    lead_at(&mut raft, elected_at, &[other]);
    let replaced_at =
        time_of_replacement(&mut raft, &[other, 4], elected_at + VOTER_TIMEOUT + HEARTBEAT);
    let latest = heartbeat_at + VOTER_TIMEOUT + 2 * HEARTBEAT;
    assert!(replaced_at <= latest, "{replaced_at:?} is after {latest:?}");
    assert!(replaced_at >= elected_at + ELECTION_TIMEOUT, "a sound voter may still answer");
}

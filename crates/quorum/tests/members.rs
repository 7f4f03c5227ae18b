//! The quorums of a group while a voter is replaced.

mod common;

use {
    common::{acknowledge, member, open_with, receive, step},
    model::{ReplicaId, SECOND, Term, Time},
    quorum::{Config, Envelope, Event, Member, MemberRole, Membership, Message, Raft},
    rstest::rstest,
};

/// Replica 3 is replaced by replica 4.
fn joint() -> Membership {
    let member =
        |(id, role)| Member { id: ReplicaId(id), addr: ([127, 0, 0, 1], id as u16).into(), role };
    let (outgoing, incoming) = (MemberRole::Outgoing, MemberRole::Incoming);
    let roles = [(1, MemberRole::Voter), (2, MemberRole::Voter), (3, outgoing), (4, incoming)];
    Membership(roles.map(member).into())
}

#[rstest]
#[case::both_others(&[1, 2], true)]
#[case::one_of_each_set(&[1, 3, 4], true)]
#[case::all(&[1, 2, 3, 4], true)]
#[case::majority_of_the_old_set_only(&[1, 3], false)]
#[case::majority_of_the_new_set_only(&[1, 4], false)]
#[case::replaced_and_successor(&[3, 4], false)]
fn a_quorum_has_majorities_with_the_replaced_voter_and_with_its_successor(
    #[case] ids: &[u64],
    #[case] quorum: bool,
) {
    assert_eq!(joint().is_quorum(|it| ids.contains(&it.0)), quorum);
    assert_eq!(joint().voter_count(), 3);
}

fn open(id: u64) -> Raft {
    common::open(id, joint())
}

/// Lets a replica of the joint membership lead.
fn lead(id: u64, voters: &[u64]) -> Raft {
    common::lead(open(id), voters)
}

fn roles(raft: &Raft) -> Vec<(u64, MemberRole)> {
    raft.members().0.iter().map(|it| (it.id.0, it.role)).collect()
}

#[test]
fn a_new_leader_ends_the_replacement_that_it_finds_in_its_log() {
    let (voter, raft) = (MemberRole::Voter, lead(1, &[3, 4]));
    assert_eq!(raft.commit_index(), 2);
    assert_eq!(roles(&raft), [(1, voter), (2, voter), (4, voter)]);
}

#[test]
fn a_replaced_voter_that_is_elected_keeps_its_place() {
    let (voter, raft) = (MemberRole::Voter, lead(3, &[1, 2]));
    assert_eq!(raft.commit_index(), 2);
    assert_eq!(roles(&raft), [(1, voter), (2, voter), (3, voter), (4, MemberRole::NonVoter)]);
}

#[test]
fn a_majority_of_one_set_elects_no_leader() {
    for (id, voter) in [(1, 3), (1, 4), (3, 1), (4, 1)] {
        let mut raft = open(id);
        let now = raft.deadline();
        step(&mut raft, now, Event::Tick);
        receive(&mut raft, now, voter, Message::PreVoteResponse { granted: true });
        assert_eq!(raft.hard_state().term, Term(1), "{id} began an election");
    }
}

/// Replica 4 without a vote.
fn without_successor() -> Membership {
    let role = |it: &Member| match it.role {
        MemberRole::Incoming => MemberRole::NonVoter,
        MemberRole::Outgoing | MemberRole::Voter | MemberRole::NonVoter => MemberRole::Voter,
    };
    Membership(joint().0.iter().map(|it| Member { role: role(it), ..*it }).collect())
}

#[test]
fn a_successor_with_a_newer_log_campaigns_when_it_is_asked_for_its_vote() {
    let mut raft = common::open(4, without_successor());
    let now = Time(10 * SECOND);
    let request = Message::RequestPreVote { last_index: 9, last_term: Term(0) };
    receive(&mut raft, now, 1, request);
    // The candidate gets some time to win with the other votes.
    assert_eq!(raft.hard_state().term, Term(1));
    let now = raft.deadline();
    assert!(now <= Time(10 * SECOND + SECOND / 2), "{now:?}");
    step(&mut raft, now, Event::Tick);
    for from in [1, 2] {
        receive(&mut raft, now, from, Message::PreVoteResponse { granted: true });
    }
    assert_eq!(raft.hard_state().term, Term(2), "it began an election");
    for from in [1, 2] {
        receive(&mut raft, now, from, Message::VoteResponse { granted: true });
    }
    assert_eq!(raft.leader(), Some(ReplicaId(4)));
    for from in [1, 2] {
        receive(&mut raft, now, from, Message::AppendAccepted { match_index: 2, sent_at: now });
    }
    assert_eq!(raft.commit_index(), 2);
    assert_eq!(raft.leader(), None, "it leaves the lead to the voters");
}

/// Guards against a replica that never joins because the replicas that it knows don't lead.
#[test]
fn a_follower_passes_a_request_to_join_on_to_the_leader() {
    let (joiner, addr) = (ReplicaId(9), ([127, 0, 0, 1], 9).into());
    let request = |group, to| {
        let message = Message::JoinRequest { addr };
        Event::Received(Envelope { group, from: joiner, to, term: Term(0), message })
    };
    let mut follower = open(2);
    let now = follower.deadline();
    assert_eq!(step(&mut follower, now, request(0, joiner)), [], "no leader is known");
    let heartbeat = Message::AppendEntries {
        prev_index: 1,
        prev_term: Term(1),
        entries: Vec::new(),
        commit_index: 1,
        sent_at: now,
    };
    receive(&mut follower, now, 1, heartbeat);
    let passed_on = step(&mut follower, now, request(0, joiner));
    assert_eq!(passed_on.len(), 1);
    assert_eq!((passed_on[0].from, passed_on[0].to), (joiner, ReplicaId(1)));
    assert_eq!(step(&mut follower, now, request(8, joiner)), [], "a replica of another group");
    assert_eq!(step(&mut follower, now, request(0, ReplicaId(2))), [], "passed on once only");

    let mut leader = lead(1, &[2, 4]);
    let now = leader.deadline();
    for envelope in passed_on {
        step(&mut leader, now, Event::Received(envelope));
    }
    // The replacement that `lead` began is committed first.
    for from in [2, 4] {
        let last = leader.last_index();
        receive(
            &mut leader,
            now,
            from,
            Message::AppendAccepted { match_index: last, sent_at: now },
        );
    }
    assert_eq!(leader.members().get(joiner).map(|it| it.addr), Some(addr));
}

/// Guards against a spare that has to wait and keeps a replica which lost its disk from its old vote.
#[test]
fn a_replica_whose_disk_was_lost_gets_its_vote_back_before_a_spare_that_waits() {
    let (voter, non_voter) = (MemberRole::Voter, MemberRole::NonVoter);
    let spare = member(4, 4, non_voter);
    let successor = member(5, 3, non_voter);
    let members = Membership(
        [member(1, 1, voter), member(2, 2, voter), member(3, 3, voter), spare, successor].into(),
    );
    let mut config = Config::default();
    config.set_target_voters(3, 4 * SECOND);
    let mut leader = common::lead(open_with(1, members, config), &[2]);
    let now = leader.deadline();
    step(&mut leader, now, Event::Tick);
    acknowledge(&mut leader, now, &[2, 4, 5]);
    let (outgoing, incoming) = (MemberRole::Outgoing, MemberRole::Incoming);
    assert_eq!(
        roles(&leader),
        [(1, voter), (2, voter), (3, outgoing), (4, non_voter), (5, incoming)]
    );
}

/// Guards against a vote that is handed to a spare which has just lost its disk.
#[test]
fn a_leader_that_stops_hands_its_vote_to_a_spare_that_still_answers() {
    let (voter, non_voter) = (MemberRole::Voter, MemberRole::NonVoter);
    let spare = member(4, 4, non_voter);
    let members = Membership(common::voters(3).0.iter().copied().chain([spare]).collect());
    let mut config = Config::default();
    config.set_target_voters(3, 4 * SECOND);
    let mut leader = common::lead(open_with(1, members, config), &[2]);
    let now = leader.deadline();
    step(&mut leader, now, Event::Tick);
    acknowledge(&mut leader, now, &[2, 3, 4]);
    let asked_at = now + 1;
    step(&mut leader, asked_at, Event::Leave);
    acknowledge(&mut leader, now, &[4]);
    acknowledge(&mut leader, asked_at, &[2, 3]);
    assert_eq!(roles(&leader), [(1, voter), (2, voter), (3, voter), (4, non_voter)]);
    assert!(!leader.has_left());
    acknowledge(&mut leader, asked_at, &[4]);
    let (outgoing, incoming) = (MemberRole::Outgoing, MemberRole::Incoming);
    assert_eq!(roles(&leader), [(1, outgoing), (2, voter), (3, voter), (4, incoming)]);
    acknowledge(&mut leader, asked_at, &[2, 3]);
    acknowledge(&mut leader, asked_at, &[2, 3, 4]);
    assert_eq!(leader.leader(), None, "it leaves the lead to the voters");
    step(&mut leader, asked_at, Event::Leave);
    assert!(leader.has_left());
}

//! The time after which a replica takes the place of a voter that is gone.

#[path = "../../quorum/tests/common/mod.rs"]
mod common;

use {
    common::{acknowledge, lead_at, member, open_with, step, voters},
    model::{MILLISECOND, ReplicaId, SECOND, Time},
    quorum::{Config, Event, MemberRole, Membership},
    replica::VOTER_TIMEOUT_MS,
};

/// A host that starts counts as lost for this long, in the deployments where that is shortest, in microseconds. Another
/// host may be lost after that.
const CATCH_UP: u64 = 4_000 * MILLISECOND;

/// Guards against a host that is not replaced in time when all others restart, so that the next loss is final.
#[test]
fn a_replica_has_the_vote_of_one_that_is_gone_when_all_have_caught_up() {
    let opened_at = Time(SECOND);
    let (gone, spare) = (ReplicaId(2), member(4, 4, MemberRole::NonVoter));
    let members = Membership(voters(3).0.iter().copied().chain([spare]).collect());
    let mut config = Config::default();
    config.set_target_voters(3, VOTER_TIMEOUT_MS * MILLISECOND);
    let mut raft = open_with(1, members, config);
    let mut now = raft.deadline();
    lead_at(&mut raft, now, &[3]);
    while raft.committed_members().is_voter(gone) {
        assert!(now < opened_at + 4 * CATCH_UP, "it was not replaced at all");
        now = raft.deadline();
        step(&mut raft, now, Event::Tick);
        // Once for each membership of the replacement.
        (0..3).for_each(|_| acknowledge(&mut raft, now, &[3, 4]));
    }
    assert!(now <= opened_at + CATCH_UP, "replaced {} us after the start", now.since(opened_at));
}

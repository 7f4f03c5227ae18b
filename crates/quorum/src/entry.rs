//! Log entries, the membership, and the state that is stored beside the log.

use {
    bytes::Bytes,
    derive_more::{Debug, Display},
    model::{ReplicaId, Term, Time},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc},
};

/// An entry of the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Entry {
    /// Its position in the log; the first entry has index 1.
    pub index: u64,
    /// The term of the leader that created it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Payload {
    /// No content. A new leader appends such an entry first: committing it commits all entries before it.
    Empty,
    /// A command for the replicated state machine.
    #[debug("Command({} bytes)", _0.len())]
    Command(Bytes),
    /// The new membership. It takes effect as soon as the entry is appended, before it is committed.
    Membership(Membership),
}

/// A replica of the group.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
#[display("{} at {addr} ({role})", id.0)]
pub struct Member {
    /// The replica's id.
    pub id: ReplicaId,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Whether it counts towards a quorum.
    pub role: MemberRole,
}

/// Whether a member counts towards a quorum. While a voter is added, removed or replaced there are two sets of voters,
/// and a quorum needs a majority of each.
///
/// Earlier releases stored a `bool`, whose encoding equals that of the first two variants.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum MemberRole {
    /// It receives the log and does not count.
    #[display("non-voter")]
    NonVoter,
    /// It is in both sets of voters.
    #[display("voter")]
    Voter,
    /// It becomes a voter, and is in the new set only.
    #[display("incoming")]
    Incoming,
    /// It loses its vote, and is in the old set only.
    #[display("outgoing")]
    Outgoing,
}

/// The replicas of the group, sorted by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "))]
pub struct Membership(pub Arc<[Member]>);

impl Membership {
    /// Returns the member with this id, if there is one.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|it| it.id == id)
    }

    /// Whether the replica with this id counts towards a quorum.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(Member::is_voter)
    }

    /// The replicas that count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0.iter().filter(|it| it.is_voter()).map(|it| it.id)
    }

    /// The number of voters; a voter and its successor count as one, and one that is being added doesn't count yet.
    pub fn voter_count(&self) -> usize {
        self.voter_set(MemberRole::Outgoing).count()
    }

    /// Whether a voter is being added, removed or replaced.
    pub fn is_joint(&self) -> bool {
        self.0.iter().any(|it| matches!(it.role, MemberRole::Incoming | MemberRole::Outgoing))
    }

    /// Whether the replicas for which `has` holds are a majority of each set of voters.
    pub fn is_quorum<F>(&self, has: F) -> bool
    where
        F: Fn(ReplicaId) -> bool,
    {
        [MemberRole::Outgoing, MemberRole::Incoming].iter().all(|it| {
            let count = self.voter_set(*it).filter(|it| has(*it)).count();
            count > self.voter_set(*it).count() / 2
        })
    }

    /// As [`Membership::is_quorum`], but half of a set of voters suffices too if another voter of the set is lost for
    /// good. `has` must hold only for replicas that responded after that was known.
    pub(crate) fn is_quorum_after_loss<F, L>(&self, has: F, is_lost: L) -> bool
    where
        F: Fn(ReplicaId) -> bool,
        L: Fn(ReplicaId) -> bool,
    {
        [MemberRole::Outgoing, MemberRole::Incoming].iter().all(|it| {
            let set = || self.voter_set(*it);
            let count = set().filter(|it| has(*it)).count();
            let is_half = 2 * count == set().count();
            2 * count > set().count() || (is_half && set().any(|it| !has(it) && is_lost(it)))
        })
    }

    /// The highest value that a quorum of each set of voters has reached; the default value if there are no voters.
    ///
    /// `lost_at` tells since when a voter is known to be lost for good. Half of a set suffices if another voter of it is
    /// lost and they have responded since (`responded_at`).
    pub(crate) fn reached_by_quorum<T, F, L, R>(&self, value: F, lost_at: L, responded_at: R) -> T
    where
        T: Ord + Default + Copy,
        F: Fn(ReplicaId) -> T,
        L: Fn(ReplicaId) -> Option<Time>,
        R: Fn(ReplicaId) -> Time,
    {
        let reached = |role| {
            let set = || self.voter_set(role);
            let size = set().count();
            let by_majority = nth_highest(set().map(&value), size / 2);
            let Some(lost) = set().filter_map(&lost_at).min().filter(|_| size % 2 == 0) else {
                return by_majority;
            };
            let others = set().filter(|it| lost_at(*it).is_none() && responded_at(*it) >= lost);
            by_majority.max(nth_highest(others.map(&value), size / 2 - 1))
        };
        reached(MemberRole::Outgoing).min(reached(MemberRole::Incoming))
    }

    /// Whether another member with the address of a voter joined after it.
    pub(crate) fn has_successor(&self, voter: &Member) -> bool {
        let is_later = |it: &Member| match it.role {
            MemberRole::NonVoter => true,
            MemberRole::Incoming => voter.role == MemberRole::Outgoing,
            MemberRole::Voter | MemberRole::Outgoing => false,
        };
        self.0.iter().any(|it| it.id != voter.id && it.addr == voter.addr && is_later(it))
    }

    /// The set of voters to which the members with `role` belong.
    fn voter_set(&self, role: MemberRole) -> impl Iterator<Item = ReplicaId> + '_ {
        let counts = move |it: &&Member| it.role == MemberRole::Voter || it.role == role;
        self.0.iter().filter(counts).map(|it| it.id)
    }
}

/// The value at a position in descending order, or the default value if there are fewer.
fn nth_highest<T, I>(values: I, position: usize) -> T
where
    T: Ord + Default + Copy,
    I: Iterator<Item = T>,
{
    let mut values: SmallVec<[T; 8]> = values.collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(position).copied().unwrap_or_default()
}

impl Member {
    /// Whether this member counts towards a quorum.
    pub fn is_voter(&self) -> bool {
        self.role != MemberRole::NonVoter
    }
}

/// The state that a replica must persist beside its log.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct HardState {
    /// The number of the group that the replica belongs to; zero if it belongs to none yet.
    pub group: u64,
    /// The highest term that the replica has seen.
    pub term: Term,
    /// The replica that it voted for in that term.
    pub vote: Option<ReplicaId>,
    /// The last entry that is known to be committed and is on this disk. It lags behind the actual commit index, so
    /// that a commit costs no write of its own.
    pub commit_index: u64,
}

/// The replicated state after the entry at `index` was applied.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Snapshot {
    /// The index of the last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub members: Membership,
    /// The encoded state.
    #[debug("{} bytes", data.len())]
    pub data: Bytes,
}

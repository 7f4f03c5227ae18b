//! Log entries, the membership, and the state that is stored beside the log.

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Term},
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
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Member {
    /// The replica's id.
    pub id: ReplicaId,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Whether it counts towards a quorum.
    pub voter: bool,
}

/// The replicas of the group, sorted by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Membership(pub Arc<[Member]>);

impl Membership {
    /// Returns the member with this id, if there is one.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|it| it.id == id)
    }

    /// Whether the replica with this id counts towards a quorum.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|it| it.voter)
    }

    /// The replicas that count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0.iter().filter(|it| it.voter).map(|it| it.id)
    }

    /// The number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached; the default value if there are no voters.
    pub(crate) fn reached_by_majority<T, F>(&self, value: F) -> T
    where
        T: Ord + Default + Copy,
        F: FnMut(ReplicaId) -> T,
    {
        let mut values: SmallVec<[T; 5]> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied().unwrap_or_default()
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

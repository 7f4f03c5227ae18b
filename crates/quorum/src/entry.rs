//! What the log holds and what is on disk beside it.

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Term},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc},
};

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Entry {
    /// Its place, from 1.
    pub index: u64,
    /// The term of the leader that put it there.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Payload {
    /// Nothing: the first entry of a leader, which commits those before it.
    Empty,
    /// A command for the replicated state.
    #[debug("Command({} bytes)", _0.len())]
    Command(Bytes),
    /// The membership from here on, in effect as soon as it is in the log.
    Membership(Membership),
}

/// One replica of the group.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Member {
    /// Its id.
    pub id: ReplicaId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it counts towards a quorum.
    pub voter: bool,
}

/// The replicas of the group, by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Membership(pub Arc<[Member]>);

impl Membership {
    /// Returns the member with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|it| it.id == id)
    }

    /// Whether this replica counts towards a quorum.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|it| it.voter)
    }

    /// The replicas that count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0.iter().filter(|it| it.voter).map(|it| it.id)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached; the default if there are no voters.
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

/// What a replica must never forget, beside its log.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct HardState {
    /// The random number of the group that it belongs to; zero before it belongs to one.
    pub group: u64,
    /// The highest term that it has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
    /// Up to where the log on its disk is known to be committed. It lags, so that a commit costs no write of its own.
    pub commit_index: u64,
}

/// The replicated state up to an index.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Snapshot {
    /// The last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: Term,
    /// The membership at that entry.
    pub members: Membership,
    /// The encoded state.
    #[debug("{} bytes", data.len())]
    pub data: Bytes,
}

//! What must hold at every step.

use {
    super::Sim,
    bytes::Bytes,
    model::Term,
    quorum::{Entry, Membership, Payload},
};

impl Sim {
    /// Whether a leader has committed that the present replica of every slot votes, and no other.
    pub(crate) fn is_whole(&self) -> bool {
        let Some(members) = self.settled_members() else { return false };
        let there = self.slots.iter().filter(|it| !it.absent).count();
        self.present(members) == there && members.voters().count() == there
    }

    /// Whether a quorum is left, with all that is committed, when one more disk is lost.
    pub(super) fn can_lose(&self) -> bool {
        let members = self.settled_members();
        members.is_some_and(|it| self.present(it) > it.majority())
    }

    /// The membership of the replica that leads, if it is committed.
    fn settled_members(&self) -> Option<&Membership> {
        let node = self.slots[self.leading()?].node.as_ref()?;
        let committed = self.history.values().rev().find_map(|it| match &it.payload {
            Payload::Membership(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        });
        committed.filter(|it| *it == node.raft.members())
    }

    /// How many voters have not lost their disks.
    fn present(&self, members: &Membership) -> usize {
        self.slots.iter().filter(|it| it.id.is_some_and(|it| members.is_voter(it))).count()
    }

    /// The slot whose replica holds the lease.
    pub(crate) fn leading(&self) -> Option<usize> {
        (0..self.slots.len()).find(|it| self.leads(*it).is_some())
    }

    fn leads(&self, at: usize) -> Option<Term> {
        let slot = &self.slots[at];
        let node = slot.node.as_ref()?;
        node.raft.leader_lease(slot.clock.at(self.now)).map(|it| it.0)
    }

    /// Checks that every acknowledged command is in every replica, in its place.
    pub(crate) fn check_acked(&self) {
        for slot in &self.slots {
            let Some(node) = &slot.node else { continue };
            assert_eq!(node.state, self.commands(node.applied), "a replica's state");
        }
        for (index, command) in &self.acked {
            let kept = self.history.get(index).map(|it| &it.payload);
            assert_eq!(kept, Some(&Payload::Command(command.clone())), "acknowledged at {index}");
        }
    }

    pub(super) fn commands(&self, up_to: u64) -> Vec<Bytes> {
        let command = |it: &Entry| match &it.payload {
            Payload::Command(command) => Some(command.clone()),
            Payload::Empty | Payload::Membership(_) => None,
        };
        self.history.range(..=up_to).filter_map(|it| command(it.1)).collect()
    }

    /// Checks that a replica gets its vote only when it has what was committed before it joined.
    pub(super) fn check_vote(&self, entry: &Entry) {
        let Payload::Membership(members) = &entry.payload else { return };
        for id in members.voters() {
            let joined = self.history.values().find(|it| match &it.payload {
                Payload::Membership(members) => members.get(id).is_some(),
                Payload::Empty | Payload::Command(_) => false,
            });
            let mut nodes = self.slots.iter().filter_map(|it| it.node.as_ref());
            if let (Some(joined), Some(node)) = (joined, nodes.find(|it| it.raft.id() == id)) {
                // Nothing was committed before the first entry.
                let first = joined.index == 1;
                assert!(
                    first || node.raft.last_index() >= joined.index,
                    "{id} votes without what was committed"
                );
            }
        }
    }

    pub(super) fn check(&mut self) {
        let leading: Vec<_> =
            (0..self.slots.len()).filter_map(|it| Some((it, self.leads(it)?))).collect();
        assert!(leading.len() <= 1, "two replicas lead at {:?}: {leading:?}", self.now);
        let Some((at, term)) = leading.first().copied() else { return };
        for node in self.slots.iter().filter_map(|it| it.node.as_ref()) {
            let elected = node.raft.leader() == Some(node.raft.id());
            let later = node.raft.hard_state().term > term;
            assert!(!elected || !later, "elected while another holds its lease");
        }
        let Some(node) = &self.slots[at].node else { return };
        let leader = *self.leaders.entry(term).or_insert(node.raft.id());
        assert_eq!(leader, node.raft.id(), "two leaders of {term}");
        let acked = self.acked.last_key_value().map_or(0, |it| *it.0);
        assert!(node.applied >= acked, "the leader misses what was acknowledged");
    }
}

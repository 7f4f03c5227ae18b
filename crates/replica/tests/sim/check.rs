//! The invariants that are checked at every step.

use {
    super::Sim,
    bytes::Bytes,
    model::Term,
    quorum::{Entry, Membership, Payload},
};

impl Sim {
    /// Whether the voters of the committed membership are exactly the current replicas of all present hosts.
    pub(crate) fn all_hosts_vote(&self) -> bool {
        let Some(members) = self.committed_members() else { return false };
        let host_count = self.hosts.iter().filter(|it| !it.absent).count();
        self.live_voters(members) == host_count && members.voters().count() == host_count
    }

    /// Whether the loss of one more disk leaves a quorum, and with it all committed entries.
    pub(super) fn can_lose_disk(&self) -> bool {
        let members = self.committed_members();
        members.is_some_and(|it| self.live_voters(it) > it.majority())
    }

    /// The membership of the leader, if it is committed.
    fn committed_members(&self) -> Option<&Membership> {
        let node = self.hosts[self.leader()?].node.as_ref()?;
        let committed = self.committed.values().rev().find_map(|it| match &it.payload {
            Payload::Membership(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        });
        committed.filter(|it| *it == node.raft.members())
    }

    /// The number of voters that have not lost their disks.
    fn live_voters(&self, members: &Membership) -> usize {
        self.hosts.iter().filter(|it| it.id.is_some_and(|it| members.is_voter(it))).count()
    }

    /// The host whose replica holds a valid lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|it| self.lease_term(*it).is_some())
    }

    fn lease_term(&self, at: usize) -> Option<Term> {
        let host = &self.hosts[at];
        let node = host.node.as_ref()?;
        node.raft.leader_lease(host.clock.at(self.now)).map(|it| it.0)
    }

    /// Checks that every replica has applied the committed commands, and that all acknowledged commands are among them.
    pub(crate) fn check_acknowledged(&self) {
        for host in &self.hosts {
            let Some(node) = &host.node else { continue };
            assert_eq!(node.state, self.commands(node.applied), "the state of a replica");
        }
        for (index, command) in &self.acknowledged {
            let kept = self.committed.get(index).map(|it| &it.payload);
            assert_eq!(
                kept,
                Some(&Payload::Command(command.clone())),
                "the command acknowledged at index {index}"
            );
        }
    }

    pub(super) fn commands(&self, up_to: u64) -> Vec<Bytes> {
        let command = |it: &Entry| match &it.payload {
            Payload::Command(command) => Some(command.clone()),
            Payload::Empty | Payload::Membership(_) => None,
        };
        self.committed.range(..=up_to).filter_map(|it| command(it.1)).collect()
    }

    /// Checks that a replica becomes a voter only once it has all entries that were committed before it joined.
    pub(super) fn check_promotion(&self, entry: &Entry) {
        let Payload::Membership(members) = &entry.payload else { return };
        for id in members.voters() {
            let joined = self.committed.values().find(|it| match &it.payload {
                Payload::Membership(members) => members.get(id).is_some(),
                Payload::Empty | Payload::Command(_) => false,
            });
            let mut nodes = self.hosts.iter().filter_map(|it| it.node.as_ref());
            if let (Some(joined), Some(node)) = (joined, nodes.find(|it| it.raft.id() == id)) {
                // No entry was committed before the first one.
                let first = joined.index == 1;
                assert!(
                    first || node.raft.last_index() >= joined.index,
                    "{id} became a voter without all committed entries"
                );
            }
        }
    }

    pub(super) fn check_invariants(&mut self) {
        let leading: Vec<_> =
            (0..self.hosts.len()).filter_map(|it| Some((it, self.lease_term(it)?))).collect();
        assert!(leading.len() <= 1, "two replicas hold a lease at {:?}: {leading:?}", self.now);
        let Some((at, term)) = leading.first().copied() else { return };
        for node in self.hosts.iter().filter_map(|it| it.node.as_ref()) {
            let elected = node.raft.leader() == Some(node.raft.id());
            let later = node.raft.hard_state().term > term;
            assert!(!elected || !later, "elected while another replica holds a lease");
        }
        let Some(node) = &self.hosts[at].node else { return };
        let leader = *self.leaders.entry(term).or_insert(node.raft.id());
        assert_eq!(leader, node.raft.id(), "two leaders of {term}");
        let acknowledged = self.acknowledged.last_key_value().map_or(0, |it| *it.0);
        assert!(node.applied >= acknowledged, "the leader lacks an acknowledged command");
    }
}

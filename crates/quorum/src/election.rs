//! Elections: who may ask for votes, and who may give one.

use {
    crate::{
        event::{Actions, Write},
        message::Message,
        raft::{AwaitingSync, Raft, Role, Votes},
    },
    model::{ReplicaId, Term, Time},
    smallvec::smallvec,
};

impl Raft {
    /// Starts an election if no leader was heard of in time.
    pub(crate) fn tick_election(&mut self, now: Time, actions: &mut Actions) {
        if now < self.election_deadline || !self.is_voter() {
            return;
        }
        self.leader = None;
        self.reset_election_timer(now);
        self.role = Role::PreCandidate(smallvec![self.id]);
        if self.log.members().majority() == 1 {
            self.campaign(actions);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            let message = Message::RequestPreVote { last_index, last_term };
            let envelope = self.envelope(to, Term(self.hard_state.term.0 + 1), message);
            self.hold(AwaitingSync::Send(envelope), actions);
        }
    }

    pub(crate) fn on_request_pre_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        last: (Term, u64),
        actions: &mut Actions,
    ) {
        let granted = term > self.hard_state.term && self.may_vote(now) && self.is_up_to_date(last);
        let response_term = if granted { term } else { self.hard_state.term };
        let envelope = self.envelope(from, response_term, Message::PreVoteResponse { granted });
        self.hold(AwaitingSync::Send(envelope), actions);
    }

    pub(crate) fn on_pre_vote_granted(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        actions: &mut Actions,
    ) {
        let Role::PreCandidate(votes) = &mut self.role else { return };
        if term.0 != self.hard_state.term.0 + 1 {
            return;
        }
        if record_vote(votes, from, self.log.members()) {
            self.reset_election_timer(now);
            self.campaign(actions);
        }
    }

    /// Gives a vote at most once a term, to a log at least as new as its own, and only while no leader can hold a
    /// lease that counts on this replica.
    pub(crate) fn on_request_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        last: (Term, u64),
        actions: &mut Actions,
    ) {
        if term > self.hard_state.term {
            if !self.may_vote(now) {
                return;
            }
            self.become_follower(now, term, None, actions);
        }
        let vote_available = self.hard_state.vote.is_none_or(|it| it == from);
        let follower = matches!(self.role, Role::Follower);
        let granted = term == self.hard_state.term
            && vote_available
            && follower
            && self.may_vote(now)
            && self.is_up_to_date(last);
        if granted {
            self.hard_state.vote = Some(from);
            self.write(Write::HardState(self.hard_state), actions);
            self.reset_election_timer(now);
        }
        self.send(from, Message::VoteResponse { granted }, actions);
    }

    pub(crate) fn on_vote_granted(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        let Role::Candidate(votes) = &mut self.role else { return };
        if record_vote(votes, from, self.log.members()) {
            self.become_leader(now, actions);
        }
    }

    /// Asks for votes in the next term; its own counts once it is on disk.
    fn campaign(&mut self, actions: &mut Actions) {
        self.hard_state.term = Term(self.hard_state.term.0 + 1);
        self.hard_state.vote = Some(self.id);
        self.write(Write::HardState(self.hard_state), actions);
        self.role = Role::Candidate(Votes::new());
        self.hold(AwaitingSync::SelfVote(self.hard_state.term), actions);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            self.send(to, Message::RequestVote { last_index, last_term }, actions);
        }
    }

    /// Whether no leader can hold a lease that counts on this replica.
    ///
    /// A replica whose own log does not name it a voter yet may vote too: a candidate asks the voters that its own log
    /// names, so a leader found this replica to hold everything committed before it added the entry that says so.
    fn may_vote(&self, now: Time) -> bool {
        !matches!(self.role, Role::Leader(_))
            && now >= self.last_leader_contact + self.config.election_timeout
    }

    /// Whether a log that ends like this holds everything that this one may know to be committed.
    fn is_up_to_date(&self, last: (Term, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Votes {
        self.log.members().voters().filter(|it| *it != self.id).collect()
    }
}

/// Adds a vote; returns whether there is a majority now.
fn record_vote(votes: &mut Votes, from: ReplicaId, members: &crate::entry::Membership) -> bool {
    if members.is_voter(from) && !votes.contains(&from) {
        votes.push(from);
    }
    votes.len() >= members.majority()
}

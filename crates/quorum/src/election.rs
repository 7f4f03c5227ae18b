//! Elections: who may ask for votes, and who may give one.

use {
    crate::{
        core::{Core, Held, Role, Votes},
        event::{Actions, Write},
        message::Message,
    },
    model::{ReplicaId, Term, Time},
    smallvec::smallvec,
};

impl Core {
    /// Starts an election if no leader was heard of in time.
    pub(crate) fn tick_election(&mut self, now: Time, actions: &mut Actions) {
        if now < self.election_at || !self.can_vote() {
            return;
        }
        self.leader = None;
        self.delay_election(now);
        self.role = Role::PreCandidate(smallvec![self.id]);
        if self.log.members().majority() == 1 {
            self.campaign(actions);
            return;
        }
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        for to in self.other_voters() {
            let message = Message::AskPreVote { last_index, last_term };
            let envelope = self.envelope(to, Term(self.hard.term.0 + 1), message);
            self.hold(Held::Send(envelope), actions);
        }
    }

    pub(crate) fn on_ask_pre_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        last: (Term, u64),
        actions: &mut Actions,
    ) {
        let granted = term > self.hard.term && self.may_vote(now) && self.is_current(last);
        let told = if granted { term } else { self.hard.term };
        let envelope = self.envelope(from, told, Message::PreVote { granted });
        self.hold(Held::Send(envelope), actions);
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        actions: &mut Actions,
    ) {
        let Role::PreCandidate(votes) = &mut self.role else { return };
        if term.0 != self.hard.term.0 + 1 {
            return;
        }
        if count(votes, from, self.log.members()) {
            self.delay_election(now);
            self.campaign(actions);
        }
    }

    /// Gives a vote at most once a term, to a log at least as new as its own, and only while no leader can hold a
    /// lease that counts on this replica.
    pub(crate) fn on_ask_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        last: (Term, u64),
        actions: &mut Actions,
    ) {
        if term > self.hard.term {
            if !self.may_vote(now) {
                return;
            }
            self.follow(now, term, None, actions);
        }
        let free = self.hard.vote.is_none_or(|it| it == from);
        let follower = matches!(self.role, Role::Follower);
        let granted = term == self.hard.term
            && free
            && follower
            && self.may_vote(now)
            && self.is_current(last);
        if granted {
            self.hard.vote = Some(from);
            self.write(Write::State(self.hard), actions);
            self.delay_election(now);
        }
        self.send(from, Message::Vote { granted }, actions);
    }

    pub(crate) fn on_vote(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        let Role::Candidate(votes) = &mut self.role else { return };
        if count(votes, from, self.log.members()) {
            self.lead(now, actions);
        }
    }

    /// Asks for votes in the next term; its own counts once it is on disk.
    fn campaign(&mut self, actions: &mut Actions) {
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.vote = Some(self.id);
        self.write(Write::State(self.hard), actions);
        self.role = Role::Candidate(Votes::new());
        self.hold(Held::OwnVote(self.hard.term), actions);
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        for to in self.other_voters() {
            self.send(to, Message::AskVote { last_index, last_term }, actions);
        }
    }

    /// Whether no leader can hold a lease that counts on this replica.
    ///
    /// A replica whose own log does not name it a voter yet may vote too: a candidate asks the voters that its own log
    /// names, so a leader found this replica to hold everything committed before it added the entry that says so.
    fn may_vote(&self, now: Time) -> bool {
        !matches!(self.role, Role::Leader(_)) && now >= self.heard + self.config.election
    }

    /// Whether a log that ends like this holds everything that this one may know to be committed.
    fn is_current(&self, last: (Term, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last())
    }

    fn other_voters(&self) -> Votes {
        self.log.members().voters().filter(|it| *it != self.id).collect()
    }
}

/// Adds a vote; returns whether there is a majority now.
fn count(votes: &mut Votes, from: ReplicaId, members: &crate::entry::Members) -> bool {
    if members.is_voter(from) && !votes.contains(&from) {
        votes.push(from);
    }
    votes.len() >= members.majority()
}

//! Elections: pre-vote, candidacy, and the rules for granting a vote.

use {
    crate::{
        entry::Membership,
        event::{Actions, Write},
        message::Message,
        raft::{Ballot, Deferred, Ids, Raft, Role},
    },
    model::{ReplicaId, Term, Time},
    smallvec::smallvec,
};

impl Raft {
    /// Starts a pre-vote once the election timeout has passed without a message from a leader.
    pub(crate) fn tick_election(&mut self, now: Time, actions: &mut Actions) {
        let due =
            if self.is_voter() { Some(self.election_deadline) } else { self.non_voter_campaign };
        if due.is_none_or(|it| now < it) {
            return;
        }
        self.non_voter_campaign = None;
        self.start_pre_vote(now, actions);
    }

    fn start_pre_vote(&mut self, now: Time, actions: &mut Actions) {
        self.leader = None;
        self.reset_election_timer(now);
        self.record_lost_voters(now, actions);
        let ballot = Ballot { granted: smallvec![self.id], lost: self.known_lost_voters() };
        if ballot.is_won(self.log.members()) {
            self.campaign(actions);
            return;
        }
        self.role = Role::PreCandidate(ballot);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            let message = Message::RequestPreVote { last_index, last_term };
            let envelope = self.envelope(to, Term(self.hard_state.term.0 + 1), message);
            self.defer_until_synced(Deferred::Send(envelope), actions);
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
        self.defer_until_synced(Deferred::Send(envelope), actions);
        // By the candidate's log this replica is a voter. If its own log is newer and it did not campaign itself, the
        // group might never have a leader again. If it did so at once, the two could split the votes each time.
        let newer = !granted && term > self.hard_state.term && self.may_vote(now);
        if newer && !self.is_voter() && self.non_voter_campaign.is_none() {
            self.non_voter_campaign = Some(self.retry_deadline(now));
        }
    }

    pub(crate) fn on_pre_vote_granted(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        actions: &mut Actions,
    ) {
        let Role::PreCandidate(ballot) = &mut self.role else { return };
        if term.0 != self.hard_state.term.0 + 1 {
            return;
        }
        if ballot.record(from, self.log.members()) {
            self.reset_election_timer(now);
            self.campaign(actions);
        }
    }

    /// Grants at most one vote per term, only to a candidate whose log is at least as up to date as this one, and only
    /// while no leader can hold a lease that relies on this replica.
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
        self.send_after_sync(from, Message::VoteResponse { granted }, actions);
    }

    pub(crate) fn on_vote_granted(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        let Role::Candidate(ballot) = &mut self.role else { return };
        if ballot.record(from, self.log.members()) {
            self.become_leader(now, actions);
        }
    }

    /// Another candidate of the term may have got the vote, or the sender may not vote yet, as it heard from a leader or
    /// was opened less than an election timeout ago. The next election need not wait for a whole timeout: the former
    /// leader has been silent for one already.
    pub(crate) fn on_vote_denied(&mut self, now: Time) {
        if matches!(self.role, Role::Candidate(_) | Role::PreCandidate(_)) {
            self.election_deadline = self.election_deadline.min(self.retry_deadline(now));
        }
    }

    /// Starts an election in the next term. This replica's own vote counts once it is on disk.
    fn campaign(&mut self, actions: &mut Actions) {
        self.hard_state.term = Term(self.hard_state.term.0 + 1);
        self.hard_state.vote = Some(self.id);
        self.write(Write::HardState(self.hard_state), actions);
        self.role = Role::Candidate(Ballot { granted: Ids::new(), lost: self.known_lost_voters() });
        self.defer_until_synced(Deferred::SelfVote(self.hard_state.term), actions);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            self.send_after_sync(to, Message::RequestVote { last_index, last_term }, actions);
        }
    }

    /// Whether no leader can hold a lease that relies on this replica.
    ///
    /// A replica that is not yet a voter by its own log may vote too. Candidates ask only the voters in their own log,
    /// and a leader makes a replica a voter only after it has found all committed entries on that replica.
    fn may_vote(&self, now: Time) -> bool {
        !matches!(self.role, Role::Leader(_))
            && now >= self.last_leader_contact + self.config.election_timeout
    }

    /// Whether a log with this last term and index is at least as up to date as this one.
    fn is_up_to_date(&self, last: (Term, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn other_voters(&self) -> Ids {
        self.log.members().voters().filter(|it| *it != self.id).collect()
    }

    fn known_lost_voters(&self) -> Ids {
        self.lost_voters.keys().copied().collect()
    }
}

impl Ballot {
    /// Records a vote and returns whether the votes are a quorum.
    fn record(&mut self, from: ReplicaId, members: &Membership) -> bool {
        if members.is_voter(from) && !self.granted.contains(&from) {
            self.granted.push(from);
        }
        self.is_won(members)
    }

    fn is_won(&self, members: &Membership) -> bool {
        members.is_quorum_after_loss(|it| self.granted.contains(&it), |it| self.lost.contains(&it))
    }
}

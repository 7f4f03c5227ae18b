//! The follower role: accepting entries from the leader.

use {
    crate::{
        entry::Entry,
        event::Actions,
        message::Message,
        raft::{Raft, Role},
    },
    model::{ReplicaId, Term, Time},
};

impl Raft {
    /// Records the leader of the current term and restarts the election timer.
    pub(crate) fn accept_leader(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        debug_assert!(!matches!(self.role, Role::Leader(_)), "a term has one leader");
        self.become_follower(now, self.hard_state.term, Some(from), actions);
        self.last_leader_contact = now;
        self.non_voter_campaign = None;
        self.reset_election_timer(now);
    }

    pub(crate) fn on_append_entries(
        &mut self,
        from: ReplicaId,
        prev: (u64, Term),
        mut entries: Vec<Entry>,
        commit_index: u64,
        sent_at: Time,
        actions: &mut Actions,
    ) {
        let (prev_index, prev_term) = prev;
        if !is_contiguous(prev_index, &entries) {
            return;
        }
        let match_index = prev_index + entries.len() as u64;
        // A leader's log contains every committed entry, so entries up to the commit index need no comparison.
        if match_index <= self.commit_index {
            self.send_after_sync(
                from,
                Message::AppendAccepted { match_index: self.commit_index, sent_at },
                actions,
            );
            return;
        }
        if prev_index < self.commit_index {
            entries.drain(..(self.commit_index - prev_index) as usize);
        } else if self.log.term(prev_index) != Some(prev_term) {
            let hint = self.log.last_index_before_term_of(prev_index).max(self.commit_index);
            let hint = hint.min(prev_index.saturating_sub(1));
            self.send_after_sync(from, Message::AppendRejected { hint, sent_at }, actions);
            return;
        }
        self.merge(entries, actions);
        self.commit_to(commit_index.min(match_index), actions);
        self.send_after_sync(from, Message::AppendAccepted { match_index, sent_at }, actions);
    }

    /// Appends the entries that the log lacks. An entry of another term is removed with all entries after it.
    fn merge(&mut self, mut entries: Vec<Entry>, actions: &mut Actions) {
        let matching =
            entries.iter().take_while(|it| self.log.term(it.index) == Some(it.term)).count();
        entries.drain(..matching);
        let Some(first) = entries.first().map(|it| it.index) else { return };
        debug_assert!(first > self.commit_index, "a committed entry never changes");
        if first <= self.log.last_index() {
            self.truncate(first);
        }
        self.append(entries, actions);
    }
}

fn is_contiguous(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}

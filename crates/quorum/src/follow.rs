//! Following a leader: taking its entries.

use {
    crate::{
        core::{Core, Role},
        entry::Entry,
        event::Actions,
        message::Message,
    },
    model::{ReplicaId, Term, Time},
};

impl Core {
    /// Takes note of the leader of this term.
    pub(crate) fn heed(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        debug_assert!(!matches!(self.role, Role::Leader(_)), "a term has one leader");
        self.follow(now, self.hard.term, Some(from), actions);
        self.heard = now;
        self.delay_election(now);
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: (u64, Term),
        mut entries: Vec<Entry>,
        commit: u64,
        sent: Time,
        actions: &mut Actions,
    ) {
        let (prev_index, prev_term) = prev;
        if !is_sequence(prev_index, &entries) {
            return;
        }
        let matched = prev_index + entries.len() as u64;
        // What is committed here is in the leader's log too, so entries up to there need no comparison.
        if matched <= self.commit {
            self.send(from, Message::Appended { matched: self.commit, sent }, actions);
            return;
        }
        if prev_index < self.commit {
            entries.drain(..(self.commit - prev_index) as usize);
        } else if self.log.term(prev_index) != Some(prev_term) {
            let hint = self.log.before_term_of(prev_index).max(self.commit);
            let hint = hint.min(prev_index.saturating_sub(1));
            self.send(from, Message::Mismatch { hint, sent }, actions);
            return;
        }
        self.merge(entries, actions);
        self.commit_to(commit.min(matched), actions);
        self.send(from, Message::Appended { matched, sent }, actions);
    }

    /// Adds what is missing; an entry of another term and all after it give way.
    fn merge(&mut self, mut entries: Vec<Entry>, actions: &mut Actions) {
        let held = entries.iter().take_while(|it| self.log.term(it.index) == Some(it.term)).count();
        entries.drain(..held);
        let Some(first) = entries.first().map(|it| it.index) else { return };
        debug_assert!(first > self.commit, "a committed entry never changes");
        if first <= self.log.last() {
            self.truncate(first);
        }
        self.append(entries, actions);
    }
}

fn is_sequence(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}

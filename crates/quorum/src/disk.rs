//! Writes to disk, and the actions that are held back until they are durable.

use {
    crate::{
        entry::{Entry, Snapshot},
        event::{Action, Actions, Write},
        log::Log,
        message::{Envelope, Message},
        raft::{COMMIT_PERSIST_INTERVAL, Deferred, Raft},
    },
    bytes::Bytes,
    model::{ReplicaId, Term, Time},
};

impl Raft {
    pub(crate) fn on_synced(&mut self, now: Time, up_to: u64, actions: &mut Actions) {
        self.last_synced_write = self.last_synced_write.max(up_to);
        while let Some((_, last)) = self.unsynced_appends.pop_front_if(|it| it.0 <= up_to) {
            self.durable_index = last;
        }
        while let Some((_, item)) = self.deferred.pop_front_if(|it| it.0 <= up_to) {
            match item {
                Deferred::Send(envelope) => actions.push(Action::Send(envelope)),
                Deferred::SelfVote(term) if term == self.hard_state.term => {
                    self.on_vote_granted(now, self.id, actions);
                }
                Deferred::SelfVote(_) => {}
            }
        }
        self.advance_commit(now, actions);
    }

    /// Persists the commit index, so that a restarted replica can apply committed entries without waiting for a
    /// leader. The persisted index must not exceed the durable log: after a crash, an older entry may be at that
    /// index.
    pub(crate) fn persist_commit_index(&mut self, now: Time, actions: &mut Actions) {
        let durable_commit = self.commit_index.min(self.durable_index);
        if durable_commit <= self.hard_state.commit_index || now < self.next_commit_write_at {
            return;
        }
        self.next_commit_write_at = now + COMMIT_PERSIST_INTERVAL;
        self.hard_state.commit_index = durable_commit;
        self.write(Write::HardState(self.hard_state), actions);
    }

    pub(crate) fn on_snapshot(&mut self, index: u64, data: Bytes, actions: &mut Actions) {
        if index <= self.snapshot.index || index > self.applied_index {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let members = self.log.members_at(index).clone();
        // A replica that lacks more than the snapshot's size gets the snapshot sooner than the entries.
        let oldest = index.saturating_sub(self.config.retained_entries);
        let up_to = self.log.index_before_last_bytes(index, data.len()).max(oldest);
        self.snapshot = Snapshot { index, term, members, data };
        self.log.compact(up_to);
        self.write(Write::Compact(self.snapshot.clone()), actions);
    }

    /// Appends entries to the log.
    pub(crate) fn append(&mut self, entries: Vec<Entry>, actions: &mut Actions) {
        entries.iter().for_each(|it| self.log.push(it.clone()));
        self.write(Write::Append(entries), actions);
        self.unsynced_appends.push_back((self.last_write, self.log.last_index()));
    }

    /// Removes the entries from an index on. The next append makes the removal durable.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        let kept = from - 1;
        self.durable_index = self.durable_index.min(kept);
        self.unsynced_appends.iter_mut().for_each(|it| it.1 = it.1.min(kept));
    }

    /// Replaces the log with a snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot, actions: &mut Actions) {
        self.log = Log::new(&snapshot, Vec::new());
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.durable_index = 0;
        self.unsynced_appends.clear();
        self.snapshot = snapshot.clone();
        self.write(Write::Install(snapshot.clone()), actions);
        self.unsynced_appends.push_back((self.last_write, snapshot.index));
        actions.push(Action::Restore(snapshot));
    }

    pub(crate) fn write(&mut self, write: Write, actions: &mut Actions) {
        self.last_write += 1;
        actions.push(Action::Write(self.last_write, write));
    }

    /// Sends a message once all writes so far are on disk.
    pub(crate) fn send_after_sync(
        &mut self,
        to: ReplicaId,
        message: Message,
        actions: &mut Actions,
    ) {
        let envelope = self.envelope(to, self.hard_state.term, message);
        self.defer_until_synced(Deferred::Send(envelope), actions);
    }

    /// Sends a message that does not depend on durable state.
    pub(crate) fn send_now(&self, to: ReplicaId, message: Message, actions: &mut Actions) {
        actions.push(Action::Send(self.envelope(to, self.hard_state.term, message)));
    }

    pub(crate) fn envelope(&self, to: ReplicaId, term: Term, message: Message) -> Envelope {
        Envelope { group: self.hard_state.group, from: self.id, to, term, message }
    }

    pub(crate) fn defer_until_synced(&mut self, item: Deferred, actions: &mut Actions) {
        match item {
            Deferred::Send(envelope) if self.last_synced_write == self.last_write => {
                actions.push(Action::Send(envelope));
            }
            Deferred::Send(_) | Deferred::SelfVote(_) => {
                self.deferred.push_back((self.last_write, item))
            }
        }
    }
}

//! What goes to disk, and what waits until it is there.

use {
    crate::{
        core::{Core, Held, NOTE_INTERVAL},
        entry::{Entry, Snapshot},
        event::{Action, Actions, Write},
        log::Log,
        message::{Envelope, Message},
    },
    bytes::Bytes,
    model::{ReplicaId, Term, Time},
};

impl Core {
    pub(crate) fn on_synced(&mut self, now: Time, upto: u64, actions: &mut Actions) {
        self.synced = self.synced.max(upto);
        while let Some((_, last)) = self.unsynced.pop_front_if(|it| it.0 <= upto) {
            self.durable = last;
        }
        while let Some((_, held)) = self.held.pop_front_if(|it| it.0 <= upto) {
            match held {
                Held::Send(envelope) => actions.push(Action::Send(envelope)),
                Held::OwnVote(term) if term == self.hard.term => {
                    self.on_vote(now, self.id, actions);
                }
                Held::OwnVote(_) => {}
            }
        }
        self.advance_commit(now, actions);
    }

    /// Writes down what is committed and on disk, so that a restarted replica need not wait for a leader to know it.
    /// What is not on disk yet must not be noted: after a crash an older entry may stand there.
    pub(crate) fn note_commit(&mut self, now: Time, actions: &mut Actions) {
        let known = self.commit.min(self.durable);
        if known <= self.hard.commit || now < self.note_at {
            return;
        }
        self.note_at = now + NOTE_INTERVAL;
        self.hard.commit = known;
        self.write(Write::State(self.hard), actions);
    }

    pub(crate) fn on_snapshot(&mut self, index: u64, data: Bytes, actions: &mut Actions) {
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let members = self.log.members_at(index).clone();
        self.snapshot = Snapshot { index, term, members, data };
        self.log.compact(index.saturating_sub(self.config.tail));
        self.write(Write::Compact(self.snapshot.clone()), actions);
    }

    /// Puts entries at the end of the log.
    pub(crate) fn append(&mut self, entries: Vec<Entry>, actions: &mut Actions) {
        entries.iter().for_each(|it| self.log.push(it.clone()));
        self.write(Write::Append(entries), actions);
        self.unsynced.push_back((self.written, self.log.last()));
    }

    /// Drops the entries from an index on; the next append makes it last.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        let kept = from - 1;
        self.durable = self.durable.min(kept);
        self.unsynced.iter_mut().for_each(|it| it.1 = it.1.min(kept));
    }

    /// Replaces the log by a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot, actions: &mut Actions) {
        self.log = Log::new(&snapshot, Vec::new());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.durable = 0;
        self.unsynced.clear();
        self.snapshot = snapshot.clone();
        self.write(Write::Install(snapshot.clone()), actions);
        self.unsynced.push_back((self.written, snapshot.index));
        actions.push(Action::Restore(snapshot));
    }

    pub(crate) fn write(&mut self, write: Write, actions: &mut Actions) {
        self.written += 1;
        actions.push(Action::Write(self.written, write));
    }

    /// Sends a message once everything written so far is on disk.
    pub(crate) fn send(&mut self, to: ReplicaId, message: Message, actions: &mut Actions) {
        let envelope = self.envelope(to, self.hard.term, message);
        self.hold(Held::Send(envelope), actions);
    }

    /// Sends a message that states nothing about the disk.
    pub(crate) fn send_now(&self, to: ReplicaId, message: Message, actions: &mut Actions) {
        actions.push(Action::Send(self.envelope(to, self.hard.term, message)));
    }

    pub(crate) fn envelope(&self, to: ReplicaId, term: Term, message: Message) -> Envelope {
        Envelope { group: self.hard.group, from: self.id, to, term, message }
    }

    pub(crate) fn hold(&mut self, held: Held, actions: &mut Actions) {
        match held {
            Held::Send(envelope) if self.synced == self.written => {
                actions.push(Action::Send(envelope));
            }
            Held::Send(_) | Held::OwnVote(_) => self.held.push_back((self.written, held)),
        }
    }
}

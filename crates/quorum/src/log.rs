//! The part of the log that is held in memory.

use {
    crate::entry::{Entry, Membership, Payload, Snapshot},
    derive_more::Debug,
    model::Term,
    std::collections::VecDeque,
};

/// The log entries after a base index, without gaps, and the latest membership among them.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// The index of the entry before the first one held.
    base_index: u64,
    base_term: Term,
    base_members: Membership,
    entries: VecDeque<Entry>,
    members: Membership,
    members_index: u64,
}

impl Log {
    pub(crate) fn new(snapshot: &Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            base_index: snapshot.index,
            base_term: snapshot.term,
            base_members: snapshot.members.clone(),
            entries: entries.into(),
            members: Membership::default(),
            members_index: 0,
        };
        log.refresh_members();
        log
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |it| it.term)
    }

    /// The term of the entry at `index`, if it is held or is the base.
    pub(crate) fn term(&self, index: u64) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|it| it.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries from index `from` on that fit into `bytes`; at least one entry, if there is one.
    pub(crate) fn batch(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let mut remaining = bytes;
        let mut batch = Vec::new();
        for entry in self.entries.range(skip.min(self.entries.len())..) {
            let size = size_of::<Entry>() + command_len(entry);
            if size > remaining && !batch.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(size);
            batch.push(entry.clone());
        }
        batch
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        if let Payload::Membership(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.base_index + 1) as usize);
        if self.members_index >= from {
            self.refresh_members();
        }
    }

    /// Returns the lowest index after which the entries up to and including `index` have at most `bytes` bytes.
    pub(crate) fn index_before_last_bytes(&self, index: u64, bytes: usize) -> u64 {
        let count = index.saturating_sub(self.base_index) as usize;
        let mut remaining = bytes;
        let entries = self.entries.iter().take(count).rev();
        let kept = entries.take_while(|it| {
            let size = size_of::<Entry>() + command_len(it);
            let fits = size <= remaining;
            remaining = remaining.saturating_sub(size);
            fits
        });
        index - kept.count() as u64
    }

    /// Removes the entries up to and including index `up_to`.
    pub(crate) fn compact(&mut self, up_to: u64) {
        while self.base_index < up_to
            && let Some(entry) = self.entries.pop_front()
        {
            self.base_index = entry.index;
            self.base_term = entry.term;
            if let Payload::Membership(members) = entry.payload {
                self.base_members = members;
            }
        }
    }

    /// The highest index before `index` whose entry has an earlier term than the entry at `index`.
    pub(crate) fn last_index_before_term_of(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else { return self.last_index().min(index) };
        let mut at = index;
        while at > self.base_index && self.term(at) == Some(term) {
            at -= 1;
        }
        at
    }

    /// The latest membership in the log, committed or not.
    pub(crate) fn members(&self) -> &Membership {
        &self.members
    }

    /// The index of the entry that set the latest membership.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    /// The membership as of an index.
    pub(crate) fn members_at(&self, index: u64) -> &Membership {
        let up_to = index.saturating_sub(self.base_index) as usize;
        let mut entries = self.entries.iter().take(up_to).rev();
        entries.find_map(entry_members).unwrap_or(&self.base_members)
    }

    fn refresh_members(&mut self) {
        let found =
            self.entries.iter().rev().find_map(|it| Some((it.index, entry_members(it)?.clone())));
        (self.members_index, self.members) =
            found.unwrap_or_else(|| (self.base_index, self.base_members.clone()));
    }
}

fn entry_members(entry: &Entry) -> Option<&Membership> {
    match &entry.payload {
        Payload::Membership(members) => Some(members),
        Payload::Empty | Payload::Command(_) => None,
    }
}

fn command_len(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Empty | Payload::Membership(_) => 0,
    }
}

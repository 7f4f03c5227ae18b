//! The owner's model of one endpoint's prompt cache.
//!
//! The owner sees every prompt that goes to the endpoint, in order, so a least-recently-used list
//! of the same size approximates the real cache. Cache events arrive late and with gaps, so they
//! only correct the model.

use {model::ChatKey, std::collections::HashMap};

/// Marks the absence of an entry in the linked lists.
const NIL: u32 = u32::MAX;

/// A cache event published by an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheEvent {
    /// The cache holds `tokens` tokens of the chat's prefix. Zero means that the prefix was
    /// evicted.
    Holds {
        /// The chat whose prefix is meant.
        chat: ChatKey,
        /// The number of cached tokens.
        tokens: u32,
    },
    /// The cache was emptied, for example by a restart.
    Cleared,
}

/// A least-recently-used list of prefixes whose capacity is counted in tokens.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u64,
    used_tokens: u64,
    index: HashMap<ChatKey, u32>,
    entries: Vec<Entry>,
    /// The most recently used entry.
    head: u32,
    /// The least recently used entry.
    tail: u32,
    /// The head of the free list, whose entries are linked through `next`.
    free: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    chat: ChatKey,
    tokens: u32,
    prev: u32,
    next: u32,
}

impl Cache {
    /// Returns an empty model of a cache that holds `capacity` tokens.
    pub fn new(capacity: u64) -> Cache {
        Cache {
            capacity,
            used_tokens: 0,
            index: HashMap::new(),
            entries: Vec::new(),
            head: NIL,
            tail: NIL,
            free: NIL,
        }
    }

    /// Returns how many tokens of the chat's prefix are cached.
    pub fn tokens(&self, chat: ChatKey) -> u32 {
        self.index.get(&chat).map_or(0, |at| self.entries[*at as usize].tokens)
    }

    /// Returns the number of cached chats.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Records that the endpoint ran a prompt that leaves `tokens` tokens of the chat in the cache.
    ///
    /// A prefix that exceeds the whole capacity is not cached.
    pub fn record_use(&mut self, chat: ChatKey, tokens: u32) {
        self.remove(chat);
        if tokens == 0 || u64::from(tokens) > self.capacity {
            return;
        }
        self.used_tokens += u64::from(tokens);
        self.evict();
        let at = self.push_front(Entry { chat, tokens, prev: NIL, next: self.head });
        self.index.insert(chat, at);
    }

    /// Returns the cached chats with their tokens, the least recently used first. A new owner
    /// replays them with [`Cache::record_use`].
    pub fn contents(&self) -> impl Iterator<Item = (ChatKey, u32)> {
        let next = |entry: &Entry| self.entries.get(entry.prev as usize);
        let entries =
            std::iter::successors(self.entries.get(self.tail as usize), move |it| next(it));
        entries.map(|it| (it.chat, it.tokens))
    }

    /// Corrects the model with an event that the endpoint published.
    pub fn apply_event(&mut self, event: CacheEvent) {
        match event {
            CacheEvent::Holds { chat, tokens: 0 } => self.remove(chat),
            CacheEvent::Holds { chat, tokens } => match self.index.get(&chat) {
                Some(at) => {
                    let entry = &mut self.entries[*at as usize];
                    self.used_tokens =
                        self.used_tokens + u64::from(tokens) - u64::from(entry.tokens);
                    entry.tokens = tokens;
                    self.evict();
                }
                None => self.record_use(chat, tokens),
            },
            CacheEvent::Cleared => *self = Cache::new(self.capacity),
        }
    }

    /// Removes the least recently used entries until the rest fits the capacity.
    fn evict(&mut self) {
        while self.used_tokens > self.capacity && self.tail != NIL {
            let chat = self.entries[self.tail as usize].chat;
            self.remove(chat);
        }
    }

    fn push_front(&mut self, entry: Entry) -> u32 {
        let at = match self.free {
            NIL => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
            at => {
                self.free = self.entries[at as usize].next;
                self.entries[at as usize] = entry;
                at
            }
        };
        match self.head {
            NIL => self.tail = at,
            head => self.entries[head as usize].prev = at,
        }
        self.head = at;
        at
    }

    fn remove(&mut self, chat: ChatKey) {
        let Some(at) = self.index.remove(&chat) else { return };
        let Entry { tokens, prev, next, .. } = self.entries[at as usize];
        match prev {
            NIL => self.head = next,
            prev => self.entries[prev as usize].next = next,
        }
        match next {
            NIL => self.tail = prev,
            next => self.entries[next as usize].prev = prev,
        }
        self.used_tokens -= u64::from(tokens);
        self.entries[at as usize].next = self.free;
        self.free = at;
    }
}

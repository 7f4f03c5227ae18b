//! The owner's model of one endpoint's prompt cache.
//!
//! The owner sees every prompt that goes to the endpoint, in order, so a least-recently-used list of the same size is
//! close to the real cache. Cache events come late and with gaps; they only correct the model.

use {model::ChatKey, std::collections::HashMap};

/// No entry.
const NIL: u32 = u32::MAX;

/// What an endpoint published about its cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheEvent {
    /// The cache holds so many tokens of the chat's prefix; zero: it evicted it.
    Holds {
        /// The chat.
        chat: ChatKey,
        /// The tokens held.
        tokens: u32,
    },
    /// The cache is empty, as after a restart.
    Cleared,
}

/// A least-recently-used list of prefixes, limited in tokens.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u64,
    used_tokens: u64,
    index: HashMap<ChatKey, u32>,
    entries: Vec<Entry>,
    /// The most recently used.
    head: u32,
    /// The least recently used.
    tail: u32,
    /// The first unused entry; they are linked by `next`.
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
    /// Returns the model of an empty cache of so many tokens.
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

    /// How many tokens of the chat's prefix the cache holds.
    pub fn tokens(&self, chat: ChatKey) -> u32 {
        self.index.get(&chat).map_or(0, |at| self.entries[*at as usize].tokens)
    }

    /// How many chats the cache holds.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the cache holds nothing.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Notes that the endpoint ran a prompt that leaves so many tokens of the chat in the cache.
    ///
    /// What does not fit as a whole is not kept.
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

    /// What the cache holds, the least recently used first: a new owner replays it with [`Cache::record_use`].
    pub fn contents(&self) -> impl Iterator<Item = (ChatKey, u32)> {
        let next = |entry: &Entry| self.entries.get(entry.prev as usize);
        let entries =
            std::iter::successors(self.entries.get(self.tail as usize), move |it| next(it));
        entries.map(|it| (it.chat, it.tokens))
    }

    /// Corrects the model by what the endpoint published.
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

    /// Removes the least recently used entries until the others fit.
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

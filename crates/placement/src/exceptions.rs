//! Chats whose prefix is not at their home.

use {
    model::{ChatKey, EndpointId, Time},
    std::collections::HashMap,
};

/// Expired entries are dropped so often, in microseconds.
const SWEEP: u64 = 10 * model::SECOND;

/// Where the prefix of a chat is.
#[derive(Clone, Copy, Debug)]
struct Exception {
    endpoint: EndpointId,
    /// When it is forgotten, in whole seconds of this process's clock.
    expires: u32,
}

/// Where the prefixes of spilled or not yet moved chats are, each until a deadline.
#[derive(Clone, Debug)]
pub struct DisplacedChats {
    most: usize,
    table: HashMap<ChatKey, Exception>,
    /// When expired entries are next dropped.
    sweep: Time,
}

impl DisplacedChats {
    /// Returns a table of at most so many chats.
    pub fn new(most: usize) -> DisplacedChats {
        DisplacedChats { most, table: HashMap::new(), sweep: Time(0) }
    }

    /// Where the prefix of the chat is, unless at home.
    pub fn get(&self, now: Time, chat: ChatKey) -> Option<EndpointId> {
        let exception = self.table.get(&chat)?;
        (seconds(now) < exception.expires).then_some(exception.endpoint)
    }

    /// Notes where the prefix of the chat is until `expires`; a full table ignores it.
    pub fn insert(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId, expires: Time) {
        self.sweep(now);
        if self.table.len() < self.most || self.table.contains_key(&chat) {
            self.table.insert(chat, Exception { endpoint, expires: seconds(expires) });
        }
    }

    /// All chats that are away, with where their prefixes are, in no order.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (ChatKey, EndpointId)> {
        let valid = move |it: &(&ChatKey, &Exception)| seconds(now) < it.1.expires;
        self.table.iter().filter(valid).map(|it| (*it.0, it.1.endpoint))
    }

    /// The prefix of the chat is at home.
    pub fn remove(&mut self, chat: ChatKey) {
        self.table.remove(&chat);
    }

    /// How many chats are away.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no chat is away.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Drops what expired, at most once in each sweep period.
    fn sweep(&mut self, now: Time) {
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            self.table.retain(|_, it| seconds(now) < it.expires);
        }
    }
}

fn seconds(at: Time) -> u32 {
    (at.0 / model::SECOND).min(u64::from(u32::MAX)) as u32
}

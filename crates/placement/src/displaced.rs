//! Chats whose prefix is not at their home.

use {
    model::{ChatKey, EndpointId, Time},
    std::collections::HashMap,
};

/// Expired entries are dropped so often, in microseconds.
const SWEEP_INTERVAL_US: u64 = 10 * model::SECOND;

/// Where the prefix of a chat is.
#[derive(Clone, Copy, Debug)]
struct DisplacedChat {
    endpoint: EndpointId,
    /// When it is forgotten, in whole seconds of this process's clock.
    expires_s: u32,
}

/// Where the prefixes of spilled or not yet moved chats are, each until a deadline.
#[derive(Clone, Debug)]
pub struct DisplacedChats {
    capacity: usize,
    chats: HashMap<ChatKey, DisplacedChat>,
    /// When expired entries are next dropped.
    next_sweep: Time,
}

impl DisplacedChats {
    /// Returns a table of at most so many chats.
    pub fn new(capacity: usize) -> DisplacedChats {
        DisplacedChats { capacity, chats: HashMap::new(), next_sweep: Time(0) }
    }

    /// Where the prefix of the chat is, unless at home.
    pub fn get(&self, now: Time, chat: ChatKey) -> Option<EndpointId> {
        let entry = self.chats.get(&chat)?;
        (seconds(now) < entry.expires_s).then_some(entry.endpoint)
    }

    /// Notes where the prefix of the chat is until `expires`; a full table ignores it.
    pub fn insert(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId, expires: Time) {
        self.remove_expired(now);
        if self.chats.len() < self.capacity || self.chats.contains_key(&chat) {
            self.chats.insert(chat, DisplacedChat { endpoint, expires_s: seconds(expires) });
        }
    }

    /// All chats that are away, with where their prefixes are, in no order.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (ChatKey, EndpointId)> {
        let valid = move |it: &(&ChatKey, &DisplacedChat)| seconds(now) < it.1.expires_s;
        self.chats.iter().filter(valid).map(|it| (*it.0, it.1.endpoint))
    }

    /// The prefix of the chat is at home.
    pub fn remove(&mut self, chat: ChatKey) {
        self.chats.remove(&chat);
    }

    /// How many chats are away.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether no chat is away.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    /// Drops what expired, at most once in each sweep period.
    fn remove_expired(&mut self, now: Time) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL_US;
            self.chats.retain(|_, it| seconds(now) < it.expires_s);
        }
    }
}

fn seconds(at: Time) -> u32 {
    (at.0 / model::SECOND).min(u64::from(u32::MAX)) as u32
}

//! Chats whose cached prefix is not on their home endpoint.

use {
    model::{ChatKey, EndpointId, Time},
    std::collections::HashMap,
};

/// The interval at which expired entries are removed, in microseconds.
const SWEEP_INTERVAL_US: u64 = 10 * model::SECOND;

/// The endpoint that holds a chat's prefix.
#[derive(Clone, Copy, Debug)]
struct DisplacedChat {
    endpoint: EndpointId,
    /// When the entry expires, in whole seconds of this process's clock.
    expires_s: u32,
}

/// The endpoints that hold the prefixes of chats that spilled or have not moved yet. Each entry
/// expires.
#[derive(Clone, Debug)]
pub struct DisplacedChats {
    capacity: usize,
    chats: HashMap<ChatKey, DisplacedChat>,
    /// When expired entries are removed next.
    next_sweep: Time,
}

impl DisplacedChats {
    /// Returns a table that holds at most `capacity` chats.
    pub fn new(capacity: usize) -> DisplacedChats {
        DisplacedChats { capacity, chats: HashMap::new(), next_sweep: Time(0) }
    }

    /// Returns the endpoint that holds the chat's prefix, if it is not the home endpoint.
    pub fn get(&self, now: Time, chat: ChatKey) -> Option<EndpointId> {
        let entry = self.chats.get(&chat)?;
        (seconds(now) < entry.expires_s).then_some(entry.endpoint)
    }

    /// Records which endpoint holds the chat's prefix until `expires`. A full table ignores new
    /// chats.
    pub fn insert(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId, expires: Time) {
        self.remove_expired(now);
        if self.chats.len() < self.capacity || self.chats.contains_key(&chat) {
            self.chats.insert(chat, DisplacedChat { endpoint, expires_s: seconds(expires) });
        }
    }

    /// Returns all displaced chats and the endpoints that hold their prefixes, in no particular
    /// order.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (ChatKey, EndpointId)> {
        let valid = move |it: &(&ChatKey, &DisplacedChat)| seconds(now) < it.1.expires_s;
        self.chats.iter().filter(valid).map(|it| (*it.0, it.1.endpoint))
    }

    /// Records that the chat's prefix is on its home endpoint.
    pub fn remove(&mut self, chat: ChatKey) {
        self.chats.remove(&chat);
    }

    /// Returns the number of displaced chats, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    /// Removes expired entries, at most once per interval.
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

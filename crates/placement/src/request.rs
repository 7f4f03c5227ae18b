//! What goes into an owner's table and comes out of it.

use {
    model::{AttemptNo, ChatKey, EndpointId, RequestId, ServiceId, Work},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// A request that wants to start.
#[derive(Clone, Copy, Debug)]
pub struct StartRequest {
    /// Its id.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// What the chat is placed by.
    pub chat: ChatKey,
    /// Where.
    pub endpoint: EndpointId,
    /// Its work if nothing is cached.
    pub cost: Work,
    /// How much of `cost` is the prompt, which a cached prefix saves; also what it leaves in the cache.
    pub prompt: u32,
    /// Whether it may be sent to where its prefix is: true for a first try at home, false for a spilled or waiting
    /// request.
    pub at_home: bool,
}

/// What became of a request that wanted to start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StartResult {
    /// It counts as running from now on and must be sent.
    Started {
        /// The prompt tokens that should be cached there.
        cached: u32,
        /// The work that it counts with.
        cost: Work,
    },
    /// It did not start here.
    NoCapacity {
        /// Where its prefix is or where there may be room, in order.
        alternatives: SmallVec<[EndpointId; 4]>,
    },
    /// This router may not start anything there.
    NotOwner,
}

/// What the owner of an endpoint remembers of it, for the next owner.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct OwnerHandover {
    /// What its prompt cache should hold, in tokens, the least recently used first.
    pub cached: Vec<(ChatKey, u32)>,
    /// The chats at home there whose prefix is elsewhere.
    pub displaced: Vec<(ChatKey, EndpointId)>,
}

/// The load of the endpoints that a router owns, for one service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OwnedLoad {
    /// The service.
    pub service: ServiceId,
    /// The sum of the loads.
    pub total: Work,
    /// How many endpoints the sum covers.
    pub count: u32,
    /// The least loaded of them.
    pub least_loaded: EndpointId,
    /// That endpoint's load.
    pub min_load: Work,
}

//! Inputs and outputs of an [`EndpointTable`](crate::EndpointTable).

use {
    model::{AttemptNo, ChatKey, EndpointId, RequestId, ServiceId, Work},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// A request to start an attempt on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct StartRequest {
    /// The request's id.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The key that the chat is hashed by.
    pub chat: ChatKey,
    /// The endpoint to start on.
    pub endpoint: EndpointId,
    /// The work of the request if nothing is cached.
    pub cost: Work,
    /// The prompt's part of `cost`, in tokens. A cached prefix saves up to this much, and the
    /// prompt is cached afterwards.
    pub prompt: u32,
    /// Whether the request may be redirected to the endpoint that has its prefix. This is true for
    /// a first attempt at the home endpoint, and false for a spilled or waiting request.
    pub at_home: bool,
}

/// The result of an attempt to start a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StartResult {
    /// The request counts as running and must be sent.
    Started {
        /// The number of prompt tokens that are expected to be cached.
        cached: u32,
        /// The work that the request counts as.
        cost: Work,
    },
    /// The request did not start here.
    NoCapacity {
        /// Endpoints that may have its prefix or room for it, in order of preference.
        alternatives: SmallVec<[EndpointId; 4]>,
    },
    /// This router may not start work on the endpoint.
    NotOwner,
}

/// The state of an endpoint that its owner hands over to the next owner.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct OwnerHandover {
    /// The chats that its prompt cache is expected to hold and their tokens, the least recently
    /// used first.
    pub cached: Vec<(ChatKey, u32)>,
    /// The chats that have their home there but their prefix on another endpoint.
    pub displaced: Vec<(ChatKey, EndpointId)>,
}

/// The load of the endpoints that a router owns, for one service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OwnedLoad {
    /// The service.
    pub service: ServiceId,
    /// The total load of the endpoints.
    pub total: Work,
    /// The number of endpoints.
    pub count: u32,
    /// The least loaded of them.
    pub least_loaded: EndpointId,
    /// The load of that endpoint.
    pub min_load: Work,
}

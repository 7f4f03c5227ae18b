//! Requests and their assignments to endpoints.

use {
    derive_more::{Debug, Display},
    directory::BuildId,
    model::{Domain, Name, Time},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Identifies an endpoint within one router. An endpoint that restarts gets a new handle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("e{_0}")]
pub struct EndpointHandle(pub u32);

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// The length of the part.
    pub tokens: u32,
}

impl Prompt {
    /// Returns the parts that other prompts may share: all but the last one.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }
}

/// The prompt of a request.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Prompt {
    /// The parts of the prompt, in order. The last one is specific to this request.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// The tokens of the prompt plus the maximum length of the answer.
    pub tokens: u32,
}

/// A request to be assigned to an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DispatchRequest {
    /// The service.
    pub service: Name,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The priority of the request. Zero is the highest.
    pub priority: u8,
    /// Until when the request may wait for room.
    pub wait_until: Time,
    /// Endpoints that the request should not be sent to again.
    pub excluded: SmallVec<[EndpointHandle; 2]>,
    /// The only software version that may run the request, if it continues a stream.
    pub build: Option<BuildId>,
    /// The regions whose endpoints may run the request, or `None` if all may.
    pub regions: Option<SmallVec<[Name; 2]>>,
    /// The hash of the team that sent the request.
    pub team: u32,
    /// When the response must be complete, if the request may also start after `wait_until`, so that
    /// it is late.
    pub deadline: Option<Time>,
}

/// The endpoint that a request is assigned to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    /// The endpoint.
    pub handle: EndpointHandle,
    /// The id of the endpoint.
    pub id: Name,
    /// The address that the endpoint listens on.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// The version of the endpoint's software.
    pub build: BuildId,
    /// Distinguishes this run of the endpoint from its earlier and later ones.
    pub incarnation: u64,
    /// Another endpoint that is expected to have more of the prompt in memory.
    pub fetch_from: Option<SocketAddr>,
    /// The tokens that the request is counted with.
    pub tokens: u32,
    /// The running requests of all routers on the endpoint, without this one.
    pub load: u32,
}

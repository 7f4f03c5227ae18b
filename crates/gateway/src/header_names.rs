//! Names of the headers exchanged with clients and endpoints.
//!
//! A deployment whose clients and endpoints use other names provides its own table. The value
//! formats are the same.

use {
    derive_more::Debug,
    http::{HeaderName, header},
};

/// The header names of a deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a client's attempt; endpoints echo it.
    pub attempt_id: HeaderName,
    /// The time left for a request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The client's key.
    pub team_key: HeaderName,
    /// The name of the team that owns the key, set for the endpoint.
    pub team: HeaderName,
    /// The id of the endpoint that a request is meant for; any other endpoint rejects it.
    pub endpoint_id: HeaderName,
    /// The token count of a prompt and the maximum token count of its response, separated by a
    /// comma.
    pub prompt_tokens: HeaderName,
    /// The parts of a prompt in order, as comma-separated `ID:TOKENS` with the id in hexadecimal.
    pub prompt_parts: HeaderName,
    /// The priority of a request at its endpoint, from 0 (highest) to 9.
    pub priority: HeaderName,
    /// The address of an endpoint from which the KV cache of a prompt may be fetched.
    pub fetch_from: HeaderName,
    /// In a response: the endpoint did not run the request.
    pub not_run: HeaderName,
    /// In a response: proves that it comes from an endpoint.
    pub signature: HeaderName,
    /// In a response: the running requests, waiting requests and slots of the endpoint, separated
    /// by commas.
    pub load: HeaderName,
    /// In a response: `1` if the endpoint is leaving and wants no further requests.
    pub leaving: HeaderName,
    /// In a response: how many requests a second the endpoint takes from all gateways together, as a
    /// decimal number, until a response comes without it.
    pub limit: HeaderName,
    /// In a response: how many requests a second all gateways together may make the endpoint reject
    /// before it fails, until a response comes without it.
    pub brittle: HeaderName,
    /// In a response: how much longer the endpoint takes few requests because it has just started, in
    /// milliseconds. Zero if it takes as many as usual.
    pub cold: HeaderName,
    /// The id of the last event of a stream that the client received.
    pub last_event_id: HeaderName,
    /// The id of the client's attempt that brought the first event of a stream which the client
    /// resumes.
    pub resumes: HeaderName,
    /// Further headers that only the gateway may set; they are removed from client requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        let name = HeaderName::from_static;
        HeaderNames {
            attempt_id: name("attempt-id"),
            deadline_ms: name("deadline-ms"),
            team_key: name("team-key"),
            team: name("team"),
            endpoint_id: name("endpoint-id"),
            prompt_tokens: name("prompt-tokens"),
            prompt_parts: name("prompt-parts"),
            priority: name("priority"),
            fetch_from: name("fetch-from"),
            not_run: name("not-run"),
            signature: name("endpoint-signature"),
            load: name("endpoint-load"),
            leaving: name("endpoint-leaving"),
            limit: name("endpoint-limit"),
            brittle: name("endpoint-brittle"),
            cold: name("endpoint-cold-ms"),
            last_event_id: name("last-event-id"),
            resumes: name("resumes"),
            reserved: Vec::new(),
        }
    }
}

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns whether a header is hop-by-hop and must not be forwarded.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

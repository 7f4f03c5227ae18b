//! The headers of the protocol with callers and endpoints.
//!
//! A deployment whose callers and endpoints use other names gives its own table; formats are the same.

use {
    derive_more::Debug,
    http::{HeaderName, header},
};

/// Header names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one attempt of a caller; endpoints echo it.
    pub attempt_id: HeaderName,
    /// Milliseconds that are left for a request.
    pub deadline_ms: HeaderName,
    /// A caller's key.
    pub team_key: HeaderName,
    /// The name of the team that holds the key, set for the endpoint.
    pub team: HeaderName,
    /// The id of the endpoint that a request is meant for; any other one refuses it.
    pub endpoint_id: HeaderName,
    /// The tokens of a prompt and the most that its answer may have, separated by a comma.
    pub prompt_tokens: HeaderName,
    /// The parts of a prompt in order, as comma-separated `ID:TOKENS` with the id in hexadecimal.
    pub prompt_parts: HeaderName,
    /// The rank of a request at its endpoint, from 0 (first) to 9.
    pub priority: HeaderName,
    /// The address of an endpoint from which the memory of a prompt may be fetched.
    pub fetch_from: HeaderName,
    /// In an answer: the endpoint did not run the request.
    pub not_run: HeaderName,
    /// In an answer: proves that it is an endpoint's.
    pub signature: HeaderName,
    /// In an answer: running requests, waiting requests and slots of the endpoint, separated by commas.
    pub load: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event_id: HeaderName,
    /// Further headers that only the system may set; a caller's are dropped.
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
            last_event_id: name("last-event-id"),
            reserved: Vec::new(),
        }
    }
}

/// Headers that concern one connection only.
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

/// Whether a header is not passed on, as it concerns one connection only.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

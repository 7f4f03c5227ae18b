//! The headers of the protocol with callers and endpoints.
//!
//! A deployment whose callers and endpoints use other names gives its own table; formats are the same.

use {
    derive_more::Debug,
    http::{HeaderName, header},
};

/// Header names.
#[derive(Clone, Debug)]
pub struct Names {
    /// The id of one attempt of a caller; endpoints echo it.
    pub attempt: HeaderName,
    /// Milliseconds that are left for a request.
    pub deadline: HeaderName,
    /// A caller's key.
    pub key: HeaderName,
    /// The name of the team that holds the key, set for the endpoint.
    pub team: HeaderName,
    /// The id of the endpoint that a request is meant for; any other one refuses it.
    pub endpoint: HeaderName,
    /// The tokens of a prompt and the most that its answer may have, separated by a comma.
    pub tokens: HeaderName,
    /// The parts of a prompt in order, as comma-separated `ID:TOKENS` with the id in hexadecimal.
    pub parts: HeaderName,
    /// The rank of a request at its endpoint, from 0 (first) to 9.
    pub priority: HeaderName,
    /// The address of an endpoint from which the memory of a prompt may be fetched.
    pub fetch: HeaderName,
    /// In an answer: the endpoint did not run the request.
    pub refused: HeaderName,
    /// In an answer: proves that it is an endpoint's.
    pub signature: HeaderName,
    /// In an answer: running requests, waiting requests and slots of the endpoint, separated by commas.
    pub load: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event: HeaderName,
    /// Further headers that only the system may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Names {
        let name = HeaderName::from_static;
        Names {
            attempt: name("attempt-id"),
            deadline: name("deadline-ms"),
            key: name("team-key"),
            team: name("team"),
            endpoint: name("endpoint-id"),
            tokens: name("prompt-tokens"),
            parts: name("prompt-parts"),
            priority: name("priority"),
            fetch: name("fetch-from"),
            refused: name("not-run"),
            signature: name("endpoint-signature"),
            load: name("endpoint-load"),
            last_event: name("last-event-id"),
            reserved: Vec::new(),
        }
    }
}

/// Headers that concern one connection only.
const CONNECTION: [HeaderName; 11] = [
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
pub(crate) fn is_hop(name: &HeaderName) -> bool {
    CONNECTION.contains(name)
}

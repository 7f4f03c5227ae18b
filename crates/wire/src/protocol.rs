//! The number of the protocol that a process speaks, exchanged in the heads of streams.
//!
//! A message type never changes its encoding, and a new variant of a message is sent only to a process whose number is
//! at least that of the variant's introduction. Builds up to 0d4d3b9 send no number.

use http::{HeaderMap, HeaderName, HeaderValue};

/// The number of this build. It increases by one whenever a variant is added to a message.
pub const PROTOCOL: u32 = 2;

/// The header of the number, in the request and in the response that open a stream.
static PROTOCOL_HEADER: HeaderName = HeaderName::from_static("jf-protocol");

/// Adds the number to the head of a request or response.
pub(crate) fn write(headers: &mut HeaderMap, protocol: u32) {
    if protocol > 0 {
        headers.insert(PROTOCOL_HEADER.clone(), HeaderValue::from(protocol));
    }
}

/// Returns the number in the head of a request or response; 0 if it is missing or malformed.
pub(crate) fn read(headers: &HeaderMap) -> u32 {
    let value = headers.get(&PROTOCOL_HEADER).and_then(|it| it.to_str().ok());
    value.and_then(|it| it.parse().ok()).unwrap_or(0)
}

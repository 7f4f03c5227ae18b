//! Parses request and response heads and builds the headers to forward.

use {
    crate::header_names::{HeaderNames, is_hop_by_hop},
    derive_more::Debug,
    dispatch::{Assignment, Prompt, PromptPart},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, request, response},
    model::{Name, SECOND, hash64},
    smallvec::SmallVec,
};

/// The parsed head of a client request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) host: String,
    pub(crate) attempt_id: Option<HeaderValue>,
    pub(crate) deadline_ms: Option<u64>,
    #[debug(skip)]
    pub(crate) key: Option<HeaderValue>,
    pub(crate) prompt: Option<Prompt>,
    /// The ids of the parts of a prompt that can't be read as a whole, but for the last.
    pub(crate) unread_parts: Box<[u64]>,
    /// Whether the client resumes a stream after an event.
    pub(crate) is_resumption: bool,
    /// The attempt that brought the first event of the stream that the client resumes.
    pub(crate) resumes: Option<HeaderValue>,
}

impl RequestHead {
    pub(crate) fn read(names: &HeaderNames, parts: &request::Parts) -> RequestHead {
        let headers = &parts.headers;
        let text = |name: &HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
        let host = parts.uri.host().or_else(|| text(&header::HOST)).unwrap_or_default();
        let tokens = text(&names.prompt_tokens).map(parse_token_count);
        // A list may be divided among several lines.
        let lines = || headers.get_all(&names.prompt_parts).iter();
        let parts = || lines().flat_map(|it| it.as_bytes().split(|it| *it == b','));
        let prompt: Option<SmallVec<[PromptPart; 4]>> = parts().map(parse_prompt_part).collect();
        let prompt = prompt.filter(|it| !it.is_empty());
        let unread_parts = match prompt {
            Some(_) => Box::default(),
            None => {
                let named = parts().filter(|it| !it.trim_ascii().is_empty());
                let mut ids: Vec<_> = named.map(part_id).collect();
                ids.pop();
                ids.into()
            }
        };
        RequestHead {
            host: strip_port(host).to_owned(),
            attempt_id: headers.get(&names.attempt_id).cloned(),
            deadline_ms: text(&names.deadline_ms).and_then(|it| it.trim().parse().ok()),
            key: headers.get(&names.team_key).cloned(),
            is_resumption: headers.contains_key(&names.last_event_id),
            resumes: headers.get(&names.resumes).cloned(),
            prompt: prompt.map(|parts| Prompt {
                tokens: tokens.unwrap_or_else(|| parts.iter().map(|it| it.tokens).sum()),
                parts,
            }),
            unread_parts,
        }
    }

    /// Returns the ids of the parts of the prompt that other prompts may share.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = u64> + Clone {
        let parts = self.prompt.iter().flat_map(Prompt::shared).map(|it| it.id);
        parts.chain(self.unread_parts.iter().copied())
    }

    /// Returns the attempt id as text, or `-` if there is none.
    pub(crate) fn id(&self) -> &str {
        self.attempt_id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-")
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Sums the token counts of a prompt and its response.
fn parse_token_count(text: &str) -> u32 {
    let numbers = text.split(',').filter_map(|it| it.trim().parse::<u32>().ok());
    numbers.fold(0, u32::saturating_add)
}

/// Parses a part of a prompt. A single invalid part makes the whole prompt unknown, since its order
/// would be wrong without that part.
fn parse_prompt_part(bytes: &[u8]) -> Option<PromptPart> {
    let (id, tokens) = str::from_utf8(bytes).ok()?.trim().split_once(':')?;
    let is_hex = !id.is_empty() && id.bytes().all(|it| it.is_ascii_hexdigit());
    is_hex.then(|| tokens.parse().ok())?.map(|tokens| PromptPart { id: part_id(bytes), tokens })
}

/// Returns the id of a part of a prompt: its number if that fits, else a hash of its digits.
fn part_id(bytes: &[u8]) -> u64 {
    let id = bytes.split(|it| *it == b':').next().unwrap_or_default().trim_ascii();
    let id = String::from_utf8_lossy(id).to_ascii_lowercase();
    let digits = id.trim_start_matches('0');
    if digits.is_empty() {
        return 0;
    }
    u64::from_str_radix(digits, 16).unwrap_or_else(|_| hash64(digits.as_bytes()))
}

/// Values of the headers that the gateway sets on a forwarded request.
pub(crate) struct ForwardHeaders<'a> {
    pub(crate) pick: &'a Assignment,
    pub(crate) team: Option<&'a Name>,
    pub(crate) left_ms: u64,
    pub(crate) priority: Option<u8>,
    /// The last event that the client received, if a stream is being resumed.
    pub(crate) last_id: Option<u64>,
}

/// Returns the headers to forward to the endpoint.
pub(crate) fn request_headers(
    names: &HeaderNames,
    from: &HeaderMap,
    added: &ForwardHeaders<'_>,
) -> HeaderMap {
    let system_headers = [
        &names.deadline_ms,
        &names.team_key,
        &names.team,
        &names.endpoint_id,
        &names.priority,
        &names.fetch_from,
        &header::HOST,
    ];
    let options = connection_options(from);
    let mut headers = HeaderMap::with_capacity(from.len() + 6);
    if let Some(host) = from.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    for (name, value) in from {
        let dropped = is_hop_by_hop(name)
            || system_headers.contains(&name)
            || names.reserved.contains(name)
            || options.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut set = |name: &HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    };
    set(&names.deadline_ms, &added.left_ms.to_string());
    set(&names.endpoint_id, &added.pick.id);
    if let Some(team) = added.team {
        set(&names.team, team);
    }
    if let Some(priority) = added.priority {
        set(&names.priority, &priority.min(9).to_string());
    }
    if let Some(fetch) = added.pick.fetch_from {
        set(&names.fetch_from, &fetch.to_string());
    }
    if let Some(id) = added.last_id {
        set(&names.last_event_id, &id.to_string());
    }
    headers
}

/// Returns the header names listed in `Connection`, which apply to that connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let names = values.flat_map(|it| it.split(',')).map(|it| it.trim().to_owned());
    names.filter(|it| !it.is_empty() && !it.eq_ignore_ascii_case("close")).collect()
}

/// Returns the headers to forward to the client.
pub(crate) fn response_headers(from: &HeaderMap) -> HeaderMap {
    let options = connection_options(from);
    let forwarded = from.iter().filter(|(name, _)| {
        !is_hop_by_hop(name) && !options.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()))
    });
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// What the head of an endpoint's response proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ResponseProof {
    /// It is the endpoint's response to this request.
    Valid,
    /// The endpoint did not run the request, for lack of capacity or time.
    Full,
    /// The endpoint did not run the request, as it was meant for another endpoint.
    Misdirected,
    /// It cannot be verified as a response to this request.
    Unverified,
}

/// Returns what a response proves about the request with this attempt id.
pub(crate) fn verify_response(
    names: &HeaderNames,
    attempt_id: Option<&HeaderValue>,
    response: &response::Parts,
) -> ResponseProof {
    let headers = &response.headers;
    let echoed = headers.get(&names.attempt_id);
    if echoed.is_some() && echoed != attempt_id {
        return ResponseProof::Unverified;
    }
    let is_misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = headers.contains_key(&names.not_run) && !response.status.is_success();
    match (is_misdirected, is_not_run) {
        // A rejection that names no request may be that of an earlier one.
        (true, _) | (_, true) if echoed != attempt_id => return ResponseProof::Unverified,
        (true, _) => return ResponseProof::Misdirected,
        (false, true) => return ResponseProof::Full,
        (false, false) => {}
    }
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let signed = headers.contains_key(&names.signature);
    let verified = echoed == attempt_id && signed && !encoded;
    if response.status.is_success() && !verified {
        ResponseProof::Unverified
    } else {
        ResponseProof::Valid
    }
}

/// Returns whether a status tells the client that the request did not run and will not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the number of running and waiting requests that an endpoint reports.
pub(crate) fn reported_load(names: &HeaderNames, headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|it| it.trim().parse::<u32>().ok());
    Some(numbers.next()??.saturating_add(numbers.next()??))
}

/// Returns whether an endpoint says that it is leaving.
pub(crate) fn is_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|it| it.as_bytes().trim_ascii() == b"1")
}

/// Returns a number of requests a second that an endpoint states in the header `name`. The error is a
/// value that is not a finite number, or is negative.
pub(crate) fn request_rate(
    name: &HeaderName,
    headers: &HeaderMap,
) -> Result<Option<f64>, HeaderValue> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let rate = value.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
    match rate.filter(|it| it.is_finite() && *it >= 0.0) {
        Some(rate) => Ok(Some(rate)),
        None => Err(value.clone()),
    }
}

/// Returns how much longer an endpoint says that it is cold, in milliseconds. The error is a value that
/// is not a whole number.
pub(crate) fn cold_remaining(
    names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<Option<u32>, HeaderValue> {
    let Some(value) = headers.get(&names.cold) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|it| it.trim().parse::<u64>().ok());
    millis.map_or(Err(value.clone()), |it| Ok(Some(u32::try_from(it).unwrap_or(u32::MAX))))
}

/// The longest retry delay that is believed, in seconds.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;

/// Returns how long an endpoint that rejected a request wants none, in microseconds. The error is a
/// value that is not a number of seconds in the accepted range.
pub(crate) fn retry_after(response: &response::Parts) -> Result<Option<u64>, HeaderValue> {
    if response.status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    let Some(value) = response.headers.get(header::RETRY_AFTER) else { return Ok(None) };
    let seconds = value.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
    match seconds.filter(|it| (0.0..=MAX_RETRY_AFTER_S).contains(it)) {
        Some(seconds) => Ok(Some((seconds * SECOND as f64).ceil() as u64)),
        None => Err(value.clone()),
    }
}

/// Returns whether the end of a body is marked by its length or by chunks. Otherwise it is the end of
/// the connection.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a response is an event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    kind.is_some_and(|it| it.trim_start().starts_with("text/event-stream"))
}

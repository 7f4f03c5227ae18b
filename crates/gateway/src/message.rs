//! Reading the heads of requests and answers, and writing those that go on.

use {
    crate::header_names::{HeaderNames, is_hop},
    derive_more::Debug,
    dispatch::{Assignment, Prompt, PromptPart},
    http::{HeaderMap, HeaderName, HeaderValue, header, request, response},
    model::Name,
    smallvec::SmallVec,
};

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) host: String,
    pub(crate) attempt: Option<HeaderValue>,
    pub(crate) deadline_ms: Option<u64>,
    #[debug(skip)]
    pub(crate) key: Option<HeaderValue>,
    pub(crate) prompt: Option<Prompt>,
}

impl Head {
    pub(crate) fn read(names: &HeaderNames, parts: &request::Parts) -> Head {
        let headers = &parts.headers;
        let text = |name: &HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
        let host = parts.uri.host().or_else(|| text(&header::HOST)).unwrap_or_default();
        let tokens = text(&names.prompt_tokens).map(read_tokens);
        let prompt = text(&names.prompt_parts).and_then(read_parts);
        Head {
            host: without_port(host).to_owned(),
            attempt: headers.get(&names.attempt_id).cloned(),
            deadline_ms: text(&names.deadline_ms).and_then(|it| it.trim().parse().ok()),
            key: headers.get(&names.team_key).cloned(),
            prompt: prompt.map(|parts| Prompt {
                tokens: tokens.unwrap_or_else(|| parts.iter().map(|it| it.tokens).sum()),
                parts,
            }),
        }
    }

    /// The id of the attempt as text.
    pub(crate) fn id(&self) -> &str {
        self.attempt.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-")
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The sum of the tokens that a request may take.
fn read_tokens(text: &str) -> u32 {
    let numbers = text.split(',').filter_map(|it| it.trim().parse::<u32>().ok());
    numbers.fold(0, u32::saturating_add)
}

/// Parts that cannot be read make the whole prompt unknown: its order would be wrong without them.
fn read_parts(text: &str) -> Option<SmallVec<[PromptPart; 4]>> {
    let part = |it: &str| {
        let (id, tokens) = it.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    text.split(',').map(part).collect()
}

/// What the system adds to a request.
pub(crate) struct Sending<'a> {
    pub(crate) pick: &'a Assignment,
    pub(crate) team: Option<&'a Name>,
    pub(crate) left_ms: u64,
    pub(crate) priority: Option<u8>,
    /// The last event that the caller has, if the stream goes on after it.
    pub(crate) after: Option<u64>,
}

/// Returns the headers of a request as its endpoint gets them.
pub(crate) fn request_headers(
    names: &HeaderNames,
    from: &HeaderMap,
    sending: &Sending<'_>,
) -> HeaderMap {
    let own = [
        &names.deadline_ms,
        &names.team_key,
        &names.team,
        &names.endpoint_id,
        &names.priority,
        &names.fetch_from,
        &header::HOST,
    ];
    let listed = listed_in_connection(from);
    let mut headers = HeaderMap::with_capacity(from.len() + 6);
    if let Some(host) = from.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    for (name, value) in from {
        let dropped = is_hop(name)
            || own.contains(&name)
            || names.reserved.contains(name)
            || listed.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut set = |name: &HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    };
    set(&names.deadline_ms, &sending.left_ms.to_string());
    set(&names.endpoint_id, &sending.pick.id);
    if let Some(team) = sending.team {
        set(&names.team, team);
    }
    if let Some(priority) = sending.priority {
        set(&names.priority, &priority.min(9).to_string());
    }
    if let Some(fetch) = sending.pick.fetch_from {
        set(&names.fetch_from, &fetch.to_string());
    }
    if let Some(after) = sending.after {
        set(&names.last_event_id, &after.to_string());
    }
    headers
}

/// The headers that a `Connection` header names as its own.
fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let names = values.flat_map(|it| it.split(',')).map(|it| it.trim().to_owned());
    names.filter(|it| !it.is_empty() && !it.eq_ignore_ascii_case("close")).collect()
}

/// Returns the headers of an answer as the caller gets them.
pub(crate) fn answer_headers(from: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection(from);
    let passed = from.iter().filter(|(name, _)| {
        !is_hop(name) && !listed.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()))
    });
    passed.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// What the head of an endpoint's answer proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Proof {
    /// It is the endpoint's answer to this request.
    Own,
    /// The endpoint did not run the request, for lack of room or time.
    Full,
    /// The endpoint did not run the request, as it is another one.
    Misdirected,
    /// It is not known to be an answer to this request.
    Foreign,
}

/// Reads what an answer proves about the request `attempt`.
pub(crate) fn prove(
    names: &HeaderNames,
    attempt: Option<&HeaderValue>,
    answer: &response::Parts,
) -> Proof {
    let headers = &answer.headers;
    let echoed = headers.get(&names.attempt_id);
    if echoed.is_some() && echoed != attempt {
        return Proof::Foreign;
    }
    if headers.contains_key(&names.not_run) && !answer.status.is_success() {
        let misdirected = answer.status == http::StatusCode::MISDIRECTED_REQUEST;
        return if misdirected { Proof::Misdirected } else { Proof::Full };
    }
    if answer.status == http::StatusCode::MISDIRECTED_REQUEST {
        return Proof::Misdirected;
    }
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let signed = headers.contains_key(&names.signature);
    let whole = echoed == attempt && signed && !encoded;
    if answer.status.is_success() && !whole { Proof::Foreign } else { Proof::Own }
}

/// The running and waiting requests that an endpoint tells of itself.
pub(crate) fn told_load(names: &HeaderNames, headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|it| it.trim().parse::<u32>().ok());
    Some(numbers.next()??.saturating_add(numbers.next()??))
}

/// Whether an answer is a stream of events.
pub(crate) fn is_events(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    kind.is_some_and(|it| it.trim_start().starts_with("text/event-stream"))
}

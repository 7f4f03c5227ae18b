//! Parsing of a caller's request: the team, the target service, and the key by which the request is placed.

use {
    crate::view::ClusterView,
    bytes::Bytes,
    http::{HeaderMap, Method, request::Parts},
    model::{
        ChatKey, Digest, Image, Name, Reason, RequestId, ServiceId, ServiceKind, Team, Time, Work,
        chat_key, hash64, mix2,
    },
    serde::Deserialize,
    serde_json::value::RawValue,
    std::{borrow::Cow, sync::Arc},
    wire::msg::Header,
};

/// Path of model calls.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of calls to plain services: `/s/{service}/{path}`.
const PLAIN_PREFIX: &str = "/s/";

/// Request header with the caller's name for its chat.
const CHAT_HEADER: &str = "jasminefront-chat";

/// Request header with the idempotency key of a call that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Estimated bytes of prompt per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Estimated length of an answer, in tokens, if the caller sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Maximum number of tokens that a caller may request.
const MAX_ANSWER_TOKENS: u64 = 1 << 20;

/// Request headers that are forwarded from the caller to the endpoint.
const FORWARDED_HEADERS: [&str; 4] =
    ["content-type", "accept", "accept-encoding", IDEMPOTENCY_KEY_HEADER];

/// A validated request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) team: Arc<Team>,
    pub(crate) service: ServiceId,
    pub(crate) image: Option<Image>,
    pub(crate) chat: ChatKey,
    pub(crate) cost: Work,
    pub(crate) prompt_tokens: u32,
    pub(crate) idempotent: bool,
    /// The key under which the ledger records the call; `None` for idempotent calls and calls without a key.
    pub(crate) idempotency_key: Option<Name>,
    pub(crate) fingerprint: Digest,
    pub(crate) deadline: Time,
    pub(crate) method: Name,
    pub(crate) path: Name,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

/// The destination of a call, derived from its path and body.
struct Target {
    service: ServiceId,
    image: Option<Image>,
    path: Name,
    chat: ChatKey,
    cost: Work,
    prompt_tokens: u32,
    idempotent: bool,
}

impl Call {
    /// Parses a request from `team`.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal and a short message for the caller.
    pub(crate) fn new(
        view: &ClusterView,
        team: Arc<Team>,
        parts: &Parts,
        body: Bytes,
        request: RequestId,
        deadline: Time,
    ) -> Result<Call, (Reason, &'static str)> {
        let idempotency_key = idempotency_key(&parts.headers)?;
        let target = if parts.uri.path() == CHAT_PATH {
            chat_target(view, &team, parts, &body)?
        } else {
            plain_target(view, &team, parts, idempotency_key.as_ref(), request)?
        };
        if !team.services.is_empty() && !team.services.contains(&target.service) {
            return Err((Reason::NotFound, "no such service for this team"));
        }
        let fingerprint = fingerprint(&parts.method, &team, &target, &body);
        let Target { service, image, path, chat, cost, prompt_tokens, idempotent } = target;
        let idempotency_key = idempotency_key.filter(|_| !idempotent);
        let (method, headers) = (parts.method.as_str().into(), forwarded_headers(&parts.headers));
        Ok(Call {
            request,
            team,
            service,
            image,
            chat,
            cost,
            prompt_tokens,
            idempotent,
            idempotency_key,
            fingerprint,
            deadline,
            method,
            path,
            headers,
            body,
        })
    }
}

fn chat_target(
    view: &ClusterView,
    team: &Team,
    parts: &Parts,
    body: &Bytes,
) -> Result<Target, (Reason, &'static str)> {
    if parts.method != Method::POST {
        return Err((Reason::BadRequest, "chat completions require POST"));
    }
    let parsed: ChatBody<'_> = serde_json::from_slice(body)
        .map_err(|_| (Reason::BadRequest, "body must contain model and messages"))?;
    let (service, image) =
        view.model_image(&parsed.model).ok_or((Reason::NotFound, "no such model"))?.clone();
    let tokens =
        parsed.max_completion_tokens.or(parsed.max_tokens).unwrap_or(DEFAULT_ANSWER_TOKENS);
    if tokens > MAX_ANSWER_TOKENS {
        return Err((Reason::BadRequest, "max_tokens is too large"));
    }
    let chat = match parts.headers.get(CHAT_HEADER).and_then(|it| it.to_str().ok()) {
        Some(chat) => chat_key(team.id, chat),
        None => implicit_chat_key(team, &parsed),
    };
    let prompt_tokens = body.len() as u64 / BYTES_PER_TOKEN;
    let cost = Work(prompt_tokens + tokens);
    let (path, prompt_tokens) = (CHAT_PATH.into(), prompt_tokens as u32);
    Ok(Target { service, image: Some(image), path, chat, cost, prompt_tokens, idempotent: true })
}

/// Derives the key of a chat without a name from its first two messages, which do not change as the chat grows.
fn implicit_chat_key(team: &Team, body: &ChatBody<'_>) -> ChatKey {
    let hash =
        body.messages.iter().take(2).fold(0, |hash, it| mix2(hash, hash64(it.get().as_bytes())));
    ChatKey(mix2(u64::from(team.id.0), hash))
}

fn plain_target(
    view: &ClusterView,
    team: &Team,
    parts: &Parts,
    idempotency_key: Option<&Name>,
    request: RequestId,
) -> Result<Target, (Reason, &'static str)> {
    let rest =
        parts.uri.path().strip_prefix(PLAIN_PREFIX).ok_or((Reason::NotFound, "no such path"))?;
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let service = view.plain_service(name).ok_or((Reason::NotFound, "no such service"))?;
    debug_assert_eq!(service.kind, ServiceKind::Plain);
    let query = parts.uri.query().map(|it| format!("?{it}")).unwrap_or_default();
    let chat = match idempotency_key {
        Some(idempotency_key) => chat_key(team.id, idempotency_key),
        None => ChatKey(mix2(request.0 as u64, (request.0 >> 64) as u64)),
    };
    let idempotent = matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let path = format!("/{tail}{query}").into();
    Ok(Target {
        service: service.id,
        image: None,
        path,
        chat,
        cost: Work(1),
        prompt_tokens: 0,
        idempotent,
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, (Reason, &'static str)> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| (Reason::BadRequest, "idempotency key is not text"))?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err((Reason::BadRequest, "idempotency key is empty or too long"));
    }
    Ok(Some(text.into()))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let present = FORWARDED_HEADERS.iter().filter_map(|name| Some((*name, headers.get(*name)?)));
    present
        .map(|(name, value)| Header {
            name: name.into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Identifies requests that would crash engines in the same way: those with the same team, target and body.
fn fingerprint(method: &Method, team: &Team, target: &Target, body: &Bytes) -> Digest {
    let Target { service, image, path, .. } = target;
    let scope = format!("{method} {}/{service}/{image:?}/{path}", team.id);
    Digest::of(scope.as_bytes()).chain(body)
}

//! Requests that another gateway passes on to an endpoint which this one does not reach.
//!
//! The gateway that has the request decides everything: the endpoint, retries, the deadline. The
//! other one connects, passes on a single request and its response, and heeds what the endpoint asks
//! of it. It uses only its own connections, so no request takes a second detour.

use {
    crate::{
        evacuations,
        headers::verify_response,
        notices,
        paths::{self, Connection},
        shared::Shared,
        upstream::{ResponseBody, SendError, check_status},
    },
    ::path::{Destination, Member, PeerFailure},
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    dispatch::Assignment,
    edge::Payload,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, response},
    model::{Domain, Name},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
    wire::{
        Dialer, Peer, RecvHalf, SendHalf, Stream, TrafficClass, WireError,
        msg::{DETOUR_PATH, DetourRefusal, DetourReply, DetourRequest, Header},
    },
};

/// How many gateways are asked for a path to an endpoint.
const MAX_PEERS: usize = 3;

/// How long another gateway may take to accept a stream.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long another gateway may take to connect to an endpoint. It exceeds the timeout of that
/// connection by a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The share of the connections that this gateway may have up to which it connects to endpoints for
/// others, in percent. The rest is for its own clients.
const MAX_FILL_PERCENT: usize = 50;

/// Why there is no connection by way of another gateway.
#[derive(Debug, Display, Error)]
pub(crate) enum OpenError {
    /// No other gateway has tried to connect.
    #[display("no other gateway has a path to the endpoint")]
    NoPeer,
    /// Another gateway failed to connect.
    #[display("{peer}: {reason}")]
    Failed {
        /// The other gateway.
        peer: SocketAddr,
        /// Whether the endpoint's host refused the connection.
        is_refused: bool,
        /// The cause.
        reason: String,
    },
}

/// Why a single gateway did not connect to an endpoint.
enum AskError {
    Refused(DetourRefusal),
    Silent(String),
    Failed { is_refused: bool, reason: String },
}

/// A connection to an endpoint by way of another gateway, over which nothing has been sent.
pub(crate) struct Detour {
    pub(crate) peer: SocketAddr,
    shared: Arc<Shared>,
    send: SendHalf,
    recv: RecvHalf,
}

/// The rest of a response that arrives by way of another gateway. The request is cancelled when it is
/// dropped.
pub(crate) struct DetourBody {
    shared: Arc<Shared>,
    peer: SocketAddr,
    send: SendHalf,
    recv: RecvHalf,
    /// Whether the connection to the other gateway failed.
    pub(crate) is_path_broken: bool,
}

/// Connects to the endpoint of an assignment by way of another gateway, for a request that may be
/// handled in `regions`, or in all of them.
pub(crate) async fn open(
    shared: &Arc<Shared>,
    pick: &Assignment,
    regions: Option<&[Name]>,
) -> Result<Detour, OpenError> {
    for failed in 0..MAX_PEERS {
        let destination = Destination { domain: &pick.domain, regions, failed };
        let Some((peer, domain)) = choose_peer(shared, destination) else { break };
        match ask(shared, peer, pick.incarnation).await {
            Ok((send, recv)) => {
                let member = Member { addr: peer, domain: &domain };
                shared.paths.lock().record_carried(shared.now(), member);
                if shared.sampler.admit(shared.now()) {
                    tracing::info!(
                        event = "detour",
                        endpoint = %pick.id,
                        %peer,
                        domain = %domain,
                        ?regions,
                        "gateway: connected to endpoint by way of another gateway"
                    );
                }
                return Ok(Detour { peer, shared: shared.clone(), send, recv });
            }
            Err(AskError::Failed { is_refused, reason }) => {
                return Err(OpenError::Failed { peer, is_refused, reason });
            }
            // Another gateway may be on better terms with the endpoint.
            Err(AskError::Refused(DetourRefusal::Closed | DetourRefusal::Unknown)) => {}
            Err(AskError::Refused(refusal)) => {
                avoid(shared, peer, PeerFailure::Declined, &refusal.to_string());
            }
            Err(AskError::Silent(reason)) => avoid(shared, peer, PeerFailure::Silent, &reason),
        }
    }
    Err(OpenError::NoPeer)
}

/// Returns whether an endpoint refuses the connections of another gateway, or `None` if no other
/// gateway has a path to it.
pub(crate) async fn is_refused(shared: &Arc<Shared>, pick: &Assignment) -> Option<bool> {
    // No request is sent.
    match open(shared, pick, None).await {
        Ok(_) => Some(false),
        Err(OpenError::Failed { is_refused, .. }) => Some(is_refused),
        Err(OpenError::NoPeer) => None,
    }
}

/// Records that another gateway did not answer a request that it passes on.
pub(crate) fn record_silence(shared: &Shared, peer: SocketAddr) {
    avoid(shared, peer, PeerFailure::Silent, "no response to a request");
}

fn avoid(shared: &Shared, peer: SocketAddr, failure: PeerFailure, reason: &str) {
    let membership = shared.membership.lock();
    let Some((addr, domain)) = membership.routers.iter().find(|it| it.0 == peer) else { return };
    let member = Member { addr: *addr, domain };
    if shared.paths.lock().record_peer_failure(shared.now(), member, failure) {
        tracing::info!(
            event = "detour-refused",
            %peer,
            %failure,
            reason,
            "gateway: another gateway is not asked for a path for some time"
        );
    }
}

fn choose_peer(shared: &Shared, destination: Destination<'_>) -> Option<(SocketAddr, Domain)> {
    let membership = shared.membership.lock();
    let others = membership.routers.iter().filter(|it| it.0 != shared.settings.inner);
    let members = others.clone().map(|it| Member { addr: it.0, domain: &it.1 });
    let mut paths = shared.paths.lock();
    let addr = paths.choose_peer(shared.now(), members, destination, rand::random())?;
    others.into_iter().find(|it| it.0 == addr).cloned()
}

async fn ask(
    shared: &Shared,
    addr: SocketAddr,
    incarnation: u64,
) -> Result<(SendHalf, RecvHalf), AskError> {
    let peer = shared.peers.lock().entry(addr).or_insert_with(|| new_peer(shared, addr)).clone();
    let silent = |it: &WireError| AskError::Silent(it.to_string());
    let opened = timeout(ACCEPT_TIMEOUT, async {
        let mut stream = peer.open(DETOUR_PATH).await?;
        stream.send.send(&DetourRequest::Open { incarnation }).await?;
        Ok::<_, WireError>(stream)
    });
    let stream = match opened.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(silent(&err)),
        Err(_) => {
            peer.retire().await;
            return Err(AskError::Silent("stream was not accepted".to_owned()));
        }
    };
    let (send, mut recv) = stream.split();
    match timeout(CONNECT_TIMEOUT, recv.recv::<DetourReply>()).await {
        Ok(Ok(Some(DetourReply::Connected))) => Ok((send, recv)),
        Ok(Ok(Some(DetourReply::Refused(refusal)))) => Err(AskError::Refused(refusal)),
        Ok(Ok(Some(DetourReply::NotSent { is_refused, reason }))) => {
            Err(AskError::Failed { is_refused, reason })
        }
        Ok(Ok(_)) => Err(AskError::Silent("unexpected reply".to_owned())),
        Ok(Err(err)) => Err(silent(&err)),
        Err(_) => {
            peer.retire().await;
            Err(AskError::Silent("no reply".to_owned()))
        }
    }
}

fn new_peer(shared: &Shared, addr: SocketAddr) -> Peer {
    Peer::new(addr, Dialer { class: TrafficClass::Forward, ..shared.dialer.clone() })
}

impl Detour {
    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        mut self,
        request: Request<Payload>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.join() else {
            return Err(SendError::Withheld { reason: NO_MEMORY.to_owned() });
        };
        // The message is a copy of the body.
        let Some(_copy) = self.shared.upload_memory.reserve(body.len()) else {
            return Err(SendError::Withheld { reason: NO_MEMORY.to_owned() });
        };
        let message = DetourRequest::Send {
            method: parts.method.as_str().into(),
            path: parts.uri.to_string().into(),
            headers: encode_headers(&parts.headers),
            body,
        };
        let reply = match self.send.send(&message).await {
            Ok(()) => self.recv.recv::<DetourReply>().await,
            Err(err) => Err(err),
        };
        match reply {
            Ok(Some(DetourReply::Head { status, headers })) => {
                let status = check_status(status)?;
                let Detour { peer, shared, send, recv } = self;
                let body = DetourBody { shared, peer, send, recv, is_path_broken: false };
                let mut response = Response::new(ResponseBody::Detour(body));
                *response.status_mut() = status;
                *response.headers_mut() = decode_headers(headers);
                Ok(response)
            }
            Ok(Some(DetourReply::NotSent { reason, .. })) => Err(SendError::NotSent { reason }),
            Ok(Some(DetourReply::Broken { reason })) => Err(SendError::Broken { reason }),
            Ok(reply) => Err(self.broken(format!("unexpected end or reply: {reply:?}"))),
            Err(err) => Err(self.broken(err.to_string())),
        }
    }

    fn broken(&self, reason: String) -> SendError {
        avoid(&self.shared, self.peer, PeerFailure::Silent, &reason);
        SendError::PathBroken { reason }
    }
}

impl DetourBody {
    /// Returns the next part, or `None` at the end of the body. The error says why there is no more.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        let reason = match self.recv.recv::<DetourReply>().await {
            Ok(Some(DetourReply::Data(data))) => return Some(Ok(data)),
            Ok(Some(DetourReply::End)) => {
                self.send.finish();
                return None;
            }
            Ok(Some(DetourReply::Broken { reason })) => return Some(Err(reason)),
            Ok(reply) => format!("unexpected end or reply: {reply:?}"),
            Err(err) => err.to_string(),
        };
        self.is_path_broken = true;
        avoid(&self.shared, self.peer, PeerFailure::Silent, &reason);
        Some(Err(reason))
    }
}

/// Counts a connection for another gateway among those of clients until dropped.
struct ConnectionGuard<'a>(&'a Shared);

impl ConnectionGuard<'_> {
    fn new(shared: &Shared) -> ConnectionGuard<'_> {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(shared)
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why a request is not passed on whose body other bodies leave no memory for.
const NO_MEMORY: &str = "too little memory for the request body";

/// Serves another gateway that has no path to an endpoint.
pub(crate) async fn serve(shared: Arc<Shared>, peer: SocketAddr, stream: Stream) {
    if let Err(err) = serve_stream(&shared, stream).await {
        tracing::debug!("gateway: detour for {peer} ended: {err}");
    }
}

async fn serve_stream(shared: &Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let opened = timeout(ACCEPT_TIMEOUT, recv.recv::<DetourRequest>()).await;
    let Ok(Ok(Some(DetourRequest::Open { incarnation }))) = opened else { return Ok(()) };
    let (service, pick) = match admit(shared, incarnation) {
        Ok(it) => it,
        Err(refusal) => {
            send.send(&DetourReply::Refused(refusal)).await?;
            send.finish();
            return Ok(());
        }
    };
    let _guard = ConnectionGuard::new(shared);
    let connection = match paths::connect_directly(shared, &service, &pick).await {
        Ok(it) => it,
        Err(err) => {
            let reply =
                DetourReply::NotSent { is_refused: err.is_refused, reason: err.to_string() };
            send.send(&reply).await?;
            send.finish();
            return Ok(());
        }
    };
    send.send(&DetourReply::Connected).await?;
    let Some(DetourRequest::Send { method, path, headers, body }) = recv.recv().await? else {
        return Ok(());
    };
    if evacuations::is_evacuated(shared, &pick.domain) {
        let reason = "failure domain is evacuated".to_owned();
        return finish(&mut send, &DetourReply::NotSent { is_refused: false, reason }).await;
    }
    let Some(_held) = shared.upload_memory.reserve(body.len()) else {
        let reason = NO_MEMORY.to_owned();
        return finish(&mut send, &DetourReply::NotSent { is_refused: false, reason }).await;
    };
    let request = decode_request(&method, &path, headers, body);
    tokio::select! {
        done = pass_on(shared, &pick, connection, request, &mut send) => done,
        // The other gateway sends nothing more, so it has cancelled the request.
        _ = recv.recv::<DetourRequest>() => Ok(()),
    }
}

/// Returns the endpoint that another gateway asks for, if this one may connect to it.
fn admit(shared: &Shared, incarnation: u64) -> Result<(Name, Assignment), DetourRefusal> {
    if shared.shutdown_at().is_some() {
        return Err(DetourRefusal::Stopping);
    }
    let max_connections = shared.settings.connections * MAX_FILL_PERCENT / 100;
    if shared.connections.load(Ordering::Relaxed) >= max_connections {
        return Err(DetourRefusal::Full);
    }
    let now = shared.now();
    let dispatcher = shared.dispatcher.lock();
    let (service, pick) = dispatcher.find(now, incarnation).ok_or(DetourRefusal::Unknown)?;
    if !dispatcher.accepts(now, &service, pick.handle) {
        return Err(DetourRefusal::Closed);
    }
    drop(dispatcher);
    // The asking gateway may not have heard of the evacuation.
    if evacuations::is_evacuated(shared, &pick.domain) {
        return Err(DetourRefusal::Closed);
    }
    if shared.paths.lock().is_lost(&service) {
        return Err(DetourRefusal::Unreachable);
    }
    Ok((service, pick))
}

async fn pass_on(
    shared: &Shared,
    pick: &Assignment,
    connection: Connection,
    request: Option<Request<Payload>>,
    send: &mut SendHalf,
) -> Result<(), WireError> {
    let Some(request) = request else {
        let reason = "malformed request".to_owned();
        return finish(send, &DetourReply::NotSent { is_refused: false, reason }).await;
    };
    let attempt_id = request.headers().get(&shared.names.attempt_id).cloned();
    let response = match connection.send(request).await {
        Ok(it) => it,
        Err(err) => {
            let reason = err.to_string();
            let reply = match err {
                SendError::NotSent { .. } | SendError::Withheld { .. } => {
                    DetourReply::NotSent { is_refused: false, reason }
                }
                SendError::Broken { .. } | SendError::PathBroken { .. } => {
                    DetourReply::Broken { reason }
                }
            };
            return finish(send, &reply).await;
        }
    };
    let (parts, mut body) = response.into_parts();
    record_notices(shared, pick, attempt_id.as_ref(), &parts);
    let head = DetourReply::Head {
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
    };
    send.send(&head).await?;
    while let Some(part) = body.next().await {
        match part {
            Ok(data) => send.send(&DetourReply::Data(data)).await?,
            Err(reason) => return finish(send, &DetourReply::Broken { reason }).await,
        }
    }
    finish(send, &DetourReply::End).await
}

async fn finish(send: &mut SendHalf, reply: &DetourReply) -> Result<(), WireError> {
    send.send(reply).await?;
    send.finish();
    Ok(())
}

/// Heeds what an endpoint asked of this gateway in a response to another one's request.
fn record_notices(
    shared: &Shared,
    pick: &Assignment,
    attempt_id: Option<&HeaderValue>,
    parts: &response::Parts,
) {
    let proof = verify_response(&shared.names, attempt_id, parts);
    notices::record(shared, pick, proof, parts);
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(encode).collect()
}

fn decode_headers(headers: Vec<Header>) -> HeaderMap {
    let decode = |it: Header| {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_maybe_shared(it.value).ok()?))
    };
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.into_iter().filter_map(decode) {
        decoded.append(name, value);
    }
    decoded
}

fn decode_request(
    method: &str,
    path: &str,
    headers: Vec<Header>,
    body: Bytes,
) -> Option<Request<Payload>> {
    let mut request = Request::new(Payload::from(body));
    *request.method_mut() = Method::from_bytes(method.as_bytes()).ok()?;
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    *request.headers_mut() = decode_headers(headers);
    Some(request)
}

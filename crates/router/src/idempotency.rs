//! Calls with an idempotency key, which run at most once: each is claimed in the ledger before it is sent, and its
//! response is recorded there afterwards.

use {
    crate::{
        call::Call,
        driver::{self, BodyPart, ResponseHead},
        shared::Shared,
    },
    bytes::Bytes,
    edge::Reservation,
    ledger::{
        AnswerBody, AnswerHeader, ClaimKey, ClaimStep, LedgerCall, LedgerReply, RecordedAnswer,
    },
    model::{EndpointId, Outcome, Reason, Refusal, RequestId, RouterId},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
    wire::{
        WireError,
        msg::{Header, LEDGER_PATH},
    },
};

/// Time that one control replica has to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum number of tries over all control replicas.
const MAX_TRIES: usize = 6;

/// Retry delay suggested to callers if the ledger has no quorum, in milliseconds.
const QUORUM_RETRY_MS: u32 = 1_000;

/// Retry delay suggested to callers if a call with the same key is in progress, in milliseconds.
const IN_PROGRESS_RETRY_MS: u32 = 500;

/// Maximum size of a response body that is collected for recording, in bytes. A longer response is aborted, and its
/// outcome is unknown.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Runs a call under its idempotency key, or replays the recorded response from the ledger.
///
/// # Errors
///
/// Returns the refusal if the claim is not granted or the call fails.
pub(crate) async fn start(shared: &Arc<Shared>, call: Arc<Call>) -> Result<ResponseHead, Refusal> {
    let Some(claim) = Claim::new(shared, &call) else {
        return Err(Refusal::not_run(Reason::NoQuorum, QUORUM_RETRY_MS));
    };
    match claim.step(ClaimStep::Claim { request: call.fingerprint }).await {
        LedgerReply::Granted => {}
        LedgerReply::Recorded(answer) => return replay(&answer).await,
        LedgerReply::NoQuorum => {
            // The claim may still be committed. Release it so that it does not block the key when the caller retries.
            tokio::spawn(async move { claim.settle(ClaimStep::Release).await });
            return Err(refusal_for(&LedgerReply::NoQuorum));
        }
        reply => return Err(refusal_for(&reply)),
    }
    // The claim must be settled even if the caller disconnects, so the call runs in a task of its own.
    let (shared, claim) = (shared.clone(), claim);
    let run = tokio::spawn(async move { run(&shared, call, claim).await });
    run.await.unwrap_or(Err(unknown_outcome()))
}

async fn run(shared: &Arc<Shared>, call: Arc<Call>, claim: Claim) -> Result<ResponseHead, Refusal> {
    let result = match driver::start(shared, call).await {
        Ok(head) => collect(head, Reservation::new(&shared.response_memory)).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok((response, endpoint)) => {
            claim.settle(ClaimStep::Done { answer: response.to_record() }).await;
            Ok(response.into_head(endpoint).await)
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            claim.settle(ClaimStep::Release).await;
            Err(refusal)
        }
        Err(refusal) => {
            claim.settle(ClaimStep::Unknown).await;
            Err(refusal)
        }
    }
}

fn unknown_outcome() -> Refusal {
    Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 0 }
}

/// Converts a reply other than a grant to a refusal.
fn refusal_for(reply: &LedgerReply) -> Refusal {
    match reply {
        LedgerReply::InProgress => Refusal {
            outcome: Outcome::Unknown,
            reason: Reason::InProgress,
            retry_ms: IN_PROGRESS_RETRY_MS,
        },
        LedgerReply::Unknown => unknown_outcome(),
        LedgerReply::Mismatch | LedgerReply::TooLarge => Refusal::not_run(Reason::BadRequest, 0),
        LedgerReply::NoService => Refusal::not_run(Reason::NotFound, 0),
        _ => Refusal::not_run(Reason::NoQuorum, QUORUM_RETRY_MS),
    }
}

/// A complete response.
struct CompleteResponse {
    status: u16,
    headers: Vec<Header>,
    body: Bytes,
}

impl CompleteResponse {
    fn to_record(&self) -> Arc<RecordedAnswer> {
        let headers = self
            .headers
            .iter()
            .map(|it| AnswerHeader { name: it.name.clone(), value: it.value.clone() });
        Arc::new(RecordedAnswer::new(self.status, headers, self.body.clone()))
    }

    async fn into_head(self, endpoint: EndpointId) -> ResponseHead {
        let (sender, body) = mpsc::channel(2);
        let _ = sender.send(BodyPart::Bytes(self.body)).await;
        let _ = sender.send(BodyPart::End).await;
        ResponseHead { status: self.status, headers: self.headers, endpoint, body }
    }
}

/// Collects a complete response.
async fn collect(
    mut head: ResponseHead,
    mut reservation: Reservation,
) -> Result<(CompleteResponse, EndpointId), Refusal> {
    let mut body = Vec::new();
    loop {
        match head.body.recv().await {
            Some(BodyPart::Bytes(bytes)) => {
                let len = body.len() + bytes.len();
                if len > body.capacity() {
                    let capacity = len.max(2 * body.capacity()).min(MAX_ANSWER_BYTES);
                    if len > MAX_ANSWER_BYTES || !reservation.resize(capacity) {
                        return Err(unknown_outcome());
                    }
                    body.reserve_exact(capacity - body.len());
                }
                body.extend_from_slice(&bytes);
            }
            None => return Err(unknown_outcome()),
            Some(BodyPart::Abort(refusal)) => return Err(refusal),
            Some(BodyPart::End) => break,
        }
    }
    let body = reservation.hold(body);
    Ok((CompleteResponse { status: head.status, headers: head.headers, body }, head.endpoint))
}

/// Replays a recorded response. If its body was too long to record, the refusal tells that the call ran.
async fn replay(answer: &RecordedAnswer) -> Result<ResponseHead, Refusal> {
    let AnswerBody::Whole(body) = &answer.body else {
        return Err(Refusal { outcome: Outcome::Ran, reason: Reason::InProgress, retry_ms: 0 });
    };
    let headers =
        answer.headers.iter().map(|it| Header { name: it.name.clone(), value: it.value.clone() });
    let response =
        CompleteResponse { status: answer.status, headers: headers.collect(), body: body.clone() };
    Ok(response.into_head(EndpointId(0)).await)
}

/// A claim on an idempotency key by one request.
struct Claim {
    shared: Arc<Shared>,
    key: ClaimKey,
    router: RouterId,
    id: RequestId,
}

impl Claim {
    fn new(shared: &Arc<Shared>, call: &Call) -> Option<Claim> {
        let key =
            ClaimKey::new(call.team.id, call.service, call.idempotency_key.as_ref()?.as_bytes());
        Some(Claim { shared: shared.clone(), key, router: shared.own_id()?, id: call.request })
    }

    /// Records the result of the claim. If no replica accepts it, the ledger eventually marks the claim as unknown.
    async fn settle(&self, step: ClaimStep) {
        let reply = self.step(step).await;
        if reply != LedgerReply::Noted {
            tracing::warn!("router: cannot settle claim {}: {reply:?}", Shared::short_id(self.id));
        }
    }

    /// Sends a step to the leader of the control replicas and retries until a replica replies as leader. Steps are
    /// idempotent under the same request ID.
    async fn step(&self, step: ClaimStep) -> LedgerReply {
        let call = LedgerCall { key: self.key, router: self.router, id: self.id, step };
        let replicas = &self.shared.settings.control;
        let mut next = self.shared.leader().unwrap_or(replicas[0]);
        for attempt in 0..MAX_TRIES {
            match self.call_replica(next, &call).await {
                Ok(Some(LedgerReply::NotLeader { leader })) => {
                    next = leader.unwrap_or(replicas[attempt % replicas.len()])
                }
                Ok(Some(LedgerReply::NoQuorum | LedgerReply::NotLive)) | Ok(None) | Err(_) => {
                    next = replicas[attempt % replicas.len()]
                }
                Ok(Some(reply)) => {
                    self.shared.set_leader(next);
                    return reply;
                }
            }
            tokio::time::sleep(Duration::from_millis(50 << attempt)).await;
        }
        LedgerReply::NoQuorum
    }

    async fn call_replica(
        &self,
        replica: SocketAddr,
        call: &LedgerCall,
    ) -> Result<Option<LedgerReply>, WireError> {
        let peer = self.shared.control_peer(replica);
        let exchange = async {
            let mut stream = peer.open(LEDGER_PATH).await?;
            stream.send.send(call).await?;
            stream.recv.recv::<LedgerReply>().await
        };
        timeout(REPLY_TIMEOUT, exchange).await.unwrap_or(Ok(None))
    }
}

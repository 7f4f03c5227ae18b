//! Calls that must run at most once: claimed in the ledger before they are sent, recorded after.

use {
    crate::{
        call::Call,
        drive::{self, Head, Part},
        shared::Shared,
    },
    bytes::{Bytes, BytesMut},
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

/// How long one replica may take to reply.
const REPLY_LIMIT: Duration = Duration::from_millis(3_000);

/// How often the replicas are tried in all.
const TRIES: usize = 6;

/// When a call may come back that found no quorum, in milliseconds.
const QUORUM_RETRY_MS: u32 = 1_000;

/// When a call may come back whose key is in progress, in milliseconds.
const PROGRESS_RETRY_MS: u32 = 500;

/// The longest answer that is gathered before it is recorded, in bytes; a longer one is broken off.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Runs a call under its key, or answers it from the ledger.
pub(crate) async fn start(shared: &Arc<Shared>, call: Arc<Call>) -> Result<Head, Refusal> {
    let Some(claim) = Claim::new(shared, &call) else {
        return Err(Refusal::not_run(Reason::NoQuorum, QUORUM_RETRY_MS));
    };
    match claim.step(ClaimStep::Claim { request: call.fingerprint }).await {
        LedgerReply::Granted => {}
        LedgerReply::Recorded(answer) => return recorded(&answer).await,
        LedgerReply::NoQuorum => {
            // The claim may yet be committed; it must not keep the key from the caller's resend.
            tokio::spawn(async move { claim.settle(ClaimStep::Release).await });
            return Err(refusal(&LedgerReply::NoQuorum));
        }
        reply => return Err(refusal(&reply)),
    }
    // The caller may go away; the claim is seen through to its end all the same.
    let (shared, task) = (shared.clone(), claim);
    let run = tokio::spawn(async move { run(&shared, call, task).await });
    run.await.unwrap_or(Err(unknown()))
}

async fn run(shared: &Arc<Shared>, call: Arc<Call>, claim: Claim) -> Result<Head, Refusal> {
    let gathered = match drive::start(shared, call).await {
        Ok(head) => gather(head).await,
        Err(refusal) => Err(refusal),
    };
    match gathered {
        Ok((answer, endpoint)) => {
            claim.settle(ClaimStep::Done { answer: answer.recorded() }).await;
            Ok(answer.head(endpoint).await)
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

fn unknown() -> Refusal {
    Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 0 }
}

/// What a reply other than a grant means to the caller.
fn refusal(reply: &LedgerReply) -> Refusal {
    match reply {
        LedgerReply::InProgress => Refusal {
            outcome: Outcome::Unknown,
            reason: Reason::InProgress,
            retry_ms: PROGRESS_RETRY_MS,
        },
        LedgerReply::Unknown => unknown(),
        LedgerReply::Mismatch | LedgerReply::TooLarge => Refusal::not_run(Reason::BadRequest, 0),
        LedgerReply::NoService => Refusal::not_run(Reason::NotFound, 0),
        _ => Refusal::not_run(Reason::NoQuorum, QUORUM_RETRY_MS),
    }
}

/// A whole answer.
struct Answer {
    status: u16,
    headers: Vec<Header>,
    body: Bytes,
}

impl Answer {
    fn recorded(&self) -> Arc<RecordedAnswer> {
        let headers = self
            .headers
            .iter()
            .map(|it| AnswerHeader { name: it.name.clone(), value: it.value.clone() });
        Arc::new(RecordedAnswer::new(self.status, headers, self.body.clone()))
    }

    async fn head(self, endpoint: EndpointId) -> Head {
        let (sender, body) = mpsc::channel(2);
        let _ = sender.send(Part::Bytes(self.body)).await;
        let _ = sender.send(Part::End).await;
        Head { status: self.status, headers: self.headers, endpoint, body }
    }
}

/// Gathers an answer whole.
async fn gather(mut head: Head) -> Result<(Answer, EndpointId), Refusal> {
    let mut body = BytesMut::new();
    loop {
        match head.body.recv().await {
            Some(Part::Bytes(bytes)) if body.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&bytes)
            }
            Some(Part::Bytes(_)) | None => return Err(unknown()),
            Some(Part::Abort(refusal)) => return Err(refusal),
            Some(Part::End) => break,
        }
    }
    let answer = Answer { status: head.status, headers: head.headers, body: body.freeze() };
    Ok((answer, head.endpoint))
}

/// The answer as it was recorded; one whose body was too long to keep says that the call ran.
async fn recorded(answer: &RecordedAnswer) -> Result<Head, Refusal> {
    let AnswerBody::Whole(body) = &answer.body else {
        return Err(Refusal { outcome: Outcome::Ran, reason: Reason::InProgress, retry_ms: 0 });
    };
    let headers =
        answer.headers.iter().map(|it| Header { name: it.name.clone(), value: it.value.clone() });
    let answer = Answer { status: answer.status, headers: headers.collect(), body: body.clone() };
    Ok(answer.head(EndpointId(0)).await)
}

/// One try to run a key.
struct Claim {
    shared: Arc<Shared>,
    key: ClaimKey,
    router: RouterId,
    id: RequestId,
}

impl Claim {
    fn new(shared: &Arc<Shared>, call: &Call) -> Option<Claim> {
        let key = ClaimKey::new(call.team.id, call.service, call.key.as_ref()?.as_bytes());
        Some(Claim { shared: shared.clone(), key, router: shared.me()?, id: call.request })
    }

    /// Records how the claim ended; if no replica takes it, the ledger makes the claim unknown in the end.
    async fn settle(&self, step: ClaimStep) {
        let reply = self.step(step).await;
        if reply != LedgerReply::Noted {
            tracing::warn!("router: claim {} not settled: {reply:?}", Shared::short(self.id));
        }
    }

    /// Asks the leader, whichever replica that is; a step may be asked again under the same id.
    async fn step(&self, step: ClaimStep) -> LedgerReply {
        let call = LedgerCall { key: self.key, router: self.router, id: self.id, step };
        let replicas = &self.shared.settings.control;
        let mut next = self.shared.leader().unwrap_or(replicas[0]);
        for turn in 0..TRIES {
            match self.ask(next, &call).await {
                Ok(Some(LedgerReply::NotLeader { leader })) => {
                    next = leader.unwrap_or(replicas[turn % replicas.len()])
                }
                Ok(Some(LedgerReply::NoQuorum | LedgerReply::NotLive)) | Ok(None) | Err(_) => {
                    next = replicas[turn % replicas.len()]
                }
                Ok(Some(reply)) => {
                    self.shared.set_leader(next);
                    return reply;
                }
            }
            tokio::time::sleep(Duration::from_millis(50 << turn)).await;
        }
        LedgerReply::NoQuorum
    }

    async fn ask(
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
        timeout(REPLY_LIMIT, exchange).await.unwrap_or(Ok(None))
    }
}

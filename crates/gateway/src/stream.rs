//! Forwards an event stream, resuming it on other endpoints if necessary.

use {
    crate::{
        attempt::{Attempt, EventStream, Failure, UpstreamResponse},
        call::{Call, ExchangeEnd},
        crash, replacement,
        sse::EventBuffer,
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    dispatch::AttemptOutcome,
    edge::{Body, BodyError},
    futures_util::stream::unfold,
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    model::MILLISECOND,
    tokio::time::timeout_at,
};

/// Another endpoint is sought for a resumable stream after a gap of this multiple of the route's
/// longest acceptable gap.
const EVENT_GAP_FACTOR: u64 = 3;

/// The minimum gap before another endpoint is sought for a stream, in milliseconds.
const MIN_EVENT_GAP_MS: u64 = 800;

/// The stream cannot be completed. The client sees that it was aborted.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("stream aborted: {reason}")]
struct StreamAborted {
    reason: String,
}

/// An event stream being forwarded.
pub(crate) struct ProxiedStream {
    call: Call,
    /// `None` while the stream is between two endpoints.
    upstream: Option<EventStream>,
}

/// What a stream does next.
enum Next {
    Events(Bytes),
    End,
    /// The exchange broke.
    Broken(String),
    /// The endpoint is silent, and this attempt at another endpoint takes its place.
    Replaced(Attempt),
}

type NextFrame = Option<(Result<Frame<Bytes>, BodyError>, Option<ProxiedStream>)>;

impl ProxiedStream {
    /// Returns the body of the response. If the client disconnects, the body is dropped, which
    /// closes the connection to the endpoint.
    pub(crate) fn body(call: Call, stream: Box<EventStream>) -> Body {
        let state = Some(ProxiedStream { call, upstream: Some(*stream) });
        StreamBody::new(unfold(state, |state| async { state?.next_frame().await })).boxed_unsync()
    }

    async fn next_frame(mut self) -> NextFrame {
        loop {
            let (replacement, reason) = match self.next_events().await {
                Next::Events(events) => {
                    let now = self.call.shared.now();
                    self.call.record_events(now);
                    if self.upstream.as_mut().is_some_and(|it| it.record_events(now)) {
                        self.call.record_begun_answer();
                    }
                    return Some((Ok(Frame::data(events)), Some(self)));
                }
                Next::End => {
                    if let Some(stream) = &mut self.upstream {
                        stream.running.ending = AttemptOutcome::Served;
                        if stream.is_proved_complete() {
                            self.call.record_answer();
                        }
                    }
                    self.call.shared.metrics.record_send("served");
                    self.call.log_served();
                    return None;
                }
                Next::Broken(reason) => (None, reason),
                Next::Replaced(attempt) => (Some(attempt), "endpoint is silent".to_owned()),
            };
            if let Err(reason) = self.resume(replacement, reason).await {
                return Some((Err(Box::new(StreamAborted { reason })), None));
            }
        }
    }

    async fn next_events(&mut self) -> Next {
        let Some(stream) = &mut self.upstream else {
            return Next::Broken("no endpoint".to_owned());
        };
        let buffered = std::mem::take(&mut stream.buffered);
        if !buffered.is_empty() {
            return Next::Events(buffered);
        }
        if stream.ended {
            return Next::End;
        }
        let call = &self.call;
        let route = &call.found.route;
        let gap_ms = (route.gap_ms * EVENT_GAP_FACTOR).max(MIN_EVENT_GAP_MS);
        let silent_at = call.shared.now() + gap_ms * MILLISECOND;
        let endpoint = stream.running.pick.handle;
        let resumable = is_resumable(call, &stream.events);
        let until = call.shared.clock.deadline(call.deadline);
        let next = tokio::select! {
            biased;
            next = timeout_at(until, stream.next_events()) => next,
            next = replacement::seek(call, endpoint, silent_at), if resumable => {
                self.call.record_replaced(endpoint);
                return Next::Replaced(next);
            }
        };
        match next {
            Ok(Ok(Some(events))) => Next::Events(events),
            Ok(Ok(None)) => Next::End,
            Ok(Err(reason)) => Next::Broken(reason),
            Err(_) => Next::Broken("deadline exceeded".to_owned()),
        }
    }

    /// Resumes the stream on another endpoint if allowed, first with `replacement`. The connection
    /// to the previous endpoint is closed first, so that it stops working.
    async fn resume(
        &mut self,
        mut replacement: Option<Attempt>,
        reason: String,
    ) -> Result<(), String> {
        let Some(mut previous) = self.upstream.take() else { return Err(reason) };
        let broke = replacement.is_none() && self.call.left_ms() > 0;
        if broke && !previous.is_established {
            crash::probe(&self.call, &previous.running.pick);
        }
        previous.running.ending =
            if broke { previous.body.broken_outcome() } else { AttemptOutcome::Abandoned };
        let resumable = is_resumable(&self.call, &previous.events);
        let (last, passed) = (previous.events.last_id(), previous.events.forwarded());
        drop(previous);
        let mut failure = Failure::Indeterminate { reason };
        loop {
            if replacement.is_none() && !(resumable && self.call.wait_to_retry(&failure).await) {
                return Err(self.abort(&failure.to_string()));
            }
            tracing::info!(
                event = "resume",
                request = self.call.head.id(),
                after = last,
                cause = %failure,
                "gateway: resuming stream on another endpoint"
            );
            let attempt = match replacement.take() {
                Some(it) => it,
                None => match self.call.next_attempt().await {
                    Ok(it) => it,
                    Err(rejection) => return Err(self.abort(&rejection.to_string())),
                },
            };
            let mut events = EventBuffer::with_progress(last, passed);
            events.resume();
            match self.call.exchange(attempt, events).await {
                ExchangeEnd::Finished(Ok(UpstreamResponse::Streaming(_, stream))) => {
                    self.upstream = Some(*stream);
                    return Ok(());
                }
                ExchangeEnd::Finished(Ok(UpstreamResponse::Buffered(parts, _))) => {
                    return Err(self.abort(&format!(
                        "endpoint responded to the resumption with {}",
                        parts.status
                    )));
                }
                ExchangeEnd::Finished(Err(err)) => failure = err,
                ExchangeEnd::Replaced(next) => {
                    failure = Failure::Indeterminate { reason: "endpoint is silent".to_owned() };
                    replacement = Some(next);
                }
            }
        }
    }

    fn abort(&self, reason: &str) -> String {
        tracing::info!(
            event = "cut-off",
            request = self.call.head.id(),
            route = %self.call.found.route.name,
            sends = self.call.sends,
            after_ms = self.call.shared.now().since(self.call.arrived) / MILLISECOND,
            reason,
            "gateway: stream aborted"
        );
        self.call.shared.metrics.record_request("cut-off");
        reason.to_owned()
    }
}

/// Returns whether a stream may go on at another endpoint: only if the events that the client
/// received are numbered.
fn is_resumable(call: &Call, events: &EventBuffer) -> bool {
    let numbered = events.forwarded() == 0 || events.last_id().is_some();
    call.found.route.resumable && numbered
}

//! Forwards an event stream, resuming it on other endpoints if necessary.

use {
    crate::{
        attempt::{EventStream, Failure, UpstreamResponse},
        call::Call,
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

/// A resumable stream is resumed elsewhere after a gap of this multiple of the route's longest
/// acceptable gap.
const EVENT_GAP_FACTOR: u64 = 3;

/// The minimum gap before a stream is resumed, in milliseconds.
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
            match self.next_events().await {
                Ok(Some(events)) => return Some((Ok(Frame::data(events)), Some(self))),
                Ok(None) => {
                    if let Some(stream) = &mut self.upstream {
                        stream.running.ending = AttemptOutcome::Served;
                    }
                    self.call.shared.metrics.record_send("served");
                    self.call.log_served();
                    self.call.shared.crashes.lock().clear(self.call.fingerprint);
                    return None;
                }
                Err(reason) => {
                    if let Err(reason) = self.resume(reason).await {
                        return Some((Err(Box::new(StreamAborted { reason })), None));
                    }
                }
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, String> {
        let Some(stream) = &mut self.upstream else { return Err("no endpoint".to_owned()) };
        let buffered = std::mem::take(&mut stream.buffered);
        if !buffered.is_empty() {
            return Ok(Some(buffered));
        }
        if stream.ended {
            return Ok(None);
        }
        let shared = &self.call.shared;
        let route = &self.call.found.route;
        let stall_ms = (route.gap_ms * EVENT_GAP_FACTOR).max(MIN_EVENT_GAP_MS);
        let stalled_at = shared.now() + stall_ms * MILLISECOND;
        let until = if route.resumable { stalled_at } else { self.call.deadline };
        let until = shared.clock.deadline(until.min(self.call.deadline));
        match timeout_at(until, stream.next_events()).await {
            Ok(next) => next,
            Err(_) => Err("timed out waiting for an event".to_owned()),
        }
    }

    /// Resumes the stream on another endpoint if allowed. The connection to the previous endpoint
    /// is closed first, so that it stops working.
    async fn resume(&mut self, reason: String) -> Result<(), String> {
        let Some(mut broken) = self.upstream.take() else { return Err(reason) };
        let in_time = self.call.left_ms() > 0;
        broken.running.ending =
            if in_time { AttemptOutcome::Broken } else { AttemptOutcome::Abandoned };
        let mut events = std::mem::take(&mut broken.events);
        drop(broken);
        let mut failure = Failure::Indeterminate { reason };
        // A stream can be resumed only if the events that the client received are numbered.
        let numbered = events.forwarded() == 0 || events.last_id().is_some();
        let resumable = self.call.found.route.resumable && numbered;
        while resumable && self.call.try_retry(&failure) {
            tracing::info!(
                event = "resume",
                request = self.call.head.id(),
                after = events.last_id(),
                cause = %failure,
                "gateway: resuming stream on another endpoint"
            );
            let attempt = match self.call.next_attempt().await {
                Ok(it) => it,
                Err(rejection) => return Err(self.abort(&rejection.to_string())),
            };
            let (last, passed) = (events.last_id(), events.forwarded());
            events.resume();
            match attempt.run_from(&mut self.call, events).await {
                Ok(UpstreamResponse::Streaming(_, stream)) => {
                    self.upstream = Some(*stream);
                    return Ok(());
                }
                Ok(UpstreamResponse::Buffered(parts, _)) => {
                    return Err(self.abort(&format!(
                        "endpoint responded to the resumption with {}",
                        parts.status
                    )));
                }
                Err(err) => failure = err,
            }
            events = EventBuffer::with_progress(last, passed);
        }
        Err(self.abort(&failure.to_string()))
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

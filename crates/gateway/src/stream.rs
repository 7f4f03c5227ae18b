//! Passing on a stream of events, across endpoints if need be.

use {
    crate::{
        attempt::{Answer, Failure, Opened},
        call::Call,
        events::Events,
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

/// A resumable stream goes on elsewhere after a pause of so many times the longest that operators want.
const STALL_FACTOR: u64 = 3;

/// And not before so many milliseconds.
const LEAST_STALL_MS: u64 = 800;

/// The stream cannot be finished; the caller sees that it is cut off.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("stream cut off: {reason}")]
struct CutOff {
    reason: String,
}

/// A stream that is being passed on.
pub(crate) struct StreamAnswer {
    call: Call,
    /// None while the stream is between two endpoints.
    opened: Option<Opened>,
}

type Step = Option<(Result<Frame<Bytes>, BodyError>, Option<StreamAnswer>)>;

impl StreamAnswer {
    /// Returns the body of an answer; when the caller leaves, it is dropped and the endpoint stops.
    pub(crate) fn body(call: Call, opened: Box<Opened>) -> Body {
        let state = Some(StreamAnswer { call, opened: Some(*opened) });
        StreamBody::new(unfold(state, |state| async { state?.step().await })).boxed_unsync()
    }

    async fn step(mut self) -> Step {
        loop {
            match self.next().await {
                Ok(Some(events)) => return Some((Ok(Frame::data(events)), Some(self))),
                Ok(None) => {
                    if let Some(opened) = &mut self.opened {
                        opened.running.ending = AttemptOutcome::Served;
                    }
                    self.call.shared.metrics.send("served");
                    self.call.log_served();
                    self.call.shared.crashes.lock().clear(self.call.fingerprint);
                    return None;
                }
                Err(reason) => {
                    if let Err(reason) = self.resume(reason).await {
                        return Some((Err(Box::new(CutOff { reason })), None));
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        let Some(opened) = &mut self.opened else { return Err("no endpoint".to_owned()) };
        let first = std::mem::take(&mut opened.first);
        if !first.is_empty() {
            return Ok(Some(first));
        }
        if opened.ended {
            return Ok(None);
        }
        let shared = &self.call.shared;
        let route = &self.call.found.route;
        let stall_ms = (route.gap_ms * STALL_FACTOR).max(LEAST_STALL_MS);
        let stalls = shared.now() + stall_ms * MILLISECOND;
        let until = if route.resumable { stalls } else { self.call.deadline };
        let until = shared.clock.deadline(until.min(self.call.deadline));
        match timeout_at(until, opened.next()).await {
            Ok(next) => next,
            Err(_) => Err("no event in time".to_owned()),
        }
    }

    /// Goes on at another endpoint, if the stream allows it. The connection to the first one is closed before, so that
    /// it does not work on.
    async fn resume(&mut self, reason: String) -> Result<(), String> {
        let Some(mut old) = self.opened.take() else { return Err(reason) };
        let in_time = self.call.left_ms() > 0;
        old.running.ending =
            if in_time { AttemptOutcome::Broken } else { AttemptOutcome::Abandoned };
        let mut events = std::mem::take(&mut old.events);
        drop(old);
        let mut failure = Failure::Unknown { reason };
        // A stream can go on only if the events that the caller has are numbered.
        let numbered = events.passed() == 0 || events.last().is_some();
        let resumable = self.call.found.route.resumable && numbered;
        while resumable && self.call.may_send_again(&failure) {
            tracing::info!(
                event = "resume",
                request = self.call.head.id(),
                after = events.last(),
                cause = %failure,
                "gateway: stream goes on elsewhere"
            );
            let attempt = match self.call.attempt().await {
                Ok(it) => it,
                Err(refusal) => return Err(self.cut_off(&refusal.to_string())),
            };
            let (last, passed) = (events.last(), events.passed());
            events.resume();
            match attempt.send(&mut self.call, events).await {
                Ok(Answer::Stream(_, opened)) => {
                    self.opened = Some(*opened);
                    return Ok(());
                }
                Ok(Answer::Whole(parts, _)) => {
                    return Err(self.cut_off(&format!("resumed with {}", parts.status)));
                }
                Err(err) => failure = err,
            }
            events = Events::after(last, passed);
        }
        Err(self.cut_off(&failure.to_string()))
    }

    fn cut_off(&self, reason: &str) -> String {
        tracing::info!(
            event = "cut-off",
            request = self.call.head.id(),
            route = %self.call.found.route.name,
            sends = self.call.sends,
            after_ms = self.call.shared.now().since(self.call.arrived) / MILLISECOND,
            reason,
            "gateway: stream cut off"
        );
        self.call.shared.metrics.request("cut-off");
        reason.to_owned()
    }
}

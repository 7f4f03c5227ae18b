//! Invariants that relate several entries of the history.

use {
    super::{
        APPLY_LIMIT, Execution, Inner, Outcome, RETRY_RATIO, RETRY_SLACK, RequestEntry,
        RequestKind, STREAM_EVENTS, SentRequest, expected_event, expected_response,
        expected_signature, service_for,
    },
    crate::plan::Component,
    bytes::Bytes,
    std::time::{Duration, Instant},
};

/// How long a request may keep running after its caller cancelled it: the time to notice that the connection to the
/// caller is closed and to close the one to the endpoint.
const CANCEL_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a gateway may still use an older configuration after it used a newer one, for requests in flight.
const DOWNGRADE_TOLERANCE: Duration = Duration::from_millis(250);

/// The window over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

impl Inner {
    /// Checks that a gateway was allowed to use a configuration version.
    pub(super) fn check_version(
        &mut self,
        id: &str,
        sent: &SentRequest,
        version: u64,
        now: Instant,
    ) {
        let bound = sent.at.checked_sub(APPLY_LIMIT).and_then(|it| self.acknowledged_version(it));
        if bound.is_some_and(|it| it > version)
            && self.connected_to_control(sent.gateway, sent.at - APPLY_LIMIT, now)
        {
            let text =
                format!("{id} is routed by version {version} although {bound:?} is acknowledged");
            self.record_violation("configuration", &text);
        }
        let incarnation = (sent.gateway, sent.incarnation);
        let used_versions = self.used_versions.get(&incarnation).copied();
        match used_versions {
            Some((highest, at)) if highest > version && sent.at > at + DOWNGRADE_TOLERANCE => {
                let text =
                    format!("{id} is routed by version {version} after version {highest} was used");
                self.record_violation("configuration", &text);
            }
            Some((highest, _)) if highest >= version => {}
            _ => drop(self.used_versions.insert(incarnation, (version, now))),
        }
    }

    pub(super) fn check_response(
        &mut self,
        id: &str,
        sent: &SentRequest,
        executions: &[Execution],
        (status, signature, body): (u16, Option<&str>, &Bytes),
        now: Instant,
    ) {
        let ran =
            |it: &str| executions.iter().any(|run| it == expected_signature(run.endpoint, id));
        if signature.is_some_and(|it| !ran(it)) {
            self.record_violation(
                "wrong-response",
                &format!(
                    "{id} got a response signed {signature:?}, but that endpoint did not run it"
                ),
            );
        }
        match status {
            200 if signature.is_none() => {
                self.record_violation(
                    "wrong-response",
                    &format!("{id} got a successful response without the signature of an endpoint"),
                );
            }
            200 if sent.kind == RequestKind::Stream => self.check_events(id, sent, body, true),
            200 if *body != expected_response(id) => {
                self.record_violation("wrong-response", &format!("{id} got the body {body:?}"));
            }
            408 | 421 | 429 | 503 if !executions.is_empty() => {
                self.record_violation(
                    "refused",
                    &format!("{id} was refused with {status} although it ran: {executions:?}"),
                );
            }
            404 => self.check_not_found(id, sent, now),
            400 | 401 | 403 | 413 => {
                self.record_violation("denied", &format!("{id} got status {status}"));
            }
            _ => {}
        }
    }

    /// Checks that a 404 is justified, because the request has no route in the current configuration.
    pub(super) fn check_not_found(&mut self, id: &str, sent: &SentRequest, now: Instant) {
        let RequestKind::VersionOnly(version) = sent.kind else {
            return self.record_violation("denied", &format!("{id} got status 404"));
        };
        let newest = self.versions.keys().next_back().copied();
        let in_force =
            sent.at.checked_sub(APPLY_LIMIT).and_then(|it| self.acknowledged_version(it));
        if newest == Some(version)
            && in_force == Some(version)
            && self.connected_to_control(sent.gateway, sent.at - APPLY_LIMIT, now)
        {
            let text = format!("{id} got status 404 although version {version} is acknowledged");
            self.record_violation("configuration", &text);
        }
    }

    /// Checks that the events of a stream arrived in order and exactly once, and that a complete stream has all of them.
    pub(super) fn check_events(
        &mut self,
        id: &str,
        sent: &SentRequest,
        body: &Bytes,
        complete: bool,
    ) {
        if sent.kind != RequestKind::Stream {
            return;
        }
        let expected: String = (1..=STREAM_EVENTS).map(|it| expected_event(id, it)).collect();
        let is_prefix = expected.as_bytes().starts_with(body);
        if !is_prefix || complete && body.len() != expected.len() {
            self.record_violation("order", &format!("{id} got the body {body:?}"));
        }
    }

    /// Checks that cancelled requests stopped running in time.
    pub(super) fn check_cancelled(&mut self) {
        let mut late = Vec::new();
        for (id, RequestEntry { sent, executions, outcome }) in &self.entries {
            let Some((Outcome::Cancelled, at)) = outcome else { continue };
            let undisturbed = |run: &Execution| {
                let to = *at + CANCEL_LIMIT;
                self.disturbances.is_undisturbed(Component::Gateway(sent.gateway), sent.at, to)
                    && self.disturbances.is_undisturbed(
                        Component::Endpoint(run.endpoint),
                        sent.at,
                        to,
                    )
            };
            let exceeded = |run: &&Execution| {
                run.ended.is_none_or(|it| it > *at + CANCEL_LIMIT) && undisturbed(run)
            };
            let open = executions.iter().find(exceeded);
            late.extend(
                open.map(|it| format!("{id} kept running after its caller cancelled it: {it:?}")),
            );
        }
        late.iter().for_each(|it| self.record_violation("not-cancelled", it));
    }

    /// Checks that retries stayed within the retry budget in every window.
    pub(super) fn check_retry_budget(&mut self) {
        for service in ["plain", "model"] {
            let entries =
                || self.entries.values().filter(|it| service_for(it.sent.kind) == service);
            let mut sent: Vec<_> = entries().map(|it| it.sent.at).collect();
            let repeats = |it: &RequestEntry| {
                it.executions.iter().skip(1).map(|it| it.began).collect::<Vec<_>>()
            };
            let mut repeated: Vec<_> = entries().flat_map(repeats).collect();
            sent.sort_unstable();
            repeated.sort_unstable();
            let within = |times: &[Instant], from: Instant| {
                let until = from + RETRY_WINDOW;
                times.partition_point(|it| *it < until) - times.partition_point(|it| *it < from)
            };
            let exceeded = repeated.iter().find(|it| {
                let before = **it - RETRY_WINDOW.min(it.elapsed());
                let allowed = within(&sent, **it).max(within(&sent, before)) as f64;
                within(&repeated, **it) as f64 > RETRY_RATIO * allowed + RETRY_SLACK
            });
            if exceeded.is_some() {
                self.record_violation("budget", &format!("too many retries to {service}"));
            }
        }
    }
}

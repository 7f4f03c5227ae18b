//! The promises that need more than one look at the record.

use {
    super::{
        APPLY, BUDGET_RATIO, BUDGET_SLACK, CROSSING, EVENTS, End, Entry, Inner, Kind, Run, Sent,
        answer_of, event_of, service_of, signature_of,
    },
    crate::{calm::Cause, plan::Part},
    bytes::Bytes,
    std::time::{Duration, Instant},
};

/// How long after a caller left its request may go on: the time to notice a closed connection and to close another.
const CANCEL: Duration = Duration::from_millis(1_000);

/// How long after a gateway acted by a configuration it may still act by an older one: requests under way.
const DOWNGRADE: Duration = Duration::from_millis(250);

/// The window over which repeated sends are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

impl Inner {
    /// Checks that a gateway may still act by a version.
    pub(super) fn check_version(&mut self, id: &str, sent: &Sent, version: u64, now: Instant) {
        let bound = sent.at.checked_sub(APPLY).and_then(|it| self.acknowledged(it));
        if bound.is_some_and(|it| it > version) && self.in_touch(sent.gateway, sent.at - APPLY, now)
        {
            let text = format!("{id} runs by version {version}, acknowledged is {bound:?}");
            self.violation("configuration", &text);
        }
        let life = (sent.gateway, sent.life);
        let seen = self.seen.get(&life).copied();
        match seen {
            Some((highest, at)) if highest > version && sent.at > at + DOWNGRADE => {
                let text = format!("{id} runs by version {version} after version {highest}");
                self.violation("configuration", &text);
            }
            Some((highest, _)) if highest >= version => {}
            _ => drop(self.seen.insert(life, (version, now))),
        }
    }

    pub(super) fn check_answer(
        &mut self,
        id: &str,
        sent: &Sent,
        runs: &[Run],
        (status, signature, body): (u16, Option<&str>, &Bytes),
        now: Instant,
    ) {
        let ran = |it: &str| runs.iter().any(|run| it == signature_of(run.endpoint, id));
        if signature.is_some_and(|it| !ran(it)) {
            self.violation("mixed", &format!("{id} gets an answer signed {signature:?}"));
        }
        match status {
            200 if signature.is_none() => {
                self.violation("mixed", &format!("{id} gets a success that no endpoint gave"));
            }
            200 if sent.kind == Kind::Stream => self.check_events(id, sent, body, true),
            200 if *body != answer_of(id) => {
                self.violation("mixed", &format!("{id} gets {body:?}"));
            }
            408 | 421 | 429 | 503 if !runs.is_empty() => {
                self.violation(
                    "refused",
                    &format!("{id} is refused with {status} and ran: {runs:?}"),
                );
            }
            404 => self.check_denied(id, sent, now),
            400 | 401 | 403 | 413 => {
                self.violation("denied", &format!("{id} gets {status}"));
            }
            _ => {}
        }
    }

    /// Checks that a request was rightly found to have no route.
    pub(super) fn check_denied(&mut self, id: &str, sent: &Sent, now: Instant) {
        let Kind::Only(version) = sent.kind else {
            return self.violation("denied", &format!("{id} gets 404"));
        };
        let newest = self.versions.keys().next_back().copied();
        let in_force = sent.at.checked_sub(APPLY).and_then(|it| self.acknowledged(it));
        if newest == Some(version)
            && in_force == Some(version)
            && self.in_touch(sent.gateway, sent.at - APPLY, now)
        {
            let text = format!("{id} gets 404, version {version} was acknowledged");
            self.violation("configuration", &text);
        }
    }

    /// Checks the events of a stream: in order, each once, and all of them if it ended as whole.
    pub(super) fn check_events(&mut self, id: &str, sent: &Sent, body: &Bytes, whole: bool) {
        if sent.kind != Kind::Stream {
            return;
        }
        let expected: String = (1..=EVENTS).map(|it| event_of(id, it)).collect();
        let begins = expected.as_bytes().starts_with(body);
        if !begins || whole && body.len() != expected.len() {
            self.violation("order", &format!("{id} gets {body:?}"));
        }
    }

    /// Checks that a connection was not closed on a request without need.
    pub(super) fn check_cut(&mut self, id: &str, sent: &Sent, runs: &[Run], now: Instant) {
        let gateway = Part::Gateway(sent.gateway);
        let calm = self.calm.holds(gateway, sent.at, now, Some(Cause::Planned));
        let endpoints = |it| matches!(it, Part::Endpoint(_));
        let sound = self.calm.all_hold(sent.at, now, endpoints);
        let read = !runs.is_empty() || now > sent.at + CROSSING;
        if calm && sound && read && now < sent.deadline {
            self.violation("lost", &format!("{id} to {gateway} is cut off, runs: {runs:?}"));
        }
    }

    /// Checks that requests whose callers left ended soon.
    pub(super) fn check_left(&mut self) {
        let mut late = Vec::new();
        for (id, Entry { sent, runs, end }) in &self.entries {
            let Some((End::Left, at)) = end else { continue };
            let calm = |run: &Run| {
                let to = *at + CANCEL;
                self.calm.holds(Part::Gateway(sent.gateway), sent.at, to, None)
                    && self.calm.holds(Part::Endpoint(run.endpoint), sent.at, to, None)
            };
            let over = |run: &&Run| run.ended.is_none_or(|it| it > *at + CANCEL) && calm(run);
            let open = runs.iter().find(over);
            late.extend(open.map(|it| format!("{id} goes on after its caller left: {it:?}")));
        }
        late.iter().for_each(|it| self.violation("gone", it));
    }

    /// Checks that repeated sends stayed within the budget in each window.
    pub(super) fn check_budget(&mut self) {
        for service in ["plain", "model"] {
            let entries = || self.entries.values().filter(|it| service_of(it.sent.kind) == service);
            let mut sent: Vec<_> = entries().map(|it| it.sent.at).collect();
            let repeats =
                |it: &Entry| it.runs.iter().skip(1).map(|it| it.began).collect::<Vec<_>>();
            let mut repeated: Vec<_> = entries().flat_map(repeats).collect();
            sent.sort_unstable();
            repeated.sort_unstable();
            let within = |times: &[Instant], from: Instant| {
                let until = from + BUDGET_WINDOW;
                times.partition_point(|it| *it < until) - times.partition_point(|it| *it < from)
            };
            let over = repeated.iter().find(|it| {
                let before = **it - BUDGET_WINDOW.min(it.elapsed());
                let allowed = within(&sent, **it).max(within(&sent, before)) as f64;
                within(&repeated, **it) as f64 > BUDGET_RATIO * allowed + BUDGET_SLACK
            });
            if over.is_some() {
                self.violation("budget", &format!("too many repeated sends to {service}"));
            }
        }
    }
}

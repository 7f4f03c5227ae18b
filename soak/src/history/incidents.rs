//! Invariants of prompt parts that crash endpoints and of endpoints that name a limit.

use {
    super::{Inner, Outcome, RequestKind},
    crate::config::LIMIT,
    derive_more::Debug,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long gateways may take to agree.
const CONTACT: Duration = Duration::from_secs(3);

/// The crashes after which gateways must agree.
const FREE_CRASHES: usize = 5;

/// How many more requests with the part may reach endpoints.
const MAX_LATE_ARRIVALS: usize = 3;

/// The fewest sound requests that are judged.
const MIN_SOUND_REQUESTS: usize = 20;

/// The window in which the requests of a limited endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How many requests a limited endpoint may get in a window.
const MAX_WINDOW_REQUESTS: usize = (1.5 * LIMIT * 4.0) as usize + 5;

/// What endpoints saw of crashing requests and while they were limited.
#[derive(Default, Debug)]
pub(super) struct Incidents {
    /// When requests with the crashing part reached endpoints, by id.
    pub(super) arrivals: Vec<(String, Instant)>,
    pub(super) crashes: Vec<Instant>,
    /// When requests reached each limited endpoint, by id.
    pub(super) limited: BTreeMap<usize, Vec<(String, Instant)>>,
}

impl Inner {
    /// Returns whether a request was sent to a gateway that has been in touch with control and the others.
    fn is_in_touch(&self, id: &str, at: Instant) -> bool {
        let gateway = self.entries.get(id).map(|it| it.sent.gateway);
        gateway.is_some_and(|it| self.connected_to_control(it, at - CONTACT, at))
    }

    pub(super) fn check_crashing_part(&mut self) {
        let crashes = &self.incidents.crashes;
        let Some(last) = crashes.get(FREE_CRASHES - 1).or(crashes.last()).copied() else { return };
        let arrivals = self.incidents.arrivals.iter();
        let late = arrivals.filter(|it| it.1 > last + CONTACT && self.is_in_touch(&it.0, it.1));
        let late = late.count();
        if late > MAX_LATE_ARRIVALS {
            let text = format!("{late} requests reach endpoints after {} crashes", crashes.len());
            self.record_violation("crashing-part", &text);
        }
        let sound: Vec<_> = self
            .entries
            .iter()
            .filter(|it| it.1.sent.kind == RequestKind::Stream)
            .filter(|it| it.1.sent.at > last + 2 * CONTACT && self.is_in_touch(it.0, it.1.sent.at))
            .filter_map(|it| it.1.outcome.as_ref())
            .filter(|it| it.0 != Outcome::Cancelled)
            .collect();
        let is_served =
            |it: &&&(Outcome, Instant)| matches!(it.0, Outcome::Completed { status: 200, .. });
        let served = sound.iter().filter(is_served).count();
        if sound.len() >= MIN_SOUND_REQUESTS && served * 2 < sound.len() {
            let text = format!("{served} of {} sound streams are served", sound.len());
            self.record_violation("crashing-part", &text);
        }
    }

    pub(super) fn check_limits(&mut self) {
        for (endpoint, requests) in std::mem::take(&mut self.incidents.limited) {
            let Some(named_at) = requests.first().map(|it| it.1) else { continue };
            let held: Vec<_> = requests
                .iter()
                .filter(|it| it.1 > named_at + CONTACT && self.is_in_touch(&it.0, it.1))
                .map(|it| it.1)
                .collect();
            let in_window =
                |at: &Instant| held.iter().filter(|it| (*at..*at + WINDOW).contains(*it)).count();
            let most = held.iter().map(in_window).max().unwrap_or(0);
            if most > MAX_WINDOW_REQUESTS {
                let text = format!("endpoint-{endpoint} gets {most} requests in {WINDOW:?}");
                self.record_violation("limit", &text);
            }
        }
    }
}

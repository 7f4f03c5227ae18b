//! Requests whose connection closed before the response was complete, and what excuses it.

use {
    super::{Execution, Inner, Outcome, RequestEntry, SentRequest},
    crate::{
        disturbances::{Cause, SETTLE_TIME},
        plan::Component,
    },
    derive_more::{Debug, Display},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long after a request was sent its connection may close, if it was not passed on: the gateway may not have read it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// What excuses the gateway for a request without a complete response.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum Excuse {
    /// The process was not running when the request was sent.
    #[display("gateway down")]
    GatewayDown,
    /// A fault affected the gateway or its connections.
    #[display("gateway disturbed")]
    GatewayDisturbed,
    /// A fault affected an endpoint that ran the request.
    #[display("endpoint disturbed")]
    EndpointDisturbed,
    /// The deadline of the request had passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The connection closed at once and no endpoint ran the request.
    #[display("not read")]
    NotRead,
}

/// The number of requests whose connection closed before the response was complete.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Cuts {
    /// All of them.
    pub total: usize,
    /// Those during a stop, restart or reload of their gateway.
    pub planned: usize,
    /// Those that nothing excuses.
    pub lost: usize,
    /// The others, by what excuses them.
    pub excused: BTreeMap<Excuse, usize>,
    /// The part of `excused` during a stop, restart or reload of their gateway.
    pub excused_planned: BTreeMap<Excuse, usize>,
}

impl Inner {
    /// Checks that gateways did not close a connection with a request in flight unless a fault explains it.
    pub(super) fn check_cuts(&mut self) {
        let mut cuts = Cuts::default();
        let mut lost = Vec::new();
        for (id, RequestEntry { sent, executions, outcome }) in &self.entries {
            let Some((Outcome::Disconnected { .. }, at)) = outcome else { continue };
            let planned = self.is_affected(sent, Cause::Planned, *at);
            cuts.total += 1;
            cuts.planned += usize::from(planned);
            if let Some(excuse) = self.excuse(sent, executions, *at) {
                *cuts.excused.entry(excuse).or_default() += 1;
                if planned {
                    *cuts.excused_planned.entry(excuse).or_default() += 1;
                }
                continue;
            }
            cuts.lost += 1;
            let (gateway, age) = (Component::Gateway(sent.gateway), *at - sent.at);
            lost.push(format!(
                "{id} to {gateway} was disconnected after {age:?}, executions: {executions:?}"
            ));
        }
        self.cuts = cuts;
        lost.iter().for_each(|it| self.record_violation("lost", it));
    }

    /// Returns whether the gateway of a request was disturbed from when the request was sent until `to`.
    fn is_affected(&self, sent: &SentRequest, cause: Cause, to: Instant) -> bool {
        let gateway = Component::Gateway(sent.gateway);
        self.disturbances.is_disturbed_by(gateway, cause, sent.at, to)
    }

    fn excuse(
        &self,
        sent: &SentRequest,
        executions: &[Execution],
        cut_at: Instant,
    ) -> Option<Excuse> {
        let from = sent.at - SETTLE_TIME;
        let faulty = |it| self.disturbances.is_disturbed_by(it, Cause::Fault, from, cut_at);
        let ran_faulty = |it: &Execution| faulty(Component::Endpoint(it.endpoint));
        let unread = executions.is_empty() && cut_at <= sent.at + LOSS_SLACK;
        // A gateway that stops serves its open connections until it exits.
        let serves = self.is_affected(sent, Cause::Planned, cut_at)
            && !self.is_affected(sent, Cause::Down, cut_at + LOSS_SLACK);
        if executions.is_empty() && self.is_affected(sent, Cause::Down, sent.at) {
            Some(Excuse::GatewayDown)
        } else if faulty(Component::Gateway(sent.gateway)) {
            Some(Excuse::GatewayDisturbed)
        } else if executions.iter().any(ran_faulty) {
            Some(Excuse::EndpointDisturbed)
        } else if cut_at >= sent.deadline {
            Some(Excuse::DeadlinePassed)
        } else if unread && !serves {
            Some(Excuse::NotRead)
        } else {
            None
        }
    }
}

//! Plans that have not been confirmed yet.

use {
    crate::{
        diff::{Draft, Ids},
        operation::Operation,
    },
    derive_more::{Debug, Display},
    model::{Change, Name, Revision},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// How long a plan can be confirmed, in milliseconds.
pub(crate) const PLAN_LIFETIME_MS: u64 = 3_600_000;

/// The maximum number of plans that are kept.
const MAX_PLANS: usize = 256;

/// The maximum total number of changes in all kept plans. The newest plan is kept regardless of its
/// length.
const MAX_CHANGES: usize = 500_000;

/// Identifies a plan. Numbers are never reused.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize, Debug, Display,
)]
#[debug("plan-{_0}")]
#[display("plan-{_0}")]
pub struct PlanId(pub u64);

impl PlanId {
    /// Parses `plan-7` or `7`.
    pub fn parse(text: &str) -> Option<PlanId> {
        text.strip_prefix("plan-").unwrap_or(text).parse().ok().map(PlanId)
    }
}

/// A set of changes that can be confirmed.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct Plan {
    /// The revision that the plan was made for.
    pub(crate) base: Revision,
    /// The operator who made it.
    pub(crate) operator: Name,
    /// The changes, in the order of application.
    pub(crate) changes: Arc<[Change]>,
    /// The last assigned ids once the plan is committed.
    pub(crate) ids: Ids,
    /// When the plan expires, in milliseconds since 1970.
    pub(crate) expires_ms: u64,
}

/// The plans that can be confirmed.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Plans {
    last: PlanId,
    open: BTreeMap<PlanId, Plan>,
    changes: usize,
}

/// The result of looking up a plan.
pub(crate) enum PlanLookup<'a> {
    /// The plan can be confirmed.
    Open(&'a Plan),
    /// The plan expired or was evicted by newer plans.
    Expired,
    /// No such plan was ever made.
    Unknown,
}

impl Plans {
    /// Adds a plan and returns its id.
    pub(crate) fn add(&mut self, base: Revision, draft: Draft, operation: &Operation) -> PlanId {
        self.last = PlanId(self.last.0 + 1);
        let plan = Plan {
            base,
            operator: operation.operator.clone(),
            changes: draft.changes.into(),
            ids: draft.ids,
            expires_ms: operation.at_ms.saturating_add(PLAN_LIFETIME_MS),
        };
        self.changes += plan.changes.len();
        self.open.insert(self.last, plan);
        while self.open.len() > MAX_PLANS || (self.changes > MAX_CHANGES && self.open.len() > 1) {
            let Some((_, oldest)) = self.open.pop_first() else { break };
            self.changes -= oldest.changes.len();
        }
        self.last
    }

    /// Looks up a plan.
    pub(crate) fn find(&self, id: PlanId, now_ms: u64) -> PlanLookup<'_> {
        match self.open.get(&id) {
            Some(plan) if plan.expires_ms > now_ms => PlanLookup::Open(plan),
            Some(_) => PlanLookup::Expired,
            None if id > PlanId(0) && id <= self.last => PlanLookup::Expired,
            None => PlanLookup::Unknown,
        }
    }

    /// Drops expired plans.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.open.retain(|_, it| it.expires_ms > now_ms);
        self.changes = self.open.values().map(|it| it.changes.len()).sum();
    }
}

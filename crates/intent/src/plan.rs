//! Plans that wait to be confirmed.

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
pub(crate) const PLAN_LIFE_MS: u64 = 3_600_000;

/// How many plans are kept.
const MAX_PLANS: usize = 256;

/// How many changes all kept plans have together; one plan is kept however long it is.
const MAX_CHANGES: usize = 500_000;

/// Identifies a plan; numbers are never reused.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize, Debug, Display,
)]
#[debug("plan-{_0}")]
#[display("plan-{_0}")]
pub struct PlanId(pub u64);

impl PlanId {
    /// Reads `plan-7` or `7`.
    pub fn parse(text: &str) -> Option<PlanId> {
        text.strip_prefix("plan-").unwrap_or(text).parse().ok().map(PlanId)
    }
}

/// A way from one configuration to another.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct Plan {
    /// The revision that it was made for.
    pub(crate) base: Revision,
    /// Who made it.
    pub(crate) operator: Name,
    /// The changes.
    pub(crate) changes: Arc<[Change]>,
    /// The last ids handed out once it is in force.
    pub(crate) ids: Ids,
    /// When it can no longer be confirmed, in milliseconds since 1970.
    pub(crate) expires_ms: u64,
}

/// The plans that can be confirmed.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Plans {
    last: PlanId,
    open: BTreeMap<PlanId, Plan>,
    changes: usize,
}

/// What is known of a plan.
pub(crate) enum Found<'a> {
    /// It waits.
    Open(&'a Plan),
    /// Its time is over, or it was pushed out by newer ones.
    Expired,
    /// It never was.
    Unknown,
}

impl Plans {
    /// Keeps a plan and returns its id.
    pub(crate) fn add(&mut self, base: Revision, draft: Draft, operation: &Operation) -> PlanId {
        self.last = PlanId(self.last.0 + 1);
        let plan = Plan {
            base,
            operator: operation.operator.clone(),
            changes: draft.changes.into(),
            ids: draft.ids,
            expires_ms: operation.at_ms.saturating_add(PLAN_LIFE_MS),
        };
        self.changes += plan.changes.len();
        self.open.insert(self.last, plan);
        while self.open.len() > MAX_PLANS || (self.changes > MAX_CHANGES && self.open.len() > 1) {
            let Some((_, oldest)) = self.open.pop_first() else { break };
            self.changes -= oldest.changes.len();
        }
        self.last
    }

    /// Looks a plan up.
    pub(crate) fn find(&self, id: PlanId, now_ms: u64) -> Found<'_> {
        match self.open.get(&id) {
            Some(plan) if plan.expires_ms > now_ms => Found::Open(plan),
            Some(_) => Found::Expired,
            None if id > PlanId(0) && id <= self.last => Found::Expired,
            None => Found::Unknown,
        }
    }

    /// Drops the plans whose time is over.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.open.retain(|_, it| it.expires_ms > now_ms);
        self.changes = self.open.values().map(|it| it.changes.len()).sum();
    }
}

//! What operators are answered.

use {
    crate::{
        effect::Effect,
        plan::PlanId,
        rule::{Aggregate, Violation},
    },
    derive_more::{Debug, Display, Error, From},
    model::{Digest, Name, OperationId, Revision},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The answer to an operation; a resend gets the same one.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Answer {
    /// A plan waits for its confirmation.
    Planned(Proposal),
    /// A plan is in force.
    Confirmed {
        /// Which one.
        plan: PlanId,
        /// The revision that it led to.
        revision: Revision,
        /// The digest of that revision.
        digest: Digest,
    },
    /// Nothing was changed.
    Refused(OperationError),
}

/// A plan as an operator sees it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Proposal {
    /// Its id.
    pub plan: PlanId,
    /// The revision that it was made for.
    pub base: Revision,
    /// What changes, a line each.
    pub changes: Arc<[Name]>,
    /// What that does to live requests and endpoints.
    pub effects: Arc<[Effect]>,
}

/// Who brought a revision into force.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
#[display("{operator} with {plan} (operation {operation})")]
pub struct RevisionAuthor {
    /// The operator.
    pub operator: Name,
    /// The plan.
    pub plan: PlanId,
    /// The operation that confirmed it.
    pub operation: OperationId,
}

/// Why an operation changed nothing.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display, Error, From)]
pub enum OperationError {
    /// The intent breaks a rule.
    #[display("{_0}")]
    Rule(#[error(source)] Violation),
    /// No such plan.
    #[from(skip)]
    #[display("{plan}: unknown-plan: there is no such plan")]
    UnknownPlan {
        /// The plan.
        plan: PlanId,
    },
    /// The plan can no longer be confirmed.
    #[from(skip)]
    #[display("{plan}: expired-plan: the plan can no longer be confirmed; plan again")]
    ExpiredPlan {
        /// The plan.
        plan: PlanId,
    },
    /// Another plan came into force since.
    #[from(skip)]
    #[display("{plan}: base: made for {base}, but {winner} brought {} into force", base.next())]
    Overtaken {
        /// The plan.
        plan: PlanId,
        /// The revision that it was made for.
        base: Revision,
        /// The revision in force.
        current: Revision,
        /// Who brought the revision after the base into force.
        winner: RevisionAuthor,
    },
    /// The revision after the base is too long ago for its author to be known.
    #[from(skip)]
    #[display("{plan}: base: made for {base}, in force is {current}")]
    Outdated {
        /// The plan.
        plan: PlanId,
        /// The revision that it was made for.
        base: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The operation id belongs to another request.
    #[from(skip)]
    #[display("operation {operation}: reused-id: the id belongs to another request")]
    ReusedId {
        /// The id.
        operation: OperationId,
    },
}

impl OperationError {
    /// The aggregate whose rule was broken.
    pub fn aggregate(&self) -> String {
        match self {
            OperationError::Rule(it) => it.aggregate.to_string(),
            OperationError::UnknownPlan { plan }
            | OperationError::ExpiredPlan { plan }
            | OperationError::Overtaken { plan, .. }
            | OperationError::Outdated { plan, .. } => plan.to_string(),
            OperationError::ReusedId { operation } => format!("operation {operation}"),
        }
    }

    /// The short name of the rule.
    pub fn rule(&self) -> String {
        match self {
            OperationError::Rule(it) => it.rule.name(),
            OperationError::UnknownPlan { .. } => "unknown-plan".to_owned(),
            OperationError::ExpiredPlan { .. } => "expired-plan".to_owned(),
            OperationError::Overtaken { .. } | OperationError::Outdated { .. } => "base".to_owned(),
            OperationError::ReusedId { .. } => "reused-id".to_owned(),
        }
    }

    /// Whether the refused request was malformed rather than overtaken.
    pub fn is_malformed(&self) -> bool {
        matches!(
            self,
            OperationError::Rule(Violation {
                aggregate: Aggregate::Document,
                rule: crate::rule::Rule::Syntax { .. }
            })
        )
    }
}

//! The answers to operators.

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

/// The answer to an operation. A resend gets the same answer.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Answer {
    /// A plan was made and can be confirmed.
    Planned(Proposal),
    /// A plan was committed.
    Confirmed {
        /// The plan.
        plan: PlanId,
        /// The resulting revision.
        revision: Revision,
        /// The digest of that revision.
        digest: Digest,
    },
    /// The operation was refused and changed nothing.
    Refused(OperationError),
}

/// A plan, as shown to an operator.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Proposal {
    /// The id of the plan.
    pub plan: PlanId,
    /// The revision that the plan was made for.
    pub base: Revision,
    /// A description of each change, one line each.
    pub changes: Arc<[Name]>,
    /// The effects on live requests and endpoints.
    pub effects: Arc<[Effect]>,
}

/// The operation that committed a revision, and its operator.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
#[display("{operator} with {plan} (operation {operation})")]
pub struct RevisionAuthor {
    /// The operator.
    pub operator: Name,
    /// The plan.
    pub plan: PlanId,
    /// The operation that confirmed the plan.
    pub operation: OperationId,
}

/// Why an operation was refused.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display, Error, From)]
pub enum OperationError {
    /// The intent violates a rule.
    #[display("{_0}")]
    Rule(#[error(source)] Violation),
    /// The plan does not exist.
    #[from(skip)]
    #[display("{plan}: unknown-plan: the plan does not exist")]
    UnknownPlan {
        /// The plan.
        plan: PlanId,
    },
    /// The plan has expired.
    #[from(skip)]
    #[display("{plan}: expired-plan: the plan can no longer be confirmed; plan again")]
    ExpiredPlan {
        /// The plan.
        plan: PlanId,
    },
    /// Another plan was committed after this one was made.
    #[from(skip)]
    #[display("{plan}: base: made for {base}, but {winner} committed {}", base.next())]
    Overtaken {
        /// The plan.
        plan: PlanId,
        /// The revision that the plan was made for.
        base: Revision,
        /// The revision in force.
        current: Revision,
        /// The author of the revision that follows the base.
        winner: RevisionAuthor,
    },
    /// Another plan was committed after this one was made, too long ago for its author to be known.
    #[from(skip)]
    #[display("{plan}: base: made for {base}, but the current revision is {current}")]
    Outdated {
        /// The plan.
        plan: PlanId,
        /// The revision that the plan was made for.
        base: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The operation id was used for another request.
    #[from(skip)]
    #[display("operation {operation}: reused-id: the id belongs to another request")]
    ReusedId {
        /// The operation id.
        operation: OperationId,
    },
}

impl OperationError {
    /// Returns the aggregate whose rule was violated.
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

    /// Returns the short name of the violated rule.
    pub fn rule(&self) -> String {
        match self {
            OperationError::Rule(it) => it.rule.name(),
            OperationError::UnknownPlan { .. } => "unknown-plan".to_owned(),
            OperationError::ExpiredPlan { .. } => "expired-plan".to_owned(),
            OperationError::Overtaken { .. } | OperationError::Outdated { .. } => "base".to_owned(),
            OperationError::ReusedId { .. } => "reused-id".to_owned(),
        }
    }

    /// Whether the request was malformed, rather than in conflict with the state.
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

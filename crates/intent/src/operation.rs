//! The operations of operators.

use {
    crate::{
        document::Document,
        effect::{ServiceLoad, WeightStore},
        plan::PlanId,
    },
    bincode::{config::standard, serde::encode_to_vec},
    derive_more::Debug,
    model::{Digest, Name, OperationId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A request of an operator, as the leader appends it to the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Operation {
    /// The id of the operation; a resend carries the same id.
    pub id: OperationId,
    /// The operator.
    pub operator: Name,
    /// When the leader received it, in milliseconds since 1970.
    pub at_ms: u64,
    /// The requested action.
    pub action: Action,
    /// The loads known to the leader, from which the effects of a plan are estimated.
    pub live: Arc<[ServiceLoad]>,
    /// The capacity of the weight store, from which the loading time of a plan is estimated.
    pub weights: WeightStore,
}

/// The action that an operator requests.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Action {
    /// Plan the changes to a document.
    Plan(Document),
    /// A document that could not be parsed. It is refused, and the refusal is recorded in the audit
    /// trail.
    Malformed {
        /// The message of the parser.
        message: Name,
        /// The digest of the text.
        text: Digest,
    },
    /// Plan to drain an endpoint.
    Drain {
        /// The name of the endpoint.
        endpoint: Name,
    },
    /// Commit a plan.
    Confirm {
        /// The plan.
        plan: PlanId,
    },
}

impl Operation {
    /// Returns the digest of the operator and the action, which is the same in a resend.
    pub(crate) fn request_digest(&self) -> Digest {
        let request = (&self.operator, &self.action);
        Digest::of(&encode_to_vec(request, standard()).unwrap_or_default())
    }
}

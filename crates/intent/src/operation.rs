//! What operators ask for.

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

/// One request of an operator, as the leader puts it into the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Operation {
    /// Its id: a resend carries the same one.
    pub id: OperationId,
    /// Who asked.
    pub operator: Name,
    /// When the leader took it, in milliseconds since 1970.
    pub at_ms: u64,
    /// What is asked.
    pub action: Action,
    /// The loads that the leader knew of, for the effects of a plan.
    pub live: Arc<[ServiceLoad]>,
    /// The weight store's limits, for the loading time of a plan.
    pub weights: WeightStore,
}

/// What an operator asks for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Action {
    /// Plan the way to a document.
    Plan(Document),
    /// A document that cannot be read; it is refused, and the refusal is audited.
    Malformed {
        /// What the parser says.
        message: Name,
        /// The digest of the text.
        text: Digest,
    },
    /// Plan to drain one endpoint.
    Drain {
        /// Its name.
        endpoint: Name,
    },
    /// Bring a plan into force.
    Confirm {
        /// Which one.
        plan: PlanId,
    },
}

impl Operation {
    /// Returns the digest of who asks for what; the same in a resend.
    pub(crate) fn request(&self) -> Digest {
        let asked = (&self.operator, &self.action);
        Digest::of(&encode_to_vec(asked, standard()).unwrap_or_default())
    }
}

//! The audit trail: who requested what and when, and what it changed.

use {
    crate::{
        answer::{Answer, OperationError},
        operation::Operation,
        plan::PlanId,
    },
    bincode::{config::standard, serde::encode_to_vec},
    derive_more::{Debug, Display},
    model::{Digest, Name, OperationId, Revision},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The maximum number of records in the replicated state. The chain continues from records that
/// were dropped.
const MAX_RECORDS: usize = 20_000;

/// The result of an operation.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum AuditEvent {
    /// A plan was made.
    #[display("planned {plan} on {base}")]
    Planned {
        /// The plan.
        plan: PlanId,
        /// The revision that the plan was made for.
        base: Revision,
    },
    /// A plan was committed.
    #[display("confirmed {plan} as {revision}")]
    Confirmed {
        /// The plan.
        plan: PlanId,
        /// The resulting revision.
        revision: Revision,
    },
    /// The operation was refused and changed nothing.
    #[display("refused: {_0}")]
    Refused(OperationError),
}

/// A record of the audit trail.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct AuditRecord {
    /// The number of the record, starting at 1.
    pub number: u64,
    /// When the operation was received, in milliseconds since 1970.
    pub at_ms: u64,
    /// The operator.
    pub operator: Name,
    /// The operation.
    pub operation: OperationId,
    /// The result of the operation.
    pub event: AuditEvent,
    /// The digest of the configuration before the operation.
    pub before: Digest,
    /// The digest of the configuration after the operation.
    pub after: Digest,
    /// The digest of the `chain` of the previous record followed by all fields above.
    pub chain: Digest,
}

impl AuditRecord {
    /// Computes the value that [`AuditRecord::chain`] must have after a record with the digest
    /// `last`.
    pub fn compute_chain(&self, last: Digest) -> Digest {
        let fields = (
            self.number,
            self.at_ms,
            &self.operator,
            &self.operation,
            &self.event,
            &self.before,
            &self.after,
        );
        last.chain(&encode_to_vec(fields, standard()).unwrap_or_default())
    }
}

/// The audit trail.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct AuditTrail {
    number: u64,
    chain: Digest,
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Appends a record of an operation.
    pub(crate) fn add(
        &mut self,
        operation: &Operation,
        answer: &Answer,
        before: Digest,
        after: Digest,
    ) {
        self.number += 1;
        let mut record = AuditRecord {
            number: self.number,
            at_ms: operation.at_ms,
            operator: operation.operator.clone(),
            operation: operation.id.clone(),
            event: audit_event(answer),
            before,
            after,
            chain: Digest::default(),
        };
        record.chain = record.compute_chain(self.chain);
        self.chain = record.chain;
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the records that are kept, oldest first.
    pub(crate) fn records(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.records.iter()
    }
}

fn audit_event(answer: &Answer) -> AuditEvent {
    match answer {
        Answer::Planned(it) => AuditEvent::Planned { plan: it.plan, base: it.base },
        Answer::Confirmed { plan, revision, .. } => {
            AuditEvent::Confirmed { plan: *plan, revision: *revision }
        }
        Answer::Refused(it) => AuditEvent::Refused(it.clone()),
    }
}

//! The audit trail: who asked for what, when, and what it changed.

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

/// How many records are kept in the replicated state; the chain goes on from those that were dropped.
const MAX_RECORDS: usize = 20_000;

/// What an operation led to.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum AuditEvent {
    /// A plan was made.
    #[display("planned {plan} on {base}")]
    Planned {
        /// The plan.
        plan: PlanId,
        /// The revision that it was made for.
        base: Revision,
    },
    /// A plan came into force.
    #[display("confirmed {plan} as {revision}")]
    Confirmed {
        /// The plan.
        plan: PlanId,
        /// The revision that it led to.
        revision: Revision,
    },
    /// Nothing changed.
    #[display("refused: {_0}")]
    Refused(OperationError),
}

/// One entry of the audit trail.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct AuditRecord {
    /// Its number, from 1.
    pub number: u64,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Who.
    pub operator: Name,
    /// The operation.
    pub operation: OperationId,
    /// What it led to.
    pub event: AuditEvent,
    /// The digest of the configuration before.
    pub before: Digest,
    /// The digest of the configuration after.
    pub after: Digest,
    /// The digest of the record before this one, followed by all fields above.
    pub chain: Digest,
}

impl AuditRecord {
    /// Returns the digest that [`AuditRecord::chain`] must be after a record with this digest.
    pub fn link(&self, last: Digest) -> Digest {
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
pub(crate) struct Trail {
    number: u64,
    chain: Digest,
    records: VecDeque<AuditRecord>,
}

impl Trail {
    /// Appends what an operation led to.
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
            event: event(answer),
            before,
            after,
            chain: Digest::default(),
        };
        record.chain = record.link(self.chain);
        self.chain = record.chain;
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// The records that are kept, oldest first.
    pub(crate) fn records(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.records.iter()
    }
}

fn event(answer: &Answer) -> AuditEvent {
    match answer {
        Answer::Planned(it) => AuditEvent::Planned { plan: it.plan, base: it.base },
        Answer::Confirmed { plan, revision, .. } => {
            AuditEvent::Confirmed { plan: *plan, revision: *revision }
        }
        Answer::Refused(it) => AuditEvent::Refused(it.clone()),
    }
}

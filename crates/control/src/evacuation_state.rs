//! The evacuated failure domains, as part of the replicated state.

use {
    derive_more::Debug,
    model::{Domain, Name, OperationId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The maximum number of records of past orders.
const MAX_RECORDS: usize = 1_000;

/// An order to evacuate a failure domain, or to withdraw its evacuation.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct EvacuationOrder {
    /// The failure domain.
    pub domain: Domain,
    /// When the leader received the order, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who gave the order.
    pub by: Name,
    /// Whether the domain is to be evacuated; otherwise its evacuation is withdrawn.
    pub active: bool,
    /// The id that the operator gave the order, if any. An order with the id of an earlier one has no effect.
    pub operation: Option<OperationId>,
}

/// What became of an order.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum EvacuationOutcome {
    /// The order is in force, or was already, or was carried out before under the same id.
    Done,
    /// An earlier order of another content has the same id. Nothing was changed.
    ReusedOperation,
}

/// An evacuated failure domain.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Evacuation {
    /// The revision of the set that the order led to.
    pub revision: u64,
    /// When the evacuation was ordered, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who ordered it.
    pub by: Name,
}

/// A past order.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct EvacuationRecord {
    /// The revision of the set after the order.
    pub revision: u64,
    /// Whether the order changed the set.
    pub is_change: bool,
    /// The order.
    pub order: EvacuationOrder,
}

/// The evacuated domains and the orders that led to them.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct EvacuationState {
    revision: u64,
    active: BTreeMap<Domain, Evacuation>,
    records: VecDeque<EvacuationRecord>,
}

impl EvacuationState {
    /// Applies an order that is committed as the log entry `index`.
    ///
    /// The revision is the index of the last entry that changed the set. It therefore increases even if a build without
    /// evacuations has dropped the set in between, and is the same on replicas with different histories.
    pub(crate) fn apply(&mut self, index: u64, order: EvacuationOrder) -> EvacuationOutcome {
        if let Some(earlier) = self.find_operation(&order) {
            let is_same = (&earlier.domain, earlier.active) == (&order.domain, order.active);
            return if is_same {
                EvacuationOutcome::Done
            } else {
                EvacuationOutcome::ReusedOperation
            };
        }
        let is_change = self.active.contains_key(&order.domain) != order.active;
        if is_change {
            self.revision = index;
            if order.active {
                let (at_ms, by) = (order.at_ms, order.by.clone());
                let evacuation = Evacuation { revision: index, at_ms, by };
                self.active.insert(order.domain.clone(), evacuation);
            } else {
                self.active.remove(&order.domain);
            }
        }
        // Orders without an id and without effect are resent ones, which would displace others.
        if is_change || order.operation.is_some() {
            self.records.push_back(EvacuationRecord { revision: self.revision, is_change, order });
            if self.records.len() > MAX_RECORDS {
                self.records.pop_front();
            }
        }
        EvacuationOutcome::Done
    }

    /// The revision of the set; 0 if it was never changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The evacuated domains.
    pub fn active(&self) -> &BTreeMap<Domain, Evacuation> {
        &self.active
    }

    /// The past orders that are kept, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &EvacuationRecord> {
        self.records.iter()
    }

    fn find_operation(&self, order: &EvacuationOrder) -> Option<&EvacuationOrder> {
        let id = order.operation.as_ref()?;
        let mut orders = self.records.iter().map(|it| &it.order);
        orders.find(|it| it.operation.as_ref() == Some(id))
    }
}

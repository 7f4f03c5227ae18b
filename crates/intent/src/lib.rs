//! What operators want, and how it comes into force.
//!
//! An operator sends the whole desired state as a [`Document`] and gets a [`Proposal`]: what would change, which live
//! requests it touches and how long weights take to load. Confirming the plan commits it only if the configuration
//! that it was made for is still in force. [`IntentState`] is the replicated state machine behind this: it takes
//! [`Operation`]s in log order, records the [`Answer`] of each, so that a resend gets the same one, and chains an audit
//! [`AuditRecord`] to the one before.
//!
//! [`Reconciler`] compares what endpoints carry with what is intended and says which orders to send.
//!
//! Nothing here reads a clock: the leader writes the time into each operation, and passes it to the reconciler.

mod answer;
mod answers;
mod audit;
mod diff;
mod document;
mod effect;
mod endpoint;
mod operation;
mod orders;
mod plan;
mod rule;
mod service;
mod state;
mod team;
mod whole;

pub use crate::{
    answer::{Answer, OperationError, Proposal, RevisionAuthor},
    audit::{AuditEvent, AuditRecord},
    document::{Document, EndpointSpec, ImageSpec, ServiceSpec, TeamSpec},
    effect::{Effect, ServiceLoad, WeightStore},
    operation::{Action, Operation},
    orders::{
        ActionId, Observation, Order, OrderAction, OrderLimits, OrderProgress, OrderReply,
        Reconciler,
    },
    plan::PlanId,
    rule::{Aggregate, Rule, Violation},
    state::IntentState,
};

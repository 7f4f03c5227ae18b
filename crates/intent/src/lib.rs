//! The desired state of the fleet, and how it comes into force.
//!
//! An operator sends the whole desired state as a [`Document`] and gets a [`Proposal`]: the
//! changes, the live requests that they affect and how long the weights take to load. Confirming
//! the plan commits it only if the configuration that it was made for is still in force.
//! [`IntentState`] is the replicated state machine behind this. It applies [`Operation`]s in log
//! order, records the [`Answer`] to each, so that a resend gets the same one, and chains each
//! [`AuditRecord`] to the previous one.
//!
//! [`Reconciler`] compares the images that endpoints have loaded with the desired ones and returns
//! the orders to send.
//!
//! Nothing here reads a clock: the leader writes the time into each operation, and passes it to the
//! reconciler.

mod answer;
mod answer_cache;
mod audit;
mod consistency;
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

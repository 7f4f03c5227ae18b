//! What operators want, and how it comes into force.
//!
//! An operator sends the whole desired state as a [`Document`] and gets a [`Proposal`]: what would change, which live
//! requests it touches and how long weights take to load. Confirming the plan commits it only if the configuration
//! that it was made for is still in force. [`Intents`] is the replicated state machine behind this: it takes
//! [`Operation`]s in log order, records the [`Answer`] of each, so that a resend gets the same one, and chains an audit
//! [`Record`] to the one before.
//!
//! Nothing here reads a clock: the leader writes the time into each operation.

mod answer;
mod audit;
mod diff;
mod document;
mod effect;
mod endpoint;
mod operation;
mod plan;
mod rule;
mod service;
mod state;
mod team;
mod whole;

pub use crate::{
    answer::{Answer, Proposal, Refused, Winner},
    audit::{Event, Record},
    document::{Document, EndpointForm, ImageForm, ServiceForm, TeamForm},
    effect::{Effect, LiveLoad, WeightStore},
    operation::{Action, Operation},
    plan::PlanId,
    rule::{Aggregate, Rule, Violation},
    state::Intents,
};

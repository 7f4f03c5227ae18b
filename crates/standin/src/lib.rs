//! The project's own stand-in for what it routes to: engines, plain services, the host list and the weight store.
//!
//! It speaks the protocols written down in docs/ENDPOINT-PROTOCOL.md, for development and tests only. Many endpoints
//! run in one process, each on its own port; a crash drops one endpoint's connections and refuses new ones for a
//! while, and leaves the others alone. [`Completion`] is the text that an engine must give, so that a load tool can check
//! every byte.

#![allow(clippy::disallowed_methods, reason = "a stand-in keeps its own time")]

mod batch;
mod cache;
mod chat;
mod completion;
mod engine;
mod events;
mod fault;
mod gate;
mod host_list;
mod lag;
mod orders;
mod plain;
mod reply;
mod routes;
mod serve;
mod settings;
mod weight_store;

pub use crate::{
    batch::{Batch, BatchLimits, Job, JobId, StepEvent},
    cache::PrefixCache,
    chat::{ChatRequest, Message, PrefixBlock, prefix_chain},
    completion::{Completion, TOKEN_BYTES},
    engine::Engine,
    fault::Fault,
    host_list::HostList,
    plain::PlainService,
    serve::Endpoint,
    settings::{
        EngineSettings, HostListSettings, ListedHost, PlainSettings, StandinSettings,
        WeightStoreSettings,
    },
    weight_store::WeightStore,
};

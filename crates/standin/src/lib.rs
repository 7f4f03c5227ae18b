//! Mock backends for development and tests: engines, plain services, the host list and the weight store.
//!
//! They implement the protocols in docs/ENDPOINT-PROTOCOL.md. Many endpoints run in one process, each on its own port.
//! A simulated crash drops one endpoint's connections and refuses new ones for a while without affecting the others.
//! [`Completion`] is the deterministic response that every engine returns, so that a load tool can check each byte.

#![allow(clippy::disallowed_methods, reason = "simulated delays need the real clock")]

mod batch;
mod cache;
mod chat;
mod completion;
mod engine;
mod events;
mod fault;
mod faulty_socket;
mod host_list;
mod lag;
mod orders;
mod plain;
mod response;
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

//! Endpoints and requests for tests.

#![allow(dead_code, reason = "each test file uses some of these")]

pub(crate) mod overload;
pub(crate) mod simulation;

use {
    directory::ListedEndpoint,
    dispatch::{DispatchRequest, Dispatcher, LoadChunk, LoadReport, Prompt, PromptPart},
    model::{Domain, MILLISECOND, SECOND, Time},
    smallvec::SmallVec,
};

pub(crate) const NOW: Time = Time(10 * SECOND);

pub(crate) fn domain(name: &str) -> Domain {
    Domain(name.into())
}

pub(crate) fn listed(service: &str, at: u16, slots: u32) -> ListedEndpoint {
    let domains = ["d0", "d1", "d2"];
    ListedEndpoint {
        id: format!("{service}-{at}").into(),
        service: service.into(),
        addr: ([10, 0, 0, 1], at).into(),
        domain: domain(domains[usize::from(at) % 3]),
        slots,
        draining: false,
        started_at_ms: None,
        build: None,
    }
}

/// Returns a dispatcher in domain d0 with `model_endpoints` endpoints that run a model and three
/// plain endpoints, and the list of all of them.
pub(crate) fn dispatcher(model_endpoints: u16, slots: u32) -> (Dispatcher, Vec<ListedEndpoint>) {
    let mut dispatcher = Dispatcher::new(domain("d0"), 1);
    dispatcher.set_kv_capacity(&"model".into(), Some(600_000));
    let model_endpoints = (0..model_endpoints).map(|it| listed("model", it, slots));
    let listing: Vec<_> =
        model_endpoints.chain((0..3).map(|it| listed("plain", 100 + it, 6))).collect();
    dispatcher.update_endpoints(&listing);
    (dispatcher, listing)
}

pub(crate) fn plain(now: Time) -> DispatchRequest {
    DispatchRequest {
        service: "plain".into(),
        prompt: None,
        priority: 1,
        wait_until: now + 100 * MILLISECOND,
        excluded: SmallVec::new(),
        build: None,
        regions: None,
        team: 0,
        deadline: None,
    }
}

/// Returns a request of a chat whose shared prompt has `tokens` tokens.
pub(crate) fn chat(now: Time, chat: u64, tokens: u32, own: u64) -> DispatchRequest {
    let parts = [
        PromptPart { id: 1, tokens: 100 },
        PromptPart { id: 1_000 + chat, tokens },
        PromptPart { id: 1_000_000 + own, tokens: 300 },
    ];
    let prompt = Prompt { parts: parts.into_iter().collect(), tokens: tokens + 500 };
    DispatchRequest { service: "model".into(), prompt: Some(prompt), ..plain(now) }
}

/// Returns a report that covers all endpoints.
pub(crate) fn whole(loads: &[(u64, LoadReport)]) -> LoadChunk {
    LoadChunk { from: 0, to: u64::MAX, loads: loads.to_vec() }
}

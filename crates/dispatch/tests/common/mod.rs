//! Endpoints and requests for tests.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    directory::Listed,
    dispatch::{Ask, Dispatcher, Part, Prompt},
    model::{Domain, MILLISECOND, SECOND, Time},
    smallvec::SmallVec,
};

pub(crate) const NOW: Time = Time(10 * SECOND);

pub(crate) fn domain(name: &str) -> Domain {
    Domain(name.into())
}

pub(crate) fn listed(service: &str, at: u16, slots: u32) -> Listed {
    let domains = ["d0", "d1", "d2"];
    Listed {
        id: format!("{service}-{at}").into(),
        service: service.into(),
        addr: ([10, 0, 0, 1], at).into(),
        domain: domain(domains[usize::from(at) % 3]),
        slots,
        draining: false,
        born: None,
    }
}

/// A dispatcher in domain d0 with so many engines and three plain endpoints.
pub(crate) fn dispatcher(engines: u16, slots: u32) -> (Dispatcher, Vec<Listed>) {
    let mut dispatcher = Dispatcher::new(domain("d0"));
    dispatcher.set_memory(&"model".into(), Some(600_000));
    let engines = (0..engines).map(|it| listed("model", it, slots));
    let listing: Vec<_> = engines.chain((0..3).map(|it| listed("plain", 100 + it, 6))).collect();
    dispatcher.refresh(&listing);
    (dispatcher, listing)
}

pub(crate) fn plain(now: Time) -> Ask {
    Ask {
        service: "plain".into(),
        prompt: None,
        priority: 1,
        patience: now + 100 * MILLISECOND,
        tried: SmallVec::new(),
    }
}

/// A request of a chat whose shared prompt has so many tokens.
pub(crate) fn chat(now: Time, chat: u64, tokens: u32, own: u64) -> Ask {
    let parts = [
        Part { id: 1, tokens: 100 },
        Part { id: 1_000 + chat, tokens },
        Part { id: 1_000_000 + own, tokens: 300 },
    ];
    let prompt = Prompt { parts: parts.into_iter().collect(), tokens: tokens + 500 };
    Ask { service: "model".into(), prompt: Some(prompt), ..plain(now) }
}

//! Builders of documents and operations for tests.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    intent::{
        Action, Answer, Document, EndpointSpec, ImageSpec, IntentState, Operation, PlanId,
        Proposal, ServiceSpec, TeamSpec, WeightStore,
    },
    model::{EndpointState, Fencing, Name, OperationId, ServiceKind},
};

pub(crate) fn team(name: &str, token: u8) -> TeamSpec {
    let token = format!("sha256:{}", format!("{token:02x}").repeat(32));
    TeamSpec {
        name: name.into(),
        tokens: vec![token.into()],
        weight: 1,
        priority: 1,
        rate_per_second: 100,
        running: 10,
        queued: 10,
        services: Vec::new(),
    }
}

pub(crate) fn service(name: &str, minimum: u32) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        kind: ServiceKind::Model,
        bound_permille: 1_250,
        minimum,
        claim_ms: 60_000,
    }
}

pub(crate) fn endpoint(name: &str, service: &str, port: u16) -> EndpointSpec {
    EndpointSpec {
        name: name.into(),
        service: service.into(),
        addr: ([127, 0, 0, 1], port).into(),
        domain: model::Domain("prg-a".into()),
        weight_permille: 1_000,
        fencing: Fencing::Checked,
        state: EndpointState::Active,
        images: vec![ImageSpec { model: "draft".into(), adapter: "".into(), version: "1".into() }],
    }
}

/// Returns a document with one service, endpoints at these ports and a team for each token.
pub(crate) fn document(ports: &[u16], tokens: &[u8]) -> Document {
    let name = |it: &u16| format!("draftmodel-{it}");
    Document {
        teams: tokens.iter().map(|it| team(&format!("team-{it}"), *it)).collect(),
        services: vec![service("draftmodel", 1)],
        endpoints: ports.iter().map(|it| endpoint(&name(it), "draftmodel", *it)).collect(),
    }
}

pub(crate) fn operation(id: &str, operator: &str, action: Action) -> Operation {
    Operation {
        id: OperationId(id.into()),
        operator: operator.into(),
        at_ms: 1_000,
        action,
        live: [].into(),
        weights: WeightStore { image_bytes: 1_000, rate_bytes: 500 },
    }
}

pub(crate) fn planned(answer: Answer) -> Proposal {
    match answer {
        Answer::Planned(it) => it,
        other => panic!("not planned: {other:?}"),
    }
}

/// Plans and confirms a document.
pub(crate) fn commit(intents: &mut IntentState, id: &str, document: Document) -> Answer {
    let plan = intents.apply(&operation(&format!("{id}-plan"), "alice", Action::Plan(document)));
    confirm(intents, id, planned(plan).plan)
}

pub(crate) fn confirm(intents: &mut IntentState, id: &str, plan: PlanId) -> Answer {
    intents.apply(&operation(id, "alice", Action::Confirm { plan }))
}

pub(crate) fn drain(endpoint: &str) -> Action {
    Action::Drain { endpoint: Name::from(endpoint) }
}

//! Documents that violate a rule are refused with the name of the rule, and change nothing.

mod common;

use {
    common::{commit, confirm, document, drain, operation, planned},
    intent::{
        Action, Aggregate, Answer, AuditEvent, Document, Effect, IntentState, OperationError,
        ServiceLoad,
    },
    model::{EndpointState, Revision, ServiceId, Work},
    rstest::rstest,
};

fn base() -> Document {
    document(&[7001, 7002], &[1, 2])
}

fn edit<F>(edit: F) -> Document
where
    F: FnOnce(&mut Document),
{
    let mut document = base();
    edit(&mut document);
    document
}

#[rstest]
#[case(edit(|it| it.endpoints[0].service = "nowhere".into()), "unknown-service", "endpoint draftmodel-7001")]
#[case(edit(|it| it.endpoints[1].name = "draftmodel-7001".into()), "duplicate-name", "endpoint draftmodel-7001")]
#[case(edit(|it| it.endpoints[1].addr = it.endpoints[0].addr), "shared-address", "endpoint draftmodel-7002")]
#[case(edit(|it| it.endpoints[0].images.clear()), "no-image", "endpoint draftmodel-7001")]
#[case(edit(|it| { let image = it.endpoints[0].images[0].clone(); it.endpoints[0].images.push(image) }), "duplicate-image", "endpoint draftmodel-7001")]
#[case(edit(|it| it.endpoints[0].weight_permille = 0), "range", "endpoint draftmodel-7001")]
#[case(edit(|it| it.endpoints[0].name = "a b".into()), "name", "endpoint a b")]
#[case(edit(|it| it.services[0].minimum = 3), "minimum", "service draftmodel")]
#[case(edit(|it| it.services[0].kind = model::ServiceKind::Plain), "kind", "service draftmodel")]
#[case(edit(|it| it.services[0].bound_permille = 1_000), "range", "service draftmodel")]
#[case(edit(|it| it.services.push(it.services[0].clone())), "duplicate-name", "service draftmodel")]
#[case(edit(|it| it.teams[1].tokens = it.teams[0].tokens.clone()), "shared-token", "team team-2")]
#[case(edit(|it| it.teams[0].tokens = vec!["secret".into()]), "token", "team team-1")]
#[case(edit(|it| it.teams[0].tokens.clear()), "no-token", "team team-1")]
#[case(edit(|it| it.teams[0].services = vec!["nowhere".into()]), "unknown-service", "team team-1")]
#[case(edit(|it| it.teams.push(it.teams[0].clone())), "duplicate-name", "team team-1")]
fn a_violated_rule_is_reported_by_name(
    #[case] document: Document,
    #[case] rule: &str,
    #[case] aggregate: &str,
) {
    let mut intents = IntentState::default();
    commit(&mut intents, "base", base());
    let before = intents.config().clone();
    let answer = intents.apply(&operation("op", "alice", Action::Plan(document)));
    let Answer::Refused(refused) = answer else { panic!("not refused: {answer:?}") };
    assert_eq!((&*refused.rule(), &*refused.aggregate()), (rule, aggregate));
    assert_eq!(intents.config(), &before);
    let last = intents.audit().next_back().unwrap();
    assert_eq!(last.event, AuditEvent::Refused(refused));
    assert_eq!(last.before, last.after);
}

#[test]
fn a_drain_below_the_minimum_is_refused() {
    let mut intents = IntentState::default();
    commit(&mut intents, "base", base());
    let plan = planned(intents.apply(&operation("op-1", "alice", drain("draftmodel-7001"))));
    assert!(matches!(confirm(&mut intents, "op-2", plan.plan), Answer::Confirmed { .. }));
    let endpoint = intents.config().endpoints.values().next().unwrap().clone();
    assert_eq!(endpoint.state, EndpointState::Draining);
    let answer = intents.apply(&operation("op-3", "alice", drain("draftmodel-7002")));
    let Answer::Refused(OperationError::Rule(violation)) = answer else { panic!("{answer:?}") };
    assert_eq!(violation.aggregate, Aggregate::Service("draftmodel".into()));
}

#[test]
fn unknown_and_expired_plans_have_different_errors() {
    let mut intents = IntentState::default();
    let plan = planned(intents.apply(&operation("op-1", "alice", Action::Plan(base()))));
    let unknown = confirm(&mut intents, "op-2", intent::PlanId(plan.plan.0 + 1));
    assert!(matches!(unknown, Answer::Refused(OperationError::UnknownPlan { .. })), "{unknown:?}");
    let mut late = operation("op-3", "alice", Action::Confirm { plan: plan.plan });
    late.at_ms += 3_600_000;
    let expired = intents.apply(&late);
    assert!(matches!(expired, Answer::Refused(OperationError::ExpiredPlan { .. })), "{expired:?}");
    assert_eq!(intents.config().revision, Revision(0));
}

#[test]
fn a_plan_lists_its_effects_and_the_loading_time() {
    let mut intents = IntentState::default();
    commit(&mut intents, "base", base());
    let next = edit(|it| {
        it.endpoints[0].state = EndpointState::Draining;
        it.endpoints[1].images[0].version = "2".into();
        it.teams.pop();
    });
    let mut plan = operation("op", "alice", Action::Plan(next));
    plan.live = [ServiceLoad { service: ServiceId(1), sum: Work(300), count: 2 }].into();
    let proposal = planned(intents.apply(&plan));
    let image = |version: &str| model::Image {
        model: "draft".into(),
        adapter: "".into(),
        version: version.into(),
    };
    let (first, second) = ("draftmodel-7001".into(), "draftmodel-7002");
    let expected = [
        Effect::Drains { endpoint: first, load: Work(150) },
        Effect::Loads { endpoint: second.into(), image: image("2") },
        Effect::Unloads { endpoint: second.into(), image: image("1") },
        Effect::Refuses { team: "team-2".into() },
        Effect::LoadTime { count: 1, ms: 2_000 },
    ];
    assert_eq!(&*proposal.effects, expected);
    assert_eq!(proposal.changes.len(), 3, "{:?}", proposal.changes);
}

#[test]
fn an_endpoint_at_another_address_gets_a_new_id() {
    let mut intents = IntentState::default();
    commit(&mut intents, "base", base());
    let old = intents.config().endpoints.keys().copied().collect::<Vec<_>>();
    commit(&mut intents, "move", edit(|it| it.endpoints[0].addr.set_port(7009)));
    let new = intents.config().endpoints.keys().copied().collect::<Vec<_>>();
    assert_eq!(new.len(), 2);
    assert!(!new.contains(&old[0]) && new.contains(&old[1]), "{old:?} {new:?}");
}

//! Operators confirm plans with the same base concurrently and resend operations whose answers were
//! lost, across leader changes.

mod common;

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    common::{document, operation},
    intent::{Action, Answer, AuditEvent, IntentState, Operation, OperationError, PlanId},
    model::{Config, Digest, EndpointId, Revision},
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
        prop_assert, prop_assert_eq, proptest,
        sample::Index,
        test_runner::TestCaseResult,
    },
    std::{collections::BTreeMap, sync::Arc},
};

#[derive(Clone, Debug)]
enum Step {
    /// An operator plans a document with endpoints at these ports.
    Plan(usize, Vec<u16>),
    /// An operator confirms one of the existing plans.
    Confirm(usize, Index),
    /// An operation is resent unchanged.
    Resend(Index),
    /// An operation id is reused for another request.
    ReuseId(Index),
    /// A new leader starts from a snapshot.
    LeaderChange,
    /// A router at an earlier configuration requests the deltas since then.
    CatchUp(Index),
}

fn step() -> impl Strategy<Value = Step> {
    let ports = || proptest::sample::subsequence(vec![7001u16, 7002, 7003], 1..=3);
    prop_oneof![
        3 => (0..2usize, ports()).prop_map(|(operator, ports)| Step::Plan(operator, ports)),
        4 => (0..2usize, any::<Index>()).prop_map(|(operator, plan)| Step::Confirm(operator, plan)),
        2 => any::<Index>().prop_map(Step::Resend),
        1 => any::<Index>().prop_map(Step::ReuseId),
        2 => Just(Step::LeaderChange),
        2 => any::<Index>().prop_map(Step::CatchUp),
    ]
}

const OPERATORS: [&str; 2] = ["alice", "omar"];

#[derive(Default)]
struct Simulation {
    intents: IntentState,
    sent: Vec<(Operation, Answer)>,
    plans: Vec<(PlanId, Revision, bool)>,
    configs: Vec<Arc<Config>>,
    /// The operation that committed each revision.
    commits: BTreeMap<Revision, Operation>,
    /// The name of each endpoint id that was ever assigned.
    names: BTreeMap<EndpointId, String>,
}

impl Simulation {
    fn run(&mut self, step: &Step) -> TestCaseResult {
        match step {
            Step::Plan(operator, ports) => {
                let action = Action::Plan(document(ports, &[1]));
                if let Answer::Planned(it) = self.send(*operator, action)? {
                    self.plans.push((it.plan, it.base, it.changes.is_empty()));
                }
            }
            Step::Confirm(operator, plan) if !self.plans.is_empty() => {
                let (plan, ..) = *plan.get(&self.plans);
                self.send(*operator, Action::Confirm { plan })?;
            }
            Step::Resend(index) if !self.sent.is_empty() => self.resend(index)?,
            Step::ReuseId(index) if !self.sent.is_empty() => self.reuse_id(index)?,
            Step::LeaderChange => {
                let bytes = encode_to_vec(&self.intents, standard()).unwrap();
                self.intents = decode_from_slice(&bytes, standard()).unwrap().0;
            }
            Step::CatchUp(index) if !self.configs.is_empty() => self.catch_up(index)?,
            _ => {}
        }
        self.check_ids()
    }

    fn send(
        &mut self,
        operator: usize,
        action: Action,
    ) -> Result<Answer, proptest::prelude::TestCaseError> {
        let sent = operation(&format!("op-{}", self.sent.len()), OPERATORS[operator], action);
        let before = self.intents.config().clone();
        let answer = self.intents.apply(&sent);
        let after = self.intents.config().clone();
        self.check_answer(&sent, &answer, &before, &after)?;
        self.sent.push((sent, answer.clone()));
        if before != after {
            self.configs.push(after);
        }
        Ok(answer)
    }

    /// Checks that a confirmation commits exactly if the base of the plan is in force, and that it
    /// is told the author of the next revision otherwise.
    fn check_answer(
        &mut self,
        sent: &Operation,
        answer: &Answer,
        before: &Config,
        after: &Config,
    ) -> TestCaseResult {
        let Action::Confirm { plan } = sent.action else {
            prop_assert_eq!(before, after);
            return Ok(());
        };
        let (_, base, empty) = *self.plans.iter().find(|it| it.0 == plan).unwrap();
        match answer {
            Answer::Confirmed { revision, .. } => {
                prop_assert_eq!(base, before.revision);
                prop_assert_eq!(*revision, after.revision);
                prop_assert_eq!(after.revision == before.revision, empty);
                if !empty {
                    prop_assert_eq!(after.revision, base.next());
                    prop_assert!(self.commits.insert(*revision, sent.clone()).is_none());
                }
            }
            Answer::Refused(OperationError::Overtaken {
                base: reported, current, winner, ..
            }) => {
                prop_assert_eq!(before, after);
                prop_assert_eq!((*reported, *current), (base, before.revision));
                let first = &self.commits[&base.next()];
                prop_assert_eq!(&winner.operation, &first.id);
                prop_assert_eq!(&winner.operator, &first.operator);
            }
            other => prop_assert!(false, "unexpected {:?}", other),
        }
        Ok(())
    }

    fn resend(&mut self, index: &Index) -> TestCaseResult {
        let (sent, answer) = index.get(&self.sent).clone();
        let before = self.intents.config().clone();
        // The resend reaches a later leader, which knows different loads.
        let again = Operation { at_ms: sent.at_ms + 500, ..sent };
        prop_assert_eq!(self.intents.apply(&again), answer);
        prop_assert_eq!(self.intents.config(), &before);
        Ok(())
    }

    fn reuse_id(&mut self, index: &Index) -> TestCaseResult {
        let (sent, _) = index.get(&self.sent).clone();
        let before = self.intents.config().clone();
        let other = Operation { action: common::drain("nothing"), ..sent };
        let answer = self.intents.apply(&other);
        prop_assert!(
            matches!(answer, Answer::Refused(OperationError::ReusedId { .. })),
            "{:?}",
            answer
        );
        prop_assert_eq!(self.intents.config(), &before);
        Ok(())
    }

    /// Checks that the deltas from any earlier configuration lead to the one in force, and that
    /// each increases the revision.
    fn catch_up(&mut self, index: &Index) -> TestCaseResult {
        let mut config = Config::clone(index.get(&self.configs).as_ref());
        let deltas = self.intents.deltas(config.revision, config.digest).unwrap();
        for delta in deltas {
            let before = config.revision;
            config.apply(&delta).unwrap();
            prop_assert!(config.revision > before);
            prop_assert!(config.apply(&delta).is_err(), "a delta applied twice");
        }
        prop_assert_eq!(&config, &**self.intents.config());
        Ok(())
    }

    /// Checks that an id never refers to another endpoint, even after its endpoint was removed and
    /// added again.
    fn check_ids(&mut self) -> TestCaseResult {
        let revision = self.intents.config().revision;
        for endpoint in self.intents.config().endpoints.values() {
            let since = self.configs.iter().position(|it| it.endpoints.contains_key(&endpoint.id));
            let all = self.configs.iter().skip(since.unwrap_or(0));
            let kept = all.clone().all(|it| it.endpoints.contains_key(&endpoint.id));
            prop_assert!(kept, "{:?} was reused at {}", endpoint.id, revision);
            let name = self.names.entry(endpoint.id).or_insert_with(|| endpoint.name.to_string());
            prop_assert_eq!(&**name, &*endpoint.name);
        }
        Ok(())
    }

    /// Checks that the audit trail is an unbroken chain and names the operation that committed each
    /// revision.
    fn check_audit(&self) -> TestCaseResult {
        let mut last = Digest::default();
        let mut committed = BTreeMap::new();
        for record in self.intents.audit() {
            prop_assert_eq!(record.chain, record.compute_chain(last));
            last = record.chain;
            if let AuditEvent::Confirmed { revision, .. } = record.event
                && record.before != record.after
            {
                committed.insert(revision, record.operation.clone());
            }
        }
        let expected = self.commits.iter().map(|(revision, it)| (*revision, it.id.clone()));
        prop_assert_eq!(committed, expected.collect::<BTreeMap<_, _>>());
        prop_assert_eq!(self.commits.len() as u64, self.intents.config().revision.0);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_of_several_plans_on_a_base_commits_and_a_resend_gets_the_same_answer(steps in vec(step(), 1..60)) {
        let mut simulation = Simulation::default();
        for step in &steps {
            simulation.run(step)?;
        }
        simulation.check_audit()?;
    }
}

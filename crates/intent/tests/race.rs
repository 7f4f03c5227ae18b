//! Operators who race with equal base numbers and resend after losing answers, across changes of leader.

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
    /// An operator plans for these ports.
    Plan(usize, Vec<u16>),
    /// An operator confirms one of the plans made so far.
    Confirm(usize, Index),
    /// Some operation is sent again, word for word.
    Resend(Index),
    /// Some operation id is used for another request.
    Reuse(Index),
    /// Another replica takes over from a snapshot.
    LeaderChange,
    /// A router that stands at some earlier configuration asks for what is new.
    Follow(Index),
}

fn step() -> impl Strategy<Value = Step> {
    let ports = || proptest::sample::subsequence(vec![7001u16, 7002, 7003], 1..=3);
    prop_oneof![
        3 => (0..2usize, ports()).prop_map(|(who, ports)| Step::Plan(who, ports)),
        4 => (0..2usize, any::<Index>()).prop_map(|(who, plan)| Step::Confirm(who, plan)),
        2 => any::<Index>().prop_map(Step::Resend),
        1 => any::<Index>().prop_map(Step::Reuse),
        2 => Just(Step::LeaderChange),
        2 => any::<Index>().prop_map(Step::Follow),
    ]
}

const OPERATORS: [&str; 2] = ["alice", "omar"];

#[derive(Default)]
struct Bench {
    intents: IntentState,
    sent: Vec<(Operation, Answer)>,
    plans: Vec<(PlanId, Revision, bool)>,
    configs: Vec<Arc<Config>>,
    /// The operation that led to each revision.
    commits: BTreeMap<Revision, Operation>,
    /// The names that ids were seen under, whether in force or not.
    names: BTreeMap<EndpointId, String>,
}

impl Bench {
    fn run(&mut self, step: &Step) -> TestCaseResult {
        match step {
            Step::Plan(who, ports) => {
                let action = Action::Plan(document(ports, &[1]));
                if let Answer::Planned(it) = self.send(*who, action)? {
                    self.plans.push((it.plan, it.base, it.changes.is_empty()));
                }
            }
            Step::Confirm(who, plan) if !self.plans.is_empty() => {
                let (plan, ..) = *plan.get(&self.plans);
                self.send(*who, Action::Confirm { plan })?;
            }
            Step::Resend(index) if !self.sent.is_empty() => self.resend(index)?,
            Step::Reuse(index) if !self.sent.is_empty() => self.reuse(index)?,
            Step::LeaderChange => {
                let bytes = encode_to_vec(&self.intents, standard()).unwrap();
                self.intents = decode_from_slice(&bytes, standard()).unwrap().0;
            }
            Step::Follow(index) if !self.configs.is_empty() => self.follow(index)?,
            _ => {}
        }
        self.check_ids()
    }

    fn send(
        &mut self,
        who: usize,
        action: Action,
    ) -> Result<Answer, proptest::prelude::TestCaseError> {
        let sent = operation(&format!("op-{}", self.sent.len()), OPERATORS[who], action);
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

    /// Exactly the plan whose base is in force commits; all others are told who was first.
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
            Answer::Refused(OperationError::Overtaken { base: told, current, winner, .. }) => {
                prop_assert_eq!(before, after);
                prop_assert_eq!((*told, *current), (base, before.revision));
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
        // The resend reaches another leader later, when other loads are known.
        let again = Operation { at_ms: sent.at_ms + 500, ..sent };
        prop_assert_eq!(self.intents.apply(&again), answer);
        prop_assert_eq!(self.intents.config(), &before);
        Ok(())
    }

    fn reuse(&mut self, index: &Index) -> TestCaseResult {
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

    /// The deltas from any earlier configuration lead to the one in force, and up only.
    fn follow(&mut self, index: &Index) -> TestCaseResult {
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

    /// An id never names another endpoint, also after its endpoint was removed and added again.
    fn check_ids(&mut self) -> TestCaseResult {
        let revision = self.intents.config().revision;
        for endpoint in self.intents.config().endpoints.values() {
            let since = self.configs.iter().position(|it| it.endpoints.contains_key(&endpoint.id));
            let all = self.configs.iter().skip(since.unwrap_or(0));
            let kept = all.clone().all(|it| it.endpoints.contains_key(&endpoint.id));
            prop_assert!(kept, "{:?} came back at {}", endpoint.id, revision);
            let name = self.names.entry(endpoint.id).or_insert_with(|| endpoint.name.to_string());
            prop_assert_eq!(&**name, &*endpoint.name);
        }
        Ok(())
    }

    /// The audit trail is an unbroken chain, and says who brought each revision into force.
    fn check_audit(&self) -> TestCaseResult {
        let mut last = Digest::default();
        let mut committed = BTreeMap::new();
        for record in self.intents.audit() {
            prop_assert_eq!(record.chain, record.link(last));
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
    fn one_of_equal_bases_commits_and_a_resend_gets_the_same_answer(steps in vec(step(), 1..60)) {
        let mut bench = Bench::default();
        for step in &steps {
            bench.run(step)?;
        }
        bench.check_audit()?;
    }
}

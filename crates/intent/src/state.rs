//! The replicated state machine of intents.

use {
    crate::{
        answer::{Answer, OperationError, Proposal, RevisionAuthor},
        answers::{Answers, Recorded},
        audit::{AuditRecord, Trail},
        diff::{self, Draft, Ids},
        document::Document,
        effect,
        operation::{Action, Operation},
        plan::{Found, Plan, PlanId, Plans},
        rule::{Aggregate, Rule, Violation},
    },
    derive_more::Debug,
    model::{Change, Config, Delta, Digest, Name, Revision},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// How many of the last deltas are kept, for routers that are a little behind.
const MAX_DELTAS: usize = 256;

/// How many of the last revisions have their authors kept.
const MAX_WINNERS: usize = 1_000;

/// The configuration in force, and all that leads to the next one.
///
/// A pure function of the operations applied, in order: replicas that applied the same ones are equal.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct IntentState {
    config: Arc<Config>,
    ids: Ids,
    plans: Plans,
    answers: Answers,
    winners: BTreeMap<Revision, RevisionAuthor>,
    deltas: VecDeque<Delta>,
    trail: Trail,
    now_ms: u64,
}

impl IntentState {
    /// Carries out an operation, or returns the answer that it got before.
    ///
    /// The state's time never goes back, whatever the leader's clock says.
    pub fn apply(&mut self, operation: &Operation) -> Answer {
        self.now_ms = self.now_ms.max(operation.at_ms);
        self.plans.expire(self.now_ms);
        let request = operation.request();
        if let Some(recorded) = self.answers.get(&operation.id) {
            if recorded.request == request {
                return recorded.answer.clone();
            }
            let reused = OperationError::ReusedId { operation: operation.id.clone() };
            return self.audited(operation, |_| Answer::Refused(reused));
        }
        let answer = self.audited(operation, |it| it.carry_out(operation));
        self.answers.add(operation.id.clone(), Recorded { request, answer: answer.clone() });
        answer
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the deltas from a revision with this digest to the one in force, if all of them are still kept.
    pub fn deltas(&self, revision: Revision, digest: Digest) -> Option<Vec<Delta>> {
        if revision == self.config.revision {
            return (digest == self.config.digest).then(Vec::new);
        }
        let first = self.deltas.iter().position(|it| it.base == revision)?;
        let changes = &self.deltas[first];
        let at_base = Config { revision, digest, ..Config::default() };
        let chained = at_base.delta(changes.changes.clone()).ok()?;
        (chained.digest == changes.digest).then(|| self.deltas.range(first..).cloned().collect())
    }

    /// The audit records that are kept, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.trail.records()
    }

    /// Who brought a revision into force.
    pub fn author(&self, revision: Revision) -> Option<&RevisionAuthor> {
        self.winners.get(&revision)
    }

    fn audited<F>(&mut self, operation: &Operation, act: F) -> Answer
    where
        F: FnOnce(&mut IntentState) -> Answer,
    {
        let before = self.config.digest;
        let answer = act(self);
        self.trail.add(operation, &answer, before, self.config.digest);
        answer
    }

    fn carry_out(&mut self, operation: &Operation) -> Answer {
        let done = match &operation.action {
            Action::Plan(document) => self.plan(operation, document),
            Action::Malformed { message, .. } => {
                let rule = Rule::Syntax { message: message.clone() };
                Err(Violation { aggregate: Aggregate::Document, rule }.into())
            }
            Action::Drain { endpoint } => self.drain(operation, endpoint),
            Action::Confirm { plan } => self.confirm(operation, *plan),
        };
        done.unwrap_or_else(Answer::Refused)
    }

    fn plan(
        &mut self,
        operation: &Operation,
        document: &Document,
    ) -> Result<Answer, OperationError> {
        let draft = diff::to_document(&self.config, self.ids, document)?;
        Ok(self.propose(operation, draft))
    }

    fn drain(&mut self, operation: &Operation, endpoint: &Name) -> Result<Answer, OperationError> {
        let draft = diff::to_drain(&self.config, self.ids, endpoint)?;
        Ok(self.propose(operation, draft))
    }

    fn propose(&mut self, operation: &Operation, draft: Draft) -> Answer {
        let base = self.config.revision;
        let changes = draft.changes.iter().map(|it| line(&self.config, it)).collect();
        let effects =
            effect::of(&self.config, &draft.changes, &operation.live, operation.weights).into();
        let plan = self.plans.add(base, draft, operation);
        Answer::Planned(Proposal { plan, base, changes, effects })
    }

    fn confirm(&mut self, operation: &Operation, id: PlanId) -> Result<Answer, OperationError> {
        let plan = match self.plans.find(id, self.now_ms) {
            Found::Open(plan) => plan.clone(),
            Found::Expired => return Err(OperationError::ExpiredPlan { plan: id }),
            Found::Unknown => return Err(OperationError::UnknownPlan { plan: id }),
        };
        if plan.base != self.config.revision {
            return Err(self.overtaken(id, plan.base));
        }
        if !plan.changes.is_empty() {
            self.commit(operation, id, plan)?;
        }
        let (revision, digest) = (self.config.revision, self.config.digest);
        Ok(Answer::Confirmed { plan: id, revision, digest })
    }

    fn commit(
        &mut self,
        operation: &Operation,
        id: PlanId,
        plan: Plan,
    ) -> Result<(), OperationError> {
        let broken = |it: model::ConfigError| Violation {
            aggregate: Aggregate::Document,
            rule: Rule::Syntax { message: it.to_string().into() },
        };
        let delta = self.config.delta(plan.changes).map_err(broken)?;
        Arc::make_mut(&mut self.config).apply(&delta).map_err(broken)?;
        self.ids = plan.ids;
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        let winner = RevisionAuthor {
            operator: operation.operator.clone(),
            plan: id,
            operation: operation.id.clone(),
        };
        self.winners.insert(self.config.revision, winner);
        if self.winners.len() > MAX_WINNERS {
            self.winners.pop_first();
        }
        Ok(())
    }

    fn overtaken(&self, plan: PlanId, base: Revision) -> OperationError {
        let current = self.config.revision;
        match self.winners.get(&base.next()) {
            Some(winner) => {
                OperationError::Overtaken { plan, base, current, winner: winner.clone() }
            }
            None => OperationError::Outdated { plan, base, current },
        }
    }
}

/// Describes a change in one line.
fn line(config: &Config, change: &Change) -> Name {
    let verb = |known: bool| if known { "change" } else { "add" };
    let gone = |name: Option<&Name>| name.cloned().unwrap_or_default();
    let text = match change {
        Change::SetTeam(it) => {
            format!("{} team {}", verb(config.teams.contains_key(&it.id)), it.name)
        }
        Change::SetService(it) => {
            format!("{} service {}", verb(config.services.contains_key(&it.id)), it.name)
        }
        Change::SetEndpoint(it) => {
            let verb = verb(config.endpoints.contains_key(&it.id));
            format!("{verb} endpoint {} at {} ({})", it.name, it.addr, it.state)
        }
        Change::DropTeam(id) => {
            format!("remove team {}", gone(config.teams.get(id).map(|it| &it.name)))
        }
        Change::DropService(id) => {
            format!("remove service {}", gone(config.services.get(id).map(|it| &it.name)))
        }
        Change::DropEndpoint(id) => {
            format!("remove endpoint {}", gone(config.endpoints.get(id).map(|it| &it.name)))
        }
    };
    text.into()
}

//! The replicated state machine of the intent.

use {
    crate::{
        answer::{Answer, OperationError, Proposal, RevisionAuthor},
        answer_cache::{AnswerCache, CachedAnswer},
        audit::{AuditRecord, AuditTrail},
        diff::{self, Draft, Ids},
        document::Document,
        effect,
        operation::{Action, Operation},
        plan::{Plan, PlanId, PlanLookup, Plans},
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

/// The number of recent deltas that are kept for routers that lag behind.
const MAX_DELTAS: usize = 256;

/// The number of recent revisions whose authors are kept.
const MAX_AUTHORS: usize = 1_000;

/// The configuration in force and everything needed to change it.
///
/// The state is a pure function of the sequence of applied operations, so replicas that applied the
/// same operations are equal.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct IntentState {
    config: Arc<Config>,
    ids: Ids,
    plans: Plans,
    answers: AnswerCache,
    authors: BTreeMap<Revision, RevisionAuthor>,
    deltas: VecDeque<Delta>,
    trail: AuditTrail,
    now_ms: u64,
}

impl IntentState {
    /// Applies an operation, or returns the answer recorded for it.
    ///
    /// The time of the state never goes back, whatever the clock of a new leader says.
    pub fn apply(&mut self, operation: &Operation) -> Answer {
        self.now_ms = self.now_ms.max(operation.at_ms);
        self.plans.expire(self.now_ms);
        let request = operation.request_digest();
        if let Some(recorded) = self.answers.get(&operation.id) {
            if recorded.request == request {
                return recorded.answer.clone();
            }
            let reused = OperationError::ReusedId { operation: operation.id.clone() };
            return self.with_audit(operation, |_| Answer::Refused(reused));
        }
        let answer = self.with_audit(operation, |it| it.execute(operation));
        self.answers.add(operation.id.clone(), CachedAnswer { request, answer: answer.clone() });
        answer
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the deltas from a revision with this digest to the one in force, or `None` if some
    /// of them are no longer kept or the digest does not match.
    pub fn deltas(&self, revision: Revision, digest: Digest) -> Option<Vec<Delta>> {
        if revision == self.config.revision {
            return (digest == self.config.digest).then(Vec::new);
        }
        let first = self.deltas.iter().position(|it| it.base == revision)?;
        let delta = &self.deltas[first];
        let at_base = Config { revision, digest, ..Config::default() };
        let chained = at_base.delta(delta.changes.clone()).ok()?;
        (chained.digest == delta.digest).then(|| self.deltas.range(first..).cloned().collect())
    }

    /// Returns the audit records that are kept, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.trail.records()
    }

    /// Returns the author of a revision, if it is still known.
    pub fn author(&self, revision: Revision) -> Option<&RevisionAuthor> {
        self.authors.get(&revision)
    }

    fn with_audit<F>(&mut self, operation: &Operation, act: F) -> Answer
    where
        F: FnOnce(&mut IntentState) -> Answer,
    {
        let before = self.config.digest;
        let answer = act(self);
        self.trail.add(operation, &answer, before, self.config.digest);
        answer
    }

    fn execute(&mut self, operation: &Operation) -> Answer {
        let result = match &operation.action {
            Action::Plan(document) => self.plan(operation, document),
            Action::Malformed { message, .. } => {
                let rule = Rule::Syntax { message: message.clone() };
                Err(Violation { aggregate: Aggregate::Document, rule }.into())
            }
            Action::Drain { endpoint } => self.drain(operation, endpoint),
            Action::Confirm { plan } => self.confirm(operation, *plan),
        };
        result.unwrap_or_else(Answer::Refused)
    }

    fn plan(
        &mut self,
        operation: &Operation,
        document: &Document,
    ) -> Result<Answer, OperationError> {
        let draft = diff::from_document(&self.config, self.ids, document)?;
        Ok(self.propose(operation, draft))
    }

    fn drain(&mut self, operation: &Operation, endpoint: &Name) -> Result<Answer, OperationError> {
        let draft = diff::from_drain(&self.config, self.ids, endpoint)?;
        Ok(self.propose(operation, draft))
    }

    fn propose(&mut self, operation: &Operation, draft: Draft) -> Answer {
        let base = self.config.revision;
        let changes = draft.changes.iter().map(|it| describe(&self.config, it)).collect();
        let effects =
            effect::of_changes(&self.config, &draft.changes, &operation.live, operation.weights)
                .into();
        let plan = self.plans.add(base, draft, operation);
        Answer::Planned(Proposal { plan, base, changes, effects })
    }

    fn confirm(&mut self, operation: &Operation, id: PlanId) -> Result<Answer, OperationError> {
        let plan = match self.plans.find(id, self.now_ms) {
            PlanLookup::Open(plan) => plan.clone(),
            PlanLookup::Expired => return Err(OperationError::ExpiredPlan { plan: id }),
            PlanLookup::Unknown => return Err(OperationError::UnknownPlan { plan: id }),
        };
        if plan.base != self.config.revision {
            return Err(self.base_error(id, plan.base));
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
        let syntax_error = |it: model::ConfigError| Violation {
            aggregate: Aggregate::Document,
            rule: Rule::Syntax { message: it.to_string().into() },
        };
        let delta = self.config.delta(plan.changes).map_err(syntax_error)?;
        Arc::make_mut(&mut self.config).apply(&delta).map_err(syntax_error)?;
        self.ids = plan.ids;
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        let author = RevisionAuthor {
            operator: operation.operator.clone(),
            plan: id,
            operation: operation.id.clone(),
        };
        self.authors.insert(self.config.revision, author);
        if self.authors.len() > MAX_AUTHORS {
            self.authors.pop_first();
        }
        Ok(())
    }

    fn base_error(&self, plan: PlanId, base: Revision) -> OperationError {
        let current = self.config.revision;
        match self.authors.get(&base.next()) {
            Some(author) => {
                OperationError::Overtaken { plan, base, current, winner: author.clone() }
            }
            None => OperationError::Outdated { plan, base, current },
        }
    }
}

/// Describes a change in one line.
fn describe(config: &Config, change: &Change) -> Name {
    let verb = |known: bool| if known { "change" } else { "add" };
    let name_or_empty = |name: Option<&Name>| name.cloned().unwrap_or_default();
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
            format!("remove team {}", name_or_empty(config.teams.get(id).map(|it| &it.name)))
        }
        Change::DropService(id) => {
            format!("remove service {}", name_or_empty(config.services.get(id).map(|it| &it.name)))
        }
        Change::DropEndpoint(id) => {
            format!(
                "remove endpoint {}",
                name_or_empty(config.endpoints.get(id).map(|it| &it.name))
            )
        }
    };
    text.into()
}

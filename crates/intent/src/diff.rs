//! Computes the changes that a document requires.
//!
//! Names are matched against the configuration in force. A known name keeps its id. A new name gets
//! an id that was never used before, even if the name itself was. An endpoint whose address or
//! service changes is treated as a new endpoint.

use {
    crate::{
        consistency,
        document::Document,
        endpoint,
        rule::{Aggregate, Rule, Violation},
        service, team,
    },
    derive_more::Debug,
    model::{
        Change, Config, Endpoint, EndpointId, EndpointState, Name, Service, ServiceId, TeamId,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

const MAX_TEAMS: usize = 50_000;
const MAX_SERVICES: usize = 1_000;
const MAX_ENDPOINTS: usize = 10_000;

/// The last ids that were assigned.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Ids {
    team: u32,
    service: u32,
    endpoint: u32,
}

/// A set of changes, and the last ids assigned after them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Draft {
    pub(crate) changes: Vec<Change>,
    pub(crate) ids: Ids,
}

/// Returns the changes from `config` to `document`.
pub(crate) fn from_document(
    config: &Config,
    ids: Ids,
    document: &Document,
) -> Result<Draft, Violation> {
    check_count("teams", document.teams.len(), MAX_TEAMS)?;
    check_count("services", document.services.len(), MAX_SERVICES)?;
    check_count("endpoints", document.endpoints.len(), MAX_ENDPOINTS)?;
    let mut draft = Draft { changes: Vec::new(), ids };
    let services = draft.services(config, document)?;
    let teams = draft.teams(config, document, &services)?;
    let endpoints = draft.endpoints(config, document, &services)?;
    draft.remove_missing(config, &teams, &services, &endpoints);
    validate(config, draft)
}

/// Returns the change that drains an endpoint.
pub(crate) fn from_drain(config: &Config, ids: Ids, name: &Name) -> Result<Draft, Violation> {
    let endpoint = config.endpoints.values().find(|it| it.name == *name);
    let unknown = || Rule::UnknownEndpoint.violated_by(Aggregate::Endpoint(name.clone()));
    let endpoint = endpoint.ok_or_else(unknown)?;
    let drained = Endpoint { state: EndpointState::Draining, ..(**endpoint).clone() };
    let changes = (drained != **endpoint).then(|| Change::SetEndpoint(Arc::new(drained)));
    validate(config, Draft { changes: changes.into_iter().collect(), ids })
}

/// Checks the configuration that results from a draft.
fn validate(config: &Config, draft: Draft) -> Result<Draft, Violation> {
    let mut after = config.clone();
    let syntax = |it: model::ConfigError| {
        Rule::Syntax { message: it.to_string().into() }.violated_by(Aggregate::Document)
    };
    let delta = after.delta(draft.changes.clone().into()).map_err(syntax)?;
    after.apply(&delta).map_err(syntax)?;
    consistency::check(&after)?;
    Ok(draft)
}

fn check_count(kind: &str, found: usize, limit: usize) -> Result<(), Violation> {
    if found <= limit {
        return Ok(());
    }
    Err(Rule::Count { kind: kind.into(), found, limit }.violated_by(Aggregate::Document))
}

impl Draft {
    fn services(
        &mut self,
        config: &Config,
        document: &Document,
    ) -> Result<BTreeMap<Name, Arc<Service>>, Violation> {
        let known: BTreeMap<_, _> = config.services.values().map(|it| (&it.name, it)).collect();
        let mut all = BTreeMap::new();
        for spec in &document.services {
            let before = known.get(&spec.name).copied();
            let id = before.map_or_else(|| self.ids.next_service(), |it| it.id);
            let desired = Arc::new(service::build(spec, id, before.map(|it| &**it))?);
            if before.is_none_or(|it| *it != desired) {
                self.changes.push(Change::SetService(desired.clone()));
            }
            if all.insert(spec.name.clone(), desired).is_some() {
                return Err(Rule::DuplicateName.violated_by(service::aggregate(spec)));
            }
        }
        Ok(all)
    }

    fn teams(
        &mut self,
        config: &Config,
        document: &Document,
        services: &BTreeMap<Name, Arc<Service>>,
    ) -> Result<BTreeSet<TeamId>, Violation> {
        let known: BTreeMap<_, _> = config.teams.values().map(|it| (&it.name, it)).collect();
        let (mut names, mut ids) = (BTreeSet::new(), BTreeSet::new());
        for spec in &document.teams {
            let before = known.get(&spec.name).copied();
            let id = before.map_or_else(|| self.ids.next_team(), |it| it.id);
            let desired = team::build(spec, id, services)?;
            if !names.insert(&spec.name) {
                return Err(Rule::DuplicateName.violated_by(team::aggregate(spec)));
            }
            ids.insert(id);
            if before.is_none_or(|it| **it != desired) {
                self.changes.push(Change::SetTeam(Arc::new(desired)));
            }
        }
        Ok(ids)
    }

    fn endpoints(
        &mut self,
        config: &Config,
        document: &Document,
        services: &BTreeMap<Name, Arc<Service>>,
    ) -> Result<BTreeSet<EndpointId>, Violation> {
        let known: BTreeMap<_, _> = config.endpoints.values().map(|it| (&it.name, it)).collect();
        let (mut names, mut ids) = (BTreeSet::new(), BTreeSet::new());
        for spec in &document.endpoints {
            let service = services.get(&spec.service).map(|it| &**it);
            let before = known.get(&spec.name).copied();
            let before = before.filter(|it| {
                it.addr == spec.addr && service.is_some_and(|own| own.id == it.service)
            });
            let id = before.map_or_else(|| self.ids.next_endpoint(), |it| it.id);
            let desired = endpoint::build(spec, id, service)?;
            if !names.insert(&spec.name) {
                return Err(Rule::DuplicateName.violated_by(endpoint::aggregate(spec)));
            }
            ids.insert(id);
            if before.is_none_or(|it| **it != desired) {
                self.changes.push(Change::SetEndpoint(Arc::new(desired)));
            }
        }
        Ok(ids)
    }

    fn remove_missing(
        &mut self,
        config: &Config,
        teams: &BTreeSet<TeamId>,
        services: &BTreeMap<Name, Arc<Service>>,
        endpoints: &BTreeSet<EndpointId>,
    ) {
        let kept: BTreeSet<_> = services.values().map(|it| it.id).collect();
        let removed = config.endpoints.keys().filter(|it| !endpoints.contains(it));
        self.changes.extend(removed.map(|it| Change::DropEndpoint(*it)));
        let removed = config.teams.keys().filter(|it| !teams.contains(it));
        self.changes.extend(removed.map(|it| Change::DropTeam(*it)));
        let removed = config.services.keys().filter(|it| !kept.contains(it));
        self.changes.extend(removed.map(|it| Change::DropService(*it)));
    }
}

impl Ids {
    fn next_team(&mut self) -> TeamId {
        self.team += 1;
        TeamId(self.team)
    }

    fn next_service(&mut self) -> ServiceId {
        self.service += 1;
        ServiceId(self.service)
    }

    fn next_endpoint(&mut self) -> EndpointId {
        self.endpoint += 1;
        EndpointId(self.endpoint)
    }
}

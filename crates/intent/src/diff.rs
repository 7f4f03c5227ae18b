//! From a document to the changes that lead there.
//!
//! Names are matched to what is in force: a known name keeps its id, a new name gets an id that was never used, also
//! when the name was used before. An endpoint that moves to another address or service is another endpoint.

use {
    crate::{
        document::Document,
        endpoint,
        rule::{Aggregate, Rule, Violation},
        service, team, whole,
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

/// The last ids that were handed out.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Ids {
    team: u32,
    service: u32,
    endpoint: u32,
}

/// Changes, and the ids used up by them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Draft {
    pub(crate) changes: Vec<Change>,
    pub(crate) ids: Ids,
}

/// Returns what leads from `config` to `document`.
pub(crate) fn to_document(
    config: &Config,
    ids: Ids,
    document: &Document,
) -> Result<Draft, Violation> {
    counted("teams", document.teams.len(), MAX_TEAMS)?;
    counted("services", document.services.len(), MAX_SERVICES)?;
    counted("endpoints", document.endpoints.len(), MAX_ENDPOINTS)?;
    let mut draft = Draft { changes: Vec::new(), ids };
    let services = draft.services(config, document)?;
    let teams = draft.teams(config, document, &services)?;
    let endpoints = draft.endpoints(config, document, &services)?;
    draft.drops(config, &teams, &services, &endpoints);
    checked(config, draft)
}

/// Returns what drains an endpoint.
pub(crate) fn to_drain(config: &Config, ids: Ids, name: &Name) -> Result<Draft, Violation> {
    let found = config.endpoints.values().find(|it| it.name == *name);
    let unknown = || Rule::UnknownEndpoint.of(Aggregate::Endpoint(name.clone()));
    let endpoint = found.ok_or_else(unknown)?;
    let drained = Endpoint { state: EndpointState::Draining, ..(**endpoint).clone() };
    let changes = (drained != **endpoint).then(|| Change::SetEndpoint(Arc::new(drained)));
    checked(config, Draft { changes: changes.into_iter().collect(), ids })
}

/// Checks the configuration that a draft leads to.
fn checked(config: &Config, draft: Draft) -> Result<Draft, Violation> {
    let mut after = config.clone();
    let syntax = |it: model::ConfigError| {
        Rule::Syntax { message: it.to_string().into() }.of(Aggregate::Document)
    };
    let delta = after.delta(draft.changes.clone().into()).map_err(syntax)?;
    after.apply(&delta).map_err(syntax)?;
    whole::check(&after)?;
    Ok(draft)
}

fn counted(kind: &str, found: usize, limit: usize) -> Result<(), Violation> {
    if found <= limit {
        return Ok(());
    }
    Err(Rule::Count { kind: kind.into(), found, limit }.of(Aggregate::Document))
}

impl Draft {
    fn services(
        &mut self,
        config: &Config,
        document: &Document,
    ) -> Result<BTreeMap<Name, Arc<Service>>, Violation> {
        let known: BTreeMap<_, _> = config.services.values().map(|it| (&it.name, it)).collect();
        let mut all = BTreeMap::new();
        for form in &document.services {
            let before = known.get(&form.name).copied();
            let id = before.map_or_else(|| self.ids.next_service(), |it| it.id);
            let built = Arc::new(service::build(form, id, before.map(|it| &**it))?);
            if before.is_none_or(|it| *it != built) {
                self.changes.push(Change::SetService(built.clone()));
            }
            if all.insert(form.name.clone(), built).is_some() {
                return Err(Rule::DuplicateName.of(service::aggregate(form)));
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
        for form in &document.teams {
            let before = known.get(&form.name).copied();
            let id = before.map_or_else(|| self.ids.next_team(), |it| it.id);
            let built = team::build(form, id, services)?;
            if !names.insert(&form.name) {
                return Err(Rule::DuplicateName.of(team::aggregate(form)));
            }
            ids.insert(id);
            if before.is_none_or(|it| **it != built) {
                self.changes.push(Change::SetTeam(Arc::new(built)));
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
        for form in &document.endpoints {
            let service = services.get(&form.service).map(|it| &**it);
            let before = known.get(&form.name).copied();
            let before = before.filter(|it| {
                it.addr == form.addr && service.is_some_and(|own| own.id == it.service)
            });
            let id = before.map_or_else(|| self.ids.next_endpoint(), |it| it.id);
            let built = endpoint::build(form, id, service)?;
            if !names.insert(&form.name) {
                return Err(Rule::DuplicateName.of(endpoint::aggregate(form)));
            }
            ids.insert(id);
            if before.is_none_or(|it| **it != built) {
                self.changes.push(Change::SetEndpoint(Arc::new(built)));
            }
        }
        Ok(ids)
    }

    fn drops(
        &mut self,
        config: &Config,
        teams: &BTreeSet<TeamId>,
        services: &BTreeMap<Name, Arc<Service>>,
        endpoints: &BTreeSet<EndpointId>,
    ) {
        let kept: BTreeSet<_> = services.values().map(|it| it.id).collect();
        let gone = config.endpoints.keys().filter(|it| !endpoints.contains(it));
        self.changes.extend(gone.map(|it| Change::DropEndpoint(*it)));
        let gone = config.teams.keys().filter(|it| !teams.contains(it));
        self.changes.extend(gone.map(|it| Change::DropTeam(*it)));
        let gone = config.services.keys().filter(|it| !kept.contains(it));
        self.changes.extend(gone.map(|it| Change::DropService(*it)));
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

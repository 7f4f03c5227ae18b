//! The rules for a single team.

use {
    crate::{
        document::TeamSpec,
        rule::{Aggregate, Rule, Violation, check_name, check_range},
    },
    model::{Digest, Limits, Name, Service, Team, TeamId},
    smallvec::SmallVec,
    std::{collections::BTreeMap, sync::Arc},
};

const MAX_WEIGHT: u64 = 1_000;
const MAX_PRIORITY: u64 = 9;
const MAX_RATE: u64 = 1_000_000;

/// Builds a team from its specification.
pub(crate) fn build(
    spec: &TeamSpec,
    id: TeamId,
    services: &BTreeMap<Name, Arc<Service>>,
) -> Result<Team, Violation> {
    check(spec)
        .and_then(|()| build_checked(spec, id, services))
        .map_err(|it| it.violated_by(aggregate(spec)))
}

pub(crate) fn aggregate(spec: &TeamSpec) -> Aggregate {
    Aggregate::Team(spec.name.clone())
}

fn check(spec: &TeamSpec) -> Result<(), Rule> {
    check_name(&spec.name)?;
    check_range("weight", spec.weight.into(), 1, MAX_WEIGHT)?;
    check_range("priority", spec.priority.into(), 0, MAX_PRIORITY)?;
    check_range("rate-per-second", spec.rate_per_second.into(), 1, MAX_RATE)?;
    check_range("running", spec.running.into(), 1, MAX_RATE)?;
    check_range("queued", spec.queued.into(), 0, MAX_RATE)?;
    if spec.tokens.is_empty() { Err(Rule::NoToken) } else { Ok(()) }
}

fn build_checked(
    spec: &TeamSpec,
    id: TeamId,
    services: &BTreeMap<Name, Arc<Service>>,
) -> Result<Team, Rule> {
    let token = |it: &Name| Digest::parse(it).ok_or(Rule::Token);
    let service = |it: &Name| {
        services.get(it).map(|it| it.id).ok_or_else(|| Rule::UnknownService { service: it.clone() })
    };
    Ok(Team {
        id,
        name: spec.name.clone(),
        tokens: spec.tokens.iter().map(token).collect::<Result<SmallVec<_>, _>>()?,
        weight: spec.weight,
        priority: spec.priority,
        limits: Limits { rate: spec.rate_per_second, running: spec.running, queued: spec.queued },
        services: spec.services.iter().map(service).collect::<Result<SmallVec<_>, _>>()?,
    })
}

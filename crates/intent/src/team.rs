//! The rules of a team.

use {
    crate::{
        document::TeamSpec,
        rule::{Aggregate, Rule, Violation, in_range, named},
    },
    model::{Digest, Limits, Name, Service, Team, TeamId},
    smallvec::SmallVec,
    std::{collections::BTreeMap, sync::Arc},
};

const MAX_WEIGHT: u64 = 1_000;
const MAX_PRIORITY: u64 = 9;
const MAX_RATE: u64 = 1_000_000;

/// Builds a team from its form.
pub(crate) fn build(
    form: &TeamSpec,
    id: TeamId,
    services: &BTreeMap<Name, Arc<Service>>,
) -> Result<Team, Violation> {
    check(form).and_then(|()| assemble(form, id, services)).map_err(|it| it.of(aggregate(form)))
}

pub(crate) fn aggregate(form: &TeamSpec) -> Aggregate {
    Aggregate::Team(form.name.clone())
}

fn check(form: &TeamSpec) -> Result<(), Rule> {
    named(&form.name)?;
    in_range("weight", form.weight.into(), 1, MAX_WEIGHT)?;
    in_range("priority", form.priority.into(), 0, MAX_PRIORITY)?;
    in_range("rate-per-second", form.rate_per_second.into(), 1, MAX_RATE)?;
    in_range("running", form.running.into(), 1, MAX_RATE)?;
    in_range("queued", form.queued.into(), 0, MAX_RATE)?;
    if form.tokens.is_empty() { Err(Rule::NoToken) } else { Ok(()) }
}

fn assemble(
    form: &TeamSpec,
    id: TeamId,
    services: &BTreeMap<Name, Arc<Service>>,
) -> Result<Team, Rule> {
    let token = |it: &Name| Digest::parse(it).ok_or(Rule::Token);
    let service = |it: &Name| {
        services.get(it).map(|it| it.id).ok_or_else(|| Rule::UnknownService { service: it.clone() })
    };
    Ok(Team {
        id,
        name: form.name.clone(),
        tokens: form.tokens.iter().map(token).collect::<Result<SmallVec<_>, _>>()?,
        weight: form.weight,
        priority: form.priority,
        limits: Limits { rate: form.rate_per_second, running: form.running, queued: form.queued },
        services: form.services.iter().map(service).collect::<Result<SmallVec<_>, _>>()?,
    })
}

//! The rules that involve several aggregates.

use {
    crate::rule::{Aggregate, Rule, Violation},
    model::{Config, Digest, EndpointState, Name, Service},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Checks a configuration as a whole.
pub(crate) fn check(config: &Config) -> Result<(), Violation> {
    check_tokens(config)?;
    check_addresses(config)?;
    config.services.values().try_for_each(|it| check_minimum(config, it))
}

fn check_tokens(config: &Config) -> Result<(), Violation> {
    let mut owners: BTreeMap<Digest, &Name> = BTreeMap::new();
    for team in config.teams.values() {
        for token in &team.tokens {
            if let Some(other) = owners.insert(*token, &team.name) {
                let rule = Rule::SharedToken { other: other.clone() };
                return Err(rule.violated_by(Aggregate::Team(team.name.clone())));
            }
        }
    }
    Ok(())
}

fn check_addresses(config: &Config) -> Result<(), Violation> {
    let mut owners: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
    for endpoint in config.endpoints.values() {
        if let Some(other) = owners.insert(endpoint.addr, &endpoint.name) {
            let rule = Rule::SharedAddress { other: other.clone() };
            return Err(rule.violated_by(Aggregate::Endpoint(endpoint.name.clone())));
        }
    }
    Ok(())
}

fn check_minimum(config: &Config, service: &Service) -> Result<(), Violation> {
    let endpoints = config.endpoints.values().filter(|it| it.service == service.id);
    let active = endpoints.filter(|it| it.state == EndpointState::Active).count() as u32;
    if active >= service.minimum {
        return Ok(());
    }
    let rule = Rule::Minimum { active, minimum: service.minimum };
    Err(rule.violated_by(Aggregate::Service(service.name.clone())))
}

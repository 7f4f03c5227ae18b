//! The rules that hold between aggregates.

use {
    crate::rule::{Aggregate, Rule, Violation},
    model::{Config, Digest, EndpointState, Name, Service},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Checks a whole configuration.
pub(crate) fn check(config: &Config) -> Result<(), Violation> {
    tokens(config)?;
    addresses(config)?;
    config.services.values().try_for_each(|it| minimum(config, it))
}

fn tokens(config: &Config) -> Result<(), Violation> {
    let mut owners: BTreeMap<Digest, &Name> = BTreeMap::new();
    for team in config.teams.values() {
        for token in &team.tokens {
            if let Some(other) = owners.insert(*token, &team.name) {
                let rule = Rule::SharedToken { other: other.clone() };
                return Err(rule.of(Aggregate::Team(team.name.clone())));
            }
        }
    }
    Ok(())
}

fn addresses(config: &Config) -> Result<(), Violation> {
    let mut owners: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
    for endpoint in config.endpoints.values() {
        if let Some(other) = owners.insert(endpoint.addr, &endpoint.name) {
            let rule = Rule::SharedAddress { other: other.clone() };
            return Err(rule.of(Aggregate::Endpoint(endpoint.name.clone())));
        }
    }
    Ok(())
}

fn minimum(config: &Config, service: &Service) -> Result<(), Violation> {
    let own = config.endpoints.values().filter(|it| it.service == service.id);
    let active = own.filter(|it| it.state == EndpointState::Active).count() as u32;
    if active >= service.minimum {
        return Ok(());
    }
    let rule = Rule::Minimum { active, minimum: service.minimum };
    Err(rule.of(Aggregate::Service(service.name.clone())))
}

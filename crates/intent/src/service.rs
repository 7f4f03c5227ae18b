//! The rules for a single service.

use {
    crate::{
        document::ServiceSpec,
        rule::{Aggregate, Rule, Violation, check_name, check_range},
    },
    model::{Service, ServiceId},
};

const MIN_BOUND: u64 = 1_001;
const MAX_BOUND: u64 = 100_000;
const MAX_MINIMUM: u64 = 100_000;
const MIN_CLAIM_MS: u64 = 1_000;
const MAX_CLAIM_MS: u64 = 30 * 86_400_000;

/// Builds a service from its specification. `before` is the service that is in force under its
/// name.
pub(crate) fn build(
    spec: &ServiceSpec,
    id: ServiceId,
    before: Option<&Service>,
) -> Result<Service, Violation> {
    check(spec, before).map_err(|it| it.violated_by(aggregate(spec)))?;
    Ok(Service {
        id,
        name: spec.name.clone(),
        kind: spec.kind,
        bound: spec.bound_permille,
        minimum: spec.minimum,
        claim_ms: spec.claim_ms,
    })
}

pub(crate) fn aggregate(spec: &ServiceSpec) -> Aggregate {
    Aggregate::Service(spec.name.clone())
}

fn check(spec: &ServiceSpec, before: Option<&Service>) -> Result<(), Rule> {
    check_name(&spec.name)?;
    check_range("bound-permille", spec.bound_permille.into(), MIN_BOUND, MAX_BOUND)?;
    check_range("minimum", spec.minimum.into(), 0, MAX_MINIMUM)?;
    check_range("claim-ms", spec.claim_ms, MIN_CLAIM_MS, MAX_CLAIM_MS)?;
    if before.is_some_and(|it| it.kind != spec.kind) { Err(Rule::Kind) } else { Ok(()) }
}

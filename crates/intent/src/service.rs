//! The rules of a service.

use {
    crate::{
        document::ServiceSpec,
        rule::{Aggregate, Rule, Violation, in_range, named},
    },
    model::{Service, ServiceId},
};

const MIN_BOUND: u64 = 1_001;
const MAX_BOUND: u64 = 100_000;
const MAX_MINIMUM: u64 = 100_000;
const MIN_CLAIM_MS: u64 = 1_000;
const MAX_CLAIM_MS: u64 = 30 * 86_400_000;

/// Builds a service from its form; `before` is the one in force under its name.
pub(crate) fn build(
    form: &ServiceSpec,
    id: ServiceId,
    before: Option<&Service>,
) -> Result<Service, Violation> {
    check(form, before).map_err(|it| it.of(aggregate(form)))?;
    Ok(Service {
        id,
        name: form.name.clone(),
        kind: form.kind,
        bound: form.bound_permille,
        minimum: form.minimum,
        claim_ms: form.claim_ms,
    })
}

pub(crate) fn aggregate(form: &ServiceSpec) -> Aggregate {
    Aggregate::Service(form.name.clone())
}

fn check(form: &ServiceSpec, before: Option<&Service>) -> Result<(), Rule> {
    named(&form.name)?;
    in_range("bound-permille", form.bound_permille.into(), MIN_BOUND, MAX_BOUND)?;
    in_range("minimum", form.minimum.into(), 0, MAX_MINIMUM)?;
    in_range("claim-ms", form.claim_ms, MIN_CLAIM_MS, MAX_CLAIM_MS)?;
    if before.is_some_and(|it| it.kind != form.kind) { Err(Rule::Kind) } else { Ok(()) }
}

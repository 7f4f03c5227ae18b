//! The rules for a single endpoint.

use {
    crate::{
        document::{EndpointSpec, ImageSpec},
        rule::{Aggregate, Rule, Violation, check_name, check_range},
    },
    model::{Endpoint, EndpointId, Image, Service, ServiceKind},
    smallvec::SmallVec,
};

const MAX_WEIGHT: u64 = 100_000;

/// Builds an endpoint from its specification.
pub(crate) fn build(
    spec: &EndpointSpec,
    id: EndpointId,
    service: Option<&Service>,
) -> Result<Endpoint, Violation> {
    build_checked(spec, id, service).map_err(|it| it.violated_by(aggregate(spec)))
}

pub(crate) fn aggregate(spec: &EndpointSpec) -> Aggregate {
    Aggregate::Endpoint(spec.name.clone())
}

fn build_checked(
    spec: &EndpointSpec,
    id: EndpointId,
    service: Option<&Service>,
) -> Result<Endpoint, Rule> {
    check_name(&spec.name)?;
    check_name(&spec.domain.0)?;
    check_range("weight-permille", spec.weight_permille.into(), 1, MAX_WEIGHT)?;
    let unknown = || Rule::UnknownService { service: spec.service.clone() };
    let service = service.ok_or_else(unknown)?;
    let images = build_images(&spec.images, service.kind)?;
    Ok(Endpoint {
        id,
        name: spec.name.clone(),
        service: service.id,
        addr: spec.addr,
        domain: spec.domain.clone(),
        weight: spec.weight_permille,
        fencing: spec.fencing,
        state: spec.state,
        images,
    })
}

fn build_images(specs: &[ImageSpec], kind: ServiceKind) -> Result<SmallVec<[Image; 2]>, Rule> {
    match (kind, specs.is_empty()) {
        (ServiceKind::Model, true) => return Err(Rule::NoImage),
        (ServiceKind::Plain, false) => return Err(Rule::Image),
        _ => {}
    }
    let mut images = SmallVec::new();
    for spec in specs {
        let image = build_image(spec)?;
        if images.contains(&image) {
            return Err(Rule::DuplicateImage);
        }
        images.push(image);
    }
    Ok(images)
}

fn build_image(spec: &ImageSpec) -> Result<Image, Rule> {
    check_name(&spec.model)?;
    check_name(&spec.version)?;
    if !spec.adapter.is_empty() {
        check_name(&spec.adapter)?;
    }
    let (model, adapter) = (spec.model.clone(), spec.adapter.clone());
    Ok(Image { model, adapter, version: spec.version.clone() })
}

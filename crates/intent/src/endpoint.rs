//! The rules of an endpoint.

use {
    crate::{
        document::{EndpointSpec, ImageSpec},
        rule::{Aggregate, Rule, Violation, in_range, named},
    },
    model::{Endpoint, EndpointId, Image, Service, ServiceKind},
    smallvec::SmallVec,
};

const MAX_WEIGHT: u64 = 100_000;

/// Builds an endpoint from its form.
pub(crate) fn build(
    form: &EndpointSpec,
    id: EndpointId,
    service: Option<&Service>,
) -> Result<Endpoint, Violation> {
    assemble(form, id, service).map_err(|it| it.of(aggregate(form)))
}

pub(crate) fn aggregate(form: &EndpointSpec) -> Aggregate {
    Aggregate::Endpoint(form.name.clone())
}

fn assemble(
    form: &EndpointSpec,
    id: EndpointId,
    service: Option<&Service>,
) -> Result<Endpoint, Rule> {
    named(&form.name)?;
    named(&form.domain.0)?;
    in_range("weight-permille", form.weight_permille.into(), 1, MAX_WEIGHT)?;
    let unknown = || Rule::UnknownService { service: form.service.clone() };
    let service = service.ok_or_else(unknown)?;
    let images = images(&form.images, service.kind)?;
    Ok(Endpoint {
        id,
        name: form.name.clone(),
        service: service.id,
        addr: form.addr,
        domain: form.domain.clone(),
        weight: form.weight_permille,
        fencing: form.fencing,
        state: form.state,
        images,
    })
}

fn images(forms: &[ImageSpec], kind: ServiceKind) -> Result<SmallVec<[Image; 2]>, Rule> {
    match (kind, forms.is_empty()) {
        (ServiceKind::Model, true) => return Err(Rule::NoImage),
        (ServiceKind::Plain, false) => return Err(Rule::Image),
        _ => {}
    }
    let mut images = SmallVec::new();
    for form in forms {
        let image = image(form)?;
        if images.contains(&image) {
            return Err(Rule::DuplicateImage);
        }
        images.push(image);
    }
    Ok(images)
}

fn image(form: &ImageSpec) -> Result<Image, Rule> {
    named(&form.model)?;
    named(&form.version)?;
    if !form.adapter.is_empty() {
        named(&form.adapter)?;
    }
    let (model, adapter) = (form.model.clone(), form.adapter.clone());
    Ok(Image { model, adapter, version: form.version.clone() })
}

//! Orders from the control plane: which images to load or unload and which role to take.

use {
    model::{Fencing, FencingToken, Image, Name, Revision, Term},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A fencing token as serialized in an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct FencingTokenBody {
    term: u64,
    revision: u64,
}

impl FencingTokenBody {
    fn token(self) -> FencingToken {
        FencingToken { term: Term(self.term), revision: Revision(self.revision) }
    }
}

/// An image as serialized in orders and settings.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct ImageSpec {
    /// The model.
    pub(crate) model: Name,
    /// The adapter; empty for the base model.
    #[serde(default)]
    pub(crate) adapter: Name,
    /// The version; empty for any version.
    #[serde(default)]
    pub(crate) version: Name,
}

impl From<ImageSpec> for Image {
    fn from(spec: ImageSpec) -> Image {
        Image { model: spec.model, adapter: spec.adapter, version: spec.version }
    }
}

/// An instruction to an engine.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(crate) enum Order {
    /// Load an image.
    Load(ImageSpec),
    /// Unload an image.
    Unload(ImageSpec),
    /// Switch to another role.
    Role {
        /// The name of the role.
        role: Name,
    },
}

/// The body of `POST /orders`.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct OrderRequest {
    /// The fencing token of the sender.
    pub(crate) fence: FencingTokenBody,
    /// Milliseconds after which the order must not be started any more.
    #[serde(default)]
    pub(crate) deadline_ms: u64,
    /// The instruction.
    pub(crate) order: Order,
}

/// The loading state of an image.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ImageState {
    /// The image is being loaded.
    Loading,
    /// The image is loaded and can serve requests.
    Ready,
}

/// The images and role of an engine, and the orders that it accepted.
#[derive(Debug)]
pub(crate) struct OrderState {
    fencing: Fencing,
    highest: FencingToken,
    images: BTreeMap<Image, ImageState>,
    role: Name,
    log: Vec<OrderRequest>,
}

impl OrderState {
    pub(crate) fn new(fencing: Fencing, images: &[Image]) -> OrderState {
        OrderState {
            fencing,
            highest: FencingToken::default(),
            images: images.iter().map(|it| (it.clone(), ImageState::Ready)).collect(),
            role: "both".into(),
            log: Vec::new(),
        }
    }

    /// Applies an order. A stale order is rejected with the highest fencing token seen.
    pub(crate) fn apply(&mut self, request: &OrderRequest) -> Result<(), FencingToken> {
        let token = request.fence.token();
        if self.fencing == Fencing::Checked && token < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(token);
        self.log.push(request.clone());
        match &request.order {
            Order::Load(image) => {
                self.images.entry(image.clone().into()).or_insert(ImageState::Loading);
            }
            Order::Unload(image) => drop(self.images.remove(&image.clone().into())),
            Order::Role { role } => self.role = role.clone(),
        }
        Ok(())
    }

    /// Marks an image as loaded unless it was unloaded in the meantime.
    pub(crate) fn mark_loaded(&mut self, image: &Image) {
        if let Some(state) = self.images.get_mut(image) {
            *state = ImageState::Ready;
        }
    }

    /// Returns whether a loaded image can serve `model` (`name`, `name+adapter`, `name@version`).
    pub(crate) fn serves(&self, model: &str) -> bool {
        let (base, version) = model.split_once('@').unwrap_or((model, ""));
        let (name, adapter) = base.split_once('+').unwrap_or((base, ""));
        let fits = |it: &Image| {
            let version_fits = version.is_empty() || *it.version == *version;
            *it.model == *name && *it.adapter == *adapter && version_fits
        };
        self.images.iter().any(|(it, state)| *state == ImageState::Ready && fits(it))
    }

    pub(crate) fn images(&self) -> impl Iterator<Item = (&Image, ImageState)> {
        self.images.iter().map(|(image, state)| (image, *state))
    }

    pub(crate) fn role(&self) -> &Name {
        &self.role
    }

    pub(crate) fn log(&self) -> &[OrderRequest] {
        &self.log
    }
}

//! Orders from control: what to load, what to drop, which role to take.

use {
    model::{Fencing, FencingToken, Image, Name, Revision, Term},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A fencing number as it is written in an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct FenceText {
    term: u64,
    revision: u64,
}

impl FenceText {
    fn fence(self) -> FencingToken {
        FencingToken { term: Term(self.term), revision: Revision(self.revision) }
    }
}

/// An image as it is written in an order.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct ImageText {
    /// The model.
    pub(crate) model: Name,
    /// The adapter; empty for the bare model.
    #[serde(default)]
    pub(crate) adapter: Name,
    /// The version; empty for whichever.
    #[serde(default)]
    pub(crate) version: Name,
}

impl From<ImageText> for Image {
    fn from(text: ImageText) -> Image {
        Image { model: text.model, adapter: text.adapter, version: text.version }
    }
}

/// What to do.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(crate) enum Order {
    /// Load a model, adapter or version.
    Load(ImageText),
    /// Drop it.
    Unload(ImageText),
    /// Take another role.
    Role {
        /// Its name.
        role: Name,
    },
}

/// The body of `POST /orders`.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct OrderRequest {
    /// Its fencing number.
    pub(crate) fence: FenceText,
    /// Milliseconds after which it is not to be begun any more.
    #[serde(default)]
    pub(crate) deadline_ms: u64,
    /// What to do.
    pub(crate) order: Order,
}

/// Whether an image can be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ImageState {
    /// It is being loaded.
    Loading,
    /// It can be used.
    Ready,
}

/// What an engine carries, and the orders that it saw.
#[derive(Debug)]
pub(crate) struct Carried {
    fencing: Fencing,
    highest: FencingToken,
    images: BTreeMap<Image, ImageState>,
    role: Name,
    log: Vec<OrderRequest>,
}

impl Carried {
    pub(crate) fn new(fencing: Fencing, images: &[Image]) -> Carried {
        Carried {
            fencing,
            highest: FencingToken::default(),
            images: images.iter().map(|it| (it.clone(), ImageState::Ready)).collect(),
            role: "both".into(),
            log: Vec::new(),
        }
    }

    /// Takes an order; the highest fencing number is the error of an old one that was refused.
    pub(crate) fn order(&mut self, request: &OrderRequest) -> Result<(), FencingToken> {
        let fence = request.fence.fence();
        if self.fencing == Fencing::Checked && fence < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(fence);
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

    /// Marks an image as loaded, if it is still wanted.
    pub(crate) fn loaded(&mut self, image: &Image) {
        if let Some(state) = self.images.get_mut(image) {
            *state = ImageState::Ready;
        }
    }

    /// Returns whether a request for `model` (`name`, `name+adapter`, `name@version`) can run here.
    pub(crate) fn carries(&self, model: &str) -> bool {
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

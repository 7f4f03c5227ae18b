//! Checking files without starting anything.

use {
    crate::{failure::BadInput, flags},
    derive_more::Display,
    eyre::Result,
    intent::{Action, Answer, Document, IntentState, Operation, WeightStore},
    model::OperationId,
    route::RoutingConfig,
    serde::Deserialize,
    settings::{
        ControlSettings, GatewaySettings, LoadSettings, OperatorSettings, RouterSettings, Validate,
    },
    std::{fs, path::Path},
};

/// What a file can hold.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
enum Kind {
    /// The settings of a router.
    #[display("router settings")]
    Router,
    /// The settings of a control replica.
    #[display("control settings")]
    Control,
    /// The settings of this command line.
    #[display("operator settings")]
    Operator,
    /// The settings of the load tool.
    #[display("load settings")]
    Load,
    /// What an operator wants.
    #[display("intent")]
    Intent,
    /// The settings of a gateway.
    #[display("gateway settings")]
    Gateway,
    /// A routing configuration in the product's own format.
    #[display("routing configuration")]
    Layout,
}

/// An intent, read as settings are.
#[derive(Deserialize)]
#[serde(transparent)]
struct IntentFile(Document);

impl Validate for IntentFile {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        Ok(())
    }
}

pub(crate) fn run(flags: &flags::Check) -> Result<()> {
    let file = &flags.file;
    let kind = match flags.kind.as_deref() {
        Some(name) => named(name)?,
        None => guess(file),
    };
    match kind {
        Kind::Router => drop(settings::load::<RouterSettings>(file)?),
        Kind::Control => drop(settings::load::<ControlSettings>(file)?),
        Kind::Operator => drop(settings::load::<OperatorSettings>(file)?),
        Kind::Load => drop(settings::load::<LoadSettings>(file)?),
        Kind::Intent => check_intent(file)?,
        Kind::Gateway => drop(settings::load::<GatewaySettings>(file)?),
        Kind::Layout => drop(check_layout(file)?),
    }
    println!("{}: {kind} hold", file.display());
    Ok(())
}

/// Reads an intent and plans it on an empty configuration, by the rules that control applies.
pub(crate) fn check_intent(file: &Path) -> Result<()> {
    let IntentFile(document) = settings::load(file)?;
    let operation = Operation {
        id: OperationId("check".into()),
        operator: "check".into(),
        at_ms: 0,
        action: Action::Plan(document),
        live: [].into(),
        weights: WeightStore::default(),
    };
    match IntentState::default().apply(&operation) {
        Answer::Refused(refused) => {
            Err(BadInput::new(format!("{}: {refused}", file.display())).into())
        }
        Answer::Planned(_) | Answer::Confirmed { .. } => Ok(()),
    }
}

/// Reads a routing configuration and checks the rules that control applies.
pub(crate) fn check_layout(file: &Path) -> Result<Vec<u8>> {
    let refused = |reason: String| BadInput::new(format!("{}: {reason}", file.display()));
    let bytes = fs::read(file).map_err(|it| refused(it.to_string()))?;
    let layout: RoutingConfig =
        serde_json::from_slice(&bytes).map_err(|it| refused(it.to_string()))?;
    layout.check().map_err(|it| refused(it.to_string()))?;
    Ok(bytes)
}

fn named(name: &str) -> Result<Kind> {
    Ok(match name {
        "router" => Kind::Router,
        "control" => Kind::Control,
        "operator" => Kind::Operator,
        "load" => Kind::Load,
        "intent" => Kind::Intent,
        "gateway" => Kind::Gateway,
        "layout" => Kind::Layout,
        _ => {
            let expected = "expected router, gateway, control, operator, load, layout or intent";
            return Err(BadInput::new(format!("--kind: {expected}, found {name:?}")).into());
        }
    })
}

/// Tells the kind by keys that only one kind has.
fn guess(file: &Path) -> Kind {
    let text = fs::read_to_string(file).unwrap_or_default();
    let has = |start: &str| text.lines().any(|it| it.trim_start().starts_with(start));
    if has("[[router]]") {
        Kind::Load
    } else if has("[[team]]") || has("[[service]]") || has("[[endpoint]]") {
        Kind::Intent
    } else if has("operators") || has("data ") {
        Kind::Control
    } else if has("[listing]") || has("grace-ms") {
        Kind::Gateway
    } else if text.trim_start().starts_with('{') {
        Kind::Layout
    } else if has("token-file") {
        Kind::Operator
    } else {
        Kind::Router
    }
}

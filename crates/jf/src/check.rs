//! Checks settings, intent and routing configuration files without starting a process.

use {
    crate::{api::Api, block_on, failure::BadInput, flags, operate},
    derive_more::Display,
    eyre::{Result, WrapErr},
    intent::{Action, Answer, Document, IntentState, Operation, WeightStore},
    model::OperationId,
    route::{RoutingConfig, Severity},
    serde::Deserialize,
    settings::{
        ControlSettings, GatewaySettings, LoadSettings, OperatorSettings, RouterSettings, Validate,
    },
    std::{fs, path::Path},
};

/// The kind of a file.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
enum Kind {
    /// The settings of a router.
    #[display("router settings")]
    Router,
    /// The settings of a control replica.
    #[display("control settings")]
    Control,
    /// The settings of `jf` itself.
    #[display("operator settings")]
    Operator,
    /// The settings of the load tool.
    #[display("load settings")]
    Load,
    /// An intent.
    #[display("intent")]
    Intent,
    /// The settings of a gateway.
    #[display("gateway settings")]
    Gateway,
    /// A routing configuration in jasminefront's own format.
    #[display("routing configuration")]
    Layout,
}

/// An intent, wrapped to be loaded like a settings file.
#[derive(Deserialize)]
#[serde(transparent)]
struct IntentFile(Document);

impl Validate for IntentFile {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        Ok(())
    }
}

/// Checks a file. A routing configuration is compared with the one in force if settings are given.
pub(crate) fn run(flags: &flags::Check, settings: Option<&Path>) -> Result<()> {
    let file = &flags.file;
    let kind = match flags.kind.as_deref() {
        Some(name) => parse_kind(name)?,
        None => guess_kind(file),
    };
    if flags.against.is_some() && kind != Kind::Layout {
        return Err(BadInput::new(format!("--against: {kind} has no other version")).into());
    }
    match kind {
        Kind::Router => drop(settings::load::<RouterSettings>(file)?),
        Kind::Control => drop(settings::load::<ControlSettings>(file)?),
        Kind::Operator => drop(settings::load::<OperatorSettings>(file)?),
        Kind::Load => drop(settings::load::<LoadSettings>(file)?),
        Kind::Intent => check_intent(file)?,
        Kind::Gateway => drop(settings::load::<GatewaySettings>(file)?),
        Kind::Layout => review_layout(file, in_force(flags, settings)?.as_ref())?,
    }
    println!("{}: valid {kind}", file.display());
    Ok(())
}

/// Checks an intent by planning it against an empty configuration with the rules that control
/// applies.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the intent is invalid.
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

/// Prints the findings about a routing configuration, one a line.
fn review_layout(file: &Path, in_force: Option<&RoutingConfig>) -> Result<()> {
    let (layout, _) = read_layout(file)?;
    let findings = layout.review(in_force);
    for finding in &findings {
        println!("{}: {}: {finding}", file.display(), finding.severity());
    }
    match findings.iter().filter(|it| it.severity() == Severity::Error).count() {
        0 => Ok(()),
        errors => Err(BadInput::new(format!("{}: errors: {errors}", file.display())).into()),
    }
}

/// Returns the routing configuration to compare with, if there is one.
fn in_force(flags: &flags::Check, settings: Option<&Path>) -> Result<Option<RoutingConfig>> {
    if let Some(file) = &flags.against {
        return Ok(Some(read_layout(file)?.0));
    }
    let Some(settings) = settings else { return Ok(None) };
    let api = Api::open(Some(settings))?;
    let document = block_on(operate::layout_in_force(&api))?;
    if document.is_null() {
        return Ok(None);
    }
    let layout = serde_json::from_value(document);
    layout.map(Some).wrap_err("cannot decode the routing configuration in force")
}

/// Returns the content of a routing configuration file that control would accept.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the configuration is invalid.
pub(crate) fn read_valid_layout(file: &Path) -> Result<Vec<u8>> {
    let (layout, bytes) = read_layout(file)?;
    let checked = layout.check();
    checked.map_err(|it| BadInput::new(format!("{}: {it}", file.display())))?;
    Ok(bytes)
}

/// Reads a routing configuration, and returns the file's content too.
fn read_layout(file: &Path) -> Result<(RoutingConfig, Vec<u8>)> {
    let bad_input = |reason: String| BadInput::new(format!("{}: {reason}", file.display()));
    let bytes = fs::read(file).map_err(|it| bad_input(it.to_string()))?;
    let layout = serde_json::from_slice(&bytes).map_err(|it| bad_input(it.to_string()))?;
    Ok((layout, bytes))
}

fn parse_kind(name: &str) -> Result<Kind> {
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

/// Guesses the kind of a file by keys that only one kind has.
fn guess_kind(file: &Path) -> Kind {
    let text = fs::read_to_string(file).unwrap_or_default();
    let has_line = |prefix: &str| text.lines().any(|it| it.trim_start().starts_with(prefix));
    if has_line("[[router]]") {
        Kind::Load
    } else if has_line("[[team]]") || has_line("[[service]]") || has_line("[[endpoint]]") {
        Kind::Intent
    } else if has_line("operators") || has_line("data ") {
        Kind::Control
    } else if has_line("[listing]") || has_line("grace-ms") {
        Kind::Gateway
    } else if text.trim_start().starts_with('{') {
        Kind::Layout
    } else if has_line("token-file") {
        Kind::Operator
    } else {
        Kind::Router
    }
}

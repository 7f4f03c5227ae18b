//! Checking files without starting anything.

use {
    crate::{failure::BadInput, flags},
    eyre::Result,
    settings::{OperatorSettings, RouterSettings},
    std::{fs, path::Path},
};

/// What a file can hold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Kind {
    Router,
    Operator,
}

pub(crate) fn run(flags: &flags::Check) -> Result<()> {
    let kind = match flags.kind.as_deref() {
        Some(name) => named(name)?,
        None => guess(&flags.file)?,
    };
    match kind {
        Kind::Router => drop(settings::load::<RouterSettings>(&flags.file)?),
        Kind::Operator => drop(settings::load::<OperatorSettings>(&flags.file)?),
    }
    println!("{}: {kind:?} file holds", flags.file.display());
    Ok(())
}

fn named(name: &str) -> Result<Kind> {
    Ok(match name {
        "router" => Kind::Router,
        "operator" => Kind::Operator,
        _ => {
            let expected = "expected router, control, operator or intent";
            return Err(BadInput::new(format!("--kind: {expected}, found {name:?}")).into());
        }
    })
}

/// Tells the kind by keys that only one kind has.
fn guess(file: &Path) -> Result<Kind> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let has = |key: &str| text.lines().any(|it| it.trim_start().starts_with(key));
    Ok(if has("token-file") { Kind::Operator } else { Kind::Router })
}

//! Who may operate the system.

use {
    derive_more::Debug,
    eyre::{OptionExt, Result, WrapErr},
    model::{Digest, Name},
    serde::Deserialize,
    std::{fs, path::Path},
    subtle::ConstantTimeEq,
};

/// The operators and the digests of their tokens.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    known: Vec<(Name, Digest)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    operator: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    name: Name,
    token: String,
}

impl Operators {
    /// Reads the file of operators; without one there are none.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a token is no digest.
    pub(crate) fn open(file: Option<&Path>) -> Result<Operators> {
        let Some(file) = file else { return Ok(Operators { known: Vec::new() }) };
        let step = || format!("control: read operators from {}", file.display());
        let text = fs::read_to_string(file).wrap_err_with(step)?;
        let parsed: File = toml::from_str(&text).wrap_err_with(step)?;
        let known = parsed.operator.into_iter().map(|it| {
            let digest = Digest::parse(&it.token)
                .ok_or_eyre("expected sha256: and 64 hexadecimal digits")
                .wrap_err_with(|| format!("token of operator {}", it.name));
            Ok((it.name, digest?))
        });
        Ok(Operators { known: known.collect::<Result<_>>().wrap_err_with(step)? })
    }

    /// Returns whose token it is; the time taken does not depend on the token.
    pub(crate) fn find(&self, token: &str) -> Option<&Name> {
        let digest = Digest::of(token.as_bytes());
        let matching = |known: &Digest| bool::from(known.0.ct_eq(&digest.0));
        self.known.iter().fold(
            None,
            |found, (name, known)| {
                if matching(known) { Some(name) } else { found }
            },
        )
    }
}

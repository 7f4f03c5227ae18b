//! Authentication of operators.

use {
    derive_more::Debug,
    eyre::{OptionExt, Result, WrapErr},
    model::{Digest, Name},
    serde::Deserialize,
    std::{fs, path::Path},
    subtle::ConstantTimeEq,
};

/// The names of the operators and the digests of their tokens.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    tokens: Vec<(Name, Digest)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorsFile {
    #[serde(default)]
    operator: Vec<OperatorEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorEntry {
    name: Name,
    token: String,
}

impl Operators {
    /// Loads the operators file. Without a file there are no operators.
    ///
    /// # Errors
    ///
    /// The file cannot be read or parsed, or a token is not a digest.
    pub(crate) fn load(file: Option<&Path>) -> Result<Operators> {
        let Some(file) = file else { return Ok(Operators { tokens: Vec::new() }) };
        let context = || format!("control: cannot read operators from {}", file.display());
        let text = fs::read_to_string(file).wrap_err_with(context)?;
        let parsed: OperatorsFile = toml::from_str(&text).wrap_err_with(context)?;
        let tokens = parsed.operator.into_iter().map(|it| {
            let digest = Digest::parse(&it.token)
                .ok_or_eyre("expected sha256: and 64 hexadecimal digits")
                .wrap_err_with(|| format!("token of operator {}", it.name));
            Ok((it.name, digest?))
        });
        Ok(Operators { tokens: tokens.collect::<Result<_>>().wrap_err_with(context)? })
    }

    /// Returns the operator that the token belongs to, in a time that does not depend on the token.
    pub(crate) fn authenticate(&self, token: &str) -> Option<&Name> {
        let digest = Digest::of(token.as_bytes());
        let matches = |token_digest: &Digest| bool::from(token_digest.0.ct_eq(&digest.0));
        self.tokens.iter().fold(
            None,
            |found, (name, token_digest)| {
                if matches(token_digest) { Some(name) } else { found }
            },
        )
    }
}

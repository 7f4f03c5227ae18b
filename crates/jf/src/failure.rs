//! Errors and the exit codes that go with them.

use {
    derive_more::{Debug, Display, Error},
    eyre::Report,
    settings::SettingsError,
};

const FAILED: i32 = 1;
const BAD_INPUT: i32 = 2;

/// What the operator gave cannot be used.
#[derive(Debug, Display, Error)]
#[display("{text}")]
pub(crate) struct BadInput {
    text: String,
}

impl BadInput {
    pub(crate) fn new<T>(text: T) -> BadInput
    where
        T: Into<String>,
    {
        BadInput { text: text.into() }
    }
}

/// Returns the exit code for an error.
pub(crate) fn exit_code(err: &Report) -> i32 {
    let bad_input = err.chain().any(|it| it.is::<BadInput>() || it.is::<SettingsError>());
    if bad_input { BAD_INPUT } else { FAILED }
}

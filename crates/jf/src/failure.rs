//! Errors and their exit codes.

use {
    derive_more::{Debug, Display, Error},
    eyre::Report,
    settings::SettingsError,
};

const EXIT_FAILURE: i32 = 1;
const EXIT_BAD_INPUT: i32 = 2;

/// An argument, file or request of the operator is invalid.
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

/// Returns the exit code for an error: 2 for bad input, 1 for any other failure.
pub(crate) fn exit_code(err: &Report) -> i32 {
    let bad_input = err.chain().any(|it| it.is::<BadInput>() || it.is::<SettingsError>());
    if bad_input { EXIT_BAD_INPUT } else { EXIT_FAILURE }
}

//! The error for an invalid settings file.

use {
    derive_more::{Debug, Display, Error},
    std::path::PathBuf,
};

/// A settings file cannot be read or is invalid.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("{}:{line}: {key}: {expected}", file.display())]
pub struct SettingsError {
    /// The path of the settings file.
    pub file: PathBuf,
    /// The line number, starting at 1, or zero if the error has no line.
    pub line: usize,
    /// The dotted path of the key.
    pub key: String,
    /// The expected value, on one line.
    pub expected: String,
}

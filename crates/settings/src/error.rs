//! The error of a settings file that does not hold.

use {
    derive_more::{Debug, Display, Error},
    std::path::PathBuf,
};

/// A settings file cannot be used.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("{}:{line}: {key}: {expected}", file.display())]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; zero where the fault has no line.
    pub line: usize,
    /// The dotted key.
    pub key: String,
    /// What was expected, on one line.
    pub expected: String,
}

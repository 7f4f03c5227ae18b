//! Logging settings.

use {
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
};

/// The minimum severity of logged events.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    #[display("error")]
    Error,
    /// Errors and warnings.
    #[display("warn")]
    Warn,
    /// Also events of interest to operators during normal operation.
    #[default]
    #[display("info")]
    Info,
    /// Also details of interest to developers.
    #[display("debug")]
    Debug,
    /// Everything.
    #[display("trace")]
    Trace,
}

/// The format of log lines.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object per event.
    #[display("json")]
    Json,
}

/// Logging settings of a process; log lines are written to standard output.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LogSettings {
    /// The minimum severity of logged events; default `info`.
    pub level: LogLevel,
    /// The format of log lines; default `text`.
    pub format: LogFormat,
    /// Maximum bytes of log lines per second; further lines are dropped and counted; default 65536.
    pub bytes_per_second: u64,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            level: LogLevel::default(),
            format: LogFormat::default(),
            bytes_per_second: 64 << 10,
        }
    }
}

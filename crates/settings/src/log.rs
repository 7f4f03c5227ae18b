//! How a process logs.

use {
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
};

/// The least severity that is logged.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    #[display("error")]
    Error,
    /// And warnings.
    #[display("warn")]
    Warn,
    /// And what an operator wants to know in ordinary times.
    #[default]
    #[display("info")]
    Info,
    /// And what a developer wants to know.
    #[display("debug")]
    Debug,
    /// Everything.
    #[display("trace")]
    Trace,
}

/// How log lines are written.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text each.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object each.
    #[display("json")]
    Json,
}

/// How a process logs; lines go to standard output.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least severity that is logged; default `info`.
    pub level: LogLevel,
    /// How lines are written; default `text`.
    pub format: LogFormat,
    /// Bytes of log lines a second; more lines are dropped and counted; default 65536.
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

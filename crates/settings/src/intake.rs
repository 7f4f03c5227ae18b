//! Limits on what clients make a process hold.

use {
    crate::file::require,
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// The smallest receive buffer of a connection, in bytes.
const MIN_RECEIVE_BYTES: usize = 4 << 10;

/// Limits on connections that hold a process's memory and descriptors.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct IntakeSettings {
    /// The buffer of each connection for bytes that were received and not read, in bytes; default 32768.
    pub receive_bytes: usize,
    /// How long a client may take nothing of a response, in milliseconds; default 30000.
    pub stall_ms: u64,
    /// The maximum number of connections at once at each listener for operators, readiness or metrics; default 256.
    pub operators: usize,
    /// The maximum number of connections at once from other processes of the system; default 1024.
    pub inner: usize,
}

impl Default for IntakeSettings {
    fn default() -> IntakeSettings {
        IntakeSettings { receive_bytes: 32 << 10, stall_ms: 30_000, operators: 256, inner: 1_024 }
    }
}

impl IntakeSettings {
    pub(crate) fn validate(&self) -> Result<(), (&'static str, String)> {
        let receive_bytes = self.receive_bytes;
        require(
            "intake.receive-bytes",
            receive_bytes >= MIN_RECEIVE_BYTES,
            "expected at least 4096",
        )?;
        require("intake.stall-ms", self.stall_ms >= 1_000, "expected at least 1000")?;
        require("intake.operators", self.operators > 0, "expected at least 1")?;
        require("intake.inner", self.inner > 0, "expected at least 1")
    }
}

/// Checks the memory of a process, in megabytes.
pub(crate) fn validate_memory(memory_mb: f64) -> Result<(), (&'static str, String)> {
    require("memory-mb", memory_mb >= 32.0, "expected at least 32")
}

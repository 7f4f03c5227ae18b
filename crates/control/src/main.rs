//! The `jf-control` binary.

use {
    control::Control,
    eyre::Result,
    settings::ControlSettings,
    tokio::signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
};

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a control replica.
        cmd jf-control {
            /// The file of settings.
            required settings: PathBuf
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::JfControl::from_env_or_exit();
    let settings: ControlSettings = settings::load(&flags.settings)?;
    let _metrics = telemetry::open(&settings.log)?;
    let control = Control::spawn(settings).await?;
    stopped().await?;
    control.shutdown().await;
    Ok(())
}

/// Returns when the process is told to stop.
async fn stopped() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupted = ctrl_c() => Ok(interrupted?),
        _ = terminate.recv() => Ok(()),
    }
}

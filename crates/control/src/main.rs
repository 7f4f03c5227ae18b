//! The `jf-control` binary.

use {control::Control, eyre::Result};

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
    let text = std::fs::read_to_string(&flags.settings)?;
    let control = Control::spawn(toml::from_str(&text)?).await?;
    tokio::signal::ctrl_c().await?;
    control.shutdown().await;
    Ok(())
}

//! The `jf-gateway` binary.

use {
    edge::HttpDirectory,
    eyre::{OptionExt, Result},
    gateway::{Gateway, HeaderNames},
    settings::GatewaySettings,
    std::{path::Path, process::ExitCode},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
};

mod flags {
    #![allow(missing_docs, reason = "the macro uses doc comments as help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes client requests to endpoints, choosing an endpoint for each request by itself.
        cmd jf-gateway {
            /// The settings file.
            required settings: PathBuf
        }
    }
}

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let file = flags::JfGateway::from_env_or_exit().settings;
    let settings = match settings::load::<GatewaySettings>(&file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("jf-gateway: {err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match run(&file, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("jf-gateway: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: &Path, settings: GatewaySettings) -> Result<()> {
    let directory = settings.directory.ok_or_eyre("settings: `directory` is missing")?;
    Builder::new_current_thread().enable_all().build()?.block_on(async {
        let mut hangup = signal(SignalKind::hangup())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let metrics = telemetry::init(&settings.log)?;
        let directory = HttpDirectory::new(directory);
        let gateway = Gateway::spawn(settings, HeaderNames::default(), directory, metrics).await?;
        loop {
            tokio::select! {
                _ = hangup.recv() => reload(&gateway, file),
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
            }
        }
        gateway.shutdown().await;
        Ok(())
    })
}

/// Applies new control addresses and regions; all other settings require a restart.
fn reload(gateway: &Gateway, file: &Path) {
    match settings::load::<GatewaySettings>(file) {
        Ok(settings) => {
            gateway.set_control_addrs(settings.control);
            gateway.set_regions(settings.regions);
        }
        Err(err) => {
            tracing::warn!(
                event = "reload-failed",
                %err,
                "gateway: failed to reload settings, keeping the current ones"
            );
        }
    }
}

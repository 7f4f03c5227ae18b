//! The `jf-router` binary.

mod flags;

use {
    eyre::Result,
    router::Router,
    settings::RouterSettings,
    std::{path::Path, process::ExitCode},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
};

/// Exit code for a missing or invalid settings file.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::JfRouter::from_env_or_exit();
    if flags.version {
        println!("jf-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("jf-router: expected a settings file; see --help");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match load(&file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("jf-router: {err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("jf-router: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path) -> Result<RouterSettings> {
    Ok(settings::load(file)?)
}

fn run(settings: RouterSettings) -> Result<()> {
    Builder::new_multi_thread().enable_all().build()?.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let telemetry = telemetry::init(&settings.log)?;
        let router = Router::spawn(settings, telemetry).await?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        router.shutdown().await;
        Ok(())
    })
}

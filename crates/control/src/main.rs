//! The `jf-control` binary.

mod flags;

use {
    control::Control,
    edge::HttpDirectory,
    eyre::Result,
    settings::ControlSettings,
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit code for a missing or invalid settings file.
const INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::JfControl::from_env_or_exit();
    if flags.version {
        println!("jf-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("jf-control: expected a settings file; see --help");
        return ExitCode::from(INVALID_SETTINGS);
    };
    let settings = match settings::load(&file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("jf-control: {err}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("jf-control: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: ControlSettings) -> Result<()> {
    // A signal that arrives while the replica opens its state stops it in order, too.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let metrics = telemetry::init(&settings.log)?;
    let directory = settings.directory.map(HttpDirectory::new);
    let mut control = Control::spawn(settings).await?;
    if let Some(directory) = directory {
        control.poll_directory(directory);
    }
    control.serve_metrics(metrics);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        err = control.failed() => return Err(err),
    }
    control.shutdown().await;
    Ok(())
}

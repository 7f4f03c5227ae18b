//! The `jf-control` binary.

mod flags;

use {
    control::Control,
    edge::HttpDirectory,
    eyre::Result,
    settings::ControlSettings,
    std::process::ExitCode,
    tokio::signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
};

/// The exit code for bad settings.
const BAD_INPUT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::JfControl::from_env_or_exit();
    if flags.version {
        println!("jf-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("jf-control: expected a settings file; see --help");
        return ExitCode::from(BAD_INPUT);
    };
    let settings = match settings::load(&file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("jf-control: {err}");
            return ExitCode::from(BAD_INPUT);
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
    let metrics = telemetry::init(&settings.log)?;
    let directory = settings.directory.map(HttpDirectory::new);
    let mut control = Control::spawn(settings).await?;
    if let Some(directory) = directory {
        control.poll_directory(directory);
    }
    control.serve_metrics(metrics);
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

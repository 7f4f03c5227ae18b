//! `cargo xtask demo`: starts a complete small fleet on loopback and sends a chat through it.
//!
//! The settings are copied from examples/{deployment} to a directory of this run, which is the working directory of all
//! processes. The loopback ports in these files are replaced by free ones.

mod child;
mod files;
mod fleet;
mod smoke_test;
mod usage;

pub(crate) use crate::demo::{
    child::Child,
    files::RunDir,
    fleet::{Fleet, build},
};

use {
    crate::flags,
    eyre::{Result, WrapErr, bail},
    std::{future::Future, time::Duration},
    tokio::{
        runtime::Runtime,
        signal::{
            ctrl_c,
            unix::{SignalKind, signal},
        },
        time::timeout,
    },
};

const DEFAULT_DEPLOYMENT: &str = "auditex";
const SMOKE_TEST_TIMEOUT: Duration = Duration::from_secs(90);

pub(crate) fn run(flags: &flags::Demo) -> Result<()> {
    let deployment = flags.deployment.as_deref().unwrap_or(DEFAULT_DEPLOYMENT);
    let binaries = build(flags.release)?;
    let folder = RunDir::create(deployment, flags.routing.as_deref())?;
    let runtime = Runtime::new().wrap_err("demo: failed to start the async runtime")?;
    let ended = runtime.block_on(async {
        let mut fleet = Fleet::new(&binaries, &folder);
        let result = until_stopped(start_and_test(&mut fleet, flags.once)).await;
        let ended = fleet.stop_all().await;
        result.and(ended)
    });
    match ended {
        Ok(()) => {
            folder.remove();
            println!("demo: all checks passed and all processes exited cleanly");
            Ok(())
        }
        Err(err) => {
            println!("demo: logs are kept in {}", folder.path().display());
            Err(err)
        }
    }
}

/// Runs `work` until it completes or this process receives SIGTERM or Ctrl-C.
pub(crate) async fn until_stopped<F>(work: F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("demo: failed to install the SIGTERM handler")?;
    tokio::select! {
        done = work => done,
        _ = ctrl_c() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}

async fn start_and_test(fleet: &mut Fleet<'_>, once: bool) -> Result<()> {
    fleet.start().await?;
    let tested = timeout(SMOKE_TEST_TIMEOUT, smoke_test::run(fleet.folder())).await;
    tested.wrap_err("demo: the smoke test timed out").and_then(|it| it).inspect_err(|_| {
        fleet.print_logs();
    })?;
    if once {
        return Ok(());
    }
    let folder = fleet.folder().path().display();
    println!("demo: running; settings, tokens and logs are in {folder}; press Ctrl-C to stop");
    let name = fleet.wait_for_exit().await?;
    bail!("demo: {name} exited unexpectedly")
}

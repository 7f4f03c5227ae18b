//! `cargo xtask demo`: a whole small fleet on loopback, and a chat through it.
//!
//! The fleet is described by the files of examples/{deployment}. They name loopback ports; at the start each is
//! replaced by a free one, and the files so changed go to a folder of this run, in which all processes work.

mod child;
mod files;
mod fleet;
mod tour;
mod usage;

pub(crate) use crate::demo::{
    child::Child,
    files::RunFolder,
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
const TOUR_LIMIT: Duration = Duration::from_secs(90);

pub(crate) fn run(flags: &flags::Demo) -> Result<()> {
    let deployment = flags.deployment.as_deref().unwrap_or(DEFAULT_DEPLOYMENT);
    let binaries = build(flags.release)?;
    let folder = RunFolder::create(deployment, flags.routing.as_deref())?;
    let runtime = Runtime::new().wrap_err("demo: cannot start")?;
    let ended = runtime.block_on(async {
        let mut fleet = Fleet::new(&binaries, &folder);
        let shown = until_stopped(show(&mut fleet, flags.once)).await;
        let ended = fleet.end().await;
        shown.and(ended)
    });
    match ended {
        Ok(()) => {
            folder.remove();
            println!("demo: whole, and everything ended in order");
            Ok(())
        }
        Err(err) => {
            println!("demo: logs are kept in {}", folder.path().display());
            Err(err)
        }
    }
}

/// Runs `work` unless this process is told to stop first.
pub(crate) async fn until_stopped<F>(work: F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let mut terminate = signal(SignalKind::terminate()).wrap_err("demo: no signals")?;
    tokio::select! {
        done = work => done,
        _ = ctrl_c() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}

async fn show(fleet: &mut Fleet<'_>, once: bool) -> Result<()> {
    fleet.start().await?;
    let toured = timeout(TOUR_LIMIT, tour::run(fleet.folder())).await;
    toured.wrap_err("demo: the chats took too long").and_then(|it| it).inspect_err(|_| {
        fleet.print_logs();
    })?;
    if once {
        return Ok(());
    }
    let folder = fleet.folder().path().display();
    println!("demo: running; settings, tokens and logs are in {folder}; Ctrl-C ends it");
    let name = fleet.wait_for_exit().await?;
    bail!("demo: {name} ended by itself")
}

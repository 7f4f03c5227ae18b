//! `cargo xtask drill`: the procedures of docs/OPERATIONS.md on a whole small fleet, under load.
//!
//! Real processes are drained, stopped, killed and started again while `jf-load` checks every answer; the verdict is
//! read from its report. It always ends by itself.

mod steps;
mod verdict;

use {
    crate::{
        demo::{Child, Fleet, RunFolder, build, until_stopped},
        drill::{steps::Steps, verdict::Verdict},
        flags,
    },
    eyre::{Result, WrapErr, bail},
    std::{path::Path, time::Duration},
    tokio::{runtime::Runtime, time::timeout},
};

const DEFAULT_DEPLOYMENT: &str = "auditex";
const DEFAULT_SECONDS: u64 = 75;
const DEFAULT_RATE: u32 = 60;
/// How long the answers to the last requests may take.
const LAST_ANSWERS: Duration = Duration::from_secs(150);
/// All steps together, each of which has its own limit.
const STEPS_LIMIT: Duration = Duration::from_secs(240);
const FIGURES: &str = "load.json";

pub(crate) fn run(flags: &flags::Drill) -> Result<()> {
    let deployment = flags.deployment.as_deref().unwrap_or(DEFAULT_DEPLOYMENT);
    let binaries = build(flags.release)?;
    let folder = RunFolder::create(deployment, None)?;
    let drilled = judge(flags, &binaries, &folder);
    match &drilled {
        Ok(()) => folder.remove(),
        Err(_) => println!("drill: logs are kept in {}", folder.path().display()),
    }
    drilled
}

fn judge(flags: &flags::Drill, binaries: &Path, folder: &RunFolder) -> Result<()> {
    let runtime = Runtime::new().wrap_err("drill: cannot start")?;
    let verdict = runtime.block_on(async {
        let mut fleet = Fleet::new(binaries, folder);
        let mut verdict = None;
        let drilled = until_stopped(async {
            verdict = Some(drill(flags, &mut fleet).await?);
            Ok(())
        });
        let drilled = drilled.await;
        if drilled.is_err() {
            fleet.print_logs();
        }
        let ended = fleet.end().await;
        drilled?;
        let Some(verdict) = verdict else { bail!("drill: stopped") };
        verdict.print();
        ended?;
        Ok(verdict)
    })?;
    verdict.check()
}

async fn drill(flags: &flags::Drill, fleet: &mut Fleet<'_>) -> Result<Verdict> {
    fleet.start().await?;
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    let rate = flags.rate.unwrap_or(DEFAULT_RATE).to_string();
    let args = ["--seconds", &seconds.to_string(), "--rate", &rate, "--json", FIGURES];
    let mut load = fleet.beside("jf-load", &args)?;
    let drilled = under_load(fleet, &mut load, seconds).await;
    load.print_log();
    drilled
}

async fn under_load(fleet: &mut Fleet<'_>, load: &mut Child, seconds: u64) -> Result<Verdict> {
    let mut steps = Steps::new(fleet)?;
    let done = timeout(STEPS_LIMIT, steps.run()).await;
    done.wrap_err("drill: the steps took too long")??;
    let killed = steps.killed;
    if !load.runs() {
        bail!("drill: the load ended before the last step: give more --seconds");
    }
    load.wait(Duration::from_secs(seconds) + LAST_ANSWERS).await?;
    Verdict::read(&fleet.folder().path().join(FIGURES), killed)
}

//! `cargo xtask drill`: the procedures of docs/OPERATIONS.md on a complete small fleet under load.
//!
//! Processes are drained, stopped, killed and restarted while `jf-load` checks every response. The result is read from
//! its report. The command always terminates on its own.

mod procedures;
mod report;

use {
    crate::{
        demo::{Child, Fleet, RunDir, build, until_stopped},
        drill::{procedures::Procedures, report::Report},
        flags,
    },
    eyre::{Result, WrapErr, bail},
    std::{path::Path, time::Duration},
    tokio::{runtime::Runtime, time::timeout},
};

const DEFAULT_DEPLOYMENT: &str = "auditex";
const DEFAULT_SECONDS: u64 = 75;
const DEFAULT_RATE: u32 = 60;
/// How long the responses to the last requests may take.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(150);
/// Timeout of all procedures together; each one also has its own timeout.
const PROCEDURES_TIMEOUT: Duration = Duration::from_secs(240);
const REPORT_FILE: &str = "load.json";

pub(crate) fn run(flags: &flags::Drill) -> Result<()> {
    let deployment = flags.deployment.as_deref().unwrap_or(DEFAULT_DEPLOYMENT);
    let binaries = build(flags.release)?;
    let folder = RunDir::create(deployment, None)?;
    let result = run_and_check(flags, &binaries, &folder);
    match &result {
        Ok(()) => folder.remove(),
        Err(_) => println!("drill: logs are kept in {}", folder.path().display()),
    }
    result
}

fn run_and_check(flags: &flags::Drill, binaries: &Path, folder: &RunDir) -> Result<()> {
    let runtime = Runtime::new().wrap_err("drill: failed to start the async runtime")?;
    let report = runtime.block_on(async {
        let mut fleet = Fleet::new(binaries, folder);
        let mut report = None;
        let result = until_stopped(async {
            report = Some(drill(flags, &mut fleet).await?);
            Ok(())
        });
        let result = result.await;
        if result.is_err() {
            fleet.print_logs();
        }
        let ended = fleet.stop_all().await;
        result?;
        let Some(report) = report else { bail!("drill: interrupted") };
        report.print();
        ended?;
        Ok(report)
    })?;
    report.check()
}

async fn drill(flags: &flags::Drill, fleet: &mut Fleet<'_>) -> Result<Report> {
    fleet.start().await?;
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    let rate = flags.rate.unwrap_or(DEFAULT_RATE).to_string();
    let args = ["--seconds", &seconds.to_string(), "--rate", &rate, "--json", REPORT_FILE];
    let mut load = fleet.spawn_extra("jf-load", &args)?;
    let result = run_procedures(fleet, &mut load, seconds).await;
    load.print_log();
    result
}

async fn run_procedures(fleet: &mut Fleet<'_>, load: &mut Child, seconds: u64) -> Result<Report> {
    let mut procedures = Procedures::new(fleet)?;
    let done = timeout(PROCEDURES_TIMEOUT, procedures.run()).await;
    done.wrap_err("drill: the procedures timed out")??;
    let killed = procedures.killed;
    if !load.is_running() {
        bail!("drill: the load ended before the last procedure: increase --seconds");
    }
    load.wait(Duration::from_secs(seconds) + LAST_RESPONSES_TIMEOUT).await?;
    Report::read(&fleet.folder().path().join(REPORT_FILE), killed)
}

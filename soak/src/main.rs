//! The `jf-soak` binary: runs fault plans and prints one line per seed.

use {
    eyre::{Result, WrapErr},
    soak::{Cuts, Excuse, FaultPlan, FleetSize, Report, binaries, run_plan},
    std::{
        collections::BTreeMap,
        path::PathBuf,
        process::ExitCode,
        time::{Duration, UNIX_EPOCH},
    },
    tokio::{
        runtime::Runtime,
        signal::{
            ctrl_c,
            unix::{SignalKind, signal},
        },
    },
};

mod flags {
    #![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Run the binaries next to this one as a small fleet, inject faults and check all invariants.
        cmd jf-soak {
            /// Seed of the first fault plan. Default: taken from the clock and printed.
            optional --seed seed: u64
            /// Number of plans to run, with consecutive seeds. Default: 1.
            optional --count count: u64
            /// Duration of fault injection in seconds. Default: 30.
            optional --seconds seconds: u64
            /// Inject no faults, only stops and reloads of gateways and publishes.
            optional --planned
            /// Send requests of which one prompt part crashes endpoints, and let an endpoint name a limit.
            optional --incidents
            /// Run a hundred processes instead of a dozen.
            optional --large
            /// Directory for settings, state and logs. Default: a temporary one, removed unless an invariant was violated.
            optional --folder folder: PathBuf
        }
    }
}

const DEFAULT_SECONDS: u64 = 30;

/// Maximum number of violations printed per seed.
const MAX_PRINTED: usize = 12;

fn main() -> ExitCode {
    match run(&flags::JfSoak::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("jf-soak: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &flags::JfSoak) -> Result<bool> {
    let binaries = binaries()?;
    #[allow(clippy::disallowed_methods, reason = "the default seed comes from the clock")]
    let clock_seed = || UNIX_EPOCH.elapsed().map_or(1, |it| it.as_millis() as u64);
    let first = flags.seed.unwrap_or_else(clock_seed);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
    let size = if flags.large { FleetSize::LARGE } else { FleetSize::SMALL };
    let runtime = Runtime::new().wrap_err("start")?;
    let mut all_passed = true;
    for seed in first..first + flags.count.unwrap_or(1) {
        let generate = match (flags.planned, flags.incidents) {
            (true, _) => FaultPlan::planned_work,
            (false, true) => FaultPlan::incidents,
            (false, false) => FaultPlan::generate,
        };
        let plan = generate(seed, size, duration);
        let mut folder = tempfile::Builder::new().prefix("jf-soak-").tempdir()?;
        let path = match &flags.folder {
            Some(it) => it.join(seed.to_string()),
            None => folder.path().to_owned(),
        };
        std::fs::create_dir_all(&path).wrap_err("failed to create the directory of a run")?;
        let result = runtime.block_on(async {
            // On a signal the run is dropped, which kills its processes.
            let mut terminate = signal(SignalKind::terminate())?;
            tokio::select! {
                result = run_plan(&plan, &binaries, &path) => result.map(Some),
                _ = ctrl_c() => Ok(None),
                _ = terminate.recv() => Ok(None),
            }
        });
        let Some(result) = result.transpose() else { return Ok(false) };
        all_passed &= matches!(&result, Ok(it) if it.passed());
        if !matches!(&result, Ok(it) if it.passed()) {
            folder.disable_cleanup(true);
        }
        print_report(seed, result, path);
    }
    Ok(all_passed)
}

fn print_report(seed: u64, result: Result<Report>, path: PathBuf) {
    let report = match result {
        Ok(report) => report,
        Err(err) => return println!("seed {seed}: run failed: {err:#}; see {}", path.display()),
    };
    let counts: Vec<_> =
        report.counts.0.iter().map(|it| format!("{} {}", it.0, it.1.count)).collect();
    println!("seed {seed}: {} faults; {}", report.faults, counts.join(", "));
    let excuses = |counts: &BTreeMap<Excuse, usize>| -> String {
        counts.iter().map(|it| format!(", {} {}", it.1, it.0)).collect()
    };
    let Cuts { total, planned, lost, excused, excused_planned } = &report.cuts;
    println!("  {total} cut off: {lost} lost{}", excuses(excused));
    println!("  {planned} of them at a stop or reload{}", excuses(excused_planned));
    for violation in report.violations.iter().take(MAX_PRINTED) {
        println!("  violation: {violation}");
    }
    let rest = report.violations.len().saturating_sub(MAX_PRINTED) + report.omitted;
    if rest > 0 {
        println!("  and {rest} more");
    }
    if !report.passed() {
        println!("  logs: {}", path.display());
    }
}

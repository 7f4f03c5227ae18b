//! The `jf-soak` binary: plays plans and prints a line for each seed.

use {
    eyre::{Result, WrapErr},
    soak::{Plan, Size, Verdict, binaries, play},
    std::{
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
        /// Runs the programs beside this one as a small fleet, injects faults and checks every promise.
        cmd jf-soak {
            /// The seed of the first plan. Default: drawn from the clock and printed.
            optional --seed seed: u64
            /// How many plans to play, with seeds that follow each other. Default: 1.
            optional --count count: u64
            /// How long faults are injected, in seconds. Default: 30.
            optional --seconds seconds: u64
            /// A hundred processes instead of a dozen.
            optional --large
            /// Where settings, state and logs are kept. Default: a folder that is removed unless a promise was broken.
            optional --folder folder: PathBuf
        }
    }
}

const DEFAULT_SECONDS: u64 = 30;

/// Violations that are printed for each seed.
const PRINTED: usize = 12;

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
    #[allow(clippy::disallowed_methods, reason = "the seed of a run with no given one")]
    let fresh = || UNIX_EPOCH.elapsed().map_or(1, |it| it.as_millis() as u64);
    let first = flags.seed.unwrap_or_else(fresh);
    let lasts = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
    let size = if flags.large { Size::LARGE } else { Size::SMALL };
    let runtime = Runtime::new().wrap_err("start")?;
    let mut kept = true;
    for seed in first..first + flags.count.unwrap_or(1) {
        let plan = Plan::draw(seed, size, lasts);
        let mut folder = tempfile::Builder::new().prefix("jf-soak-").tempdir()?;
        let path = match &flags.folder {
            Some(it) => it.join(seed.to_string()),
            None => folder.path().to_owned(),
        };
        std::fs::create_dir_all(&path).wrap_err("folder of a run")?;
        let played = runtime.block_on(async {
            // A run that is ended from outside still ends its processes, which are killed as they are dropped.
            let mut terminate = signal(SignalKind::terminate())?;
            tokio::select! {
                played = play(&plan, &binaries, &path) => played.map(Some),
                _ = ctrl_c() => Ok(None),
                _ = terminate.recv() => Ok(None),
            }
        });
        let Some(played) = played.transpose() else { return Ok(false) };
        kept &= matches!(&played, Ok(it) if it.is_kept());
        if !matches!(&played, Ok(it) if it.is_kept()) {
            folder.disable_cleanup(true);
        }
        report(seed, played, path);
    }
    Ok(kept)
}

fn report(seed: u64, played: Result<Verdict>, path: PathBuf) {
    let verdict = match played {
        Ok(verdict) => verdict,
        Err(err) => return println!("seed {seed}: not played: {err:#}; see {}", path.display()),
    };
    let counts: Vec<_> =
        verdict.counts.0.iter().map(|it| format!("{} {}", it.0, it.1.count)).collect();
    println!("seed {seed}: {} faults; {}", verdict.faults, counts.join(", "));
    for violation in verdict.violations.iter().take(PRINTED) {
        println!("  broken: {violation}");
    }
    let rest = verdict.violations.len().saturating_sub(PRINTED) + verdict.more;
    if rest > 0 {
        println!("  and {rest} more");
    }
    if !verdict.is_kept() {
        println!("  logs: {}", path.display());
    }
}

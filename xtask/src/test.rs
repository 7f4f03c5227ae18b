//! `cargo xtask test`: runs the tests and compares failures with KNOWN-RED.txt.

use {
    crate::flags,
    eyre::{Result, WrapErr, bail},
    std::{
        collections::BTreeSet,
        env, fs,
        process::{Command, Stdio},
        time::UNIX_EPOCH,
    },
};

const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

pub(crate) fn run(flags: &flags::Test) -> Result<()> {
    let mut cargo = command(flags)?;
    let output = cargo.stderr(Stdio::inherit()).output().wrap_err("failed to run cargo test")?;
    let text = String::from_utf8_lossy(&output.stdout);
    print!("{text}");
    if output.status.success() {
        return Ok(());
    }
    let failed = failures(&text);
    let known = known_failures()?;
    let unknown: Vec<_> = failed.difference(&known).collect();
    if failed.is_empty() || !unknown.is_empty() {
        bail!("tests failed: {unknown:?}");
    }
    println!("known failures, listed in {KNOWN_FAILURES_FILE}: {failed:?}");
    Ok(())
}

fn command(flags: &flags::Test) -> Result<Command> {
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["test", "--workspace", "--locked", "--no-fail-fast"]);
    if let Some(filter) = &flags.filter {
        cargo.arg(filter);
    }
    if let Some(cases) = flags.cases {
        let seed =
            UNIX_EPOCH.elapsed().wrap_err("the system clock is before 1970")?.as_nanos() as u64;
        println!("PROPTEST_CASES={cases} PROPTEST_RNG_SEED={seed}");
        cargo.env("PROPTEST_CASES", cases.to_string()).env("PROPTEST_RNG_SEED", seed.to_string());
    }
    Ok(cargo)
}

/// Returns the names of the tests that cargo reports as failed.
fn failures(text: &str) -> BTreeSet<String> {
    let failed =
        text.lines().filter_map(|it| it.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    failed.map(|it| it.trim_end_matches(" - should panic").to_owned()).collect()
}

/// Returns the names of the tests listed in KNOWN-RED.txt: the first word of each line that is neither a comment nor
/// indented.
fn known_failures() -> Result<BTreeSet<String>> {
    let Ok(text) = fs::read_to_string(KNOWN_FAILURES_FILE) else { return Ok(BTreeSet::new()) };
    let entries = text.lines().filter(|it| !it.starts_with(['#', ' ']));
    Ok(entries.filter_map(|it| it.split_whitespace().next()).map(str::to_owned).collect())
}

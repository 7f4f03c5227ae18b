//! `cargo xtask bench`: the same load on a complete small fleet, once per routing strategy.

use {
    crate::{
        demo::{Fleet, RunDir, build, until_stopped},
        flags,
    },
    eyre::{Result, WrapErr, bail},
    serde_json::Value,
    std::{fs, path::Path},
    tokio::runtime::Runtime,
};

const ROUTINGS: &[&str] = &["owner", "round-robin", "least-reported", "rendezvous"];
const ROLES: [&str; 2] = ["router", "control"];
const DEFAULT_SECONDS: u64 = 30;
const DEFAULT_RATE: u32 = 200;
const DEFAULT_SURGE: u32 = 1;

pub(crate) fn run(flags: &flags::Bench) -> Result<()> {
    let deployment = flags.deployment.as_deref().unwrap_or("auditex");
    let binaries = build(true)?;
    let routings: Vec<&str> = match &flags.routing {
        Some(routing) => vec![routing],
        None => ROUTINGS.to_vec(),
    };
    if let Some(dir) = &flags.svg_dir {
        fs::create_dir_all(dir).wrap_err("bench: failed to create the directory for plots")?;
    }
    let mut rows = Vec::new();
    for routing in routings {
        println!("bench: {deployment}, routing {routing}");
        rows.push((routing, run_one(flags, deployment, routing, &binaries)?));
    }
    print_table(&rows);
    Ok(())
}

fn run_one(
    flags: &flags::Bench,
    deployment: &str,
    routing: &str,
    binaries: &Path,
) -> Result<Value> {
    let folder = RunDir::create(deployment, Some(routing))?;
    let runtime = Runtime::new().wrap_err("bench: failed to start the async runtime")?;
    runtime.block_on(async {
        let mut fleet = Fleet::new(binaries, &folder);
        let mut done = false;
        let loaded = until_stopped(async {
            fleet.start().await?;
            let before = ROLES.map(|it| fleet.resource_usage(it));
            load(flags, &fleet).await?;
            for (role, before) in ROLES.iter().zip(before) {
                let (seconds, memory) = fleet.resource_usage(role);
                let spent = seconds - before.0;
                println!("{role}: mean of {spent:.2} CPU seconds under this load, {memory:.1} MiB");
            }
            done = true;
            Ok(())
        });
        let loaded = loaded.await;
        let ended = fleet.stop_all().await;
        loaded.and(ended)?;
        if !done {
            bail!("bench: interrupted");
        }
        Ok(())
    })?;
    let text = fs::read_to_string(folder.path().join("load.json"));
    let report_json =
        serde_json::from_str(&text.wrap_err("bench: failed to read the load report")?);
    if let Some(dir) = &flags.svg_dir {
        let svg = dir.join(format!("{deployment}-{routing}.svg"));
        fs::copy(folder.path().join("load.svg"), svg).wrap_err("bench: failed to copy the plot")?;
    }
    folder.remove();
    report_json.wrap_err("bench: failed to read the load report")
}

async fn load(flags: &flags::Bench, fleet: &Fleet<'_>) -> Result<()> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).to_string();
    let rate = flags.rate.unwrap_or(DEFAULT_RATE).to_string();
    let surge = flags.surge.unwrap_or(DEFAULT_SURGE).to_string();
    let mut args = vec!["--seconds", &seconds, "--rate", &rate, "--surge", &surge];
    args.extend(["--json", "load.json", "--svg", "load.svg"]);
    let more = flags.load_args.as_deref().unwrap_or("");
    args.extend(more.split_whitespace());
    fleet.run_with_output("jf-load", &args).await
}

fn print_table(rows: &[(&str, Value)]) {
    println!(
        "{:<15} {:>7} {:>6} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10}",
        "routing",
        "whole",
        "wrong",
        "refused",
        "no answer",
        "reuse",
        "skew mean",
        "skew p95",
        "overall",
        "control/s",
        "first p95",
        "between p95"
    );
    for (routing, it) in rows {
        let sum = |key: &str| {
            let counts = it[key].as_object();
            counts.map_or(0, |it| it.values().filter_map(Value::as_u64).sum::<u64>())
        };
        let number = |value: &Value| value.as_f64().unwrap_or(0.0);
        let whole = it["answers"]["whole"].as_u64().unwrap_or(0);
        println!(
            "{routing:<15} {whole:>7} {:>6} {:>8} {:>8} {:>7.3} {:>9.2} {:>9.2} {:>9.2} {:>9.0} {:>10.1} {:>10.1}",
            sum("answers") - whole,
            sum("refused"),
            sum("unanswered"),
            number(&it["reuse"]),
            number(&it["skew_work"]["mean"]),
            number(&it["skew_work"]["p95"]),
            number(&it["skew_work"]["overall"]),
            number(&it["control_mean"]),
            number(&it["first_token"]["p95_ms"]),
            number(&it["between_tokens"]["p95_ms"]),
        );
    }
}

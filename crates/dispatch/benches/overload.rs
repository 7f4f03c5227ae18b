//! Prints what callers get while requests exceed the capacity of a model's endpoints, per policy:
//! `cargo bench -p dispatch --bench overload`.

#[path = "../tests/common/mod.rs"]
mod common;

use {
    common::overload::{Load, Outcome, Scenario, Simulation, is_large_team, shares, size_bounds},
    dispatch::Policy,
};

const SEEDS: u64 = 12;

const SCENARIOS: [Scenario; 6] = [
    Scenario::Calm,
    Scenario::Burst(1.5),
    Scenario::Burst(2.0),
    Scenario::Teams,
    Scenario::Kind,
    Scenario::Loss,
];

const POLICIES: [Policy; 7] = [
    Policy::Arrival,
    Policy::Priority,
    Policy::Deadline,
    Policy::ShortestWork,
    Policy::ValueByWork,
    Policy::FairShare,
    Policy::Layered,
];

/// The groups of requests that are printed.
const GROUPS: [&str; 10] =
    ["all", "kind 0", "kind 1", "kind 2", "large", "others", "rare", "top 10", "next 20", "rest"];

fn group(outcomes: &[Outcome], at: usize) -> Option<(f64, f64)> {
    let (top, next) = size_bounds(outcomes);
    shares(outcomes, |it| match at {
        0 => true,
        1..=3 => it.kind == at - 1,
        4 => is_large_team(it.team),
        5 => !is_large_team(it.team),
        6 => it.is_rare,
        7 => it.size >= top,
        8 => (next..top).contains(&it.size),
        _ => it.size < next,
    })
}

/// Prints the shares served / on time in percent, as the mean and the worst of all seeds.
fn print(load: Load) {
    let runs: Vec<_> = (1..=SEEDS).map(|seed| Simulation::run(Load { seed, ..load })).collect();
    let cells = (0..GROUPS.len()).map(|at| {
        let values: Vec<_> = runs.iter().filter_map(|it| group(it, at)).collect();
        let mean = |it: fn(&(f64, f64)) -> f64| {
            values.iter().map(it).sum::<f64>() / values.len().max(1) as f64 * 100.0
        };
        let worst = |it: fn(&(f64, f64)) -> f64| values.iter().map(it).fold(1.0, f64::min) * 100.0;
        format!(
            "{:.0}/{:.0} ({:.0}/{:.0})",
            mean(|it| it.0),
            mean(|it| it.1),
            worst(|it| it.0),
            worst(|it| it.1)
        )
    });
    println!(
        "| {:?}, {:?}, {} gateways | {} |",
        load.policy,
        load.scenario,
        load.gateways,
        cells.collect::<Vec<_>>().join(" | ")
    );
}

fn main() {
    println!("| load | {} |", GROUPS.join(" | "));
    println!("|---|{}", "---|".repeat(GROUPS.len()));
    let filter = std::env::args().skip(1).find(|it| !it.starts_with("--")).unwrap_or_default();
    for gateways in [1, 7, 67] {
        for scenario in SCENARIOS {
            for policy in POLICIES {
                let load = Load { gateways, scenario, policy, cut_off: 0.0, seed: 0 };
                if format!("{policy:?} {scenario:?} {gateways}").contains(&filter) {
                    print(load);
                }
            }
        }
    }
}

//! Checks who is served while requests exceed the capacity of a model's endpoints, against the bounds
//! of docs/HARD-LOAD.md, section 6.

mod common;

use {
    common::overload::{Load, Outcome, Scenario, Simulation, is_large_team, shares, size_bounds},
    dispatch::Policy,
    rstest::rstest,
};

const SEEDS: u64 = 3;

fn load(gateways: usize, scenario: Scenario) -> Load {
    Load { gateways, scenario, policy: Policy::Layered, cut_off: 0.0, seed: 0 }
}

fn play(load: Load) -> Vec<Outcome> {
    (1..=SEEDS).flat_map(|seed| Simulation::run(Load { seed, ..load })).collect()
}

/// Returns the share of the selected requests that were served.
fn served<F>(outcomes: &[Outcome], is_selected: F) -> f64
where
    F: Fn(&Outcome) -> bool,
{
    shares(outcomes, is_selected).map_or(1.0, |it| it.0)
}

/// Guards against an order or refusals that differ from those by priority and arrival while there are
/// slots to spare.
#[rstest]
#[case::one(1)]
#[case::seven(7)]
#[case::sixty_seven(67)]
fn calm_load_is_treated_as_by_priority_and_arrival(#[case] gateways: usize) {
    let calm = load(gateways, Scenario::Calm);
    let outcomes = play(calm);
    let (served, on_time) = shares(&outcomes, |_| true).expect("requests arrive");
    assert!(served >= 0.99 && on_time >= 0.99, "{served:.3} served, {on_time:.3} on time");
    assert_eq!(outcomes, play(Load { policy: Policy::Priority, ..calm }));
}

/// Guards against large requests, rare prompts or teams that are starved.
#[rstest]
fn no_size_prompt_or_team_is_starved(
    #[values(1, 7, 67)] gateways: usize,
    #[values(Scenario::Burst(2.0), Scenario::Teams, Scenario::Loss)] scenario: Scenario,
) {
    let outcomes = play(load(gateways, scenario));
    let all = served(&outcomes, |_| true);
    for kind in 0..3 {
        let of_kind: Vec<_> = outcomes.iter().filter(|it| it.kind == kind).copied().collect();
        let (top, next) = size_bounds(&of_kind);
        let all = served(&of_kind, |_| true);
        let largest = served(&of_kind, |it| it.size >= top);
        let below = served(&of_kind, |it| (next..top).contains(&it.size));
        assert!(
            largest >= all / 2.0 && below >= all / 2.0,
            "{kind}: {largest:.2} {below:.2} {all:.2}"
        );
    }
    let rare = served(&outcomes, |it| it.is_rare);
    assert!(rare >= all / 4.0, "rare prompts {rare:.2}, all {all:.2}");
    for team in 0..40 {
        let of_team = served(&outcomes, |it| it.team == team);
        assert!(of_team >= all / 4.0, "team {team} {of_team:.2}, all {all:.2}");
    }
}

/// Guards against quick requests that are served instead of more urgent ones.
#[rstest]
fn less_urgent_kind_is_not_served_more_often(
    #[values(1, 7, 67)] gateways: usize,
    #[values(Scenario::Burst(1.5), Scenario::Burst(2.0), Scenario::Teams, Scenario::Loss)]
    scenario: Scenario,
) {
    let outcomes = play(load(gateways, scenario));
    let kinds = [0, 1, 2].map(|kind| served(&outcomes, |it| it.kind == kind));
    let is_fair = |it: (usize, usize)| kinds[it.1] <= kinds[it.0] + 0.05;
    assert!([(0, 1), (0, 2), (1, 2)].into_iter().all(is_fair), "{kinds:.2?}");
}

/// Guards against a surge of three large teams that takes the slots of the others, also when a tenth of
/// the gateways gets no reports.
#[rstest]
fn small_teams_keep_what_they_get_without_a_surge(
    #[values(1, 7, 67)] gateways: usize,
    #[values(0.0, 0.1)] cut_off: f64,
) {
    let small = |scenario| {
        let outcomes = play(Load { cut_off, ..load(gateways, scenario) });
        served(&outcomes, |it| !is_large_team(it.team))
    };
    let (without, with) = (small(Scenario::Calm), small(Scenario::Teams));
    assert!(with >= 0.97 * without, "{with:.3} with the surge, {without:.3} without");
}

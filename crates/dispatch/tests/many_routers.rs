//! Plays the load of many routers on few plain endpoints and checks what callers get.

mod common;

use {
    common::simulation::{Load, Outcomes, Simulation},
    rstest::rstest,
};

/// Half of what the endpoints can run: 250 of 500 requests per second. With 191 routers, reports are
/// older than requests run.
const HALF_FULL: Load = Load {
    routers: 191,
    endpoints: 5,
    slots: 6,
    queue: 24,
    work_ms: 60.0,
    target_ms: 300,
    deadline_ms: 4_000,
    rate: 250.0,
    surge: 250.0,
    failures: 0.0,
    seconds: 12,
    seed: 0,
};

/// Three endpoints that can run 600 requests per second.
const FEW_ROUTERS: Load = Load {
    routers: 7,
    endpoints: 3,
    work_ms: 30.0,
    target_ms: 150,
    deadline_ms: 1_500,
    rate: 43.0,
    surge: 100.0,
    ..HALF_FULL
};

fn outcomes(load: Load) -> Vec<Outcomes> {
    (1..=4).map(|seed| Simulation::run(Load { seed, ..load })).collect()
}

#[rstest]
#[case::half_full(HALF_FULL)]
#[case::few_routers(FEW_ROUTERS)]
#[case::far_size(Load { routers: 320, endpoints: 9, slots: 8, rate: 700.0, surge: 1_000.0, ..HALF_FULL })]
fn requests_are_served_on_time_while_endpoints_have_room(#[case] load: Load) {
    for outcomes in outcomes(load) {
        assert!(outcomes.on_time_share() >= 0.97, "{outcomes}");
    }
}

#[test]
fn surge_that_fits_into_the_slots_is_served_by_all_endpoints() {
    for outcomes in outcomes(Load { surge: 450.0, ..HALF_FULL }) {
        assert!(outcomes.on_time_share() >= 0.9, "{outcomes}");
        assert!(outcomes.refused * 50 <= outcomes.asked, "{outcomes}");
    }
}

#[rstest]
#[case::many_routers(Load { surge: 900.0, ..HALF_FULL })]
#[case::few_routers(Load { surge: 900.0, ..FEW_ROUTERS })]
fn overload_leaves_half_of_the_slots_to_answers_on_time(#[case] load: Load) {
    let capacity = f64::from(load.slots) * load.endpoints as f64 / load.work_ms * 1_000.0;
    let fitting = load.rate * (load.seconds - 3) as f64 + capacity * 3.0;
    for outcomes in outcomes(load) {
        assert!(f64::from(outcomes.on_time) >= 0.5 * fitting, "{outcomes}");
    }
}

#[test]
fn failing_runs_do_not_make_endpoints_overloaded() {
    for outcomes in outcomes(Load { failures: 0.14, ..HALF_FULL }) {
        assert!(outcomes.refused + outcomes.late <= outcomes.asked / 50, "{outcomes}");
    }
}

//! Tests that every endpoint stays within the load bound at all times and that requests keep
//! starting.

mod fixture;
mod simulation;

use {
    crate::simulation::{
        Link::{self, Cut, Good, Slow},
        Simulation,
    },
    model::{EndpointId, Work},
    placement::StartResult,
    proptest::prelude::*,
    rstest::rstest,
};

/// A step of a simulation.
#[derive(Clone, Debug)]
enum Event {
    /// Advances time by this many milliseconds and lets every process act.
    Step(u64),
    /// Runs this many steps of half a second.
    RunSteps(u8),
    SetLinks(u8, Link, Link),
    HealLinks,
    Freeze(u8, bool),
    Restart(u8),
    LeaveGracefully(u8),
    StopLeader,
    ElectLeader,
    DisturbMessage(usize, u8),
    SetMean(u64),
    PublishLoads,
    ProbeLoads(u8),
    /// Every router starts requests of this cost on every endpoint until it is refused.
    StartEverywhere(u64),
    Finish(u32, usize, usize),
    /// Runs `steps` steps of 250 ms. In each, every `nth` request ends, and every router probes the
    /// loads and starts what it can.
    Churn {
        steps: u8,
        cost: u64,
        nth: usize,
    },
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![Just(Good), Just(Slow), Just(Cut)]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_u64..1500).prop_map(Event::Step),
        4 => (2_u8..30).prop_map(Event::RunSteps),
        4 => (any::<u8>(), link(), link()).prop_map(|(slot, uplink, downlink)| Event::SetLinks(slot, uplink, downlink)),
        1 => Just(Event::HealLinks),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(slot, on)| Event::Freeze(slot, on)),
        1 => any::<u8>().prop_map(Event::Restart),
        1 => any::<u8>().prop_map(Event::LeaveGracefully),
        1 => Just(Event::StopLeader),
        2 => Just(Event::ElectLeader),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(message, how)| Event::DisturbMessage(message, how)),
        2 => (0_u64..80).prop_map(Event::SetMean),
        1 => Just(Event::PublishLoads),
        3 => any::<u8>().prop_map(Event::ProbeLoads),
        8 => (1_u64..25).prop_map(Event::StartEverywhere),
        6 => (1_u8..60, 1_u64..25, 1_usize..4).prop_map(|(steps, cost, nth)| Event::Churn { steps, cost, nth }),
        3 => (1_u32..3, 0_usize..3, 1_usize..4).prop_map(|(id, offset, nth)| Event::Finish(id, offset, nth)),
    ]
}

fn apply(simulation: &mut Simulation, event: &Event) {
    let slot = |it: &u8| usize::from(*it) % simulation.routers.len();
    match event {
        Event::Step(millis) => simulation.step(*millis),
        Event::RunSteps(steps) => simulation.run_steps(usize::from(*steps)),
        Event::SetLinks(it, uplink, downlink) => simulation.set_links(slot(it), *uplink, *downlink),
        Event::HealLinks => simulation.heal(),
        Event::Freeze(it, on) => {
            let slot = slot(it);
            simulation.routers[slot].frozen = *on;
        }
        Event::Restart(it) => simulation.restart(slot(it)),
        Event::LeaveGracefully(it) => {
            let slot = slot(it);
            simulation.routers[slot].leaving = true;
        }
        Event::StopLeader => simulation.stop_leader(),
        Event::ElectLeader => simulation.elect_leader(),
        Event::DisturbMessage(message, how) => simulation.disturb_message(*message, *how),
        Event::SetMean(mean) => simulation.mean = Work(*mean),
        Event::PublishLoads => simulation.publish_loads(),
        Event::ProbeLoads(it) => simulation.probe_loads(slot(it)),
        Event::StartEverywhere(cost) => start_everywhere(simulation, *cost),
        Event::Finish(id, offset, nth) => simulation.finish(EndpointId(*id), *offset, *nth),
        Event::Churn { steps, cost, nth } => {
            for step in 0..usize::from(*steps) {
                churn(simulation, step, *cost, *nth);
            }
        }
    }
}

fn churn(simulation: &mut Simulation, step: usize, cost: u64, nth: usize) {
    for id in simulation.config.endpoints.keys().copied().collect::<Vec<_>>() {
        simulation.finish(id, step, nth);
    }
    (0..simulation.routers.len()).for_each(|slot| simulation.probe_loads(slot));
    simulation.step(250);
    start_everywhere(simulation, cost);
}

/// Every router starts requests on every endpoint until it is refused.
fn start_everywhere(simulation: &mut Simulation, cost: u64) {
    for slot in 0..simulation.routers.len() {
        for id in simulation.config.endpoints.keys().copied().collect::<Vec<_>>() {
            while let Some(StartResult::Started { .. }) = simulation.start(slot, id, cost) {}
        }
    }
}

fn drifts() -> impl Strategy<Value = Vec<i32>> {
    prop::collection::vec(-4000_i32..4000, 3..7)
}

/// Rare interleavings need more cases than the default.
fn config(times: u32) -> ProptestConfig {
    let defaults = ProptestConfig::default();
    ProptestConfig { cases: times * defaults.cases, failure_persistence: None, ..defaults }
}

proptest! {
    #![proptest_config(config(12))]

    #[test]
    fn load_stays_within_the_bound_on_every_endpoint(
        drifts in drifts(),
        mean in 0_u64..80,
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut simulation = Simulation::new(&drifts, 2, mean);
        for event in &events {
            apply(&mut simulation, event);
            prop_assert_eq!(&simulation.violation, &None);
        }
    }
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn each_endpoint_has_one_owner_after_links_heal(
        drifts in drifts(),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut simulation = Simulation::new(&drifts, 3, 20);
        events.iter().for_each(|it| apply(&mut simulation, it));
        simulation.heal();
        simulation.elect_leader();
        (0..simulation.routers.len()).filter(|it| simulation.routers[*it].leaving).collect::<Vec<_>>()
            .into_iter().for_each(|slot| simulation.restart(slot));
        simulation.run_steps(300);
        for id in (1..=3).map(EndpointId) {
            prop_assert_eq!(simulation.full_permission_holders(id), 1);
        }
    }

    #[test]
    fn standbys_start_requests_without_owner_and_control(drifts in drifts(), frozen: u8) {
        let mut simulation = Simulation::new(&drifts, 3, 80);
        simulation.stop_leader();
        let frozen = usize::from(frozen) % simulation.routers.len();
        simulation.routers[frozen].frozen = true;
        simulation.run_steps(60);
        for _ in 0..2 {
            (0..simulation.routers.len()).for_each(|slot| simulation.probe_loads(slot));
            simulation.step(1000);
        }
        start_everywhere(&mut simulation, 1);
        prop_assert_eq!(&simulation.violation, &None);
        for (id, runs) in &simulation.endpoints {
            prop_assert!(!runs.is_empty(), "nothing runs on {}", id);
        }
    }

    #[test]
    fn requests_start_without_control(drifts in drifts(), mean in 0_u64..80, cost in 1_u64..25) {
        let mut simulation = Simulation::new(&drifts, 3, mean);
        simulation.stop_leader();
        simulation.run_steps(60);
        (0..simulation.routers.len()).for_each(|slot| simulation.probe_loads(slot));
        simulation.step(1000);
        (0..simulation.routers.len()).for_each(|slot| simulation.probe_loads(slot));
        simulation.step(1000);
        start_everywhere(&mut simulation, cost);
        prop_assert_eq!(&simulation.violation, &None);
        for (id, runs) in &simulation.endpoints {
            let load: u64 = runs.iter().map(|it| it.cost).sum();
            // The owner may use half of the bound and one more request.
            prop_assert!(load >= cost.max(mean * 1250 / 2000), "{} runs {}", id, load);
        }
    }
}

#[test]
fn owners_start_requests_at_once_when_settled() {
    let mut simulation = Simulation::new(&[0; 8], 6, 40);
    start_everywhere(&mut simulation, 5);
    for (id, runs) in &simulation.endpoints {
        assert_eq!(runs.len(), 10, "{id}");
    }
}

/// Interleavings that violated the bound in the past, each named after its cause.
#[rstest]
#[case::share_used_while_work_from_before_the_router_went_missing_still_runs(
    3,
    9,
    &[Event::StartEverywhere(8), Event::SetLinks(1, Good, Slow), Event::RunSteps(30), Event::StartEverywhere(1)],
)]
#[case::shares_of_rosters_of_different_epochs(
    5,
    29,
    &[
        Event::SetLinks(3, Good, Slow),
        Event::SetLinks(1, Good, Slow),
        Event::RunSteps(10),
        Event::SetLinks(2, Good, Slow),
        Event::RunSteps(33),
        Event::ProbeLoads(2),
        Event::ProbeLoads(3),
        Event::ProbeLoads(1),
        Event::Step(1),
        Event::LeaveGracefully(0),
        Event::Step(1),
        Event::StartEverywhere(1),
    ],
)]
#[case::work_held_by_a_router_that_went_missing_under_an_earlier_leader(
    5,
    13,
    &[
        Event::StartEverywhere(1),
        Event::LeaveGracefully(2),
        Event::RunSteps(8),
        Event::SetLinks(2, Cut, Cut),
        Event::RunSteps(14),
        Event::ElectLeader,
        Event::RunSteps(24),
        Event::StartEverywhere(1),
    ],
)]
#[case::shares_used_while_the_owner_had_no_lease(
    6,
    44,
    &[
        Event::StopLeader,
        Event::SetMean(47),
        Event::Churn { steps: 67, cost: 1, nth: 1 },
        Event::ElectLeader,
        Event::SetLinks(0, Slow, Good),
        Event::RunSteps(12),
        Event::StartEverywhere(1),
    ],
)]
#[case::finished_own_work_subtracted_from_other_routers_work(
    5,
    10,
    &[
        Event::StartEverywhere(4),
        Event::ElectLeader,
        Event::SetLinks(0, Slow, Good),
        Event::LeaveGracefully(2),
        Event::RunSteps(18),
        Event::Churn { steps: 2, cost: 9, nth: 2 },
    ],
)]
fn load_stays_within_the_bound_after(
    #[case] processes: usize,
    #[case] mean: u64,
    #[case] events: &[Event],
) {
    let mut simulation = Simulation::new(&vec![0; processes], 3, mean);
    for event in events {
        apply(&mut simulation, event);
        assert_eq!(simulation.violation, None, "after {event:?}");
    }
}

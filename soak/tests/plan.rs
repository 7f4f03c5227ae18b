//! Fault plans are deterministic, stay within bounds and cover every kind of fault.

use {
    rstest::rstest,
    soak::{Component, Fault, FaultPlan, FleetSize, ScheduledFault},
    std::{collections::HashSet, mem::discriminant, time::Duration},
};

const DURATION: Duration = Duration::from_secs(30);

#[rstest]
fn plans_are_deterministic() {
    let generate = |seed| FaultPlan::generate(seed, FleetSize::SMALL, DURATION);
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7).steps, generate(8).steps);
}

#[rstest]
#[case(FleetSize::SMALL)]
#[case(FleetSize::LARGE)]
fn faults_end_in_time_and_target_existing_components(#[case] size: FleetSize) {
    for seed in 0..50 {
        for step in FaultPlan::generate(seed, size, DURATION).steps {
            assert!(step.at + step.duration <= DURATION, "{step:?}");
            let known = |component| match component {
                Component::Gateway(it) => it < size.gateways,
                Component::Control(it) => it < size.replicas,
                Component::Endpoint(it) => it < size.models + size.plains,
                Component::Directory => false,
            };
            let component = match step.fault {
                Fault::Kill(it) | Fault::Stop(it) | Fault::Pause(it) => Some(it),
                Fault::Reload(it) | Fault::Link(it, _) => Some(it),
                Fault::WipeDisk(it) | Fault::TornLog(it) => Some(Component::Control(it)),
                Fault::Misbehave(it, _) | Fault::Crash(it) => Some(Component::Endpoint(it)),
                Fault::Replace(it) => Some(Component::Endpoint(it)),
                Fault::DirectoryOutage | Fault::Publish | Fault::ConcurrentPublish => None,
                Fault::CrashingPart => None,
            };
            assert!(component.is_none_or(known), "{step:?}");
        }
    }
}

#[rstest]
fn fifty_plans_cover_every_kind_of_fault_with_overlaps() {
    let plans: Vec<_> =
        (0..50).map(|it| FaultPlan::generate(it, FleetSize::SMALL, DURATION)).collect();
    let steps = || plans.iter().flat_map(|it| &it.steps);
    let kinds: HashSet<_> = steps().map(|it| discriminant(&it.fault)).collect();
    assert_eq!(kinds.len(), 13);
    let overlaps = |plan: &FaultPlan| {
        plan.steps.windows(2).filter(|it| it[1].at < it[0].at + it[0].duration).count()
    };
    assert!(plans.iter().filter(|it| overlaps(it) > 10).count() > 25);
}

#[rstest]
fn planned_work_is_deterministic_and_stops_gateways_in_overlapping_series() {
    let plan = |seed| FaultPlan::planned_work(seed, FleetSize::SMALL, DURATION);
    assert_eq!(plan(7), plan(7));
    for seed in 0..50 {
        let steps = plan(seed).steps;
        let planned = |it: &ScheduledFault| {
            matches!(
                it.fault,
                Fault::Stop(Component::Gateway(_))
                    | Fault::Reload(Component::Gateway(_))
                    | Fault::Publish
                    | Fault::ConcurrentPublish
            )
        };
        assert!(steps.iter().all(planned));
        assert!(steps.iter().all(|it| it.at + it.duration <= DURATION));
        let stops = steps.iter().filter(|it| matches!(it.fault, Fault::Stop(_)));
        assert!(stops.count() >= 10);
    }
}

//! A short run with the real binaries, and each seed that ever violated an invariant.

use {
    rstest::rstest,
    soak::{FaultPlan, FleetSize, binaries, run_plan},
    std::time::Duration,
};

/// Duration of fault injection in a regular test run.
const SHORT: Duration = Duration::from_secs(12);

#[rstest]
#[case::short(1, SHORT)]
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_faults(#[case] seed: u64, #[case] duration: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let plan = FaultPlan::generate(seed, FleetSize::SMALL, duration);
    let report = run_plan(&plan, &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(report.passed(), "{report:#?}");
}

#[rstest]
#[case::requests_reset_on_idle_connections(1, SHORT)]
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_loses_no_request(#[case] seed: u64, #[case] duration: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let plan = FaultPlan::planned_work(seed, FleetSize::SMALL, duration);
    let report = run_plan(&plan, &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(report.passed(), "{report:#?}");
    assert!(report.cuts.planned > 0, "{report:#?}");
}

#[rstest]
#[case::gateways_killed_and_stopped_meanwhile(1, Duration::from_secs(20))]
#[tokio::test(flavor = "multi_thread")]
async fn crashing_part_and_limit_are_kept_in_check(#[case] seed: u64, #[case] duration: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let plan = FaultPlan::incidents(seed, FleetSize::SMALL, duration);
    let report = run_plan(&plan, &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(report.passed(), "{report:#?}");
}

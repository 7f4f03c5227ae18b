//! `jf explain` finds the cause of failed requests from the logs, as described in docs/OPERATIONS.md.

use {
    rstest::rstest,
    soak::{Behavior, Fault, FaultPlan, FleetSize, ScheduledFault, binaries, run_plan},
    std::{fs, path::Path, process::Command, time::Duration},
};

/// How long the endpoints misbehave.
const DURATION: Duration = Duration::from_secs(8);

/// Returns a plan in which all endpoints of the model service or the plain service misbehave.
fn plan(behavior: Behavior, model: bool) -> FaultPlan {
    let size = FleetSize { gateways: 2, replicas: 1, models: 2, plains: 2, callers: 4 };
    let numbers = if model { 0..size.models } else { size.models..size.models + size.plains };
    let step = |it| ScheduledFault {
        at: Duration::ZERO,
        duration: DURATION,
        fault: Fault::Misbehave(it, behavior),
    };
    FaultPlan { seed: 1, size, duration: DURATION, steps: numbers.map(step).collect() }
}

/// Returns the output of `jf explain` for a request and the logs of all processes.
#[allow(clippy::disallowed_methods, reason = "the test runs the jf binary")]
fn explain(folder: &Path, id: &str) -> String {
    let files = fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    let logs = files.filter(|it| it.extension().is_some_and(|it| it == "log"));
    let output =
        Command::new(binaries().unwrap().join("jf")).args(["explain", id]).args(logs).output();
    String::from_utf8(output.unwrap().stdout).unwrap()
}

#[rstest]
#[case::refused_while_endpoints_report_free_slots(Behavior::Rejecting, false, "write 503", &["outcome=no-room", "endpoint answered 503, not run", "runs=0"])]
#[case::truncated_stream(Behavior::Truncating, true, "stream disconnected", &["cut-off"])]
#[case::write_that_may_have_run(Behavior::Hanging, false, "write 504", &["outcome=late", "runs=1"])]
#[tokio::test(flavor = "multi_thread")]
async fn explain_finds_the_cause_of_a_failed_request(
    #[case] behavior: Behavior,
    #[case] model: bool,
    #[case] outcome: &str,
    #[case] expected: &[&str],
) {
    let folder = tempfile::tempdir().unwrap();
    let report =
        run_plan(&plan(behavior, model), &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(report.passed(), "{report:#?}");
    let tally = report.counts.0.get(outcome);
    let id = &tally
        .unwrap_or_else(|| panic!("no request had the outcome {outcome}: {report:#?}"))
        .example;
    let explanation = explain(folder.path(), id);
    println!("{explanation}");
    assert!(expected.iter().all(|it| explanation.contains(it)), "{id}:\n{explanation}");
}

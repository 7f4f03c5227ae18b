//! Three kinds of failed request, each explained from its id by the logs alone, as docs/OPERATIONS.md shows.

use {
    rstest::rstest,
    soak::{Fault, Mood, Plan, Size, Step, binaries, play},
    std::{fs, path::Path, process::Command, time::Duration},
};

/// How long the endpoints of a service misbehave.
const LASTS: Duration = Duration::from_secs(8);

/// A plan by which all endpoints of the plain service, or of the model service, misbehave.
fn plan(mood: Mood, model: bool) -> Plan {
    let size = Size { gateways: 2, replicas: 1, models: 2, plains: 2, callers: 4 };
    let numbers = if model { 0..size.models } else { size.models..size.models + size.plains };
    let step = |it| Step { at: Duration::ZERO, lasts: LASTS, fault: Fault::Mood(it, mood) };
    Plan { seed: 1, size, lasts: LASTS, steps: numbers.map(step).collect() }
}

/// What `jf explain` prints of a request, given the logs of all processes.
#[allow(clippy::disallowed_methods, reason = "the test runs the operator's tool")]
fn explain(folder: &Path, id: &str) -> String {
    let files = fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    let logs = files.filter(|it| it.extension().is_some_and(|it| it == "log"));
    let output =
        Command::new(binaries().unwrap().join("jf")).args(["explain", id]).args(logs).output();
    String::from_utf8(output.unwrap().stdout).unwrap()
}

#[rstest]
#[case::refused_while_endpoints_look_free(Mood::Shedding, false, "write 503", &["outcome=no-room", "endpoint answered 503, not run", "runs=0"])]
#[case::stream_broken_off(Mood::Breaking, true, "stream cut", &["cut-off"])]
#[case::write_that_may_have_run(Mood::Hanging, false, "write 504", &["outcome=late", "runs=1"])]
#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_failed_request_is_found_from_its_id(
    #[case] mood: Mood,
    #[case] model: bool,
    #[case] end: &str,
    #[case] expected: &[&str],
) {
    let folder = tempfile::tempdir().unwrap();
    let verdict = play(&plan(mood, model), &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(verdict.is_kept(), "{verdict:#?}");
    let tally = verdict.counts.0.get(end);
    let id = &tally.unwrap_or_else(|| panic!("none ended as {end}: {verdict:#?}")).example;
    let story = explain(folder.path(), id);
    println!("{story}");
    assert!(expected.iter().all(|it| story.contains(it)), "{id}:\n{story}");
}

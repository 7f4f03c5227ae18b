//! A short run with the real programs, and each seed that ever broke a promise.

use {
    rstest::rstest,
    soak::{Plan, Size, binaries, play},
    std::time::Duration,
};

/// How long faults are injected in a run of the usual check.
const SHORT: Duration = Duration::from_secs(12);

#[rstest]
#[case::short(1, SHORT)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_are_kept(#[case] seed: u64, #[case] lasts: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let plan = Plan::draw(seed, Size::SMALL, lasts);
    let verdict = play(&plan, &binaries().unwrap(), folder.path()).await.unwrap();
    assert!(verdict.is_kept(), "{verdict:#?}");
}

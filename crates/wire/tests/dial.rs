//! A host that becomes reachable while a connection is being opened is connected to soon.

use {
    rstest::rstest,
    std::{
        future::pending,
        io::{Error, ErrorKind, Result},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
    wire::dial,
};

/// Simulates a connection to a host that is unreachable until `reachable_after`. A SYN that was
/// sent before is retransmitted after a second.
async fn connect(start: Instant, reachable_after: Duration) -> Result<()> {
    let mut sent_at = start.elapsed();
    while sent_at < reachable_after {
        sleep(Duration::from_secs(1)).await;
        sent_at += Duration::from_secs(1);
    }
    Ok(())
}

#[rstest]
#[case::always_reachable(0, 0)]
#[case::reachable_soon(100, 300)]
#[case::reachable_later(460, 600)]
#[case::reachable_late(950, 1_000)]
#[tokio::test(start_paused = true)]
async fn a_host_is_connected_to_soon_after_it_becomes_reachable(
    #[case] reachable_after_ms: u64,
    #[case] connected_after_ms: u64,
) {
    let start = Instant::now();
    dial(|| connect(start, Duration::from_millis(reachable_after_ms))).await.unwrap();
    let elapsed_ms = start.elapsed().as_millis() as u64;
    assert!(
        (connected_after_ms..=connected_after_ms + 5).contains(&elapsed_ms),
        "connected after {elapsed_ms} ms"
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_refused_connection_fails_immediately() {
    let start = Instant::now();
    let result = dial(|| async { Err::<(), _>(Error::from(ErrorKind::ConnectionRefused)) }).await;
    assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_time_limit_of_the_caller_ends_the_attempts() {
    let unreachable = dial(pending::<Result<()>>);
    assert!(timeout(Duration::from_secs(1), unreachable).await.is_err());
}

//! A host that comes back while a connection is being made is found soon.

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

/// Connects to a host that is dark until `back`: what was sent before is sent again after a second.
async fn connect(began: Instant, back: Duration) -> Result<()> {
    let mut sent = began.elapsed();
    while sent < back {
        sleep(Duration::from_secs(1)).await;
        sent += Duration::from_secs(1);
    }
    Ok(())
}

#[rstest]
#[case::sound(0, 0)]
#[case::back_soon(100, 300)]
#[case::back_later(460, 600)]
#[case::back_late(950, 1_000)]
#[tokio::test(start_paused = true)]
async fn a_host_that_is_back_is_found_soon(#[case] back_ms: u64, #[case] found_ms: u64) {
    let began = Instant::now();
    dial(|| connect(began, Duration::from_millis(back_ms))).await.unwrap();
    let found = began.elapsed().as_millis() as u64;
    assert!((found_ms..=found_ms + 5).contains(&found), "found after {found} ms");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_refusal_ends_it_at_once() {
    let began = Instant::now();
    let refused = dial(|| async { Err::<(), _>(Error::from(ErrorKind::ConnectionRefused)) }).await;
    assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_host_that_stays_dark_is_given_up_by_the_callers_limit() {
    let dark = dial(pending::<Result<()>>);
    assert!(timeout(Duration::from_secs(1), dark).await.is_err());
}

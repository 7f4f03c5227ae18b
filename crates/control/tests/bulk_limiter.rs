//! Tests that large messages to routers are sent one at a time, at a fraction of the link's bandwidth.

use {
    control::BulkLimiter,
    rstest::rstest,
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// A link of 3 Mbit/s. Half of it is for large messages: 187.5 bytes per millisecond.
const LINK_MBPS: f64 = 3.0;

/// The shortest election timeout of a group.
const MIN_ELECTION_TIMEOUT_MS: f64 = 1_000.0;

/// The size of a catalog of a thousand endpoints.
const MESSAGE_BYTES: usize = 18_750;

#[rstest]
#[case(1_024, 1, false)]
#[case(4_096, 1, false)]
#[case(4_097, 1, true)]
fn only_large_messages_need_a_permit(
    #[case] bytes: usize,
    #[case] routers: usize,
    #[case] large: bool,
) {
    assert_eq!(BulkLimiter::new(LINK_MBPS).is_large(bytes, routers), large);
}

/// Copies of a message just below the limit, sent to all routers at once, kept the leader's heartbeats waiting.
#[rstest]
#[case(7)]
#[case(77)]
#[case(320)]
fn unlimited_copies_of_a_message_do_not_fill_the_link(#[case] routers: usize) {
    let limiter = BulkLimiter::new(LINK_MBPS);
    let largest = (1..=8_192).rev().find(|it| !limiter.is_large(*it, routers));
    let link_bytes_per_ms = LINK_MBPS * 125.0;
    let occupied_ms = (largest.unwrap() * routers) as f64 / link_bytes_per_ms;
    assert!(occupied_ms < MIN_ELECTION_TIMEOUT_MS, "{routers} routers: {occupied_ms} ms");
}

/// If a hundred routers request a message at once, each gets its permit after the ones before it, and no later than the
/// limited rate requires.
#[rstest]
#[tokio::test(start_paused = true)]
async fn concurrent_requests_are_paced_in_order() {
    let (limiter, start) = (BulkLimiter::new(LINK_MBPS), Instant::now());
    let mut tasks = Vec::new();
    for _ in 0..100 {
        let limiter = limiter.clone();
        tasks.push(tokio::spawn(async move {
            limiter.acquire().await.release_after(MESSAGE_BYTES);
            start.elapsed()
        }));
    }
    for (number, task) in tasks.into_iter().enumerate() {
        let granted_after = task.await.unwrap();
        let expected = Duration::from_millis(100) * number as u32;
        assert!(
            granted_after >= expected,
            "router {number} got its permit after {granted_after:?}"
        );
        assert!(
            granted_after <= expected + Duration::from_millis(2 * number as u64 + 1),
            "{granted_after:?}"
        );
    }
}

/// A router that disconnects while it waits for a permit must not delay other routers.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_abandoned_request_does_not_delay_the_next_one() {
    let limiter = BulkLimiter::new(LINK_MBPS);
    let first = limiter.clone().acquire().await;
    assert!(timeout(Duration::from_millis(10), limiter.clone().acquire()).await.is_err());
    first.release_after(MESSAGE_BYTES);
    let start = Instant::now();
    limiter.acquire().await.release_after(MESSAGE_BYTES);
    assert!(start.elapsed() < Duration::from_millis(110), "{:?}", start.elapsed());
}

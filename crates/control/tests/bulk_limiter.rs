//! Large messages to routers leave one after the other, at a part of the link's rate.

use {
    control::BulkLimiter,
    rstest::rstest,
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// A link of 3 Mbit/s, half of which is for large messages: 187.5 bytes a millisecond.
const LINK_MBPS: f64 = 3.0;

/// A list of a thousand endpoints.
const BYTES: usize = 18_750;

#[rstest]
#[case(1_024, false)]
#[case(4_096, false)]
#[case(4_097, true)]
fn small_messages_need_no_turn(#[case] bytes: usize, #[case] large: bool) {
    assert_eq!(BulkLimiter::is_large(bytes), large);
}

/// A hundred routers ask at once: each is told after those before it, and all within what the link's share allows.
#[rstest]
#[tokio::test(start_paused = true)]
async fn routers_that_ask_at_once_are_told_one_after_the_other() {
    let (bulk, began) = (BulkLimiter::new(LINK_MBPS), Instant::now());
    let mut tasks = Vec::new();
    for _ in 0..100 {
        let bulk = bulk.clone();
        tasks.push(tokio::spawn(async move {
            bulk.acquire().await.release_after(BYTES);
            began.elapsed()
        }));
    }
    for (number, task) in tasks.into_iter().enumerate() {
        let told = task.await.unwrap();
        let due = Duration::from_millis(100) * number as u32;
        assert!(told >= due, "router {number} is told after {told:?}");
        assert!(told <= due + Duration::from_millis(2 * number as u64 + 1), "{told:?}");
    }
}

/// A router that asks and goes away while it waits holds nobody up.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_turn_that_is_given_up_goes_to_the_next_router() {
    let bulk = BulkLimiter::new(LINK_MBPS);
    let first = bulk.clone().acquire().await;
    assert!(timeout(Duration::from_millis(10), bulk.clone().acquire()).await.is_err());
    first.release_after(BYTES);
    let began = Instant::now();
    bulk.acquire().await.release_after(BYTES);
    assert!(began.elapsed() < Duration::from_millis(110), "{:?}", began.elapsed());
}

//! Routers and control replicas that are killed.

use {
    crate::{
        calls::join_all,
        harness::{Fleet, assert_complete},
    },
    std::time::{Duration, Instant},
};

/// Time after which all leases have expired and routers may use their fixed shares.
const FIXED_SHARES_WAIT: Duration = Duration::from_secs(18);

#[tokio::test(flavor = "multi_thread")]
async fn chats_are_answered_after_a_router_is_killed() {
    let mut fleet = Fleet::start(4, 6).await;
    fleet.routers[3].kill();
    assert!(!fleet.routers[3].alive());
    let fleet = &fleet;
    let calls = (0..30).map(|it| async move {
        let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
        let result = fleet.chat(it % 3, &chat, &text, 10).await;
        assert_complete(&result, &text, 10);
    });
    join_all(calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_control_chats_are_answered_and_keyed_calls_are_refused_as_not_run() {
    let mut fleet = Fleet::start(3, 4).await;
    fleet.control.kill();
    let fleet = &fleet;
    let calls = (0..20).map(|it| async move {
        let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
        let result = fleet.chat(it % 3, &chat, &text, 10).await;
        assert_complete(&result, &text, 10);
    });
    join_all(calls).await;
    let refused = fleet.store_evidence(0, "finding-2", "blocked exit").await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{refused:?}");
    assert_eq!(fleet.run_count("finding-2").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_are_answered_by_fixed_shares_after_all_leases_expired() {
    let mut fleet = Fleet::start(3, 4).await;
    fleet.wait_until_settled().await;
    fleet.control.kill();
    assert_chats_answered_for(&fleet, FIXED_SHARES_WAIT).await;
}

/// Listed in KNOWN-RED.txt: without earlier load, no router starts work on an endpoint whose owner differs between the
/// rosters that may be in force.
#[tokio::test(flavor = "multi_thread")]
async fn chats_are_answered_by_fixed_shares_when_control_goes_while_rosters_change() {
    let mut fleet = Fleet::start(3, 4).await;
    fleet.control.kill();
    assert_chats_answered_for(&fleet, FIXED_SHARES_WAIT).await;
}

/// Sends rounds of chats through all routers for `time` and asserts that each is answered.
async fn assert_chats_answered_for(fleet: &Fleet, time: Duration) {
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < time {
        round += 1;
        let calls = (0..6).map(|it| async move {
            let (chat, text) = (format!("chat-{it}"), format!("question {round}"));
            let result = fleet.chat(it % 3, &chat, &text, 10).await;
            assert_complete(&result, &text, 10);
        });
        join_all(calls).await;
    }
}

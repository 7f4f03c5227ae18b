//! Requests that crash engines, engines that die, and connections that go silent.

use {
    crate::{
        calls::join_all,
        harness::{Fleet, assert_complete},
    },
    standin::Fault,
    std::collections::BTreeSet,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_takes_down_two_engines_at_most_and_bystanders_are_answered() {
    let fleet = Fleet::start(3, 6).await;
    let bystanders = (0..24).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("bystander-{it}"), format!("question {it}"));
            let got = fleet.chat(it % 3, &chat, &text, 150).await;
            assert_complete(&got, &text, 150);
        }
    });
    let poison = async {
        for resend in 0..6 {
            let got = fleet.chat(resend % 3, "poisoned", "POISON-PILL please", 4).await;
            assert!(got.status != 200 || got.body.is_err(), "{got:?}");
        }
    };
    tokio::join!(join_all(bystanders), poison);
    let crashed: u64 = fleet.engines.iter().map(|it| it.crashes()).sum();
    assert!((1..=2).contains(&crashed), "{crashed} engines crashed");
    let last = fleet.chat(0, "poisoned", "POISON-PILL please", 4).await;
    assert_eq!((last.status, last.outcome.as_str()), (422, "not-run"), "{last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_when_engines_die_under_them() {
    let fleet = Fleet::start(3, 6).await;
    let calls = (0..30).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
            let got = fleet.chat(it % 3, &chat, &text, 120).await;
            assert_complete(&got, &text, 120);
            got.endpoint
        }
    });
    let kills = async {
        // The first words are on their way once any other answer is whole.
        assert_eq!(fleet.chat(0, "pace", "pace", 20).await.status, 200);
        fleet.engines[0].fault(Fault::Crash { for_ms: 500 });
        fleet.engines[1].fault(Fault::Crash { for_ms: 500 });
    };
    let (ran, ()) = tokio::join!(join_all(calls), kills);
    let engines: BTreeSet<_> = ran.iter().collect();
    assert!(engines.len() > 1, "{engines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_when_connections_go_silent() {
    let fleet = Fleet::start(2, 3).await;
    let calls = (0..9).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
            let got = fleet.chat(it % 2, &chat, &text, 100).await;
            assert_complete(&got, &text, 100);
        }
    });
    let silence = async {
        assert_eq!(fleet.chat(0, "pace", "pace", 20).await.status, 200);
        fleet.engines.iter().for_each(|it| it.fault(Fault::Silent));
    };
    tokio::join!(join_all(calls), silence);
}

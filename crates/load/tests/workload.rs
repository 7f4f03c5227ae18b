//! The same seed gives the same workload, and chats grow by one turn at a time.

use {
    load::{NextRequest, Workload, WorkloadConfig},
    proptest::{collection::vec, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn workload_config(shares: &[u32], chats: u32, turns: u32) -> WorkloadConfig {
    WorkloadConfig {
        model: "m".to_owned(),
        shares: shares.to_vec(),
        chats,
        turns,
        turn_bytes: 60,
        answer_tokens: 4,
        plain_permille: 200,
        resend_permille: 300,
    }
}

proptest! {
    #![proptest_config(config())]

    /// No chat has two turns at once, each turn extends the answered messages, and a key is used by
    /// one team only.
    #[test]
    fn chats_grow_one_turn_at_a_time(
        shares in vec(1..9u32, 1..4),
        chats in 1..9u32,
        turns in 1..5u32,
        outcomes in vec(0..3u8, 1..120),
        seed: u64,
    ) {
        let mut workload = Workload::new(workload_config(&shares, chats, turns), seed);
        let mut open_turns = Vec::new();
        let mut lengths: BTreeMap<String, usize> = BTreeMap::new();
        let mut owners: BTreeMap<String, usize> = BTreeMap::new();
        for outcome in outcomes {
            match workload.next_request() {
                NextRequest::Chat(turn) => {
                    let open_chats: BTreeSet<_> =
                        open_turns.iter().map(|it: &load::ChatTurn| it.chat.clone()).collect();
                    prop_assert!(!open_chats.contains(&turn.chat));
                    let known = lengths.get(&turn.chat).copied().unwrap_or(0);
                    prop_assert_eq!(turn.request.messages.len(), known + 1);
                    prop_assert!(turn.turn <= turns);
                    prop_assert_eq!(turn.turn as usize, turn.request.messages.len().div_ceil(2));
                    open_turns.push(turn);
                }
                NextRequest::Keyed(call) => {
                    prop_assert_eq!(*owners.entry(call.key).or_insert(call.team), call.team);
                }
            }
            if outcome == 0 { continue }
            let Some(turn) = open_turns.pop() else { continue };
            let length = turn.request.messages.len();
            if outcome == 1 {
                lengths.insert(turn.chat.clone(), length + 1);
                workload.complete_turn(turn, "text".to_owned());
            } else {
                lengths.insert(turn.chat.clone(), length - 1);
                workload.revert_turn(turn);
            }
        }
    }

    /// A request drawn for a team belongs to that team, even if it is a resend.
    #[test]
    fn requests_belong_to_their_team(teams in vec(0..3usize, 1..60), seed: u64) {
        let mut workload = Workload::new(workload_config(&[1, 1, 1], 3, 3), seed);
        for team in teams {
            let sender = match workload.next_request_of(team) {
                NextRequest::Chat(turn) => turn.team,
                NextRequest::Keyed(call) => call.team,
            };
            prop_assert_eq!(sender, team);
        }
    }

    /// The same seed gives the same requests.
    #[test]
    fn the_same_seed_gives_the_same_requests(seed: u64) {
        let draw = || {
            let mut workload = Workload::new(workload_config(&[3, 1], 4, 3), seed);
            let requests: Vec<String> =
                (0..20).map(|_| format!("{:?}", workload.next_request())).collect();
            requests
        };
        prop_assert_eq!(draw(), draw());
    }
}

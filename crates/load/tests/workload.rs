//! A workload is the same for the same seed, and its chats grow one turn at a time.

use {
    load::{Shape, Step, Workload},
    proptest::{collection::vec, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn shape(shares: &[u32], chats: u32, turns: u32) -> Shape {
    Shape {
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

    /// No chat is in two turns at once, each turn adds to what was answered, and no team gets another's key.
    #[test]
    fn chats_grow_one_turn_at_a_time(
        shares in vec(1..9u32, 1..4),
        chats in 1..9u32,
        turns in 1..5u32,
        outcomes in vec(0..3u8, 1..120),
        seed: u64,
    ) {
        let mut workload = Workload::new(shape(&shares, chats, turns), seed);
        let mut open = Vec::new();
        let mut lengths: BTreeMap<String, usize> = BTreeMap::new();
        let mut owners: BTreeMap<String, usize> = BTreeMap::new();
        for outcome in outcomes {
            match workload.draw() {
                Step::Chat(turn) => {
                    let names: BTreeSet<_> = open.iter().map(|it: &load::ChatTurn| it.chat.clone()).collect();
                    prop_assert!(!names.contains(&turn.chat));
                    let known = lengths.get(&turn.chat).copied().unwrap_or(0);
                    prop_assert_eq!(turn.request.messages.len(), known + 1);
                    prop_assert!(turn.turn <= turns);
                    prop_assert_eq!(turn.turn as usize, turn.request.messages.len().div_ceil(2));
                    open.push(turn);
                }
                Step::Keyed(call) => {
                    prop_assert_eq!(*owners.entry(call.key).or_insert(call.team), call.team);
                }
            }
            if outcome == 0 { continue }
            let Some(turn) = open.pop() else { continue };
            let length = turn.request.messages.len();
            if outcome == 1 {
                lengths.insert(turn.chat.clone(), length + 1);
                workload.answered(turn, "text".to_owned());
            } else {
                lengths.insert(turn.chat.clone(), length - 1);
                workload.refused(turn);
            }
        }
    }

    /// A request of a team is that team's, resends included.
    #[test]
    fn a_team_sends_only_its_own(teams in vec(0..3usize, 1..60), seed: u64) {
        let mut workload = Workload::new(shape(&[1, 1, 1], 3, 3), seed);
        for team in teams {
            let sender = match workload.draw_of(team) {
                Step::Chat(turn) => turn.team,
                Step::Keyed(call) => call.team,
            };
            prop_assert_eq!(sender, team);
        }
    }

    /// The same seed gives the same requests.
    #[test]
    fn a_seed_is_a_workload(seed: u64) {
        let draw = || {
            let mut workload = Workload::new(shape(&[3, 1], 4, 3), seed);
            let steps: Vec<String> = (0..20).map(|_| format!("{:?}", workload.draw())).collect();
            steps
        };
        prop_assert_eq!(draw(), draw());
    }
}

//! Tests that chats are distributed in proportion to weight, and that only chats of an added or
//! removed endpoint move.

use {
    model::{ChatKey, EndpointId},
    placement::RendezvousHash,
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

fn weights() -> impl Strategy<Value = Vec<u32>> {
    prop_oneof![
        prop::collection::vec(Just(1000_u32), 1..60),
        prop::collection::vec(prop::sample::select(vec![500_u32, 1000, 2000]), 1..60),
    ]
}

fn endpoints(weights: &[u32]) -> BTreeMap<EndpointId, u32> {
    weights.iter().zip(1..).map(|(weight, id)| (EndpointId(id), *weight)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn ranking_contains_each_endpoint_once(weights in weights(), chat: u64) {
        let endpoints = endpoints(&weights);
        let rendezvous = RendezvousHash::from_weights(endpoints.clone());
        let order: Vec<_> = rendezvous.ranked(ChatKey(chat)).collect();
        prop_assert_eq!(order.len(), endpoints.len());
        let distinct: BTreeSet<_> = order.iter().copied().collect();
        prop_assert_eq!(distinct, endpoints.keys().copied().collect());
    }

    #[test]
    fn removing_an_endpoint_keeps_the_order_of_the_others(
        weights in weights(),
        chats: [u64; 16],
        removed in any::<prop::sample::Index>(),
    ) {
        let mut endpoints = endpoints(&weights);
        let rendezvous = RendezvousHash::from_weights(endpoints.clone());
        let removed = EndpointId(removed.index(weights.len()) as u32 + 1);
        endpoints.remove(&removed);
        let remaining = RendezvousHash::from_weights(endpoints);
        for chat in chats.map(ChatKey) {
            let before: Vec<_> = rendezvous.ranked(chat).filter(|it| *it != removed).collect();
            prop_assert_eq!(before, remaining.ranked(chat).collect::<Vec<_>>());
        }
    }
}

#[test]
fn homes_are_proportional_to_weight() {
    let endpoints = (1..=30).map(|id| (EndpointId(id), if id <= 10 { 2000 } else { 1000 }));
    let rendezvous = RendezvousHash::from_weights(endpoints);
    let mut counts = BTreeMap::new();
    for chat in 0..200_000 {
        *counts.entry(rendezvous.home(ChatKey(chat)).unwrap()).or_insert(0_u32) += 1;
    }
    for (id, count) in counts {
        let share = if id.0 <= 10 { 10_000 } else { 5_000 };
        assert!(count.abs_diff(share) * 20 < share, "{id} is the home of {count}, not {share}");
    }
}

#[test]
fn chats_are_spread_evenly_over_equal_endpoints() {
    let rendezvous = RendezvousHash::from_weights((1..=1100).map(|id| (EndpointId(id), 1000)));
    let mut counts = vec![0_u32; 1101];
    for chat in 0..220_000 {
        counts[rendezvous.home(ChatKey(chat)).unwrap().0 as usize] += 1;
    }
    let (low, high) = (counts[1..].iter().min().unwrap(), counts[1..].iter().max().unwrap());
    assert!(*low > 130 && *high < 270, "from {low} to {high}, 200 expected");
}

#[test]
fn chats_of_one_home_spill_to_all_others_evenly() {
    let rendezvous = RendezvousHash::from_weights((1..=12).map(|id| (EndpointId(id), 1000)));
    let mut counts = BTreeMap::new();
    for chat in 0..240_000 {
        let mut order = rendezvous.ranked(ChatKey(chat));
        if order.next() == Some(EndpointId(5)) {
            *counts.entry(order.next().unwrap()).or_insert(0_u32) += 1;
        }
    }
    let sum: u32 = counts.values().sum();
    assert_eq!(counts.len(), 11);
    for (id, count) in counts {
        assert!(count.abs_diff(sum / 11) * 6 < sum / 11, "{count} of {sum} spill to {id}");
    }
}

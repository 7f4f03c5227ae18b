//! Tests that the prompt cache model behaves like a least-recently-used list of limited size.

use {
    model::ChatKey,
    placement::{Cache, CacheEvent},
    proptest::prelude::*,
};

const CAPACITY: u64 = 100;

/// A simple reference implementation, the most recently used entry last.
#[derive(Default)]
struct ReferenceLru(Vec<(ChatKey, u32)>);

impl ReferenceLru {
    fn record_use(&mut self, chat: ChatKey, tokens: u32) {
        self.0.retain(|it| it.0 != chat);
        if tokens > 0 && u64::from(tokens) <= CAPACITY {
            self.0.push((chat, tokens));
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.0.iter().map(|it| u64::from(it.1)).sum::<u64>() > CAPACITY {
            self.0.remove(0);
        }
    }

    fn apply_holds(&mut self, chat: ChatKey, tokens: u32) {
        match self.0.iter_mut().find(|it| it.0 == chat) {
            Some(entry) if tokens > 0 => entry.1 = tokens,
            Some(_) => self.0.retain(|it| it.0 != chat),
            None => self.record_use(chat, tokens),
        }
        self.evict();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn model_matches_reference_lru(
        steps in prop::collection::vec((any::<bool>(), 0_u64..12, 0_u32..50), 0..80),
    ) {
        let (mut cache, mut reference) = (Cache::new(CAPACITY), ReferenceLru::default());
        for (used, chat, tokens) in steps {
            let chat = ChatKey(chat);
            match used {
                true => {
                    cache.record_use(chat, tokens);
                    reference.record_use(chat, tokens);
                }
                false => {
                    cache.apply_event(CacheEvent::Holds { chat, tokens });
                    reference.apply_holds(chat, tokens);
                }
            }
            prop_assert_eq!(cache.contents().collect::<Vec<_>>(), reference.0.clone());
            prop_assert_eq!(cache.len(), reference.0.len());
        }
    }
}

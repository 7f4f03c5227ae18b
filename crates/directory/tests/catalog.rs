//! Tests of deltas between catalogs and of the poll interval.

use {
    directory::{Catalog, ListedEndpoint, PollInterval},
    model::Domain,
    proptest::prelude::*,
    std::time::Duration,
};

fn listed(id: u8, port: u16, draining: bool, build: Option<u8>) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{id}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: Domain("d".into()),
        slots: 4,
        draining,
        started_at_ms: None,
        build: build.map(|it| format!("v{it}").into()),
    }
}

fn listing() -> impl Strategy<Value = Vec<ListedEndpoint>> {
    let entry = (0_u8..12, 1_u16..4, any::<bool>(), proptest::option::of(0_u8..2))
        .prop_map(|(id, port, draining, build)| listed(id, port, draining, build));
    proptest::collection::vec(entry, 0..15)
}

proptest! {
    #[test]
    fn delta_between_any_two_catalogs_leads_from_one_to_the_other(old in listing(), new in listing()) {
        let (old, new) = (Catalog::from_endpoints(&old), Catalog::from_endpoints(&new));
        let mut updated = old.clone();
        let delta = old.diff(&new);
        prop_assert_eq!(delta.is_empty(), old == new);
        updated.apply(&delta);
        prop_assert_eq!(updated, new);
    }

    #[test]
    fn all_readers_together_stay_within_the_rate(
        readers in 1_usize..400,
        calls in 1_u32..30,
        rate in 1.0_f64..100.0,
        failed in any::<bool>(),
        jitter in 0.0_f64..1.0,
    ) {
        let mut interval = PollInterval::new(500, rate);
        interval.record_calls(calls);
        let delay = interval.next_delay(readers, failed, jitter).as_secs_f64();
        prop_assert!(readers as f64 * f64::from(calls) / delay <= rate);
    }
}

#[test]
fn single_reader_polls_at_its_interval() {
    let interval = PollInterval::new(800, 40.0);
    let delay = interval.next_delay(1, false, 0.5);
    assert_eq!(delay, Duration::from_millis(800));
}

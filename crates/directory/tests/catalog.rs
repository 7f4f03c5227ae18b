//! Steps between lists, and the pace of reading them.

use {
    directory::{Catalog, ListedEndpoint, PollInterval},
    model::Domain,
    proptest::prelude::*,
    std::time::Duration,
};

fn listed(id: u8, port: u16, draining: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{id}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: Domain("d".into()),
        slots: 4,
        draining,
        started_at_ms: None,
    }
}

fn listing() -> impl Strategy<Value = Vec<ListedEndpoint>> {
    let entry = (0_u8..12, 1_u16..4, any::<bool>()).prop_map(|(id, port, it)| listed(id, port, it));
    proptest::collection::vec(entry, 0..15)
}

proptest! {
    #[test]
    fn a_step_leads_from_any_list_to_any_other(old in listing(), new in listing()) {
        let (old, new) = (Catalog::from_endpoints(&old), Catalog::from_endpoints(&new));
        let mut stepped = old.clone();
        let step = old.diff(&new);
        prop_assert_eq!(step.is_empty(), old == new);
        stepped.apply(&step);
        prop_assert_eq!(stepped, new);
    }

    #[test]
    fn all_readers_together_stay_within_the_rate(
        readers in 1_usize..400,
        calls in 1_u32..30,
        rate in 1.0_f64..100.0,
        failed in any::<bool>(),
        draw in 0.0_f64..1.0,
    ) {
        let mut pace = PollInterval::new(500, rate);
        pace.record_calls(calls);
        let pause = pace.next_delay(readers, failed, draw).as_secs_f64();
        prop_assert!(readers as f64 * f64::from(calls) / pause <= rate);
    }
}

#[test]
fn a_lone_reader_reads_at_its_interval() {
    let pace = PollInterval::new(800, 40.0);
    let pause = pace.next_delay(1, false, 0.5);
    assert_eq!(pause, Duration::from_millis(800));
}

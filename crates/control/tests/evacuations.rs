//! The replicated set of evacuated domains, without a network.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    control::{
        ColdList, Command, EvacuationOrder, EvacuationOutcome, LeaderCall, Output, State, all_speak,
    },
    directory::{ListedEndpoint, Listing},
    model::{Domain, MILLISECOND, OperationId, SECOND, Time},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any},
        prop_assert_eq, proptest,
    },
    replica::StateMachine,
    rstest::rstest,
    std::collections::BTreeSet,
    wire::msg::WatchUpdate,
};

/// The number of variants that 0d4d3b9 knows of the enums which later builds extend.
const OLD_COMMANDS: u8 = 7;
const OLD_LEADER_CALLS: u8 = 2;
const OLD_WATCH_UPDATES: u8 = 9;

fn order(domain: &str, active: bool, operation: Option<&str>) -> EvacuationOrder {
    EvacuationOrder {
        domain: Domain(domain.into()),
        at_ms: 1_000,
        by: "omar".into(),
        active,
        operation: operation.map(|it| OperationId(it.into())),
    }
}

fn apply(state: &mut State, index: u64, order: EvacuationOrder) -> EvacuationOutcome {
    match state.execute(index, Command::Evacuate(order)) {
        Output::Evacuated(outcome) => outcome,
        output => panic!("{output:?}"),
    }
}

fn active(state: &State) -> Vec<&str> {
    state.evacuations().active().keys().map(|it| it.0.as_ref()).collect()
}

/// Operators resend an order whose response was lost. A new revision for each would make gateways apply the set again.
#[test]
fn resent_order_changes_nothing() {
    let mut state = State::default();
    for index in 5..8 {
        assert_eq!(apply(&mut state, index, order("a", true, None)), EvacuationOutcome::Done);
        assert_eq!(state.evacuations().revision(), 5);
    }
    assert_eq!(state.evacuations().records().count(), 1);
    apply(&mut state, 9, order("b", false, None));
    assert_eq!((state.evacuations().revision(), active(&state)), (5, vec!["a"]));
    apply(&mut state, 10, order("a", false, None));
    apply(&mut state, 11, order("a", false, None));
    assert_eq!((state.evacuations().revision(), active(&state)), (10, vec![]));
}

/// A delayed copy of an order must not undo what another operator ordered in the meantime.
#[test]
fn order_with_a_used_id_has_no_effect() {
    let mut state = State::default();
    apply(&mut state, 1, order("a", true, Some("op-1")));
    apply(&mut state, 2, order("a", false, Some("op-2")));
    assert_eq!(apply(&mut state, 3, order("a", true, Some("op-1"))), EvacuationOutcome::Done);
    assert!(active(&state).is_empty());
    let reused = apply(&mut state, 4, order("b", true, Some("op-1")));
    assert_eq!(reused, EvacuationOutcome::ReusedOperation);
    assert!(active(&state).is_empty());
}

/// The oldest records are dropped, and resent orders must not displace them.
#[test]
fn records_are_bounded() {
    let mut state = State::default();
    for index in 1..3_000 {
        apply(&mut state, index, order("a", index % 2 == 1, None));
    }
    assert_eq!(state.evacuations().records().count(), 1_000);
    assert_eq!(state.evacuations().revision(), 2_999);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// A replica that gets a snapshot must have the same set as one that applied all orders, and a revision must name
    /// only one set.
    #[test]
    fn snapshots_keep_the_set(orders in vec((0..4u8, any::<bool>(), 0..20u8), 1..40), cut in 0..40usize) {
        let (mut direct, mut restored) = (State::default(), State::default());
        let mut revision = 0;
        for (at, (domain, active, id)) in orders.into_iter().enumerate() {
            if at == cut {
                restored.restore(&direct.snapshot()).unwrap();
            }
            let before = direct.evacuations().active().clone();
            let id = (id < 10).then(|| format!("op-{id}"));
            let order = order(&format!("d{domain}"), active, id.as_deref());
            let command = encode_to_vec(Command::Evacuate(order), standard()).unwrap();
            let output = direct.apply(at as u64 + 1, &command);
            prop_assert_eq!(output, restored.apply(at as u64 + 1, &command));
            prop_assert_eq!(&direct, &restored);
            let is_changed = before != *direct.evacuations().active();
            prop_assert_eq!(direct.evacuations().revision() > revision, is_changed);
            revision = direct.evacuations().revision();
        }
        restored.restore(&direct.snapshot()).unwrap();
        prop_assert_eq!(&direct, &restored);
    }
}

/// 0d4d3b9 reads a snapshot with a section and ignores it. So does this build with a part of a later one.
#[test]
fn snapshot_with_a_section_is_read_by_an_older_build() {
    let mut state = State::default();
    state.execute(1, Command::Publish { version: 7, document: vec![1, 2] });
    let old_snapshot = state.snapshot();
    apply(&mut state, 2, order("a", true, None));
    state.execute(3, Command::RecordProtocol { number: 1 });
    let snapshot = state.snapshot();
    assert!(snapshot.len() > old_snapshot.len());
    // What 0d4d3b9 does: it decodes its fields, and drops what follows.
    let old: State = decode_from_slice(&snapshot, standard()).unwrap().0;
    assert_eq!(old.snapshot(), old_snapshot);

    let unknown_part = encode_to_vec((77_u32, vec![1_u8, 2, 3]), standard()).unwrap();
    let mut restored = State::default();
    restored.restore(&[snapshot.clone(), unknown_part].concat()).unwrap();
    assert_eq!(restored, state);
    assert!(restored.restore(&snapshot[..snapshot.len() - 1]).is_err());
}

/// After a rollback by a build that dropped the section, revisions must not begin again, as gateways ignore lower ones.
#[test]
fn revisions_increase_although_an_older_build_dropped_the_section() {
    let mut state = State::default();
    apply(&mut state, 40, order("a", true, None));
    apply(&mut state, 41, order("a", false, None));
    let mut rolled_back: State = decode_from_slice(&state.snapshot(), standard()).unwrap().0;
    apply(&mut state, 50, order("b", true, None));
    apply(&mut rolled_back, 50, order("b", true, None));
    assert_eq!(rolled_back.evacuations().revision(), 50);
    assert_eq!(rolled_back.evacuations().active(), state.evacuations().active());
}

/// 0d4d3b9 must fail to decode what it does not know, as it would carry out something else otherwise.
#[test]
fn new_variants_are_unknown_to_an_older_build() {
    let index = |bytes: Vec<u8>| bytes[0];
    let evacuate = Command::Evacuate(order("a", true, None));
    assert_eq!(index(encode_to_vec(evacuate, standard()).unwrap()), OLD_COMMANDS);
    let record = Command::RecordProtocol { number: 1 };
    assert_eq!(index(encode_to_vec(record, standard()).unwrap()), OLD_COMMANDS + 1);
    let call = LeaderCall::Evacuate { order: order("a", true, None), is_known: false };
    assert_eq!(index(encode_to_vec(call, standard()).unwrap()), OLD_LEADER_CALLS);
    let set = WatchUpdate::Evacuations { revision: 1, domains: Vec::new() };
    assert_eq!(index(encode_to_vec(set, standard()).unwrap()), OLD_WATCH_UPDATES);
    let cold = WatchUpdate::Cold { endpoints: Vec::new() };
    assert_eq!(index(encode_to_vec(cold, standard()).unwrap()), OLD_WATCH_UPDATES + 1);
}

/// An order that a voter skips would be lost with the others. A voter that is down and was never heard of must not
/// prevent orders, as an outage is when they are needed.
#[rstest]
#[case::all_new(0, &[Some(1), Some(2)], true)]
#[case::one_old(0, &[Some(1), Some(0)], false)]
#[case::one_rolled_back(1, &[Some(1), Some(0)], false)]
#[case::one_unknown(0, &[Some(1), None], false)]
#[case::one_down(1, &[Some(1), None], true)]
#[case::alone(0, &[], true)]
fn orders_need_members_that_decode_them(
    #[case] recorded: u32,
    #[case] members: &[Option<u32>],
    #[case] expected: bool,
) {
    assert_eq!(all_speak(1, recorded, members), expected);
}

fn listing(cold: &[(&str, u32)], listed: &[&str]) -> Listing {
    let endpoint = |id: &&str| ListedEndpoint {
        id: (*id).into(),
        service: "po-app".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: Domain("a".into()),
        slots: 1,
        draining: false,
        started_at_ms: None,
        build: None,
    };
    Listing {
        endpoints: listed.iter().map(endpoint).collect(),
        cold: cold.iter().map(|it| (it.0.into(), it.1)).collect(),
        calls: 1,
    }
}

/// Each listing names a smaller remaining time, and sending all of them would cost each gateway's link.
#[test]
fn cold_endpoints_are_sent_when_they_change() {
    let mut list = ColdList::default();
    let all = ["a", "b"];
    let at = |ms: u64| Time(ms * MILLISECOND) + SECOND;
    assert!(!list.update(at(0), &listing(&[("a", 0), ("b", 0)], &all)));
    assert_eq!(list.version(), 0);
    assert!(list.update(at(800), &listing(&[("a", 5_000), ("b", 0)], &all)));
    assert!(!list.update(at(1_600), &listing(&[("a", 4_000), ("b", 0)], &all)));
    assert!(list.update(at(2_400), &listing(&[("a", 5_000), ("b", 0)], &all)));
    assert_eq!(list.remaining(at(3_400)), [("a".into(), 4_000)]);
    assert!(list.update(at(3_400), &listing(&[("a", 0), ("b", 0)], &all)), "warm early");
    assert!(list.remaining(at(3_400)).is_empty());
    assert!(list.update(at(4_000), &listing(&[("a", 0), ("b", 900)], &all)));
    assert!(!list.update(at(4_600), &listing(&[], &["a"])), "expired by itself");
    assert_eq!(list.version(), 4);
}

/// Gateways take a new endpoint for a cold one unless the list says otherwise.
#[test]
fn new_endpoint_that_is_not_cold_is_sent_once() {
    let mut list = ColdList::default();
    list.update(Time(0), &listing(&[("a", 0)], &["a"]));
    assert!(list.update(Time(SECOND), &listing(&[("a", 0), ("b", 0)], &["a", "b"])));
    assert_eq!(list.remaining(Time(SECOND)), [("b".into(), 0)]);
    assert!(!list.update(Time(2 * SECOND), &listing(&[("a", 0), ("b", 0)], &["a", "b"])));
    assert!(!list.update(Time(20 * SECOND), &listing(&[("a", 0), ("b", 0)], &["a", "b"])));
    let ids: BTreeSet<_> = list.remaining(Time(20 * SECOND)).into_iter().map(|it| it.1).collect();
    assert!(ids.iter().all(|it| *it == 0));
}

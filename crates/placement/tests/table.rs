//! Tests which router may start requests on which endpoint, how long requests wait, and what is
//! remembered.

mod fixture;

use {
    crate::fixture::{SERVICE, config, config_of, roster},
    member::{LeaseTiming, MembershipView, Owners},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, Epoch, RequestId, Roster, RouterId,
        SECOND, Time, Work,
    },
    placement::{EndpointTable, RendezvousHash, Settings, StartRequest, StartResult},
    proptest::prelude::*,
};

const NOW: Time = Time(10 * SECOND);

/// Returns a router with a lease and a mean load of 1,000.
fn router(id: u32, roster: &Roster, config: &Config) -> (MembershipView, EndpointTable) {
    let mut view = MembershipView::new(LeaseTiming::default());
    view.set_id(RouterId(id));
    view.update_roster(Time(1), roster, config);
    let (seq, _) = view.next_heartbeat(NOW).unwrap();
    assert!(view.on_heartbeat_reply(NOW, seq, 8_000, Epoch(1)));
    let mut table = EndpointTable::new(Settings::default().with_cache_tokens(10_000));
    table.update_config(Time(1), config);
    table.update_mean(SERVICE, Work(1_000), 1, &[]);
    (view, table)
}

fn start(request: u128, chat: u64, endpoint: u32, prompt: u32) -> StartRequest {
    StartRequest {
        request: RequestId(request),
        attempt: AttemptNo(1),
        chat: ChatKey(chat),
        endpoint: EndpointId(endpoint),
        cost: Work(u64::from(prompt)),
        prompt,
        at_home: true,
    }
}

fn state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![Just(EndpointState::Active), Just(EndpointState::Draining)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn only_the_owner_starts_requests_and_only_on_active_endpoints(
        routers in 1_u32..5,
        configs in prop::collection::vec(prop::collection::vec(state(), 6), 1..4),
        chats in prop::collection::vec((any::<u64>(), 1_u32..7), 1..30),
    ) {
        let (roster, first) = (roster(routers, 8), config_of(&configs[0]));
        let mut instances: Vec<_> = (1..=routers).map(|id| router(id, &roster, &first)).collect();
        let mut request = 0;
        for states in &configs {
            let config = config_of(states);
            let rendezvous = RendezvousHash::new(&config, SERVICE, None);
            let owners = Owners::compute(&roster, &config);
            for (view, table) in &mut instances {
                view.update_config(NOW, &config);
                table.update_config(NOW, &config);
            }
            for (chat, id) in &chats {
                for (at, (view, table)) in instances.iter_mut().enumerate() {
                    request += 1;
                    let started = table.try_start(NOW, view, &rendezvous, &start(request, *chat, *id, 1));
                    let mine = owners.owner(EndpointId(*id)) == Some(RouterId(at as u32 + 1));
                    prop_assert_eq!(started == StartResult::NotOwner, !mine);
                    if let StartResult::Started { .. } = started {
                        prop_assert_eq!(states[*id as usize - 1], EndpointState::Active);
                    }
                }
            }
        }
    }
}

#[test]
fn a_router_without_a_lease_starts_nothing_at_first() {
    let (roster, config) = (roster(2, 8), config(6));
    let rendezvous = RendezvousHash::new(&config, SERVICE, None);
    let (view, mut table) = router(1, &roster, &config);
    let owned = view.owners().unwrap().owned(RouterId(1)).next().unwrap();
    let late = NOW + 9 * SECOND;
    let started = table.try_start(late, &view, &rendezvous, &start(1, 1, owned.0, 1));
    assert!(matches!(started, StartResult::NoCapacity { .. }));
}

#[test]
fn cached_prefix_reduces_the_cost_and_justifies_waiting() {
    let (roster, config) = (roster(1, 8), config(1));
    let rendezvous = RendezvousHash::new(&config, SERVICE, None);
    let (view, mut table) = router(1, &roster, &config);
    let first = table.try_start(NOW, &view, &rendezvous, &start(1, 7, 1, 2_000));
    assert_eq!(first, StartResult::Started { cached: 0, cost: Work(2_000) });
    // The load exceeds the mean now, so nothing that has a cost fits.
    let again = start(2, 7, 1, 2_600);
    assert!(matches!(
        table.try_start(NOW, &view, &rendezvous, &again),
        StartResult::NoCapacity { .. }
    ));
    assert_eq!(table.prefix_wait(&again), 2_000 * 500);
    assert_eq!(table.prefix_wait(&start(3, 8, 1, 2_600)), 0);
    assert!(table.finish(NOW, EndpointId(1), RequestId(1), AttemptNo(1)));
    let second = table.try_start(NOW, &view, &rendezvous, &again);
    assert_eq!(second, StartResult::Started { cached: 2_000, cost: Work(600) });
}

#[test]
fn spilled_chat_is_redirected_to_its_prefix_until_it_runs_at_home() {
    let (roster, config) = (roster(1, 8), config(3));
    let rendezvous = RendezvousHash::new(&config, SERVICE, None);
    let (view, mut table) = router(1, &roster, &config);
    let chat = ChatKey(11);
    let order: Vec<_> = rendezvous.ranked(chat).collect();
    table.record_spill(NOW, chat, order[2]);
    let home = start(1, 11, order[0].0, 900);
    let expected =
        StartResult::NoCapacity { alternatives: smallvec::SmallVec::from_slice(&[order[2]]) };
    assert_eq!(table.try_start(NOW, &view, &rendezvous, &home), expected);
    // The next owner of the home learns this through the handover.
    let handover = table.handover(NOW, &rendezvous, order[0]);
    let (view, mut next) = router(1, &roster, &config);
    next.apply_handover(NOW, order[0], &handover);
    assert_eq!(next.try_start(NOW, &view, &rendezvous, &home), expected);
    // A short prompt is recomputed rather than redirected.
    let short = StartRequest { request: RequestId(2), prompt: 100, cost: Work(100), ..home };
    assert!(matches!(next.try_start(NOW, &view, &rendezvous, &short), StartResult::Started { .. }));
    assert_eq!(next.displaced_count(), 0);
}

#[test]
fn chats_of_a_new_endpoint_are_redirected_to_their_prefix() {
    let (roster, before) = (roster(1, 8), config(3));
    let after = config(4);
    let (mut view, mut table) = router(1, &roster, &before);
    view.update_config(NOW, &after);
    let (seq, _) = view.next_heartbeat(NOW).unwrap();
    view.on_heartbeat_reply(NOW, seq, 8_000, Epoch(1));
    table.update_config(NOW, &after);
    let rendezvous = RendezvousHash::new(&after, SERVICE, None);
    let moved = (0..).find(|it| rendezvous.home(ChatKey(*it)) == Some(EndpointId(4))).unwrap();
    let former = RendezvousHash::new(&before, SERVICE, None).home(ChatKey(moved)).unwrap();
    let started = table.try_start(NOW, &view, &rendezvous, &start(1, moved, 4, 900));
    let expected =
        StartResult::NoCapacity { alternatives: smallvec::SmallVec::from_slice(&[former]) };
    assert_eq!(started, expected);
}

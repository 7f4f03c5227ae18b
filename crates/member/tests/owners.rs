//! Each endpoint has one owner; holders are spread over domains, and few endpoints move when the
//! roster changes.

use {
    member::Owners,
    model::{
        Config, Domain, Endpoint, EndpointId, EndpointState, Epoch, Fencing, Roster, RouterEntry,
        RouterId, RouterState, ServiceId,
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, sync::Arc},
};

fn entry(id: u32, domain: u32, state: RouterState) -> RouterEntry {
    let addr = ([127, 0, 0, 1], 1000 + id as u16).into();
    let domain = Domain(format!("d{domain}").into());
    RouterEntry { id: RouterId(id), addr, domain, state, acked: Epoch(0), lost: Epoch(0) }
}

fn config(endpoints: u32) -> Config {
    let endpoint = |id| Endpoint {
        id: EndpointId(id),
        name: "e".into(),
        service: ServiceId(1),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: Domain("d".into()),
        weight: 1000,
        fencing: Fencing::Checked,
        state: EndpointState::Active,
        images: Default::default(),
    };
    let endpoints = (1..=endpoints).map(|id| (EndpointId(id), Arc::new(endpoint(id)))).collect();
    Config { endpoints, ..Config::default() }
}

fn state() -> impl Strategy<Value = RouterState> {
    prop_oneof![4 => Just(RouterState::Live), 1 => Just(RouterState::Leaving), 1 => Just(RouterState::Missing)]
}

fn routers() -> impl Strategy<Value = Vec<RouterEntry>> {
    let one = (1_u32..12, state());
    prop::collection::vec(one, 1..24)
        .prop_map(|it| it.into_iter().zip(1..).map(|((d, s), id)| entry(id, d, s)).collect())
}

fn owners(routers: &[RouterEntry], config: &Config) -> Owners {
    Owners::compute(&Roster { epoch: Epoch(1), routers: routers.into() }, config)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_endpoint_has_live_holders_in_different_domains(routers in routers()) {
        let config = config(40);
        let owners = owners(&routers, &config);
        let live: Vec<_> = routers.iter().filter(|it| it.state == RouterState::Live).collect();
        let domains: BTreeSet<_> = live.iter().map(|it| &it.domain).collect();
        for id in config.endpoints.keys() {
            let holders = owners.holders(*id);
            prop_assert_eq!(holders.len(), live.len().min(6));
            let found: Vec<_> = holders.iter().filter_map(|it| live.iter().find(|l| l.id == *it)).collect();
            prop_assert_eq!(found.len(), holders.len());
            let first = holders.len().min(domains.len());
            let spread: BTreeSet<_> = found[..first].iter().map(|it| &it.domain).collect();
            prop_assert_eq!(spread.len(), first, "the first holders are in different domains");
            let distinct: BTreeSet<_> = holders.iter().collect();
            prop_assert_eq!(distinct.len(), holders.len());
        }
    }

    #[test]
    fn removing_a_router_moves_only_the_endpoints_that_it_owned(routers in routers(), gone in any::<prop::sample::Index>()) {
        let config = config(40);
        let before = owners(&routers, &config);
        let mut rest = routers.clone();
        let gone = rest.remove(gone.index(routers.len()));
        let after = owners(&rest, &config);
        for id in config.endpoints.keys() {
            if before.owner(*id) != Some(gone.id) {
                prop_assert_eq!(before.owner(*id), after.owner(*id));
            }
        }
    }
}

#[test]
fn endpoints_are_distributed_evenly_among_routers() {
    let routers: Vec<_> = (1..=40).map(|id| entry(id, id % 4, RouterState::Live)).collect();
    let owners = owners(&routers, &config(4000));
    for router in &routers {
        let owned = owners.owned(router.id).count();
        assert!((60..150).contains(&owned), "{} owns {owned} of 4000", router.id);
    }
}

#[test]
fn a_roster_without_live_routers_has_no_owners() {
    let owners = owners(&[entry(1, 1, RouterState::Missing)], &config(3));
    assert_eq!(owners.owner(EndpointId(1)), None);
}

//! Tests of which routers get load reports and sums of loads.

mod common;

use {
    common::{NOW, domain, listed, whole},
    dispatch::{Dispatcher, Exchange, LoadChunk, LoadReport, Reporter, SubmitResult},
    model::{Domain, SECOND, hash64},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

fn members(routers: u16, domains: u16) -> Vec<(SocketAddr, Domain)> {
    let member = |at: u16| {
        let [high, low] = at.to_be_bytes();
        (([10, 0, high, low], 7_000).into(), domain(&format!("d{}", at % domains)))
    };
    (0..routers).map(member).collect()
}

fn exchanges(members: &[(SocketAddr, Domain)]) -> BTreeMap<SocketAddr, (Domain, Exchange)> {
    let refs = || members.iter().map(|it| (it.0, &it.1));
    let exchange = |it: &(SocketAddr, Domain)| Exchange::new(it.0, &it.1, refs());
    members.iter().map(|it| (it.0, (it.1.clone(), exchange(it)))).collect()
}

#[test]
fn routers_of_a_small_fleet_report_to_all_others() {
    for (addr, (_, exchange)) in exchanges(&members(16, 3)) {
        assert_eq!(exchange.direct.len(), 15);
        assert!(!exchange.direct.contains(&addr) && !exchange.is_relay);
    }
}

#[rstest]
#[case(191, 5, 0)]
#[case(320, 10, 0)]
#[case(40, 4, 1)]
fn loads_of_each_domain_reach_all_routers(
    #[case] routers: u16,
    #[case] domains: u16,
    #[case] round: usize,
) {
    let exchanges = exchanges(&members(routers, domains));
    let mut relayed: BTreeMap<SocketAddr, BTreeSet<Domain>> = BTreeMap::new();
    let mut messages = 0;
    for (own, exchange) in exchanges.values() {
        messages += exchange.direct.len();
        assert!(exchange.direct.iter().all(|it| exchanges[it].0 == *own));
        for relay in exchange.remote_relays(round) {
            let (domain, receiver) = &exchanges[&relay];
            assert!(receiver.is_relay && domain != own);
            relayed.entry(relay).or_default().insert(own.clone());
            messages += 1;
        }
    }
    // Relays tell their domain what they got from others.
    let mut known: BTreeMap<SocketAddr, BTreeSet<Domain>> = BTreeMap::new();
    for (relay, from) in &relayed {
        let (_, exchange) = &exchanges[relay];
        messages += exchange.direct.len();
        for addr in exchange.direct.iter().chain([relay]) {
            known.entry(*addr).or_default().extend(from.iter().cloned());
        }
    }
    assert!(exchanges.keys().all(|it| known[it].len() == usize::from(domains) - 1));
    let (routers, domains) = (usize::from(routers), usize::from(domains));
    let most = routers * (routers.div_ceil(domains) + 2) + 2 * domains * domains;
    assert!(messages <= most, "{messages} messages, at most {most} expected");
}

#[test]
fn lost_relay_costs_every_other_sum() {
    let exchanges = exchanges(&members(60, 3));
    let (lost, (lost_domain, _)) = exchanges.iter().find(|it| it.1.1.is_relay).expect("no relay");
    let senders = exchanges.values().filter(|it| it.1.is_relay && it.0 != *lost_domain);
    for (_, sender) in senders {
        let reaches_other = |round| {
            let mut relays = sender.remote_relays(round);
            relays.any(|it| it != *lost && exchanges[&it].0 == *lost_domain)
        };
        for round in 0..4 {
            assert_ne!(reaches_other(round), reaches_other(round + 1), "round {round}");
        }
    }
}

#[test]
fn members_in_any_order_give_the_same_relays() {
    let mut members = members(50, 4);
    let before = exchanges(&members);
    members.reverse();
    assert_eq!(exchanges(&members), before);
}

#[test]
fn sum_of_a_domain_counts_each_of_its_routers_once_until_their_reports_expire() {
    let endpoint = listed("plain", 1, 100);
    let hash = hash64(endpoint.id.as_bytes());
    let mut dispatcher = Dispatcher::new(domain("d0"), 1);
    dispatcher.update_endpoints(&[endpoint]);
    let SubmitResult::Started(_) = dispatcher.submit(NOW, common::plain(NOW)) else {
        panic!("expected an assignment");
    };
    let mut report = |reporter, requests| {
        let load = LoadReport { requests, tokens: 10 * requests };
        dispatcher.apply_peer_report(NOW, reporter, &whole(&[(hash, load)]));
    };
    report(Reporter::LocalRouter(1), 2);
    report(Reporter::LocalRouter(2), 9);
    report(Reporter::LocalRouter(2), 3);
    report(Reporter::RemoteRouter(1), 20);
    report(Reporter::Domain(5), 40);
    report(Reporter::Domain(6), 50);
    report(Reporter::OtherDomains, 60);
    let sum = |requests, tokens| vec![(hash, LoadReport { requests, tokens })];
    assert_eq!(dispatcher.domain_loads(NOW), sum(6, 50));
    assert_eq!(dispatcher.other_domains_loads(NOW), sum(90, 900));
    assert_eq!(dispatcher.domain_loads(NOW + 2 * SECOND), sum(1, 0));
}

#[rstest]
#[case(0, 1)]
#[case(48, 1)]
#[case(49, 2)]
#[case(1_100, 23)]
fn chunks_cover_all_endpoints_and_replace_earlier_loads(#[case] busy: u16, #[case] chunks: usize) {
    let endpoints: Vec<_> = (0..1_200).map(|it| listed("plain", it, 4)).collect();
    let hashes = || endpoints.iter().map(|it| hash64(it.id.as_bytes()));
    let mut dispatcher = Dispatcher::new(domain("d0"), 1);
    dispatcher.update_endpoints(&endpoints);
    let load = LoadReport { requests: 3, tokens: 0 };
    let before: Vec<_> = hashes().map(|it| (it, load)).collect();
    dispatcher.apply_peer_report(NOW, Reporter::LocalRouter(1), &whole(&before));
    let load = LoadReport { requests: 2, tokens: 0 };
    let mut after: Vec<_> = hashes().take(usize::from(busy)).map(|it| (it, load)).collect();
    let split = LoadChunk::split(after.clone(), 48);
    assert_eq!(split.len(), chunks);
    assert!(split.iter().all(|it| it.loads.len() <= 48));
    for chunk in split.iter().rev() {
        dispatcher.apply_peer_report(NOW, Reporter::LocalRouter(1), chunk);
    }
    let mut known = dispatcher.domain_loads(NOW);
    known.sort_unstable_by_key(|it| it.0);
    after.sort_unstable_by_key(|it| it.0);
    assert_eq!(known, after);
}

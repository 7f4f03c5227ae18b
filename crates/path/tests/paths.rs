//! Tests of the belief whether endpoints are reached, and of the choice of a router that does.

use {
    model::{Domain, MILLISECOND, Name, SECOND, Time},
    path::{Destination, Endpoint, Member, PathChange, Paths, PeerFailure},
    rand::{Rng, RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{collections::HashMap, net::SocketAddr},
};

fn ms(at: u64) -> Time {
    Time(at * MILLISECOND)
}

fn endpoint(service: &str, incarnation: u64) -> Endpoint {
    Endpoint { service: service.into(), incarnation }
}

/// Returns paths to `plain` endpoints 1 to `count`.
fn paths(count: u64) -> Paths {
    let mut paths = Paths::default();
    paths.set_endpoints((1..=count).map(|it| endpoint("plain", it)));
    paths
}

fn plain() -> Name {
    "plain".into()
}

#[rstest]
#[case::many(18, 3)]
#[case::two(2, 2)]
#[case::one(1, 1)]
fn path_is_lost_when_several_endpoints_in_a_row_are_not_reached(
    #[case] count: u64,
    #[case] failures: u64,
) {
    let mut paths = paths(count);
    paths.record_reached(ms(1), ms(0), &endpoint("plain", 1));
    for at in 1..=failures {
        assert!(!paths.is_lost(&plain()), "after {} failures", at - 1);
        paths.record_failed(ms(400 + at), ms(at), &endpoint("plain", at));
    }
    assert!(paths.is_lost(&plain()));
}

#[test]
fn one_endpoint_that_fails_again_and_again_is_not_a_lost_path() {
    let mut paths = paths(18);
    for at in 1..50 {
        paths.record_failed(ms(at + 5), ms(at), &endpoint("plain", 1));
    }
    assert!(!paths.is_lost(&plain()));
}

#[test]
fn endpoints_that_fail_while_others_are_reached_are_not_a_lost_path() {
    let mut paths = paths(18);
    for at in 1..50 {
        paths.record_failed(ms(10 * at + 5), ms(10 * at), &endpoint("plain", at % 12));
        let reached = endpoint("plain", 13 + at % 5);
        paths.record_reached(ms(10 * at + 7), ms(10 * at + 6), &reached);
    }
    assert!(!paths.is_lost(&plain()));
}

#[test]
fn response_on_a_connection_from_before_the_loss_does_not_end_it() {
    let mut paths = paths(5);
    for at in 1..=3 {
        paths.record_failed(ms(500 + at), ms(100 + at), &endpoint("plain", at));
    }
    assert_eq!(paths.record_reached(ms(600), ms(50), &endpoint("plain", 4)), []);
    assert!(paths.is_lost(&plain()));
    let changes = paths.record_reached(ms(700), ms(650), &endpoint("plain", 4));
    assert!(changes.iter().all(|it| matches!(it, PathChange::Regained { .. })));
    assert!(!paths.is_lost(&plain()));
}

#[test]
fn failure_of_a_connection_begun_before_a_success_does_not_count() {
    let mut paths = paths(5);
    paths.record_reached(ms(300), ms(200), &endpoint("plain", 5));
    for at in 1..=4 {
        paths.record_failed(ms(500 + at), ms(100 + at), &endpoint("plain", at));
    }
    assert!(!paths.is_lost(&plain()));
}

#[test]
fn all_services_are_lost_when_endpoints_of_several_are_not_reached() {
    let mut paths = Paths::default();
    let endpoints = ["a", "b", "c"].into_iter().flat_map(|it| (0..3).map(move |at| (it, at)));
    paths.set_endpoints(
        endpoints.map(|(it, at)| endpoint(it, u64::from(it.as_bytes()[0]) + 256 * at)),
    );
    for (at, service) in ["a", "b", "c"].into_iter().enumerate() {
        let at = at as u64;
        let failed = endpoint(service, u64::from(service.as_bytes()[0]));
        paths.record_failed(ms(10 + at), ms(1 + at), &failed);
    }
    assert!(paths.is_lost(&"a".into()));
    let probed: Vec<_> = paths.probes(7).into_iter().map(|it| it.service).collect();
    assert_eq!(probed.len(), 3);
}

#[test]
fn service_whose_endpoints_are_all_reached_is_not_lost_with_another_one() {
    let mut paths = Paths::default();
    let endpoints = (0..5).map(|it| endpoint("plain", it));
    paths.set_endpoints(endpoints.chain((10..15).map(|it| endpoint("model", it))));
    for at in 0..5 {
        paths.record_failed(ms(10 * at + 5), ms(10 * at), &endpoint("plain", at));
        paths.record_reached(ms(10 * at + 8), ms(10 * at + 6), &endpoint("model", 10 + at));
    }
    assert!(paths.is_lost(&plain()));
    assert!(!paths.is_lost(&"model".into()));
    assert_eq!(paths.probes(0).len(), 1);
}

#[test]
fn endpoints_that_are_gone_do_not_keep_a_path_lost() {
    let mut paths = paths(1);
    paths.record_failed(ms(2), ms(1), &endpoint("plain", 1));
    assert!(paths.is_lost(&plain()));
    paths.set_endpoints([]);
    assert!(!paths.is_lost(&plain()));
    assert_eq!(paths.probes(0), []);
}

/// Routers, of which some have lost their path to all endpoints.
struct Fleet {
    routers: Vec<(SocketAddr, Domain, Paths)>,
    is_cut: Vec<bool>,
}

impl Fleet {
    fn new(domains: usize, per_domain: usize) -> Fleet {
        let mut routers = Vec::new();
        for at in 0..domains * per_domain {
            let addr = SocketAddr::from(([127, 0, (at / 200) as u8, (at % 200) as u8 + 1], 7_000));
            let mut paths = Paths::default();
            paths.set_endpoints((1..=30).map(|it| endpoint("plain", it)));
            routers.push((addr, Domain(format!("d{}", at % domains).into()), paths));
        }
        let is_cut = vec![false; routers.len()];
        Fleet { routers, is_cut }
    }

    /// Sends a request of router `from`. Returns the router that reached the endpoint and how many
    /// were asked before, or `None` if three declined.
    fn send(&mut self, now: Time, from: usize, random: &mut ChaCha8Rng) -> Option<(usize, usize)> {
        let incarnation = random.random_range(1..=30);
        let target = endpoint("plain", incarnation);
        let domain = Domain(format!("d{}", incarnation % 3).into());
        if !self.routers[from].2.is_lost(&plain()) {
            let paths = &mut self.routers[from].2;
            if !self.is_cut[from] {
                paths.record_reached(now, now, &target);
                return Some((from, 0));
            }
            paths.record_failed(now, now, &target);
            return None;
        }
        for asked in 0..3 {
            let members = self.routers.iter().map(|it| (it.0, it.1.clone()));
            let members: Vec<_> = members.enumerate().filter(|it| it.0 != from).collect();
            let others = members.iter().map(|(_, it)| Member { addr: it.0, domain: &it.1 });
            let paths = &mut self.routers[from].2;
            let destination = Destination { domain: &domain, regions: None, failed: asked };
            let peer = paths.choose_peer(now, others, destination, random.next_u64())?;
            let (at, (addr, domain)) = members.iter().find(|it| it.1.0 == peer)?;
            let member = Member { addr: *addr, domain };
            if !self.is_cut[*at] {
                paths.record_carried(now, member);
                return Some((*at, asked));
            }
            paths.record_peer_failure(now, member, PeerFailure::Declined);
        }
        None
    }
}

#[rstest]
#[case::domain_of_six(3, 2, |at| at % 3 == 0)]
#[case::two_thirds_of_six(3, 2, |at| at % 3 != 0)]
#[case::domain_of_three_hundred(3, 100, |at| at % 3 == 0)]
#[case::third_of_three_hundred(3, 100, |at| at % 10 < 3 || at % 30 == 9)]
fn cut_routers_find_those_that_reach_endpoints_and_spread_over_them(
    #[case] domains: usize,
    #[case] per_domain: usize,
    #[case] is_cut: fn(usize) -> bool,
) {
    let mut fleet = Fleet::new(domains, per_domain);
    let count = fleet.routers.len();
    for at in 0..count {
        fleet.is_cut[at] = is_cut(at);
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut carried: HashMap<usize, usize> = HashMap::new();
    let (mut sent, mut failed, mut asked) = (0, 0, 0);
    // Ten requests a second at each router for ten seconds; the first three seconds are to notice.
    for tick in 0..100 {
        for from in 0..count {
            let now = Time(SECOND + tick * 100 * MILLISECOND);
            let result = fleet.send(now, from, &mut random);
            if tick < 30 || !fleet.is_cut[from] {
                continue;
            }
            sent += 1;
            match result {
                Some((by, before)) => {
                    *carried.entry(by).or_default() += 1;
                    asked += before;
                }
                None => failed += 1,
            }
        }
    }
    assert!(sent > 0);
    assert!(failed * 50 <= sent, "{failed} of {sent} requests found no path");
    assert!(asked <= sent / 2, "{asked} routers declined {sent} requests");
    let usable = fleet.is_cut.iter().filter(|it| !**it).count();
    let mean = (sent - failed) as f64 / usable as f64;
    let most = carried.values().copied().max().unwrap_or(0) as f64;
    assert!(
        most <= 4.0 * mean,
        "the busiest of {usable} routers carries {most}, the mean is {mean}"
    );
}

/// Returns the domains of the routers that are chosen for a request that is allowed in `regions`, by a
/// router in `own`.
fn carriers(own: &str, regions: Option<&[&str]>) -> Vec<String> {
    let domain = |it: &str| Domain(it.into());
    let domains = ["n1", "n2", "s1", "e1", "none"].map(domain);
    let routers: Vec<(SocketAddr, &Domain)> =
        (1..=10).map(|it| ([10, 0, 0, it], 1).into()).zip(domains.iter().cycle()).collect();
    let in_regions = [("n1", "north"), ("n2", "north"), ("s1", "south"), ("e1", "east")];
    let in_regions = in_regions.map(|(it, region)| (domain(it), region.into()));
    let mut paths = paths(3);
    paths.set_regions(&domain(own), in_regions.into());
    let regions: Option<Vec<Name>> = regions.map(|it| it.iter().map(|it| (*it).into()).collect());
    let mut chosen = Vec::new();
    for random in 0..400 {
        let failed = random as usize % 3;
        // The endpoint's own domain is preferred only if it is allowed.
        let target = &domains[random as usize / 3 % domains.len()];
        let destination = Destination { domain: target, regions: regions.as_deref(), failed };
        let members = routers.iter().map(|it| Member { addr: it.0, domain: it.1 });
        let Some(addr) = paths.choose_peer(ms(1), members, destination, random) else { continue };
        let (addr, domain) = *routers.iter().find(|it| it.0 == addr).expect("unknown router");
        chosen.push(domain.0.to_string());
        if random % 7 == 0 {
            paths.record_carried(ms(1), Member { addr, domain });
        }
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// Guards against the body of a request that passes through a region in which it is not allowed.
#[rstest]
#[case::no_restriction("n1", None, &["e1", "n1", "n2", "none", "s1"])]
#[case::own_region("n1", Some(&["north"][..]), &["n1", "n2"])]
#[case::other_region_and_the_own_one("n1", Some(&["south"][..]), &["n1", "n2", "s1"])]
#[case::router_without_region("none", Some(&["south"][..]), &["s1"])]
#[case::unknown_region("none", Some(&["west"][..]), &[])]
fn requests_pass_through_allowed_regions_only(
    #[case] own: &str,
    #[case] regions: Option<&[&str]>,
    #[case] expected: &[&str],
) {
    assert_eq!(carriers(own, regions), expected);
}

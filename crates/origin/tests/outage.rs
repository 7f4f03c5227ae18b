//! All gateways are killed at once and start again, while replicas of the control plane live on.

use {
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Time, hash64},
    origin::{Action, Message, Origin, Origins, Record, Resolution, StreamKey, Wanted},
    rstest::rstest,
    std::{collections::BTreeMap, net::SocketAddr},
};

const GATEWAYS: u16 = 6;
const REPLICAS: u16 = 5;
const STREAMS: u64 = 200;
const MAX_AGE_MS: u64 = 10_000;

/// How often replicas read the list of endpoints, in milliseconds.
const POLL_MS: u64 = 800;

fn addr(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn build(version: &str) -> BuildId {
    BuildId(hash64(version.as_bytes()))
}

fn origin(version: &str) -> Origin {
    Origin { service: hash64(b"model"), build: build(version) }
}

fn listing(versions: &[&str]) -> Vec<ListedEndpoint> {
    let endpoint = |version: &&str| ListedEndpoint {
        id: format!("e-{version}").into(),
        service: "model".into(),
        addr: addr(0),
        domain: Domain("d0".into()),
        slots: 1,
        draining: false,
        started_at_ms: None,
        build: Some((*version).into()),
    };
    versions.iter().map(endpoint).collect()
}

fn wanted(key: StreamKey) -> Wanted {
    Wanted { key: Some(key), service: Some(hash64(b"model")), max_age_ms: MAX_AGE_MS }
}

/// Gateways at the ports from 1, replicas at those from 101. Datagrams arrive at once.
struct Site {
    now: Time,
    processes: BTreeMap<SocketAddr, Origins>,
}

impl Site {
    /// Starts all processes with a list of these versions, and waits for a minute.
    fn start(versions: &[&str]) -> Site {
        let mut site = Site { now: Time(0), processes: BTreeMap::new() };
        site.processes.extend((101..=100 + REPLICAS).map(|it| (addr(it), replica(addr(it)))));
        site.start_gateways(versions);
        for _ in 0..75 {
            site.list(versions);
            site.wait(POLL_MS);
        }
        site
    }

    fn start_gateways(&mut self, versions: &[&str]) {
        for port in 1..=GATEWAYS {
            let mut gateway = gateway(addr(port));
            let domains = [0, 1, 2].map(|it| Domain(format!("d{it}").into()));
            let members = (1..=GATEWAYS).map(|it| (addr(it), &domains[usize::from(it) % 3]));
            gateway.set_members(addr(port), members);
            gateway.update_endpoints(self.now, &listing(versions));
            self.processes.insert(addr(port), gateway);
        }
    }

    fn list(&mut self, versions: &[&str]) {
        let now = self.now;
        for process in self.processes.values_mut() {
            process.update_endpoints(now, &listing(versions));
            process.confirm_endpoints(now);
        }
    }

    /// Lets time pass. Control confirms the lists of gateways; replicas read none.
    fn wait(&mut self, ms: u64) {
        let until = self.now + ms * MILLISECOND;
        while self.now < until {
            self.now = until.min(self.now + POLL_MS * MILLISECOND);
            for port in 1..=GATEWAYS {
                let Some(gateway) = self.processes.get_mut(&addr(port)) else { continue };
                gateway.confirm_endpoints(self.now);
            }
        }
    }

    fn tell(&mut self, port: u16, key: StreamKey, version: &str) {
        let record = Record { key, origin: origin(version), keep_ms: MAX_AGE_MS };
        let gateway = self.processes.get_mut(&addr(port)).expect("no such gateway");
        let actions = gateway.begin(self.now, record, Some(hash64(b"model")));
        self.deliver(addr(port), actions);
    }

    /// Lets gateways tell replicas of earlier streams for 2 s.
    fn tell_due(&mut self) {
        for _ in 0..10 {
            self.wait(200);
            for port in 1..=GATEWAYS {
                let Some(gateway) = self.processes.get_mut(&addr(port)) else { continue };
                let actions = gateway.tell_due(self.now);
                self.deliver(addr(port), actions);
            }
        }
    }

    /// Delivers messages until none is left; returns the result of a lookup, if there is one.
    fn deliver(&mut self, from: SocketAddr, actions: Vec<Action>) -> Option<Resolution> {
        let mut queue: Vec<_> = actions.into_iter().map(|it| (from, it)).collect();
        let mut result = None;
        while let Some((from, action)) = queue.pop() {
            match action {
                Action::Resolve { resolution, .. } => result = Some(resolution),
                Action::Send { to, message } => {
                    let Some(receiver) = self.processes.get_mut(&to) else { continue };
                    let actions = receiver.receive(self.now, from, message);
                    queue.extend(actions.into_iter().map(|it| (to, it)));
                }
            }
        }
        result
    }

    fn resume(&mut self, port: u16, key: StreamKey) -> Resolution {
        let gateway = self.processes.get_mut(&addr(port)).expect("no such gateway");
        let (_, actions) = gateway.look_up(self.now, wanted(key), self.now);
        let mut result = self.deliver(addr(port), actions);
        while result.is_none() {
            let gateway = self.processes.get_mut(&addr(port)).expect("no such gateway");
            self.now = self.now.max(gateway.next_deadline());
            let actions = gateway.tick(self.now);
            result = self.deliver(addr(port), actions);
        }
        result.expect("the lookup ended")
    }
}

fn gateway(own: SocketAddr) -> Origins {
    let mut gateway = Origins::new(own);
    gateway.set_replicas(own, (101..=100 + REPLICAS).map(addr));
    gateway
}

fn replica(own: SocketAddr) -> Origins {
    Origins::replica(own)
}

/// Guards against refusing (or mixing up) the streams of services with several versions after no
/// gateway is left that knows where they began.
#[rstest]
#[case::two_versions(&["v1", "v2"], &["v1", "v2"])]
#[case::one_left_lately(&["v1", "v2"], &["v1"])]
#[case::changed_meanwhile(&["v1", "v2"], &["v2", "v3"])]
#[case::one_version(&["v1"], &["v1"])]
fn streams_go_on_after_all_gateways_were_killed(#[case] before: &[&str], #[case] after: &[&str]) {
    let mut site = Site::start(before);
    let streams = (0..STREAMS).map(|it| (StreamKey(it), before[it as usize % before.len()]));
    let streams: Vec<_> = streams.collect();
    for (key, version) in &streams {
        site.tell(1 + key.0 as u16 % GATEWAYS, *key, version);
    }
    site.wait(1_000);
    site.start_gateways(after);
    site.list(after);
    site.wait(1_000);
    let mut refused = 0;
    for (key, version) in &streams {
        match site.resume(1 + (key.0 as u16 + 1) % GATEWAYS, *key) {
            Resolution::Known { origin: found, .. } => assert_eq!(found, origin(version)),
            _ => refused += 1,
        }
    }
    assert_eq!(refused, 0, "of {STREAMS} resumptions");
}

/// Guards against losing the streams that began before a second version was listed.
#[test]
fn streams_of_a_single_version_go_on_if_another_one_is_listed_before_the_kill() {
    let mut site = Site::start(&["v1"]);
    for key in (0..STREAMS).map(StreamKey) {
        site.tell(1 + key.0 as u16 % GATEWAYS, key, "v1");
    }
    site.list(&["v1", "v2"]);
    site.tell_due();
    site.start_gateways(&["v1", "v2"]);
    for key in (0..STREAMS).map(StreamKey) {
        let result = site.resume(1, key);
        let known = matches!(result, Resolution::Known { origin: it, .. } if it == origin("v1"));
        assert!(known, "{key}: {result:?}");
    }
}

/// Guards against lookups that depend on replicas of a build without a socket.
#[rstest]
#[case::one_after_all_gateways_were_killed(1, true)]
#[case::all_while_gateways_live(REPLICAS, false)]
fn silent_replicas_cost_a_known_stream_60_ms_at_most(#[case] silent: u16, #[case] is_killed: bool) {
    // All lookups end before the first stream expires.
    const COUNT: u64 = 100;
    let mut site = Site::start(&["v1", "v2"]);
    site.processes.retain(|it, _| !(101..=100 + silent).contains(&it.port()));
    for key in (0..COUNT).map(StreamKey) {
        site.tell(1 + key.0 as u16 % GATEWAYS, key, "v2");
    }
    if is_killed {
        site.start_gateways(&["v1", "v2"]);
    }
    for key in (0..COUNT).map(StreamKey) {
        let started = site.now;
        let result = site.resume(1 + (key.0 as u16 + 1) % GATEWAYS, key);
        let known = matches!(result, Resolution::Known { origin: it, .. } if it == origin("v2"));
        assert!(known, "{key}: {result:?}");
        assert!(site.now.since(started) <= 60 * MILLISECOND);
    }
    // What nobody knows is refused when the lookup ends.
    let started = site.now;
    assert!(matches!(site.resume(1, StreamKey(u64::MAX)), Resolution::Unknown { .. }));
    assert!(site.now.since(started) <= 250 * MILLISECOND);
}

/// Guards against a join after an attempt id was used twice, whoever is asked.
#[test]
fn stream_of_an_id_that_was_used_twice_is_refused() {
    let mut site = Site::start(&["v1", "v2"]);
    for (at, key) in (0..STREAMS).map(StreamKey).enumerate() {
        site.tell(1, key, "v1");
        site.tell(4, key, "v2");
        if at % 2 == 0 {
            site.start_gateways(&["v1", "v2"]);
        }
        for port in 1..=GATEWAYS {
            assert_eq!(site.resume(port, key), Resolution::Conflict, "{key} at {port}");
        }
    }
}

/// Guards against a replica's proof by a list that it read long ago.
#[test]
fn replica_that_reads_no_list_proves_nothing() {
    let mut site = Site::start(&["v1"]);
    site.start_gateways(&["v1"]);
    site.list(&["v1"]);
    site.wait(1_400);
    assert!(matches!(site.resume(1, StreamKey(7)), Resolution::Known { .. }));
    site.wait(200);
    assert!(matches!(site.resume(1, StreamKey(7)), Resolution::Unknown { .. }));
}

/// Guards against losing streams whose gateway was killed before a second version was listed.
#[test]
fn holders_tell_replicas_of_the_streams_of_a_gateway_that_is_gone() {
    let mut site = Site::start(&["v1"]);
    for key in (0..STREAMS).map(StreamKey) {
        site.tell(1, key, "v1");
    }
    site.processes.remove(&addr(1));
    site.list(&["v1", "v2"]);
    site.tell_due();
    site.start_gateways(&["v1", "v2"]);
    for key in (0..STREAMS).map(StreamKey) {
        let result = site.resume(2, key);
        let known = matches!(result, Resolution::Known { origin: it, .. } if it == origin("v1"));
        assert!(known, "{key}: {result:?}");
    }
}

/// Guards against a conflict that only gateways know, which may all be killed.
#[test]
fn replicas_hear_of_a_conflict_with_a_stream_that_they_forgot() {
    let mut site = Site::start(&["v1", "v2"]);
    site.tell(1, StreamKey(7), "v1");
    let replicas = (101..=100 + REPLICAS).map(|it| (addr(it), replica(addr(it))));
    site.processes.extend(replicas);
    site.tell(4, StreamKey(7), "v2");
    site.tell_due();
    site.start_gateways(&["v1", "v2"]);
    assert_eq!(site.resume(2, StreamKey(7)), Resolution::Conflict);
}

/// Guards against a proof by replicas whose lists lag, while other gateways may know better.
#[test]
fn gateway_that_has_heard_of_no_others_takes_no_proof_of_a_replica() {
    let mut site = Site::start(&["v1"]);
    site.list(&["v1"]);
    let mut started = gateway(addr(1));
    started.update_endpoints(site.now, &listing(&["v1"]));
    site.processes.insert(addr(1), started);
    let result = site.resume(1, StreamKey(7));
    assert_eq!(result, Resolution::Unknown { retry_ms: 1_000 });
    site.wait(1_000);
    site.list(&["v1"]);
    site.wait(1_000);
    assert!(matches!(site.resume(1, StreamKey(7)), Resolution::Known { .. }));
}

/// Guards against lists of two processes of which each proves another version.
#[rstest]
#[case("v1", "v2")]
#[case("v2", "v1")]
fn differing_proofs_prove_nothing(#[case] own: &str, #[case] other: &str) {
    let mut site = Site::start(&[own]);
    for port in 101..=100 + REPLICAS {
        site.processes.insert(addr(port), replica(addr(port)));
    }
    for _ in 0..=2 * MAX_AGE_MS / POLL_MS {
        site.wait(POLL_MS);
        for port in 101..=100 + REPLICAS {
            let version = if port <= 102 { other } else { own };
            let replica = site.processes.get_mut(&addr(port)).expect("no such replica");
            replica.update_endpoints(site.now, &listing(&[version]));
            replica.confirm_endpoints(site.now);
        }
    }
    site.start_gateways(&[own]);
    let results = (0..STREAMS).map(|it| site.resume(1, StreamKey(it)));
    let known = results.filter(|it| matches!(it, Resolution::Known { .. })).count();
    // Three of five replicas are asked, so one key in ten gets only those that agree.
    assert!(known < STREAMS as usize / 5, "{known} of {STREAMS}");
}

/// Guards against an origin that is dropped when it would have expired without its resumption.
#[test]
fn resumed_stream_is_kept_for_longer() {
    let mut gateway = Origins::new(addr(1));
    let mut tell = |at_ms, key| {
        let record = Record { key: StreamKey(key), origin: origin("v1"), keep_ms: MAX_AGE_MS };
        gateway.begin(Time(at_ms * MILLISECOND), record, None);
        gateway.len()
    };
    tell(0, 7);
    tell(8_000, 7);
    assert_eq!(tell(12_000, 8), 2);
    assert_eq!(tell(19_000, 9), 2);
}

/// Guards against a join by a gateway that knows one use of an id and has not heard of those that
/// know the other one.
#[test]
fn origin_is_not_final_before_a_gateway_has_heard_of_others() {
    let mut site = Site::start(&["v1", "v2"]);
    site.tell(4, StreamKey(7), "v1");
    let mut started = gateway(addr(1));
    started.update_endpoints(site.now, &listing(&["v1", "v2"]));
    site.processes.insert(addr(1), started);
    assert_eq!(site.resume(1, StreamKey(7)), Resolution::Unknown { retry_ms: 1_000 });
    // Told by a router that it has not heard of.
    let record = Record { key: StreamKey(7), origin: origin("v2"), keep_ms: MAX_AGE_MS };
    let gateway = site.processes.get_mut(&addr(1)).expect("no such gateway");
    gateway.receive(site.now, addr(5), Message::Tell(vec![record]));
    assert_eq!(site.resume(1, StreamKey(7)), Resolution::Conflict);
}

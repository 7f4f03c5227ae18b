//! A model of a control replica and its routers, in which each copy of a configuration takes time on its sender's link.

use {
    fanout::{Fanout, Router, Source, WaiterId},
    model::{Domain, MILLISECOND, SECOND, Time},
    rstest::rstest,
    std::collections::{BTreeMap, BTreeSet},
};

/// The size of a change of a thousand routes.
const CONFIG_BYTES: u64 = 17_000;

/// The rate at which a replica sends large messages: half of 3 Mbit/s.
const REPLICA_BYTES_PER_MS: u64 = 187;

/// The rate at which a router sends: half of 10 Mbit/s.
const ROUTER_BYTES_PER_MS: u64 = 625;

/// The time that a router needs to receive and apply a configuration, besides the transfer.
const APPLY_MS: u64 = 50;

/// How long a router waits for a replica before it requests the configuration again.
const RETRY_MS: u64 = 700;

/// How long a router waits for another router that sends nothing.
const STALL_MS: u64 = 400;

/// The time within which a change must be in force on the users' platform.
const IN_FORCE_MS: u64 = 2_500;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Received(usize),
    LinkFree,
    Retry(usize),
}

/// The routers that request one version from a replica.
struct Model {
    fanout: Fanout,
    now: Time,
    events: BTreeSet<(Time, Event)>,
    waiting: BTreeMap<WaiterId, usize>,
    routers: Vec<Router>,
    installed: Vec<Option<Time>>,
    /// Routers that request the configuration and then no longer respond.
    silent: BTreeSet<usize>,
    /// When the link of each router is free.
    free_at: Vec<Time>,
    sent_by_replica: usize,
}

impl Model {
    fn new(count: usize) -> Model {
        let mut fanout = Fanout::default();
        fanout.set_version(1);
        let router = |it: usize| Router {
            addr: ([10, 0, (it / 250) as u8, (it % 250) as u8], 7_340).into(),
            domain: Domain(format!("d{}", it % 4).into()),
        };
        Model {
            fanout,
            now: Time(SECOND),
            events: BTreeSet::new(),
            waiting: BTreeMap::new(),
            routers: (0..count).map(router).collect(),
            installed: vec![None; count],
            silent: BTreeSet::new(),
            free_at: vec![Time::default(); count],
            sent_by_replica: 0,
        }
    }

    fn request(&mut self, router: usize) {
        let id = self.fanout.request(Some(self.routers[router].clone()));
        self.waiting.insert(id, router);
        self.events.insert((self.now + RETRY_MS * MILLISECOND, Event::Retry(router)));
    }

    fn grant(&mut self) {
        while let Some((id, source)) = self.fanout.next_grant(self.now) {
            let router = self.waiting[&id];
            match source {
                Source::Local => {
                    self.sent_by_replica += 1;
                    let sent = self.now + CONFIG_BYTES / REPLICA_BYTES_PER_MS * MILLISECOND;
                    self.events.insert((sent, Event::LinkFree));
                    self.receive_at(sent, router);
                }
                Source::Router { addr, .. } => {
                    let provider = self.routers.iter().position(|it| it.addr == addr).unwrap();
                    assert!(self.installed[provider].is_some(), "{addr} has no configuration");
                    if self.silent.contains(&provider) {
                        let stalled = self.now + STALL_MS * MILLISECOND;
                        self.events.insert((stalled, Event::Retry(router)));
                    } else {
                        let free_at = self.free_at[provider].max(self.now);
                        let sent = free_at + CONFIG_BYTES / ROUTER_BYTES_PER_MS * MILLISECOND;
                        self.free_at[provider] = sent;
                        self.receive_at(sent, router);
                    }
                }
            }
        }
    }

    fn receive_at(&mut self, sent: Time, router: usize) {
        self.events.insert((sent + APPLY_MS * MILLISECOND, Event::Received(router)));
    }

    /// Lets all routers request version 1 and returns the time until all of them have it, in milliseconds.
    fn run(&mut self) -> u64 {
        let start = self.now;
        (0..self.routers.len()).for_each(|it| self.request(it));
        self.grant();
        while self.installed.iter().any(Option::is_none) {
            let (at, event) = self.events.pop_first().expect("a router is not served");
            assert!(at.since(start) < 60 * SECOND, "not all routers are served within a minute");
            self.now = at;
            match event {
                Event::LinkFree => self.fanout.release(),
                Event::Retry(router) if self.installed[router].is_none() => {
                    let id = self.waiting.iter().find(|it| *it.1 == router).map(|it| *it.0);
                    id.into_iter().for_each(|it| self.fanout.cancel(it));
                    self.waiting.retain(|_, it| *it != router);
                    self.request(router);
                }
                Event::Retry(_) => {}
                Event::Received(router) => {
                    self.installed[router].get_or_insert(at);
                    let router = self.routers[router].clone();
                    self.fanout.confirm(&router, 1);
                }
            }
            self.grant();
        }
        self.now.since(start) / MILLISECOND
    }
}

#[rstest]
#[case(1)]
#[case(77)]
#[case(320)]
fn large_configuration_is_not_delayed_by_the_number_of_routers(#[case] routers: usize) {
    let took_ms = Model::new(routers).run();
    assert!(took_ms < IN_FORCE_MS, "{routers} routers took {took_ms} ms");
}

#[rstest]
fn silent_providers_do_not_keep_a_configuration_from_other_routers() {
    let mut model = Model::new(320);
    model.silent = (0..320).step_by(5).collect();
    let took_ms = model.run();
    assert!(took_ms < IN_FORCE_MS, "{took_ms} ms");
}

#[rstest]
fn silent_providers_of_one_domain_do_not_keep_a_configuration_from_it() {
    let mut model = Model::new(320);
    model.silent = (0..320).step_by(4).collect();
    let took_ms = model.run();
    assert!(took_ms < IN_FORCE_MS, "{took_ms} ms");
}

#[rstest]
fn replica_sends_a_configuration_itself_while_its_link_is_free() {
    let mut model = Model::new(1);
    model.run();
    assert_eq!(model.sent_by_replica, 1);
}

#[rstest]
fn routers_with_an_older_version_are_not_providers() {
    let mut model = Model::new(3);
    let [first, second, third] = [0, 1, 2].map(|it| model.routers[it].clone());
    model.fanout.confirm(&first, 1);
    model.fanout.set_version(2);
    model.fanout.request(Some(second));
    let (_, source) = model.fanout.next_grant(model.now).unwrap();
    assert_eq!(source, Source::Local);
    model.fanout.request(Some(third));
    assert_eq!(model.fanout.next_grant(model.now), None);
}

#[rstest]
fn message_of_this_process_is_never_referred_to_a_router() {
    let mut model = Model::new(1);
    let router = model.routers[0].clone();
    model.fanout.confirm(&router, 1);
    model.fanout.request(None);
    assert!(matches!(model.fanout.next_grant(model.now), Some((_, Source::Local))));
    let id = model.fanout.request(None);
    assert_eq!(model.fanout.next_grant(model.now), None);
    model.fanout.release();
    assert_eq!(model.fanout.next_grant(model.now), Some((id, Source::Local)));
}

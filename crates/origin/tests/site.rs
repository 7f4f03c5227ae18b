//! A site of routers and replicas of the control plane, which read one directory at different times.
//! Processes are killed, versions change, and attempt ids are used twice: no stream goes on at
//! another version than the one that began it.

use {
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Time, hash64},
    origin::{
        Action, LookupId, Message, Origin, Origins, Record, Resolution, Source, StreamKey, Wanted,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
};

const ROUTERS: usize = 7;
const REPLICAS: usize = 5;
const DOMAINS: usize = 3;
const PLAYS: u64 = 400;
const STEPS: usize = 60;
const MAX_AGE_MS: u64 = 10_000;

/// How often each process reads the directory, or a replica's list, in milliseconds.
const POLL_MS: u64 = 800;

/// How long a version stays listed or unlisted at least while routers are down and not replaced, in
/// milliseconds.
const MIN_LISTED_MS: u64 = 5_000;

/// How often routers tell replicas of streams that began before a second version, in milliseconds.
const DUE_MS: u64 = 200;

/// The delay of a datagram, in milliseconds.
const DELAY_MS: u64 = 5;

fn service() -> u64 {
    hash64(b"model")
}

fn addr(at: usize) -> SocketAddr {
    ([10, 0, 0, 1], at as u16 + 1).into()
}

fn build(version: usize) -> BuildId {
    BuildId(hash64(format!("v{version}").as_bytes()))
}

fn listing(versions: usize) -> Vec<ListedEndpoint> {
    let endpoint = |version: usize| ListedEndpoint {
        id: format!("e-{version}").into(),
        service: "model".into(),
        addr: addr(0),
        domain: Domain("d0".into()),
        slots: 1,
        draining: false,
        started_at_ms: None,
        build: Some(format!("v{version}").into()),
    };
    (0..3).filter(|it| versions & (1 << it) != 0).map(endpoint).collect()
}

struct Stream {
    key: StreamKey,
    version: usize,
    began: Time,
}

struct Site {
    now: Time,
    random: ChaCha8Rng,
    /// The routers, and after them the replicas. A process that is down is `None`.
    processes: Vec<Option<Origins>>,
    /// Replicas of an older build, which have no socket.
    silent: HashSet<usize>,
    /// The versions in the directory, and in the last list of each process, as bits.
    directory: usize,
    changed_at: Time,
    listed: Vec<usize>,
    poll_at: Vec<Time>,
    due_at: Time,
    /// When routers that have started hear of the members.
    members_at: Time,
    in_transit: Vec<(Time, usize, SocketAddr, Message)>,
    results: HashMap<(usize, LookupId), Resolution>,
    streams: Vec<Stream>,
    /// The processes that know an origin. What all of them forgot can't be found.
    knowing: HashMap<(StreamKey, BuildId), HashSet<usize>>,
    reached: BTreeMap<&'static str, u64>,
}

impl Site {
    fn new(seed: u64) -> Site {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let directory = random.random_range(1..8);
        let silent = (ROUTERS..ROUTERS + REPLICAS).filter(|_| random.random_range(0..8) == 0);
        let silent = silent.collect();
        let all = ROUTERS + REPLICAS;
        let mut site = Site {
            now: Time(0),
            random,
            processes: (0..all).map(|_| None).collect(),
            silent,
            directory,
            changed_at: Time(0),
            listed: vec![0; all],
            poll_at: vec![Time(0); all],
            due_at: Time(0),
            members_at: Time::NEVER,
            in_transit: Vec::new(),
            results: HashMap::new(),
            streams: Vec::new(),
            knowing: HashMap::new(),
            reached: BTreeMap::new(),
        };
        // Routers get their first list from replicas.
        (0..all).rev().for_each(|it| site.start(it));
        site
    }

    fn change_versions(&mut self) {
        self.directory = self.random.random_range(1..8);
        self.changed_at = self.now;
    }

    /// Returns what a process reads: a replica the directory, a router the list of a replica, unless
    /// all of these are down.
    fn read(&mut self, at: usize) -> usize {
        let up = (ROUTERS..ROUTERS + REPLICAS).filter(|it| self.processes[*it].is_some());
        let up: Vec<_> = up.collect();
        match at < ROUTERS && !up.is_empty() {
            true => self.listed[up[self.random.random_range(0..up.len())]],
            false => self.directory,
        }
    }

    fn count(&mut self, situation: &'static str) {
        *self.reached.entry(situation).or_default() += 1;
    }

    /// Starts a process with its first list. A router that has just started knows no other one.
    fn start(&mut self, at: usize) {
        let mut process = match at < ROUTERS {
            true => Origins::new(addr(at)),
            false => Origins::replica(addr(at)),
        };
        if at < ROUTERS {
            process.set_replicas(addr(at), (ROUTERS..ROUTERS + REPLICAS).map(addr));
        }
        self.processes[at] = Some(process);
        self.poll(at);
    }

    fn poll(&mut self, at: usize) {
        let (now, versions) = (self.now, self.read(at));
        self.poll_at[at] = now + self.random.random_range(POLL_MS / 2..POLL_MS) * MILLISECOND;
        let Some(process) = &mut self.processes[at] else { return };
        // Routers are told of changes only.
        if at >= ROUTERS || self.listed[at] != versions || process.settles_at() == Time::NEVER {
            process.update_endpoints(now, &listing(versions));
        }
        process.confirm_endpoints(now);
        self.listed[at] = versions;
    }

    fn set_members(&mut self) {
        let domains: Vec<_> = (0..DOMAINS).map(|it| Domain(format!("d{it}").into())).collect();
        for at in 0..ROUTERS {
            let members = (0..ROUTERS).map(|it| (addr(it), &domains[it % DOMAINS]));
            if let Some(router) = &mut self.processes[at] {
                router.set_members(addr(at), members);
            }
        }
    }

    fn stop(&mut self, killed: &[usize]) {
        for at in killed {
            self.processes[*at] = None;
            self.results.retain(|it, _| it.0 != *at);
            self.knowing.values_mut().for_each(|it| {
                it.remove(at);
            });
        }
    }

    /// Kills processes and starts them again after 1 to 2.6 s, not all at the same time.
    fn kill(&mut self, killed: &[usize]) {
        self.stop(killed);
        if self.random.random_range(0..3) == 0 {
            self.change_versions();
            self.count("versions changed while processes were down");
        }
        self.advance(1_000);
        for at in killed {
            let ms = self.random.random_range(0..1_600 / killed.len() as u64);
            self.advance(ms);
            self.start(*at);
        }
        // Some resumptions arrive before the list of members, which arrives before 2 s are over.
        let ms = if self.random.random_range(0..2) == 0 { 0 } else { 1_500 };
        self.members_at = self.now + ms * MILLISECOND;
    }

    /// Kills some routers, and replicas now and then, while clients of theirs come to the others at
    /// once. Versions may change shortly before.
    fn kill_some(&mut self) {
        let settled_at = self.changed_at + MIN_LISTED_MS * MILLISECOND;
        self.advance(settled_at.since(self.now) / MILLISECOND);
        if self.random.random_range(0..3) == 0 {
            self.count("versions changed before some routers were killed");
            self.change_versions();
            let ms = self.random.random_range(1..1_200);
            self.advance(ms);
        }
        let first = self.streams.len();
        let killed_routers = self.random.random_range(1..ROUTERS);
        for _ in 0..4 {
            let router = self.random.random_range(0..killed_routers);
            let key = StreamKey(self.random.random());
            self.begin(router, key);
        }
        let killed_replicas = [0, 0, 0, 1, REPLICAS][self.random.random_range(0..5)];
        let replicas = ROUTERS..ROUTERS + killed_replicas;
        let killed: Vec<_> = (0..killed_routers).chain(replicas).collect();
        self.stop(&killed);
        self.count("some routers were killed");
        for stream in first..self.streams.len() {
            let ms = self.random.random_range(1..400);
            self.advance(ms);
            let router = self.random.random_range(killed_routers..ROUTERS);
            self.check(router, stream);
        }
        self.kill(&killed);
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.in_transit.push((self.now + DELAY_MS * MILLISECOND, at, to, message));
                }
                Action::Resolve { lookup, resolution } => {
                    let before = self.results.insert((at, lookup), resolution);
                    assert_eq!(before, None, "a lookup ended twice");
                }
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now + ms * MILLISECOND;
        while self.now < until {
            self.now = self.now + MILLISECOND;
            let now = self.now;
            let arrived: Vec<_> = self.in_transit.extract_if(.., |it| it.0 <= now).collect();
            for (_, from, to, message) in arrived {
                let at = usize::from(to.port()) - 1;
                if self.silent.contains(&at) {
                    continue;
                }
                let Some(receiver) = &mut self.processes[at] else { continue };
                if let Message::Tell(records) = &message {
                    for Record { key, origin, .. } in records {
                        self.knowing.entry((*key, origin.build)).or_default().insert(at);
                    }
                }
                let actions = receiver.receive(now, addr(from), message);
                self.perform(at, actions);
            }
            if now >= self.members_at {
                self.members_at = Time::NEVER;
                self.set_members();
            }
            let is_due = now >= self.due_at;
            if is_due {
                self.due_at = now + DUE_MS * MILLISECOND;
            }
            for at in 0..self.processes.len() {
                if now >= self.poll_at[at] {
                    self.poll(at);
                }
                let Some(process) = &mut self.processes[at] else { continue };
                let mut actions = match process.next_deadline() <= now {
                    true => process.tick(now),
                    false => Vec::new(),
                };
                if is_due {
                    actions.extend(process.tell_due(now));
                }
                self.perform(at, actions);
            }
        }
    }

    fn begin(&mut self, router: usize, key: StreamKey) {
        let listed = self.listed[router];
        let versions: Vec<_> = (0..3).filter(|it| listed & (1 << it) != 0).collect();
        let version = versions[self.random.random_range(0..versions.len())];
        self.streams.push(Stream { key, version, began: self.now });
        self.tell(router, key, version);
        self.advance(DELAY_MS);
    }

    fn tell(&mut self, router: usize, key: StreamKey, version: usize) {
        let origin = Origin { service: service(), build: build(version) };
        let record = Record { key, origin, keep_ms: MAX_AGE_MS };
        let Some(process) = &mut self.processes[router] else { return };
        let actions = process.begin(self.now, record, Some(service()));
        self.knowing.entry((key, origin.build)).or_default().insert(router);
        self.perform(router, actions);
    }

    /// Resumes a stream, as a gateway does: it repeats lookups until it should know the others.
    fn resume(&mut self, router: usize, key: StreamKey) -> Resolution {
        let wanted = Wanted { key: Some(key), service: Some(service()), max_age_ms: MAX_AGE_MS };
        let came_at = self.now;
        let wait_until = came_at + 2_000 * MILLISECOND;
        loop {
            let process = self.processes[router].as_mut().expect("the router is down");
            let settles_at = process.settles_at();
            let (lookup, actions) = process.look_up(self.now, wanted, came_at);
            self.perform(router, actions);
            while !self.results.contains_key(&(router, lookup)) {
                self.advance(1);
            }
            let resolution = self.results[&(router, lookup)];
            let next = match resolution {
                Resolution::Known { .. } | Resolution::Conflict => None,
                Resolution::Unknown { .. } => (self.now < settles_at.min(wait_until)).then_some(50),
                Resolution::Unconfirmed { retry_at } => {
                    self.count("a router waited for newer lists");
                    let wait = retry_at.since(self.now).div_ceil(MILLISECOND);
                    (retry_at <= wait_until).then_some(wait)
                }
            };
            let Some(ms) = next else { return resolution };
            self.count("a lookup was repeated");
            self.advance(ms);
        }
    }

    fn check(&mut self, router: usize, stream: usize) {
        let Stream { key, version, began } = self.streams[stream];
        if self.now >= began + (MAX_AGE_MS - 4_000) * MILLISECOND {
            return;
        }
        let versions = self.streams.iter().filter(|it| it.key == key).map(|it| it.version);
        let is_reused = versions.collect::<HashSet<_>>().len() > 1;
        let is_known = self.knowing.get(&(key, build(version))).is_some_and(|it| !it.is_empty());
        let resolution = self.resume(router, key);
        match resolution {
            Resolution::Known { origin, source } => {
                if is_reused && !is_known {
                    return self
                        .count("an id was used twice and its first use was forgotten by all");
                }
                assert_eq!(origin.build, build(version), "joined: {source} {stream} {is_reused}");
                self.count(match source {
                    Source::Own => "found at home",
                    Source::Peer(it) if usize::from(it.port()) > ROUTERS => "found at a replica",
                    Source::Peer(_) => "found at a router",
                    Source::OnlyVersion => {
                        let is_any_down = self.processes[..ROUTERS].iter().any(Option::is_none);
                        let down = "only one version, while routers were down";
                        if is_any_down { down } else { "only one version" }
                    }
                });
                self.streams[stream].began = self.now;
                self.tell(router, key, version);
                self.advance(DELAY_MS);
            }
            Resolution::Unknown { .. } | Resolution::Unconfirmed { .. } => {
                self.count(if is_known { "refused, but known" } else { "refused, unknown" });
            }
            Resolution::Conflict => {
                assert!(is_reused, "stream {stream} is no conflict");
                self.count("refused, an id was used twice");
            }
        }
    }

    fn step(&mut self) {
        let router = self.random.random_range(0..ROUTERS);
        let replicas = || ROUTERS..ROUTERS + REPLICAS;
        match self.random.random_range(0..100) {
            0..35 => {
                let key = StreamKey(self.random.random());
                self.begin(router, key);
            }
            35..80 if !self.streams.is_empty() => {
                let stream = self.random.random_range(0..self.streams.len());
                // Recent streams are more likely to be live.
                let recent = stream.max(self.streams.len().saturating_sub(6));
                self.check(router, recent);
            }
            80..84 if !self.streams.is_empty() => {
                let last = self.streams.len() - 1;
                let key = self.streams[last].key;
                self.count("an id was used twice");
                self.begin(router, key);
            }
            84..87 => {
                self.count("all routers were killed");
                self.kill(&(0..ROUTERS).collect::<Vec<_>>());
            }
            87..90 => {
                self.count("a domain was killed");
                let domain = self.random.random_range(0..DOMAINS);
                let all = (0..ROUTERS).chain(replicas());
                self.kill(&all.filter(|it| it % DOMAINS == domain).collect::<Vec<_>>());
            }
            90..91 => {
                self.count("control was killed");
                self.kill(&replicas().collect::<Vec<_>>());
            }
            91..92 => {
                self.count("everything was killed");
                self.kill(&(0..ROUTERS).chain(replicas()).collect::<Vec<_>>());
            }
            92..96 => {
                self.count("versions changed");
                self.change_versions();
            }
            96..97 => self.set_members(),
            97..99 => self.kill_some(),
            _ => {
                let ms = self.random.random_range(1..4_000);
                self.advance(ms);
            }
        }
    }
}

/// Returns a site that has had one version for longer than a stream may last, with streams that
/// began at the routers which are then killed: the first ones.
fn site_with_killed_routers(killed: usize, seed: u64) -> (Site, Vec<StreamKey>) {
    let mut site = Site::new(seed);
    (site.directory, site.silent) = (1, HashSet::new());
    site.set_members();
    site.advance(MAX_AGE_MS + 2_000);
    let keys: Vec<_> = (0..40).map(StreamKey).collect();
    for key in &keys {
        let router = site.random.random_range(0..killed);
        site.begin(router, *key);
    }
    site.processes[..killed].fill_with(|| None);
    (site, keys)
}

/// Streams of a service that had a single version were refused at the routers that lived, as those
/// that kept their origins were silent (review/13).
#[rstest]
#[case::one(1)]
#[case::half(3)]
#[case::all_but_one(6)]
fn streams_of_an_only_version_go_on_at_once_where_others_were_killed(#[case] killed: usize) {
    let (mut site, keys) = site_with_killed_routers(killed, 7);
    for key in keys {
        let before = site.now;
        let resolution = site.resume(ROUTERS - 1, key);
        assert!(matches!(resolution, Resolution::Known { .. }), "{resolution:?}");
        assert!(site.now <= before + 80 * MILLISECOND, "after {} us", site.now.since(before));
    }
}

/// A replica that is down as well leaves the others to prove it, by lists that they have read since.
#[test]
fn streams_of_an_only_version_go_on_within_two_seconds_without_a_replica() {
    let (mut site, keys) = site_with_killed_routers(6, 7);
    site.processes[ROUTERS] = None;
    for key in &keys[..4] {
        let before = site.now;
        let resolution = site.resume(ROUTERS - 1, *key);
        assert!(matches!(resolution, Resolution::Known { .. }), "{resolution:?}");
        assert!(site.now <= before + 2_000 * MILLISECOND, "after {} us", site.now.since(before));
    }
}

/// What happens after a version was listed that some routers and replicas know already.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Then {
    /// The version stays, and so do the replicas.
    Nothing,
    /// The replicas that know the version end with the routers.
    ReplicasEnd,
    /// The version leaves again before the other replicas have read their next list.
    VersionLeaves,
}

/// A router may have had a newer list than the one that lives, and have begun streams by it.
#[rstest]
#[case::replicas_live(Then::Nothing)]
#[case::replicas_that_knew_it_are_gone(Then::ReplicasEnd)]
#[case::version_is_gone(Then::VersionLeaves)]
fn stream_of_a_version_that_the_own_list_lacks_does_not_go_on_at_another_one(#[case] then: Then) {
    let mut lagging = 0;
    for seed in 0..200 {
        let mut site = Site::new(seed);
        (site.directory, site.silent) = (1, HashSet::new());
        site.set_members();
        site.advance(MAX_AGE_MS + 2_000);
        site.directory = 3;
        let ms = site.random.random_range(50..700);
        site.advance(ms);
        let lists = |it: usize| site.listed[it] == 3;
        let Some(router) = (0..ROUTERS).find(|it| lists(*it)) else { continue };
        let Some(lives) = (0..ROUTERS).find(|it| !lists(*it)) else { continue };
        let replicas = || ROUTERS..ROUTERS + REPLICAS;
        let informed: Vec<_> = replicas().filter(|it| lists(*it)).collect();
        if informed.is_empty() || informed.len() == REPLICAS {
            continue;
        }
        lagging += 1;
        let key = StreamKey(seed);
        site.tell(router, key, 1);
        (0..ROUTERS).filter(|it| *it != lives).for_each(|it| site.processes[it] = None);
        site.in_transit.clear();
        match then {
            Then::Nothing => {}
            Then::ReplicasEnd => informed.iter().for_each(|it| site.processes[*it] = None),
            Then::VersionLeaves => site.directory = 1,
        }
        let resolution = site.resume(lives, key);
        assert!(!matches!(resolution, Resolution::Known { .. }), "{resolution:?}");
    }
    assert!(lagging >= 10, "only {lagging} sites had lists that differ");
}

/// Without any replica nothing tells whether a router that is gone had a newer list.
#[test]
fn origin_is_unknown_while_routers_and_all_replicas_are_silent() {
    let (mut site, keys) = site_with_killed_routers(6, 7);
    site.processes[ROUTERS..].fill_with(|| None);
    site.advance(100);
    let resolution = site.resume(ROUTERS - 1, keys[0]);
    assert!(matches!(resolution, Resolution::Unknown { .. }), "{resolution:?}");
}

#[test]
fn no_stream_goes_on_at_another_version() {
    let mut reached: BTreeMap<&'static str, u64> = BTreeMap::new();
    for seed in 0..PLAYS {
        let mut site = Site::new(seed);
        site.set_members();
        site.advance(if seed % 2 == 0 { MAX_AGE_MS + 2_000 } else { 1_000 });
        (0..STEPS).for_each(|_| site.step());
        site.reached.iter().for_each(|(it, count)| *reached.entry(it).or_default() += count);
    }
    println!("{reached:#?}");
    let found = |it: &&str| it.starts_with("found");
    let found: u64 = reached.iter().filter(|it| found(it.0)).map(|it| it.1).sum();
    let refused = reached.get("refused, but known").copied().unwrap_or_default();
    assert!(refused * 20 <= found + refused, "{refused} refused, {found} found");
    for situation in [
        "found at home",
        "found at a router",
        "found at a replica",
        "only one version",
        "only one version, while routers were down",
        "a router waited for newer lists",
        "some routers were killed",
        "versions changed before some routers were killed",
        "refused, an id was used twice",
        "refused, unknown",
        "a lookup was repeated",
        "versions changed while processes were down",
        "all routers were killed",
        "a domain was killed",
        "control was killed",
        "everything was killed",
    ] {
        assert!(reached.contains_key(situation), "not reached: {situation}");
    }
}

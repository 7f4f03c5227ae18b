//! The origins of streams that a router or a replica keeps, tells, and asks for.

use {
    crate::{
        builds::Builds,
        lookup::{Asked, CONFIRM_MS, Lookup, MAX_ASKED, MAX_ASKED_REPLICAS, MAX_LIST_AGE_MS},
        members::Members,
        message::{Message, Origin, Record, StreamKey, Wanted},
        table::{Entry, MAX_KEEP_MS, Table, Untold},
    },
    derive_more::{Debug, Display},
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Time},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// The number of other routers that are told the origin of a stream, and of replicas, if any.
const COPIES: usize = 2;

/// When processes that have not answered are asked once more, in milliseconds after the first time.
const RESEND_MS: u64 = 60;

/// When a lookup ends without an answer of all that were asked, in milliseconds after its start.
const GIVE_UP_MS: u64 = 250;

/// The maximum number of origins in a message, so that it fits into a packet.
const MAX_RECORDS: usize = 32;

/// The maximum number of streams that replicas are told of at a time after their services got a
/// second version.
const MAX_DUE: usize = 80;

/// The maximum number of lookups at a time. Each waits for [`GIVE_UP_MS`] at most.
const MAX_LOOKUPS: usize = 4_096;

/// The maximum number of origins that a router keeps.
const MAX_ORIGINS: usize = 65_536;

/// The maximum number of origins that a replica keeps. 15,000 streams a second that are kept for
/// 24 s, each at two of five replicas, are 144,000. This is the most that fits into a hash table of
/// 4.5 MB.
const MAX_REPLICA_ORIGINS: usize = 229_376;

/// How long after the first list of endpoints other routers may not be known yet, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The shortest retry delay that a caller is told, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

/// Identifies a lookup of an origin.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("l{_0}")]
pub struct LookupId(pub u64);

/// How the origin of a stream is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Source {
    /// This router kept it.
    #[display("own")]
    Own,
    /// Another router or a replica kept it.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// No other version can have begun the stream.
    #[display("only-version")]
    OnlyVersion,
}

/// The result of a lookup.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Resolution {
    /// The origin is known.
    Known {
        /// The origin.
        origin: Origin,
        /// How it is known.
        source: Source,
    },
    /// Nobody that could be asked knows the origin.
    Unknown {
        /// The time after which it may be known, in milliseconds.
        retry_ms: u64,
    },
    /// The own list proves the origin, but a silent router may have had a newer list. Another lookup
    /// may end with a proof.
    Unconfirmed {
        /// When the lists of replicas will be newer than that of any router that is gone.
        retry_at: Time,
    },
    /// The attempt began streams at several versions.
    Conflict,
}

/// What a router or a replica must do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Tell the request that waits for a lookup its result.
    Resolve {
        /// The lookup.
        lookup: LookupId,
        /// The result.
        resolution: Resolution,
    },
}

/// The origins of streams, as one router or replica knows them.
#[derive(Debug)]
pub struct Origins {
    is_replica: bool,
    members: Members,
    /// Whether other routers were heard of.
    has_members: bool,
    /// The replicas of the control plane, which outlive the routers.
    replicas: Members,
    builds: Builds,
    table: Table,
    /// The streams that replicas must be told of now, as their services no longer have a single
    /// version.
    due: VecDeque<StreamKey>,
    lookups: BTreeMap<LookupId, Lookup>,
    last_lookup: u64,
}

impl Origins {
    /// Returns the state of the router at `own`, which knows no other router yet.
    pub fn new(own: SocketAddr) -> Origins {
        Origins::with_table(own, false, MAX_ORIGINS)
    }

    /// Returns the state of a replica of the control plane. It keeps what it is told and answers.
    pub fn replica(own: SocketAddr) -> Origins {
        Origins::with_table(own, true, MAX_REPLICA_ORIGINS)
    }

    fn with_table(own: SocketAddr, is_replica: bool, max_origins: usize) -> Origins {
        Origins {
            is_replica,
            members: Members::new(own, []),
            has_members: false,
            replicas: Members::new(own, []),
            builds: Builds::default(),
            table: Table::new(max_origins),
            due: VecDeque::new(),
            lookups: BTreeMap::new(),
            last_lookup: 0,
        }
    }

    /// Replaces the known routers.
    pub fn set_members<'a, I>(&mut self, own: SocketAddr, routers: I)
    where
        I: IntoIterator<Item = (SocketAddr, &'a Domain)>,
    {
        self.members = Members::new(own, routers);
        self.has_members = true;
    }

    /// Replaces the known replicas of the control plane.
    pub fn set_replicas<I>(&mut self, own: SocketAddr, replicas: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        // Replicas are ranked regardless of their domains, which routers do not know.
        let domain = Domain("".into());
        self.replicas = Members::new(own, replicas.into_iter().map(|it| (it, &domain)));
    }

    /// Replaces the list of endpoints. It proves nothing until it is confirmed.
    pub fn update_endpoints(&mut self, now: Time, endpoints: &[ListedEndpoint]) {
        if self.builds.update(now, endpoints) && !self.is_replica {
            let builds = &self.builds;
            let due = self.table.take_untold(|it| builds.only_one_ever(it.service).is_none());
            self.due.extend(due);
        }
    }

    /// Records that the list of endpoints was current at `at`. Without that it proves nothing after
    /// 1.5 s: this process may have been cut off, or may not have run, while others heard of a new
    /// version.
    pub fn confirm_endpoints(&mut self, at: Time) {
        self.builds.confirm(at);
    }

    /// Records that this router runs. Must be called at least every second: messages that it reads after it stood still
    /// may have waited, so they don't confirm its list.
    pub fn record_run(&mut self, now: Time) {
        self.builds.record_run(now);
    }

    /// Returns the messages for replicas on some of the streams that began before a second version
    /// was listed, and on conflicts. Call this repeatedly, with pauses, so that all routers together
    /// do not send too much at once.
    pub fn tell_due(&mut self, now: Time) -> Vec<Action> {
        let mut by_replica: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        let mut actions = Vec::new();
        for key in self.due.drain(..self.due.len().min(MAX_DUE)) {
            let Some(entry) = self.table.get(now, key) else { continue };
            for replica in self.replicas.ranked(key.0).take(COPIES) {
                match entry {
                    Entry::Known(record) => by_replica.entry(replica).or_default().push(record),
                    Entry::Conflict { keep_ms } => {
                        actions.push(send(replica, Message::Conflict { key, keep_ms }));
                    }
                }
            }
        }
        actions.extend(tell(&by_replica));
        actions
    }

    /// Records an origin, and queues it for replicas if it is a conflict.
    fn record(&mut self, now: Time, record: &Record) {
        if self.table.record(now, record) && !self.is_replica {
            self.due.push_back(record.key);
        }
    }

    /// Returns the number of origins kept.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns until when others that may know more are not known yet.
    pub fn settles_at(&self) -> Time {
        self.builds.since().map_or(Time::NEVER, |it| it + SETTLE_MS * MILLISECOND)
    }

    /// Records that a stream begins or goes on at an endpoint. `service` is that of [`Wanted`] when
    /// the stream is resumed. The actions must be performed before the client gets an event.
    pub fn begin(&mut self, now: Time, record: Record, service: Option<u64>) -> Vec<Action> {
        self.record(now, &record);
        let Record { key, keep_ms, .. } = record;
        // A resumption needs no record of a service whose only version replicas can prove.
        let wanted = Wanted { key: Some(key), service, max_age_ms: keep_ms };
        let is_proved = self.only_version(now, &wanted).is_ok();
        self.table.set_untold(key, if is_proved { Untold::Own } else { Untold::No });
        let replicas = self.replicas.ranked(key.0).take(if is_proved { 0 } else { COPIES });
        let holders = self.members.ranked(key.0).take(COPIES).chain(replicas);
        holders.map(|to| send(to, Message::Tell(vec![record]))).collect()
    }

    /// Hands the origins kept to other routers, as this one is leaving.
    pub fn leave(&self, now: Time) -> Vec<Action> {
        let mut by_holder: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        let mut actions = Vec::new();
        for (key, entry) in self.table.entries(now) {
            for holder in self.members.ranked(key.0).take(COPIES) {
                match entry {
                    Entry::Known(record) => by_holder.entry(holder).or_default().push(record),
                    Entry::Conflict { keep_ms } => {
                        actions.push(send(holder, Message::Conflict { key, keep_ms }));
                    }
                }
            }
        }
        actions.extend(tell(&by_holder));
        actions
    }

    /// Looks up the origin of a stream that had begun by `began_by`. The lookup ends with an
    /// [`Action::Resolve`], at once or later.
    pub fn look_up(
        &mut self,
        now: Time,
        wanted: Wanted,
        began_by: Time,
    ) -> (LookupId, Vec<Action>) {
        self.last_lookup += 1;
        let id = LookupId(self.last_lookup);
        // Without a key, others can only add to what the own lists prove.
        let rank_key = match wanted.key {
            Some(key) => Some(key.0),
            None => wanted.service.filter(|_| self.only_version(now, &wanted).is_err()),
        };
        let asked =
            |is_replica| move |addr| Asked { addr, is_replica, is_silent: true, only: None };
        let routers = |key| self.members.ranked(key).take(MAX_ASKED).map(asked(false));
        let replicas = |key| self.replicas.ranked(key).take(MAX_ASKED_REPLICAS).map(asked(true));
        let asked = rank_key.into_iter().flat_map(|it| routers(it).chain(replicas(it))).collect();
        let mut lookup = Lookup {
            wanted,
            began_by,
            started_at: now,
            asked,
            known: None,
            is_conflict: false,
            resend_at: now + RESEND_MS * MILLISECOND,
            give_up_at: now + GIVE_UP_MS * MILLISECOND,
        };
        let own = wanted.key.and_then(|it| self.table.get(now, it));
        if let Some(Entry::Known(record)) = own {
            lookup.set_known(now, record.origin, Source::Own);
        }
        lookup.is_conflict = matches!(own, Some(Entry::Conflict { .. }));
        let is_ended = lookup.is_ended();
        if is_ended || self.lookups.len() >= MAX_LOOKUPS {
            return (id, vec![resolve(id, self.conclude(now, &lookup))]);
        }
        let actions = ask(&lookup);
        self.lookups.insert(id, lookup);
        (id, actions)
    }

    /// Handles a message of another process.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        match message {
            Message::Tell(records) => {
                records.iter().take(MAX_RECORDS).for_each(|it| self.on_told(now, from, it));
                Vec::new()
            }
            Message::Ask(wanted) => vec![send(from, self.answer(now, wanted))],
            Message::Known(record) => self.on_known(now, from, &record),
            Message::NotKnown { wanted, only } => self.on_not_known(now, from, wanted, only),
            Message::Conflict { key, keep_ms } => self.on_conflict(now, from, key, keep_ms),
        }
    }

    fn on_told(&mut self, now: Time, from: SocketAddr, record: &Record) {
        // A replica does not know the routers. At a router, a stranger must not end a stream.
        let is_trusted = self.is_replica || !self.has_members || self.members.contains(from);
        let known = self.table.get(now, record.key);
        let differs = matches!(known, Some(Entry::Known(it)) if it.origin != record.origin);
        if is_trusted || !differs {
            self.record(now, record);
            // Otherwise the teller has told replicas, too.
            let is_single = self.builds.only_one_ever(record.origin.service).is_some();
            if known.is_none() && is_single && !self.is_replica {
                self.table.set_untold(record.key, Untold::Held);
            }
        }
    }

    fn answer(&self, now: Time, wanted: Wanted) -> Message {
        match wanted.key.and_then(|it| Some((it, self.table.get(now, it)?))) {
            Some((_, Entry::Known(record))) => Message::Known(record),
            Some((key, Entry::Conflict { keep_ms })) => Message::Conflict { key, keep_ms },
            None => {
                let only = self.only_version(now, &wanted).ok();
                Message::NotKnown { wanted, only: only.map(|it| it.build) }
            }
        }
    }

    fn on_known(&mut self, now: Time, from: SocketAddr, record: &Record) -> Vec<Action> {
        let mut is_answer = false;
        for lookup in self.lookups.values_mut().filter(|it| it.wanted.key == Some(record.key)) {
            if lookup.record_answer(from, None) {
                is_answer = true;
                lookup.set_known(now, record.origin, Source::Peer(from));
            }
        }
        if !is_answer {
            return Vec::new();
        }
        // Another origin than that of an earlier answer is a conflict.
        self.record(now, record);
        self.end_lookups(now)
    }

    fn on_conflict(
        &mut self,
        now: Time,
        from: SocketAddr,
        key: StreamKey,
        keep_ms: u64,
    ) -> Vec<Action> {
        let mut is_answer = false;
        for lookup in self.lookups.values_mut().filter(|it| it.wanted.key == Some(key)) {
            is_answer |= lookup.record_answer(from, None);
        }
        // A router that is leaving hands its conflicts over.
        if is_answer || self.is_replica || self.members.contains(from) {
            if self.table.record_conflict(now, key, keep_ms) && !self.is_replica {
                self.due.push_back(key);
            }
            let lookups = self.lookups.values_mut().filter(|it| it.wanted.key == Some(key));
            lookups.for_each(|it| it.is_conflict = true);
        }
        self.end_lookups(now)
    }

    fn on_not_known(
        &mut self,
        now: Time,
        from: SocketAddr,
        wanted: Wanted,
        only: Option<BuildId>,
    ) -> Vec<Action> {
        let mut asking: SmallVec<[LookupId; 1]> = SmallVec::new();
        for (id, lookup) in self.lookups.iter_mut().filter(|it| it.1.wanted == wanted) {
            if lookup.record_answer(from, only) {
                asking.push(*id);
            }
        }
        for id in asking {
            self.shorten(now, id);
        }
        self.end_lookups(now)
    }

    /// Lets a lookup wait for silent routers only as long as a known origin does, once the lists of
    /// replicas prove what those could tell.
    fn shorten(&mut self, now: Time, id: LookupId) {
        let Some(lookup) = self.lookups.get(&id) else { return };
        let only = self.only_version(now, &lookup.wanted).ok();
        if only.is_none_or(|it| !lookup.is_confirmed(it.build, self.replicas.len())) {
            return;
        }
        if let Some(lookup) = self.lookups.get_mut(&id) {
            lookup.give_up_at = lookup.give_up_at.min(now + CONFIRM_MS * MILLISECOND);
        }
    }

    /// Ends the lookups that need no more answers.
    fn end_lookups(&mut self, now: Time) -> Vec<Action> {
        let ended: Vec<_> = self.lookups.extract_if(.., |_, it| it.is_ended()).collect();
        ended.iter().map(|(id, it)| resolve(*id, self.conclude(now, it))).collect()
    }

    /// Asks once more, and ends the lookups whose time is over.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let ended = self.lookups.extract_if(.., |_, it| it.give_up_at <= now);
        let ended: Vec<_> = ended.collect();
        let mut actions: Vec<_> =
            ended.iter().map(|(id, it)| resolve(*id, self.conclude(now, it))).collect();
        for lookup in self.lookups.values_mut().filter(|it| it.resend_at <= now) {
            lookup.resend_at = Time::NEVER;
            actions.extend(ask(lookup));
        }
        actions
    }

    /// Returns when [`Origins::tick`] must be called next.
    pub fn next_deadline(&self) -> Time {
        let deadlines = self.lookups.values().map(|it| it.resend_at.min(it.give_up_at));
        deadlines.min().unwrap_or(Time::NEVER)
    }

    /// Returns whether the own list of endpoints was confirmed lately.
    fn has_current_list(&self, now: Time) -> bool {
        self.builds.is_fresh(now, MAX_LIST_AGE_MS)
    }

    /// Returns the only origin that a stream can have by the own lists. The error is the time as of
    /// which they may prove it, or [`Time::NEVER`].
    fn only_version(&self, now: Time, wanted: &Wanted) -> Result<Origin, Time> {
        let service = wanted.service.filter(|_| self.has_current_list(now)).ok_or(Time::NEVER)?;
        let max_age = wanted.max_age_ms.min(MAX_KEEP_MS) * MILLISECOND;
        let from = now.0.checked_sub(max_age).map(Time);
        Ok(Origin { service, build: self.builds.only_one(from, service)? })
    }

    /// Returns the only origin that a stream can have by the lists of processes that were asked, and
    /// by the own ones since this router started.
    fn only_version_by_peer(&self, now: Time, lookup: &Lookup) -> Option<Origin> {
        // Routers that were not heard of yet may know of a newer version.
        let is_settled = self.is_settled(now);
        let (service, build) = lookup.wanted.service.zip(lookup.only())?;
        let agrees = self.builds.only_one_ever(service) == Some(build);
        (agrees && is_settled).then_some(Origin { service, build })
    }

    /// Returns whether the other routers were heard of, or had time to be.
    fn is_settled(&self, now: Time) -> bool {
        self.has_members || self.settles_at() <= now
    }

    /// Returns the result of a lookup that has ended.
    fn conclude(&self, now: Time, lookup: &Lookup) -> Resolution {
        let Wanted { key, max_age_ms, .. } = lookup.wanted;
        let known = lookup.known.map(|(origin, source)| Resolution::Known { origin, source });
        match key.and_then(|it| self.table.get(now, it)) {
            _ if lookup.is_conflict => return Resolution::Conflict,
            Some(Entry::Conflict { .. }) => return Resolution::Conflict,
            // A router that was not heard of yet may know that the id was used twice.
            _ if !self.is_settled(now) => return Resolution::Unknown { retry_ms: MIN_RETRY_MS },
            // The origin may have arrived from another router meanwhile.
            Some(Entry::Known(Record { origin, .. })) => {
                return known.unwrap_or(Resolution::Known { origin, source: Source::Own });
            }
            None => {}
        }
        if let Some(known) = known {
            return known;
        }
        let is_router_silent = lookup.is_router_silent();
        let own = self.only_version(now, &lookup.wanted);
        if key.is_some() && is_router_silent {
            // What a silent router may know else is the same version: an earlier use of the id, or
            // where the stream began.
            let retry_at = lookup.confirmed_at();
            return match own {
                Ok(origin) if lookup.is_confirmed(origin.build, self.replicas.len()) => {
                    Resolution::Known { origin, source: Source::OnlyVersion }
                }
                Ok(_) if lookup.started_at < retry_at && self.replicas.len() > 0 => {
                    Resolution::Unconfirmed { retry_at }
                }
                Ok(_) | Err(_) => Resolution::Unknown { retry_ms: MIN_RETRY_MS },
            };
        }
        let only = own.or_else(|err| self.only_version_by_peer(now, lookup).ok_or(err));
        match only {
            Ok(origin) => Resolution::Known { origin, source: Source::OnlyVersion },
            // Others may not be known here yet, or may answer later.
            Err(_)
                if self.settles_at() > now || is_router_silent || !self.has_current_list(now) =>
            {
                Resolution::Unknown { retry_ms: MIN_RETRY_MS }
            }
            Err(Time::NEVER) => Resolution::Unknown { retry_ms: max_age_ms.max(MIN_RETRY_MS) },
            Err(since) => {
                let max_age = max_age_ms.min(MAX_KEEP_MS) * MILLISECOND;
                let left_ms = (since + max_age).since(now).div_ceil(MILLISECOND);
                Resolution::Unknown { retry_ms: left_ms.max(MIN_RETRY_MS) }
            }
        }
    }
}

fn tell(records: &BTreeMap<SocketAddr, Vec<Record>>) -> impl Iterator<Item = Action> {
    records.iter().flat_map(|(to, records)| {
        records.chunks(MAX_RECORDS).map(|it| send(*to, Message::Tell(it.to_vec())))
    })
}

fn ask(lookup: &Lookup) -> Vec<Action> {
    let silent = lookup.asked.iter().filter(|it| it.is_silent);
    silent.map(|it| send(it.addr, Message::Ask(lookup.wanted))).collect()
}

fn send(to: SocketAddr, message: Message) -> Action {
    Action::Send { to, message }
}

fn resolve(lookup: LookupId, resolution: Resolution) -> Action {
    Action::Resolve { lookup, resolution }
}

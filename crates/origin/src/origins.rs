//! The origins of streams that a router keeps, tells, and asks for.

use {
    crate::{
        builds::Builds,
        members::Members,
        message::{Message, Origin, Record, Wanted},
        table::{MAX_KEEP_MS, Table},
    },
    derive_more::{Debug, Display},
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Time},
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The number of other routers that are told the origin of a stream.
const COPIES: usize = 2;

/// The maximum number of routers that are asked for an origin. It is more than are told, as routers
/// may know different members.
const MAX_ASKED: usize = 6;

/// When routers that have not answered are asked once more, in milliseconds after the first time.
const RESEND_MS: u64 = 60;

/// When a lookup ends without an answer of all that were asked, in milliseconds after its start.
const GIVE_UP_MS: u64 = 250;

/// The maximum number of origins in a message, so that it fits into a packet.
const MAX_RECORDS: usize = 32;

/// The maximum number of lookups at a time. Each waits for [`GIVE_UP_MS`] at most.
const MAX_LOOKUPS: usize = 4_096;

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
    /// Another router kept it.
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
}

/// What a router must do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Send a message to another router.
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

#[derive(Debug)]
struct Lookup {
    wanted: Wanted,
    /// The routers that were asked.
    asked: SmallVec<[SocketAddr; MAX_ASKED]>,
    /// Those of them that have not answered.
    silent: SmallVec<[SocketAddr; MAX_ASKED]>,
    /// The only version that can have begun the stream by the lists of a router that was asked.
    only: Option<BuildId>,
    /// When the silent ones are asked once more.
    resend_at: Time,
    give_up_at: Time,
}

/// The origins of streams, as one router knows them.
#[derive(Debug)]
pub struct Origins {
    members: Members,
    builds: Builds,
    table: Table,
    lookups: BTreeMap<LookupId, Lookup>,
    last_lookup: u64,
}

impl Origins {
    /// Returns the state of the router at `own`, which knows no other router yet.
    pub fn new(own: SocketAddr) -> Origins {
        Origins {
            members: Members::new(own, []),
            builds: Builds::default(),
            table: Table::default(),
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
    }

    /// Replaces the list of endpoints.
    pub fn update_endpoints(&mut self, now: Time, endpoints: &[ListedEndpoint]) {
        self.builds.update(now, endpoints);
    }

    /// Returns the number of origins kept.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a stream begins or goes on at an endpoint. The actions must be performed before
    /// the client gets an event.
    pub fn begin(&mut self, now: Time, record: Record) -> Vec<Action> {
        self.table.record(now, &record);
        let holders = self.members.ranked(record.key.0).take(COPIES);
        holders.map(|to| send(to, Message::Tell(vec![record]))).collect()
    }

    /// Hands the origins kept to other routers, as this one is leaving.
    pub fn leave(&self, now: Time) -> Vec<Action> {
        let mut by_holder: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in self.table.records(now) {
            for holder in self.members.ranked(record.key.0).take(COPIES) {
                by_holder.entry(holder).or_default().push(record);
            }
        }
        let chunks = by_holder.iter().flat_map(|(to, records)| {
            records.chunks(MAX_RECORDS).map(|it| send(*to, Message::Tell(it.to_vec())))
        });
        chunks.collect()
    }

    /// Looks up the origin of a stream. The lookup ends with an [`Action::Resolve`], at once or
    /// later.
    pub fn look_up(&mut self, now: Time, wanted: Wanted) -> (LookupId, Vec<Action>) {
        self.last_lookup += 1;
        let id = LookupId(self.last_lookup);
        let own = wanted.key.and_then(|it| self.table.get(now, it));
        if let Some(Record { origin, .. }) = own {
            return (id, vec![resolve(id, Resolution::Known { origin, source: Source::Own })]);
        }
        // Without a key, others can only add to what the own lists prove.
        let rank_key = match wanted.key {
            Some(key) => Some(key.0),
            None => wanted.service.filter(|_| self.only_version(now, &wanted).is_err()),
        };
        let ranked = rank_key.into_iter().flat_map(|it| self.members.ranked(it).take(MAX_ASKED));
        let asked: SmallVec<[SocketAddr; MAX_ASKED]> = ranked.collect();
        let lookup = Lookup {
            wanted,
            silent: asked.clone(),
            asked,
            only: None,
            resend_at: now + RESEND_MS * MILLISECOND,
            give_up_at: now + GIVE_UP_MS * MILLISECOND,
        };
        if lookup.silent.is_empty() || self.lookups.len() >= MAX_LOOKUPS {
            return (id, vec![resolve(id, self.conclude(now, &lookup))]);
        }
        let actions = ask(&lookup);
        self.lookups.insert(id, lookup);
        (id, actions)
    }

    /// Handles a message of another router.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        match message {
            Message::Tell(records) => {
                records.iter().take(MAX_RECORDS).for_each(|it| self.table.record(now, it));
                Vec::new()
            }
            Message::Ask(wanted) => {
                let known = wanted.key.and_then(|it| self.table.get(now, it));
                let only = || self.only_version(now, &wanted).ok().map(|it| it.build);
                let not_known = || Message::NotKnown { wanted, only: only() };
                vec![send(from, known.map_or_else(not_known, Message::Known))]
            }
            Message::Known(record) => self.on_known(now, from, &record),
            Message::NotKnown { wanted, only } => self.on_not_known(now, from, wanted, only),
        }
    }

    fn on_known(&mut self, now: Time, from: SocketAddr, record: &Record) -> Vec<Action> {
        let is_answered =
            |it: &Lookup| it.wanted.key == Some(record.key) && it.asked.contains(&from);
        let answered: Vec<_> =
            self.lookups.extract_if(.., |_, it| is_answered(it)).map(|it| it.0).collect();
        if answered.is_empty() {
            return Vec::new();
        }
        self.table.record(now, record);
        // An origin that this router learned meanwhile is the one that it goes by.
        let origin = self.table.get(now, record.key).map_or(record.origin, |it| it.origin);
        let resolution = Resolution::Known { origin, source: Source::Peer(from) };
        answered.into_iter().map(|it| resolve(it, resolution)).collect()
    }

    fn on_not_known(
        &mut self,
        now: Time,
        from: SocketAddr,
        wanted: Wanted,
        only: Option<BuildId>,
    ) -> Vec<Action> {
        let is_answered = |it: &&mut Lookup| it.wanted == wanted && it.asked.contains(&from);
        for lookup in self.lookups.values_mut().filter(is_answered) {
            lookup.silent.retain(|it| *it != from);
            lookup.only = lookup.only.or(only);
        }
        let is_ended =
            |it: &Lookup| it.silent.is_empty() || (it.wanted.key.is_none() && it.only.is_some());
        let ended: Vec<_> = self.lookups.extract_if(.., |_, it| is_ended(it)).collect();
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

    /// Returns the only origin that a stream can have by the own lists. The error is the time as of
    /// which they may prove it, or [`Time::NEVER`].
    fn only_version(&self, now: Time, wanted: &Wanted) -> Result<Origin, Time> {
        let service = wanted.service.ok_or(Time::NEVER)?;
        let max_age = wanted.max_age_ms.min(MAX_KEEP_MS) * MILLISECOND;
        let from = now.0.checked_sub(max_age).map(Time);
        Ok(Origin { service, build: self.builds.only_one(from, service)? })
    }

    /// Returns the only origin that a stream can have by the lists of a router that was asked, and
    /// by the own ones since this router started.
    fn only_version_by_peer(&self, lookup: &Lookup) -> Option<Origin> {
        let (service, build) = lookup.wanted.service.zip(lookup.only)?;
        let agrees = self.builds.only_one_ever(service) == Some(build);
        agrees.then_some(Origin { service, build })
    }

    /// Returns the result of a lookup that found nobody who knows the origin.
    fn conclude(&self, now: Time, lookup: &Lookup) -> Resolution {
        let Wanted { key, max_age_ms, .. } = lookup.wanted;
        // The origin may have arrived from another router meanwhile.
        if let Some(Record { origin, .. }) = key.and_then(|it| self.table.get(now, it)) {
            return Resolution::Known { origin, source: Source::Own };
        }
        // A silent router may keep the origin, or know of a version that is not listed here yet.
        if key.is_some() && !lookup.silent.is_empty() {
            return Resolution::Unknown { retry_ms: MIN_RETRY_MS };
        }
        let own = self.only_version(now, &lookup.wanted);
        let only = own.or_else(|err| self.only_version_by_peer(lookup).ok_or(err));
        match only {
            Ok(origin) => Resolution::Known { origin, source: Source::OnlyVersion },
            // Others may not be known here yet, or may answer later.
            Err(_) if !self.builds.is_older_than(now, SETTLE_MS) || !lookup.silent.is_empty() => {
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

fn ask(lookup: &Lookup) -> Vec<Action> {
    lookup.silent.iter().map(|to| send(*to, Message::Ask(lookup.wanted))).collect()
}

fn send(to: SocketAddr, message: Message) -> Action {
    Action::Send { to, message }
}

fn resolve(lookup: LookupId, resolution: Resolution) -> Action {
    Action::Resolve { lookup, resolution }
}

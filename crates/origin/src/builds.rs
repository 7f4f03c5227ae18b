//! The software versions of each service that were listed lately.

use {
    crate::table::MAX_KEEP_MS,
    derive_more::Debug,
    directory::{BuildId, ListedEndpoint},
    model::{MILLISECOND, Time, hash64},
    std::collections::{BTreeSet, HashMap},
};

/// The longest time between two confirmations of a list in which no version joins and leaves again, in milliseconds.
const MAX_GAP_MS: u64 = 5_000;

/// How long a process may go without running before it counts as having stood still, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// How long after it stood still a process may read messages that were sent before, in milliseconds.
const BACKLOG_MS: u64 = 1_000;

/// The versions listed since this process has had a list.
#[derive(Default, Debug)]
pub(crate) struct Builds {
    /// As of when the lists are complete: when the first one arrived, or the first one after a long gap.
    since: Option<Time>,
    /// When the current list was last known to be current.
    confirmed: Option<Time>,
    /// When the process last ran, if it says so.
    ran_at: Option<Time>,
    /// As of when messages that confirm the list are not from before the process stood still.
    trusted_from: Time,
    /// The versions of each service in the current list, by the hash of the service's name.
    listed: HashMap<u64, BTreeSet<BuildId>>,
    /// When versions that are not listed any more left.
    left: HashMap<u64, Vec<(BuildId, Time)>>,
}

impl Builds {
    /// Records a complete list. Returns whether versions changed.
    pub(crate) fn update(&mut self, now: Time, endpoints: &[ListedEndpoint]) -> bool {
        self.since.get_or_insert(now);
        let mut listed: HashMap<u64, BTreeSet<BuildId>> = HashMap::new();
        for endpoint in endpoints {
            let service = hash64(endpoint.service.as_bytes());
            listed.entry(service).or_default().insert(endpoint.build_id());
        }
        let before = std::mem::replace(&mut self.listed, listed);
        let changed = before != self.listed;
        for (service, builds) in before {
            let kept = self.listed.get(&service);
            let gone = builds.into_iter().filter(|it| !kept.is_some_and(|kept| kept.contains(it)));
            self.left.entry(service).or_default().extend(gone.map(|it| (it, now)));
        }
        self.left.retain(|_, it| {
            it.retain(|(_, at)| *at + MAX_KEEP_MS * MILLISECOND > now);
            !it.is_empty()
        });
        changed
    }

    /// Returns as of when the lists are complete.
    pub(crate) fn since(&self) -> Option<Time> {
        self.since
    }

    /// Records that the process runs.
    pub(crate) fn record_run(&mut self, now: Time) {
        if self.ran_at.is_some_and(|it| now > it + MAX_PAUSE_MS * MILLISECOND) {
            self.trusted_from = now + BACKLOG_MS * MILLISECOND;
        }
        self.ran_at = Some(now);
    }

    /// Records that the current list was current at `at`.
    pub(crate) fn confirm(&mut self, at: Time) {
        if at < self.trusted_from {
            return;
        }
        if self.confirmed.is_some_and(|it| at > it + MAX_GAP_MS * MILLISECOND) {
            // A version may have joined and left unseen, as before the first list.
            self.since = Some(at);
        }
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns whether the list was known to be current at most `ms` milliseconds ago.
    pub(crate) fn is_fresh(&self, now: Time, ms: u64) -> bool {
        self.confirmed.is_some_and(|it| now <= it + ms * MILLISECOND)
    }

    /// Returns the only version of a service that was listed since the first list.
    pub(crate) fn only_one_ever(&self, service: u64) -> Option<BuildId> {
        self.only_one(self.since, service).ok()
    }

    /// Returns the only version of a service that can have begun a stream after `from`. The error
    /// is the time as of which a list may prove it, or [`Time::NEVER`].
    pub(crate) fn only_one(&self, from: Option<Time>, service: u64) -> Result<BuildId, Time> {
        let since = self.since.ok_or(Time::NEVER)?;
        let mut listed = self.listed.get(&service).into_iter().flatten();
        let (Some(only), None) = (listed.next(), listed.next()) else { return Err(Time::NEVER) };
        let left = self.left.get(&service).into_iter().flatten().filter(|it| it.0 != *only);
        let last_change = left.map(|it| it.1).fold(since, Time::max);
        match from {
            Some(from) if last_change <= from => Ok(*only),
            _ => Err(last_change),
        }
    }
}

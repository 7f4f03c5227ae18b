//! The evidence and verdicts of one router.

use {
    crate::{
        evidence::{Crash, Evidence},
        message::{Message, Report},
        subject::Subject,
        verdict::{Verdict, Verdicts, convict},
    },
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time, hash64, mix2},
    smallvec::SmallVec,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// The maximum number of subjects with evidence.
const MAX_SUBJECTS: usize = 4_096;

/// The maximum number of parts whose last answer is remembered.
const MAX_ANSWERED: usize = 16_384;

/// How long a router waits for each one that goes before it to begin a trial, in microseconds. News
/// of a trial arrive sooner.
const TRIAL_STEP: u64 = SECOND;

/// How much longer the news of an answer waits per router, in microseconds. Most routers have an
/// answer to a prompt with a common part, and the first to tell silences the others.
const ANSWER_DELAY_PER_ROUTER: u64 = MILLISECOND;

/// The longest time that the news of an answer waits, in microseconds. It is part of the time that a
/// verdict waits for them.
const MAX_ANSWER_DELAY: u64 = 300 * MILLISECOND;

/// The maximum number of subjects in the evidence that routers compare.
const MAX_COMPARED: usize = 24;

/// The size of the reports in one message, in bytes, so that it fits into a packet.
const MAX_MESSAGE_BYTES: usize = 1_200;

/// Whether a request may be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It may be sent to find out whether the subject still crashes endpoints.
    Trial(Subject),
    /// It must wait, as the verdict is due.
    Undecided {
        /// When the verdict is due.
        until: Time,
    },
    /// It must not be sent.
    Blocked {
        /// The cause.
        subject: Subject,
        /// When a trial may begin.
        retry_at: Time,
    },
}

/// A verdict that began or ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// A subject is blocked from now on.
    Convicted(Subject, Verdict),
    /// A subject is no longer blocked.
    Released(Subject),
}

/// Collects evidence on requests that crash endpoints and decides which ones must not be sent.
#[derive(Debug)]
pub struct Quarantine {
    own: SocketAddr,
    members: Vec<SocketAddr>,
    table: HashMap<Subject, Evidence>,
    /// When requests with parts that have no evidence were last answered.
    answered: HashMap<Subject, Time>,
    verdicts: Verdicts,
    /// Whether the evidence has changed since the verdicts were derived.
    is_stale: bool,
    changes: Vec<Change>,
    /// The subjects whose evidence other routers are to be told, and when.
    news: BTreeMap<Subject, Time>,
}

impl Quarantine {
    /// Returns a quarantine without evidence, for the router at `own`.
    pub fn new(own: SocketAddr) -> Quarantine {
        Quarantine {
            own,
            members: Vec::new(),
            table: HashMap::new(),
            answered: HashMap::new(),
            verdicts: Verdicts { next_change: Time::NEVER, ..Verdicts::default() },
            is_stale: false,
            changes: Vec::new(),
            news: BTreeMap::new(),
        }
    }

    /// Replaces the list of routers.
    pub fn set_members<I>(&mut self, members: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        self.members = members.into_iter().collect();
    }

    /// Records that the run `incarnation` of an endpoint crashed at `at`, before it began to answer
    /// a request with these subjects. Returns whether that is new for any of them.
    pub fn record_crash(
        &mut self,
        now: Time,
        subjects: &[Subject],
        incarnation: u64,
        at: Time,
    ) -> bool {
        self.expire(now);
        let mut is_new = false;
        for subject in subjects {
            let evidence = self.evidence(*subject);
            if evidence.add_crash(Crash { incarnation, at }) {
                is_new = true;
                self.news.insert(*subject, now);
            }
        }
        self.is_stale |= is_new;
        is_new
    }

    /// Records that a request with these subjects was answered. Returns those whose crashes that
    /// contradicts.
    pub fn record_answer(&mut self, now: Time, subjects: &[Subject]) -> SmallVec<[Subject; 1]> {
        let mut cleared = SmallVec::new();
        for subject in subjects {
            if let Some(evidence) = self.table.get_mut(subject) {
                if evidence.add_answer(now) {
                    self.is_stale = true;
                    self.tell_answer(now, *subject);
                    cleared.push(*subject);
                }
            } else if matches!(subject, Subject::Part(_)) {
                if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(subject) {
                    drop_oldest_half(&mut self.answered);
                }
                self.answered.insert(*subject, now);
            }
        }
        cleared
    }

    /// Returns whether a request with these subjects may be sent now. It is not sent yet.
    pub fn check(&mut self, now: Time, subjects: &[Subject]) -> Admission {
        self.refresh(now);
        let convicted = subjects.iter().filter_map(|it| Some((*it, self.verdict(*it)?)));
        let last = convicted.max_by_key(|it| it.1.retry_at);
        let Some((subject, verdict)) = last else {
            let pending = subjects.iter().filter_map(|it| self.verdicts.pending.get(it));
            let until = pending.max().copied();
            return until.map_or(Admission::Allowed, |until| Admission::Undecided { until });
        };
        let trials = self.table.get(&subject).map_or(0, Evidence::trials);
        let retry_at = verdict.retry_at + self.rank(subject, trials).saturating_mul(TRIAL_STEP);
        if now >= retry_at {
            Admission::Trial(subject)
        } else {
            Admission::Blocked { subject, retry_at }
        }
    }

    /// Like [`Quarantine::check`], for a request that is sent at once if it may be.
    pub fn admit(&mut self, now: Time, subjects: &[Subject]) -> Admission {
        let admission = self.check(now, subjects);
        if matches!(admission, Admission::Trial(_)) {
            for subject in subjects.iter().filter(|it| self.verdicts.convicted.contains_key(it)) {
                if let Some(evidence) = self.table.get_mut(subject) {
                    evidence.begin_trial(now);
                    self.news.insert(*subject, now);
                }
            }
            self.is_stale = true;
        }
        admission
    }

    /// Returns the verdict on a subject, if it is convicted.
    pub fn verdict(&self, subject: Subject) -> Option<Verdict> {
        self.verdicts.convicted.get(&subject).copied()
    }

    /// Brings the verdicts up to date and returns what changed since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<Change> {
        self.refresh(now);
        std::mem::take(&mut self.changes)
    }

    /// Returns when [`Quarantine::take_changes`] must be called next.
    pub fn next_change(&self) -> Time {
        self.verdicts.next_change
    }

    /// Returns the messages that tell all other routers what is new.
    pub fn take_news(&mut self, now: Time) -> Vec<Message> {
        let due: Vec<_> = self.news.extract_if(.., |_, due_at| *due_at <= now).collect();
        let reports = due.iter().filter_map(|it| Some(self.table.get(&it.0)?.report(now, it.0)));
        pack(reports).map(Message::Tell).collect()
    }

    /// Returns when [`Quarantine::take_news`] must be called next.
    pub fn news_at(&self) -> Time {
        self.news.values().min().copied().unwrap_or(Time::NEVER)
    }

    fn tell_answer(&mut self, now: Time, subject: Subject) {
        let routers = self.members.len() as u64;
        let max_delay = (routers * ANSWER_DELAY_PER_ROUTER).min(MAX_ANSWER_DELAY);
        let key = mix2(subject.hash(), hash64(self.own.to_string().as_bytes()));
        let due_at = now + key % (max_delay + 1);
        self.news.entry(subject).and_modify(|it| *it = due_at.min(*it)).or_insert(due_at);
    }

    /// Returns the message by which this router compares its evidence with that of another one.
    pub fn ask(&mut self, now: Time) -> Message {
        self.expire(now);
        Message::Ask(self.digest())
    }

    /// Handles a message of another router. Returns the answer to it.
    pub fn receive(&mut self, now: Time, message: &Message) -> Option<Message> {
        match message {
            Message::Ask(digest) => (*digest != self.digest())
                .then(|| Message::Answer(self.digest(), self.compared_reports(now))),
            Message::Answer(digest, reports) => {
                self.merge(now, reports);
                (*digest != self.digest()).then(|| Message::Tell(self.compared_reports(now)))
            }
            Message::Tell(reports) => {
                self.merge(now, reports);
                None
            }
        }
    }

    fn merge(&mut self, now: Time, reports: &[Report]) {
        self.expire(now);
        for report in reports {
            let subject = report.subject;
            let merged = self.evidence(subject).merge(now, report);
            self.is_stale |= merged.is_changed;
            if merged.is_contradicted {
                self.tell_answer(now, subject);
            } else if report.answer.is_some() && self.news.get(&subject).is_some_and(|it| *it > now)
            {
                self.news.remove(&subject);
            }
        }
    }

    /// Returns the subjects that routers compare, those with the most crashes first.
    fn compared(&self) -> Vec<Subject> {
        let min_crashes = |it: Subject| match it {
            Subject::Request(_) => it.min_crashes(),
            Subject::Part(_) => 1,
        };
        let mut compared: Vec<_> = self
            .table
            .iter()
            .map(|(subject, evidence)| (Reverse(evidence.crashes().len()), *subject))
            .filter(|it| it.0.0 >= min_crashes(it.1))
            .collect();
        compared.sort_unstable();
        compared.into_iter().map(|it| it.1).take(MAX_COMPARED).collect()
    }

    fn digest(&self) -> u64 {
        let compared = self.compared();
        let evidence = compared.iter().filter_map(|it| Some((it, self.table.get(it)?)));
        evidence.fold(0, |digest, (subject, evidence)| mix2(digest, evidence.digest(*subject)))
    }

    fn compared_reports(&self, now: Time) -> Vec<Report> {
        let compared = self.compared();
        let reports = compared.iter().filter_map(|it| Some(self.table.get(it)?.report(now, *it)));
        pack(reports).next().unwrap_or_default()
    }

    fn evidence(&mut self, subject: Subject) -> &mut Evidence {
        if self.table.len() >= MAX_SUBJECTS && !self.table.contains_key(&subject) {
            self.drop_weakest();
        }
        let answered = &mut self.answered;
        self.table.entry(subject).or_insert_with(|| {
            let mut evidence = Evidence::default();
            if let Some(at) = answered.remove(&subject) {
                evidence.add_answer(at);
            }
            evidence
        })
    }

    /// Drops a quarter of the subjects, those with the fewest and oldest crashes.
    fn drop_weakest(&mut self) {
        let strength = |it: &Evidence| (it.crashes().len(), it.expires_at());
        let mut ranked: Vec<_> = self.table.iter().map(|it| (strength(it.1), *it.0)).collect();
        ranked.sort_unstable();
        for (_, subject) in ranked.into_iter().take(MAX_SUBJECTS / 4) {
            self.table.remove(&subject);
        }
        self.is_stale = true;
    }

    fn expire(&mut self, now: Time) {
        let before = self.table.len();
        self.table.retain(|_, it| now < it.expires_at());
        self.is_stale |= self.table.len() < before;
    }

    fn refresh(&mut self, now: Time) {
        if !self.is_stale && now < self.verdicts.next_change {
            return;
        }
        self.is_stale = false;
        let verdicts = convict(now, &self.table);
        let old = std::mem::replace(&mut self.verdicts, verdicts).convicted;
        let new = &self.verdicts.convicted;
        let convicted = new.iter().filter(|it| !old.contains_key(it.0));
        self.changes.extend(convicted.map(|it| Change::Convicted(*it.0, *it.1)));
        let released = old.keys().filter(|it| !new.contains_key(it));
        self.changes.extend(released.map(|it| Change::Released(*it)));
    }

    /// Returns how many routers go before this one in the order in which they try a subject. Each
    /// trial has another order.
    fn rank(&self, subject: Subject, trials: u32) -> u64 {
        let key = mix2(subject.hash(), u64::from(trials));
        let score = |it: &SocketAddr| mix2(key, hash64(it.to_string().as_bytes()));
        let own = score(&self.own);
        self.members.iter().filter(|it| score(it) > own).count() as u64
    }
}

/// Divides reports among messages.
fn pack<I>(reports: I) -> impl Iterator<Item = Vec<Report>>
where
    I: Iterator<Item = Report>,
{
    let mut reports = reports.peekable();
    std::iter::from_fn(move || {
        let mut packed = vec![reports.next()?];
        let mut bytes = packed[0].encoded_len();
        while let Some(next) = reports.next_if(|it| bytes + it.encoded_len() <= MAX_MESSAGE_BYTES) {
            bytes += next.encoded_len();
            packed.push(next);
        }
        Some(packed)
    })
}

fn drop_oldest_half(answered: &mut HashMap<Subject, Time>) {
    let mut times: Vec<_> = answered.values().copied().collect();
    times.sort_unstable();
    let median = times[times.len() / 2];
    answered.retain(|_, at| *at > median);
}

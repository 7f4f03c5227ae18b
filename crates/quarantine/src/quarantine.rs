//! The evidence and verdicts of one router.

use {
    crate::{
        answered::Answered,
        crashed_prompts::CrashedPrompts,
        evidence::{Crash, Evidence, age_ms},
        message::{Message, Report, pack},
        subject::Subject,
        verdict::{Verdict, Verdicts, convict},
    },
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time, hash64, mix, mix2},
    smallvec::SmallVec,
    std::{
        borrow::Borrow,
        cmp::Reverse,
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        net::SocketAddr,
    },
};

/// The maximum number of subjects with evidence.
const MAX_SUBJECTS: usize = 4_096;

/// The maximum number of parts of a prompt whose evidence is told part by part. Of longer ones
/// only the ids are told, to a few routers.
const MAX_TOLD_PARTS: usize = 64;

/// The number of other routers that are told the parts of long prompts under which an endpoint
/// crashed. They find the parts that several crashes have in common.
const COLLECTORS: usize = 6;

/// The maximum number of parts that become subjects at a time, those with the most crashes first.
/// Others follow when some of them are answered, or with the next crash.
const MAX_ADDED_SUBJECTS: usize = 256;

/// The maximum number of parts in a message, so that it fits into a packet.
const MAX_MESSAGE_PARTS: usize = 130;

/// The maximum number of messages of parts that wait to be sent, those of the largest crash.
const MAX_WAITING_MESSAGES: usize = 1_024;

/// The maximum number of messages of parts that a router is sent at a time.
const MAX_PARTS_MESSAGES: usize = 8;

/// The maximum number of messages of evidence that are sent at a time.
const MAX_NEWS_MESSAGES: usize = 16;

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
    answered: Answered,
    /// The parts of long prompts under which endpoints crashed.
    prompts: CrashedPrompts,
    /// Whether parts may have been in several crashes and are no subjects yet.
    may_repeat: bool,
    verdicts: Verdicts,
    /// Whether the evidence has changed since the verdicts were derived.
    is_stale: bool,
    changes: Vec<Change>,
    /// The subjects whose evidence other routers are to be told, and when.
    news: BTreeMap<Subject, Time>,
    /// The parts of long prompts that collectors are to be told, with their crashes.
    parts_news: VecDeque<(Crash, Vec<u64>)>,
}

impl Quarantine {
    /// Returns a quarantine without evidence, for the router at `own`.
    pub fn new(own: SocketAddr) -> Quarantine {
        Quarantine {
            own,
            members: Vec::new(),
            table: HashMap::new(),
            answered: Answered::default(),
            prompts: CrashedPrompts::default(),
            may_repeat: false,
            verdicts: Verdicts { next_change: Time::NEVER, ..Verdicts::default() },
            is_stale: false,
            changes: Vec::new(),
            news: BTreeMap::new(),
            parts_news: VecDeque::new(),
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
    pub fn record_crash<I>(&mut self, now: Time, subjects: I, incarnation: u64, at: Time) -> bool
    where
        I: IntoIterator<Item: Borrow<Subject>> + Clone,
    {
        self.expire(now);
        let crash = Crash { incarnation, at };
        let all = || copied(subjects.clone());
        let is_long = all().filter_map(Subject::part).nth(MAX_TOLD_PARTS).is_some();
        let mut is_new = false;
        for subject in all().filter(|it| !is_long || it.part().is_none()) {
            is_new |= self.add_crash(now, subject, crash);
        }
        if is_long {
            let new = self.add_prompt(now, crash, all().filter_map(Subject::part));
            is_new |= !new.is_empty();
            self.tell_parts(crash, &new);
        }
        is_new
    }

    /// Records that a request with these subjects was answered. Returns those whose crashes that
    /// contradicts.
    pub fn record_answer<I>(&mut self, now: Time, subjects: I) -> SmallVec<[Subject; 1]>
    where
        I: IntoIterator<Item: Borrow<Subject>>,
    {
        let mut cleared = SmallVec::new();
        let mut parts: SmallVec<[u64; 16]> = SmallVec::new();
        for subject in copied(subjects) {
            if let Some(evidence) = self.table.get_mut(&subject) {
                if evidence.add_answer(now) {
                    self.is_stale = true;
                    self.may_repeat |= !self.prompts.is_empty();
                    self.tell_answer(now, subject);
                    cleared.push(subject);
                }
            } else if let Some(part) = subject.part() {
                parts.push(part);
            }
        }
        let prompts = &self.prompts;
        self.answered.record(now, parts, |it| prompts.contains(it));
        cleared
    }

    /// Returns whether a request with these subjects may be sent now. It is not sent yet.
    pub fn check<I>(&mut self, now: Time, subjects: I) -> Admission
    where
        I: IntoIterator<Item: Borrow<Subject>> + Clone,
    {
        self.refresh(now);
        if self.verdicts.convicted.is_empty() && self.verdicts.pending.is_empty() {
            return Admission::Allowed;
        }
        let all = || copied(subjects.clone());
        let convicted = all().filter_map(|it| Some((it, self.verdict(it)?)));
        let last = convicted.max_by_key(|it| it.1.retry_at);
        let Some((subject, verdict)) = last else {
            let until = all().filter_map(|it| self.verdicts.pending.get(&it)).max().copied();
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
    pub fn admit<I>(&mut self, now: Time, subjects: I) -> Admission
    where
        I: IntoIterator<Item: Borrow<Subject>> + Clone,
    {
        let admission = self.check(now, subjects.clone());
        if matches!(admission, Admission::Trial(_)) {
            for subject in copied(subjects).filter(|it| self.verdicts.convicted.contains_key(it)) {
                if let Some(evidence) = self.table.get_mut(&subject) {
                    evidence.begin_trial(now);
                    self.news.insert(subject, now);
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

    /// Returns the messages that tell all other routers what is new. More may be left for the next
    /// call.
    pub fn take_news(&mut self, now: Time) -> Vec<Message> {
        self.add_repeated(now);
        let due = self.news.iter().filter(|it| *it.1 <= now).map(|it| *it.0);
        let crashes = |it: &Subject| self.table.get(it).map_or(0, |it| it.crashes().len());
        let mut due: Vec<_> = due.map(|it| (Reverse(crashes(&it)), it)).collect();
        due.sort_unstable();
        let reports = due.iter().filter_map(|it| Some(self.table.get(&it.1)?.report(now, it.1)));
        let messages: Vec<_> = pack(reports).take(MAX_NEWS_MESSAGES).collect();
        let told: HashSet<_> = messages.iter().flatten().map(|it| it.subject).collect();
        let is_all = messages.len() < MAX_NEWS_MESSAGES;
        self.news.retain(|it, due_at| *due_at > now || !(is_all || told.contains(it)));
        messages.into_iter().map(Message::Tell).collect()
    }

    /// Returns the messages that tell some other routers the parts of long prompts under which
    /// endpoints crashed, and these routers. More may be left for the next call.
    pub fn take_parts(&mut self, now: Time) -> (Vec<SocketAddr>, Vec<Message>) {
        let messages = self.parts_news.len().min(MAX_PARTS_MESSAGES);
        let messages = self.parts_news.drain(..messages).map(|(crash, parts)| Message::Crashed {
            incarnation: crash.incarnation,
            age_ms: age_ms(now, crash.at),
            parts,
        });
        (collectors(self.own, &self.members), messages.collect())
    }

    /// Returns when [`Quarantine::take_news`] and [`Quarantine::take_parts`] must be called next.
    pub fn news_at(&self) -> Time {
        let has_parts = self.may_repeat || !self.parts_news.is_empty();
        let parts_at = if has_parts { Time(0) } else { Time::NEVER };
        self.news.values().min().copied().unwrap_or(Time::NEVER).min(parts_at)
    }

    /// Adds a crash to the evidence on a subject. Returns whether it is new.
    fn add_crash(&mut self, now: Time, subject: Subject, crash: Crash) -> bool {
        let is_new = self.evidence(now, subject).add_crash(crash);
        if is_new {
            self.is_stale = true;
            self.news.insert(subject, now);
        }
        is_new
    }

    /// Adds the parts of a long prompt under which an endpoint crashed. Returns those that are new for
    /// that crash.
    fn add_prompt<I>(&mut self, now: Time, crash: Crash, parts: I) -> Vec<u64>
    where
        I: IntoIterator<Item = u64>,
    {
        let new = self.prompts.add(crash, parts);
        for subject in new.iter().map(|it| Subject::Part(*it)) {
            if self.table.contains_key(&subject) {
                self.add_crash(now, subject, crash);
            }
        }
        self.may_repeat |= !new.is_empty();
        new
    }

    /// Makes subjects of the parts of long prompts that were in several crashes.
    fn add_repeated(&mut self, now: Time) {
        if !std::mem::take(&mut self.may_repeat) {
            return;
        }
        let mut repeated = self.prompts.repeated(|it| self.answered.get(it));
        repeated.retain(|it| !self.table.contains_key(&Subject::Part(it.1)));
        // Routers choose the same ones among those with as many crashes.
        repeated.sort_unstable_by_key(|it| (Reverse(it.0), mix(it.1)));
        for (_, part) in repeated.into_iter().take(MAX_ADDED_SUBJECTS) {
            self.evidence(now, Subject::Part(part));
        }
    }

    /// Queues parts to be told to collectors.
    fn tell_parts(&mut self, crash: Crash, parts: &[u64]) {
        let messages = parts.chunks(MAX_MESSAGE_PARTS).map(|it| (crash, it.to_vec()));
        self.parts_news.extend(messages);
        let excess = self.parts_news.len().saturating_sub(MAX_WAITING_MESSAGES);
        self.parts_news.drain(..excess);
    }

    /// Returns the number of subjects with evidence, and of the parts of long prompts that are kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.prompts.len())
    }

    fn tell_answer(&mut self, now: Time, subject: Subject) {
        let routers = self.members.len() as u64;
        let max_delay = (routers * ANSWER_DELAY_PER_ROUTER).min(MAX_ANSWER_DELAY);
        // The same for all subjects, so that one router tells the answers to all parts of a prompt.
        let due_at = now + hash64(self.own.to_string().as_bytes()) % (max_delay + 1);
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
            Message::Crashed { incarnation, age_ms, parts } => {
                self.expire(now);
                let at = now.saturating_sub(u64::from(*age_ms) * MILLISECOND);
                let crash = Crash { incarnation: *incarnation, at };
                self.add_prompt(now, crash, parts.iter().copied());
                None
            }
        }
    }

    fn merge(&mut self, now: Time, reports: &[Report]) {
        self.expire(now);
        for report in reports {
            let subject = report.subject;
            let merged = self.evidence(now, subject).merge(now, report);
            self.is_stale |= merged.is_changed;
            let is_answered = merged.is_changed && report.answer.is_some();
            self.may_repeat |= is_answered && !self.prompts.is_empty();
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

    fn evidence(&mut self, now: Time, subject: Subject) -> &mut Evidence {
        if self.table.len() >= MAX_SUBJECTS && !self.table.contains_key(&subject) {
            self.drop_weakest();
        }
        let (answered, prompts) = (&mut self.answered, &self.prompts);
        let (news, is_stale) = (&mut self.news, &mut self.is_stale);
        self.table.entry(subject).or_insert_with(|| {
            let mut evidence = Evidence::default();
            let Some(part) = subject.part() else { return evidence };
            if let Some(at) = answered.remove(part) {
                evidence.add_answer(at);
            }
            for crash in prompts.crashes(part) {
                if evidence.add_crash(crash) {
                    *is_stale = true;
                    news.insert(subject, now);
                }
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
        self.prompts.expire(now);
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

fn copied<I>(subjects: I) -> impl Iterator<Item = Subject>
where
    I: IntoIterator<Item: Borrow<Subject>>,
{
    subjects.into_iter().map(|it| *Borrow::<Subject>::borrow(&it))
}

/// Returns the routers that are told the parts of long prompts, by a hash of their addresses so that
/// all choose the same ones.
fn collectors(own: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
    let others = members.iter().filter(|it| **it != own);
    let mut ranked: Vec<_> = others.map(|it| (hash64(it.to_string().as_bytes()), *it)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|it| it.1).take(COLLECTORS).collect()
}

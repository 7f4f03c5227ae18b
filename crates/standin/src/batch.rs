//! Continuous batching as a state machine: each step computes some prompt tokens and one token of every running job.

use {
    crate::{
        cache::PrefixCache,
        chat::{Message, PrefixBlock, next_hash},
        completion::Completion,
    },
    derive_more::Debug,
    std::collections::BTreeMap,
};

/// Identifies a job of one engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// What an engine computes at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BatchLimits {
    /// Jobs that run at once.
    pub jobs: usize,
    /// Prompt tokens computed in one step, over all jobs.
    pub prefill: u32,
}

/// One request as the engine computes it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request id.
    pub request: String,
    /// The attempt that this job serves.
    pub attempt: u32,
    /// Higher goes first.
    pub priority: u8,
    /// What to answer.
    pub answer: Completion,
    /// The prefixes of its prompt.
    pub chain: Vec<PrefixBlock>,
    /// The byte of the answer at which to begin.
    pub offset: u64,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
}

/// What a step did.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StepEvent {
    /// The next bytes of a job's answer.
    Bytes {
        /// The job.
        job: JobId,
        /// The bytes; never empty.
        bytes: String,
    },
    /// A job is done.
    Done {
        /// The job.
        job: JobId,
        /// Its request.
        request: String,
        /// Tokens now held for its chat.
        stored: u64,
        /// Tokens evicted for them.
        evicted: u64,
    },
    /// A job crashed the engine.
    Crash,
}

#[derive(Debug)]
struct Running {
    job: Job,
    prefill: u32,
    cached: u32,
    /// Parts produced: the head is part 0, token n part n + 1.
    parts: u32,
    /// Bytes of the answer still to pass over.
    skip: u64,
}

/// The jobs of one engine.
#[derive(Debug)]
pub struct Batch {
    limits: BatchLimits,
    next: u64,
    waiting: BTreeMap<(u8, u64), Job>,
    running: BTreeMap<JobId, Running>,
}

impl Batch {
    /// Returns a batch without jobs.
    pub fn new(limits: BatchLimits) -> Batch {
        Batch { limits, next: 0, waiting: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Queues a job; higher priorities go first, then earlier jobs.
    pub fn submit(&mut self, job: Job) -> JobId {
        self.next += 1;
        self.waiting.insert((u8::MAX - job.priority, self.next), job);
        JobId(self.next)
    }

    /// Gives up a job.
    pub fn cancel(&mut self, id: JobId) {
        self.running.remove(&id);
        self.waiting.retain(|(_, seq), _| *seq != id.0);
    }

    /// Gives up the jobs of a request, or those of one attempt, and returns them.
    pub fn cancel_request(&mut self, request: &str, attempt: Option<u32>) -> Vec<JobId> {
        let fits = |job: &Job| job.request == request && attempt.is_none_or(|it| it == job.attempt);
        let waiting = self.waiting.iter().filter(|(_, job)| fits(job)).map(|(key, _)| JobId(key.1));
        let running = self.running.iter().filter(|(_, it)| fits(&it.job)).map(|(id, _)| *id);
        let found: Vec<JobId> = waiting.chain(running).collect();
        found.iter().for_each(|it| self.cancel(*it));
        found
    }

    /// Gives up all jobs.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Returns whether there is nothing to compute.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of jobs, waiting ones included.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.is_idle()
    }

    /// Returns the number of jobs that run.
    pub fn active(&self) -> usize {
        self.running.len()
    }

    /// Returns the tokens still to compute.
    pub fn work(&self) -> u64 {
        let waiting = self.waiting.values().map(|it| {
            let prompt = u64::from(it.answer.prompt());
            prompt + u64::from(it.answer.tokens())
        });
        let running = self.running.values().map(|it| {
            let left = it.job.answer.tokens().saturating_sub(it.parts.saturating_sub(1));
            u64::from(it.prefill) + u64::from(left)
        });
        waiting.chain(running).sum()
    }

    /// Computes one step.
    pub fn step(&mut self, cache: &mut PrefixCache) -> Vec<StepEvent> {
        self.start(cache);
        if self.running.values().any(|it| it.job.poison) {
            return vec![StepEvent::Crash];
        }
        let mut budget = self.limits.prefill;
        let mut out = Vec::new();
        for (id, running) in &mut self.running {
            let computed = running.prefill.min(budget);
            running.prefill -= computed;
            budget -= computed;
            if running.prefill == 0 {
                out.extend(running.produce().map(|bytes| StepEvent::Bytes { job: *id, bytes }));
            }
        }
        self.finish(cache, &mut out);
        out
    }

    fn start(&mut self, cache: &PrefixCache) {
        while self.running.len() < self.limits.jobs {
            let Some(((_, seq), job)) = self.waiting.pop_first() else { return };
            self.running.insert(JobId(seq), Running::new(job, cache));
        }
    }

    fn finish(&mut self, cache: &mut PrefixCache, out: &mut Vec<StepEvent>) {
        let done: Vec<JobId> =
            self.running.iter().filter(|(_, it)| it.is_done()).map(|(id, _)| *id).collect();
        for id in done {
            let Some(running) = self.running.remove(&id) else { continue };
            let chain = running.job.whole_chain();
            let stored = chain.iter().map(|it| u64::from(it.1)).sum();
            let evicted = cache.store(&chain);
            out.push(StepEvent::Done { job: id, request: running.job.request, stored, evicted });
        }
    }
}

impl Job {
    /// Returns the chain of the prompt and the answer, which the next turn of the chat will begin with.
    fn whole_chain(&self) -> Vec<PrefixBlock> {
        let mut chain = self.chain.clone();
        let mut hash = chain.last().map_or(0, |it| it.0);
        let answer = Message { role: "assistant".to_owned(), content: self.answer.text() };
        chain.push((next_hash(&mut hash, &answer), self.answer.tokens()));
        chain
    }
}

impl Running {
    fn new(job: Job, cache: &PrefixCache) -> Running {
        let cached = cache.cached(&job.chain);
        let mut running = Running { prefill: 0, cached, parts: 0, skip: job.offset, job };
        let known = running.pass_over();
        let prompt = running.job.answer.prompt() - cached.min(running.job.answer.prompt());
        running.prefill = (prompt + known).max(1);
        running
    }

    /// Passes over the parts that the caller has whole and returns how many tokens they hold.
    fn pass_over(&mut self) -> u32 {
        while self.parts <= self.job.answer.tokens() {
            let bytes = self.part(self.parts).len() as u64;
            if bytes > self.skip {
                break;
            }
            self.skip -= bytes;
            self.parts += 1;
        }
        self.parts.saturating_sub(1)
    }

    fn is_done(&self) -> bool {
        self.parts > self.job.answer.tokens() && self.prefill == 0
    }

    /// Returns the bytes that this step adds; the head goes out with the first token, the tail with the last.
    fn produce(&mut self) -> Option<String> {
        let tokens = self.job.answer.tokens();
        let mut bytes = String::new();
        if self.parts == 0 {
            bytes += &self.part(0);
            self.parts = 1;
        }
        if self.parts <= tokens {
            bytes += &self.part(self.parts);
            self.parts += 1;
        }
        if self.parts > tokens {
            bytes += &self.job.answer.tail(self.cached);
        }
        let passed = self.skip.min(bytes.len() as u64);
        self.skip -= passed;
        let rest = bytes.split_off(passed as usize);
        (!rest.is_empty()).then_some(rest)
    }

    fn part(&self, part: u32) -> String {
        match part.checked_sub(1) {
            None => self.job.answer.head(),
            Some(index) => self.job.answer.part(index),
        }
    }
}

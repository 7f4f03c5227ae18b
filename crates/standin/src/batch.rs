//! Continuous batching as a state machine: each step prefills some prompt tokens and decodes one token per running job.

use {
    crate::{
        cache::PrefixCache,
        chat::{Message, PrefixBlock, next_hash},
        completion::Completion,
    },
    derive_more::Debug,
    std::collections::BTreeMap,
};

/// Identifies a job within one engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// Limits on the work of one step.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BatchLimits {
    /// Maximum number of concurrently running jobs.
    pub jobs: usize,
    /// Maximum number of prompt tokens computed per step, over all jobs.
    pub prefill: u32,
}

/// One attempt of a request, queued or running on an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request id.
    pub request: String,
    /// The attempt number.
    pub attempt: u32,
    /// Jobs with a higher priority start first.
    pub priority: u8,
    /// The response to generate.
    pub completion: Completion,
    /// The prefix blocks of its prompt.
    pub chain: Vec<PrefixBlock>,
    /// The byte offset in the response at which to start.
    pub offset: u64,
    /// Whether running this job crashes the engine.
    pub poison: bool,
}

/// An event produced by a step.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StepEvent {
    /// The next bytes of a job's response.
    Bytes {
        /// The job.
        job: JobId,
        /// The bytes, never empty.
        bytes: String,
    },
    /// A job finished.
    Done {
        /// The job.
        job: JobId,
        /// The request id.
        request: String,
        /// Tokens now cached for the chat.
        stored: u64,
        /// Tokens evicted to make room for them.
        evicted: u64,
    },
    /// A job crashed the engine.
    Crash,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    prefill_left: u32,
    cached: u32,
    /// Number of parts produced. The head is part 0, token n is part n + 1.
    parts_sent: u32,
    /// Bytes of the response still to skip, because the caller already has them.
    skip_bytes: u64,
}

/// The queued and running jobs of one engine.
#[derive(Debug)]
pub struct Batch {
    limits: BatchLimits,
    next: u64,
    waiting: BTreeMap<(u8, u64), Job>,
    running: BTreeMap<JobId, RunningJob>,
}

impl Batch {
    /// Returns an empty batch.
    pub fn new(limits: BatchLimits) -> Batch {
        Batch { limits, next: 0, waiting: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Queues a job. Jobs start by descending priority, then in order of submission.
    pub fn submit(&mut self, job: Job) -> JobId {
        self.next += 1;
        self.waiting.insert((u8::MAX - job.priority, self.next), job);
        JobId(self.next)
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId) {
        self.running.remove(&id);
        self.waiting.retain(|(_, seq), _| *seq != id.0);
    }

    /// Cancels all jobs of a request, or only those of one attempt, and returns their ids.
    pub fn cancel_request(&mut self, request: &str, attempt: Option<u32>) -> Vec<JobId> {
        let matches =
            |job: &Job| job.request == request && attempt.is_none_or(|it| it == job.attempt);
        let waiting =
            self.waiting.iter().filter(|(_, job)| matches(job)).map(|(key, _)| JobId(key.1));
        let running = self.running.iter().filter(|(_, it)| matches(&it.job)).map(|(id, _)| *id);
        let found: Vec<JobId> = waiting.chain(running).collect();
        found.iter().for_each(|it| self.cancel(*it));
        found
    }

    /// Cancels all jobs.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Returns whether no job is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of queued and running jobs.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns whether there are no jobs; the same as [`Batch::is_idle`].
    pub fn is_empty(&self) -> bool {
        self.is_idle()
    }

    /// Returns the number of running jobs.
    pub fn active(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of prompt and completion tokens still to compute.
    pub fn work(&self) -> u64 {
        let waiting = self.waiting.values().map(|it| {
            let prompt = u64::from(it.completion.prompt_tokens());
            prompt + u64::from(it.completion.completion_tokens())
        });
        let running = self.running.values().map(|it| {
            let left = it
                .job
                .completion
                .completion_tokens()
                .saturating_sub(it.parts_sent.saturating_sub(1));
            u64::from(it.prefill_left) + u64::from(left)
        });
        waiting.chain(running).sum()
    }

    /// Runs one step.
    pub fn step(&mut self, cache: &mut PrefixCache) -> Vec<StepEvent> {
        self.start_waiting(cache);
        if self.running.values().any(|it| it.job.poison) {
            return vec![StepEvent::Crash];
        }
        let mut budget = self.limits.prefill;
        let mut out = Vec::new();
        for (id, running) in &mut self.running {
            let computed = running.prefill_left.min(budget);
            running.prefill_left -= computed;
            budget -= computed;
            if running.prefill_left == 0 {
                out.extend(running.next_bytes().map(|bytes| StepEvent::Bytes { job: *id, bytes }));
            }
        }
        self.finish_done(cache, &mut out);
        out
    }

    fn start_waiting(&mut self, cache: &PrefixCache) {
        while self.running.len() < self.limits.jobs {
            let Some(((_, seq), job)) = self.waiting.pop_first() else { return };
            self.running.insert(JobId(seq), RunningJob::new(job, cache));
        }
    }

    fn finish_done(&mut self, cache: &mut PrefixCache, out: &mut Vec<StepEvent>) {
        let done: Vec<JobId> =
            self.running.iter().filter(|(_, it)| it.is_done()).map(|(id, _)| *id).collect();
        for id in done {
            let Some(running) = self.running.remove(&id) else { continue };
            let chain = running.job.full_chain();
            let stored = chain.iter().map(|it| u64::from(it.1)).sum();
            let evicted = cache.store(&chain);
            out.push(StepEvent::Done { job: id, request: running.job.request, stored, evicted });
        }
    }
}

impl Job {
    /// Returns the prefix chain of the prompt and the response, which the next turn of the chat starts with.
    fn full_chain(&self) -> Vec<PrefixBlock> {
        let mut chain = self.chain.clone();
        let mut hash = chain.last().map_or(0, |it| it.0);
        let response = Message { role: "assistant".to_owned(), content: self.completion.text() };
        chain.push((next_hash(&mut hash, &response), self.completion.completion_tokens()));
        chain
    }
}

impl RunningJob {
    fn new(job: Job, cache: &PrefixCache) -> RunningJob {
        let cached = cache.cached(&job.chain);
        let mut running =
            RunningJob { prefill_left: 0, cached, parts_sent: 0, skip_bytes: job.offset, job };
        let resumed = running.skip_received_parts();
        let prompt = running.job.completion.prompt_tokens()
            - cached.min(running.job.completion.prompt_tokens());
        running.prefill_left = (prompt + resumed).max(1);
        running
    }

    /// Skips the parts that the caller has received completely and returns how many tokens they contain.
    fn skip_received_parts(&mut self) -> u32 {
        while self.parts_sent <= self.job.completion.completion_tokens() {
            let bytes = self.part(self.parts_sent).len() as u64;
            if bytes > self.skip_bytes {
                break;
            }
            self.skip_bytes -= bytes;
            self.parts_sent += 1;
        }
        self.parts_sent.saturating_sub(1)
    }

    fn is_done(&self) -> bool {
        self.parts_sent > self.job.completion.completion_tokens() && self.prefill_left == 0
    }

    /// Returns the bytes that this step adds. The head is sent with the first token, the tail with the last.
    fn next_bytes(&mut self) -> Option<String> {
        let tokens = self.job.completion.completion_tokens();
        let mut bytes = String::new();
        if self.parts_sent == 0 {
            bytes += &self.part(0);
            self.parts_sent = 1;
        }
        if self.parts_sent <= tokens {
            bytes += &self.part(self.parts_sent);
            self.parts_sent += 1;
        }
        if self.parts_sent > tokens {
            bytes += &self.job.completion.tail(self.cached);
        }
        let skipped = self.skip_bytes.min(bytes.len() as u64);
        self.skip_bytes -= skipped;
        let rest = bytes.split_off(skipped as usize);
        (!rest.is_empty()).then_some(rest)
    }

    fn part(&self, part: u32) -> String {
        match part.checked_sub(1) {
            None => self.job.completion.head(),
            Some(index) => self.job.completion.part(index),
        }
    }
}

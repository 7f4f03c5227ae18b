//! Generates the requests of multi-turn chats from a fixed seed, so that every policy gets the same
//! ones.

use model::{SECOND, mix};

/// One request of a chat. The prompt contains the earlier turns and a new message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: u64,
    pub(crate) chat: u64,
    pub(crate) prompt: u32,
    pub(crate) output: u32,
    /// When the chat sends its next request, or `u64::MAX` if this is the last one.
    pub(crate) next_at: u64,
}

/// The workload of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    pub(crate) engines: u32,
    pub(crate) routers: u32,
    pub(crate) domains: u32,
    /// The size of each engine's prompt cache, in tokens.
    pub(crate) cache: u64,
    /// The number of chats that begin each second.
    pub(crate) chats_per_second: f64,
    /// One of this many chats begins with a large file.
    pub(crate) one_in_large: u64,
    /// The number of tokens in a large file.
    pub(crate) large_prompt: u64,
}

/// A random number generator with a fixed seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 += 1;
        mix(self.0) % limit.max(1)
    }

    /// Returns an exponentially distributed time in microseconds, with `mean` in seconds.
    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform = (self.below(1 << 32) as f64 + 1.0) / (1_u64 << 32) as f64;
        (-uniform.ln() * mean * SECOND as f64) as u64
    }
}

/// Generates the requests of `seconds` seconds. `surge` has the start and end in seconds and the
/// factor by which a large team increases the rate of new chats.
pub(crate) fn generate(
    workload: &Workload,
    seconds: u64,
    surge: Option<(u64, u64, f64)>,
) -> Vec<Request> {
    let mut random = Random(0x5eed);
    let mut requests = Vec::new();
    let (mut at, mut chat) = (0, 0);
    while at < seconds * SECOND {
        let active_surge = surge.filter(|it| (it.0..it.1).contains(&(at / SECOND)));
        at += random
            .exponential(1.0 / (workload.chats_per_second * active_surge.map_or(1.0, |it| it.2)));
        chat += 1;
        add_chat(workload, &mut random, at, chat, &mut requests);
    }
    requests.retain(|it| it.at < seconds * SECOND);
    requests.sort_by_key(|it| (it.at, it.chat));
    requests
}

fn add_chat(
    workload: &Workload,
    random: &mut Random,
    begin: u64,
    chat: u64,
    requests: &mut Vec<Request>,
) {
    let large = random.below(workload.one_in_large) == 0;
    let mut prompt = if large { workload.large_prompt } else { 1_000 + random.below(3_000) };
    let mut at = begin;
    let turns = 2 + random.below(14);
    for turn in 0..turns {
        let output = 50 + random.below(300);
        let long = random.below(10) == 0;
        let pause = SECOND + random.exponential(if long { 200.0 } else { 25.0 });
        let next_at = at + output * 25_000 + pause;
        let last = turn + 1 == turns;
        requests.push(Request {
            at,
            chat: mix(chat),
            prompt: prompt as u32,
            output: output as u32,
            next_at: if last { u64::MAX } else { next_at },
        });
        prompt += output + 100 + random.below(500);
        at = next_at;
    }
}

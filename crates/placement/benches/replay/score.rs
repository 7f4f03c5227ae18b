//! The metrics of a replay: cache reuse compared to an oracle, load skew, and the time to the first
//! token.

use {
    crate::{
        Event, MILLISECOND,
        trace::{Request, Workload},
    },
    model::{SECOND, mix},
    std::collections::{BTreeSet, HashMap},
};

/// The name of a phase and its start and end, in seconds.
pub(crate) type Phase = (&'static str, u64, u64);

#[derive(Clone, Default)]
pub(crate) struct Score {
    pub(crate) prompt: u64,
    pub(crate) cached: u64,
    pub(crate) first_token_delays: Vec<u64>,
    /// Thousandths of the mean: work, work without the largest request, running requests.
    pub(crate) skews: [Vec<u64>; 3],
}

/// Replays the requests over one cache with the size of all engines' caches together. It evicts
/// what is needed last if `clairvoyant`, and otherwise what was used least recently. An engine that
/// fails takes its part of the chats along. Returns the reuse in each phase.
pub(crate) fn oracle(
    workload: &Workload,
    requests: &[Request],
    phases: &[Phase],
    churn: &[(u64, Event)],
    clairvoyant: bool,
) -> Vec<f64> {
    let engines = u64::from(workload.engines);
    let mut capacity = workload.cache * engines;
    let mut churn = churn.iter().peekable();
    let mut sums = vec![(0, 0); phases.len()];
    let mut cached: HashMap<u64, (u64, u64)> = HashMap::new();
    let mut order: BTreeSet<(u64, u64)> = BTreeSet::new();
    let mut used = 0;
    for request in requests {
        while let Some((_, event)) = churn.next_if(|it| it.0 <= request.at) {
            match event {
                Event::Down { engine } => {
                    capacity -= workload.cache;
                    let lost = |chat: &u64| mix(*chat) % engines == *engine as u64;
                    cached.retain(|chat, _| !lost(chat));
                    order.retain(|it| !lost(&it.1));
                    used = cached.values().map(|it| it.1).sum();
                }
                Event::Up { .. } | Event::Join => capacity += workload.cache,
                _ => {}
            }
        }
        let before = cached.remove(&request.chat);
        let (key, tokens) = before.unwrap_or((0, 0));
        order.remove(&(key, request.chat));
        used -= tokens;
        let inside = |it: &Phase| (it.1..it.2).contains(&(request.at / SECOND));
        if let Some(phase) = phases.iter().position(inside) {
            sums[phase].0 += tokens.min(u64::from(request.prompt));
            sums[phase].1 += u64::from(request.prompt);
        }
        // The last entry is evicted first.
        let key = if clairvoyant { request.next_at } else { u64::MAX - request.at };
        let tokens = u64::from(request.prompt + request.output);
        cached.insert(request.chat, (key, tokens));
        order.insert((key, request.chat));
        used += tokens;
        while used > capacity {
            let Some((_, chat)) = order.pop_last() else { break };
            used -= cached.remove(&chat).map_or(0, |it| it.1);
        }
    }
    sums.iter().map(|it| it.0 as f64 / f64::max(it.1 as f64, 1.0)).collect()
}

fn quantile(values: &mut [u64], permille: usize) -> u64 {
    values.sort_unstable();
    values.get(values.len() * permille / 1000).or(values.last()).copied().unwrap_or(0)
}

pub(crate) fn print(name: &str, phases: &[Phase], scores: &mut [Score], best: &[f64]) {
    for ((phase, score), best) in phases.iter().zip(scores).zip(best) {
        let reuse = score.cached as f64 / f64::max(score.prompt as f64, 1.0);
        let [work, without_largest, running] = &mut score.skews;
        let exceeding = without_largest.iter().filter(|it| **it > 1250).count();
        let exceeding = exceeding as f64 * 100.0 / f64::max(without_largest.len() as f64, 1.0);
        let share = |it: u64| it as f64 / 1000.0;
        println!(
            "{name:<28} {:<9} reuse {reuse:.3} ({:.3} of best) | work p50 {:.2} p99 {:.2} max {:.2} | without largest p99 \
             {:.2} max {:.2} exceeding 1.25 {exceeding:.1}% | running p99 {:.2} | first token p50 {} p95 {} p99 {} ms",
            phase.0,
            reuse / best,
            share(quantile(work, 500)),
            share(quantile(work, 990)),
            share(quantile(work, 1000)),
            share(quantile(without_largest, 990)),
            share(quantile(without_largest, 1000)),
            share(quantile(running, 990)),
            quantile(&mut score.first_token_delays, 500) / MILLISECOND,
            quantile(&mut score.first_token_delays, 950) / MILLISECOND,
            quantile(&mut score.first_token_delays, 990) / MILLISECOND,
        );
    }
}

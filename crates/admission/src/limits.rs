//! Rate and concurrency limits of teams at one entry router.

use {
    derive_more::Debug,
    model::{Limits, MILLISECOND, Reason, Refusal, SECOND, TeamId, Time},
    std::collections::HashMap,
};

/// Minimum capacity of the token bucket of a team, in requests, so that short bursts pass even at a low rate.
const MIN_BURST_REQUESTS: u64 = 8;

/// Retry time of a refusal due to the limit of running requests, in microseconds.
const RUNNING_LIMIT_RETRY_US: u64 = SECOND / 2;

/// Applies this router's share of the fleet-wide limits of teams.
///
/// Each limit is divided equally among the live routers. The shares of a rate are exact fractions, so the fleet as a
/// whole keeps to the rate plus a burst of 8 requests per router. The shares of the limit of running requests are
/// rounded up, so each router may run at least one.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    routers: u64,
    teams: HashMap<TeamId, TeamUsage>,
}

#[derive(Clone, Copy, Debug)]
struct TeamUsage {
    /// Tokens in the bucket. To avoid rounding errors by division, the bucket gains `rate` tokens per microsecond, and
    /// a request costs one second in microseconds multiplied by the number of routers.
    tokens: u64,
    refilled_at: Time,
    running: u32,
}

impl TeamLimiter {
    /// Creates a limiter for a fleet of `routers` live routers; the bucket of each team starts full.
    pub fn new(routers: u32) -> TeamLimiter {
        TeamLimiter { routers: u64::from(routers.max(1)), teams: HashMap::new() }
    }

    /// Updates the number of live routers from a new roster.
    pub fn set_router_count(&mut self, routers: u32) {
        self.routers = u64::from(routers.max(1));
    }

    /// Admits a request of a team, which must be followed by [`TeamLimiter::release`] when the request ends.
    ///
    /// # Errors
    ///
    /// The team exceeds its rate or its limit of running requests; the refusal says when to retry.
    pub fn try_acquire(&mut self, now: Time, team: TeamId, limits: &Limits) -> Result<(), Refusal> {
        let rate = u64::from(limits.rate);
        let cost = SECOND * self.routers;
        let depth = bucket_depth(rate, cost);
        let max_running = u64::from(limits.running).div_ceil(self.routers);
        let full_bucket = TeamUsage { tokens: depth, refilled_at: now, running: 0 };
        let usage = self.teams.entry(team).or_insert(full_bucket);
        usage.refill(now, rate, depth);
        if u64::from(usage.running) >= max_running {
            return Err(refusal(RUNNING_LIMIT_RETRY_US));
        }
        if usage.tokens < cost {
            let wait = match rate {
                0 => 0,
                _ => (cost - usage.tokens).div_ceil(rate),
            };
            return Err(refusal(wait));
        }
        usage.tokens -= cost;
        usage.running += 1;
        Ok(())
    }

    /// Records that a request of a team ended.
    pub fn release(&mut self, team: TeamId) {
        if let Some(usage) = self.teams.get_mut(&team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Number of requests of a team that run through this router.
    pub fn running(&self, team: TeamId) -> u32 {
        self.teams.get(&team).map_or(0, |it| it.running)
    }

    /// Removes teams without running requests whose buckets were last used before `used_before`.
    pub fn evict_idle(&mut self, used_before: Time) {
        self.teams.retain(|_, it| it.running > 0 || it.refilled_at >= used_before);
    }

    /// Number of teams in the table.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}

impl TeamUsage {
    fn refill(&mut self, now: Time, rate: u64, depth: u64) {
        let earned = now.since(self.refilled_at).saturating_mul(rate);
        self.tokens = self.tokens.saturating_add(earned).min(depth);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Capacity of a bucket in tokens: the share of one second of the rate, but at least [`MIN_BURST_REQUESTS`].
fn bucket_depth(rate: u64, cost: u64) -> u64 {
    if rate == 0 { 0 } else { (rate * SECOND).max(MIN_BURST_REQUESTS * cost) }
}

fn refusal(micros: u64) -> Refusal {
    let retry_ms = u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX);
    Refusal::not_run(Reason::TeamLimit, retry_ms)
}

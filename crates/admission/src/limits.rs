//! The limits of teams at one entry router.

use {
    derive_more::Debug,
    model::{Limits, MILLISECOND, Reason, Refusal, SECOND, TeamId, Time},
    std::collections::HashMap,
};

/// Requests that a team's bucket holds at the least: a burst is no breach of a rate.
const BURST_REQUESTS: u64 = 8;

/// After so many microseconds a caller over the running limit may come back.
const RUNNING_PAUSE: u64 = SECOND / 2;

/// This router's share of what teams may use over the fleet.
///
/// A fleet-wide limit is divided over the live routers. Shares of a rate are fractions and add up to the limit, plus
/// a burst of 8 requests a router; shares of a running count are rounded up to one.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    routers: u64,
    teams: HashMap<TeamId, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    /// In parts of which a rate of one earns one each microsecond, so that nothing is lost by division: a request
    /// costs a second for each router.
    tokens: u64,
    filled: Time,
    running: u32,
}

impl TeamLimiter {
    /// Returns full buckets for a fleet of so many live routers.
    pub fn new(routers: u32) -> TeamLimiter {
        TeamLimiter { routers: u64::from(routers.max(1)), teams: HashMap::new() }
    }

    /// Takes the number of live routers from a new roster.
    pub fn set_router_count(&mut self, routers: u32) {
        self.routers = u64::from(routers.max(1));
    }

    /// Counts a request of a team in; [`TeamLimiter::release`] counts it out.
    ///
    /// # Errors
    ///
    /// The team is over its rate or its running count: the refusal says when a request would pass.
    pub fn try_acquire(&mut self, now: Time, team: TeamId, limits: &Limits) -> Result<(), Refusal> {
        let rate = u64::from(limits.rate);
        let cost = SECOND * self.routers;
        let depth = depth(rate, cost);
        let most = u64::from(limits.running).div_ceil(self.routers);
        let full = Usage { tokens: depth, filled: now, running: 0 };
        let usage = self.teams.entry(team).or_insert(full);
        usage.fill(now, rate, depth);
        if u64::from(usage.running) >= most {
            return Err(refusal(RUNNING_PAUSE));
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

    /// Counts a request of a team out.
    pub fn release(&mut self, team: TeamId) {
        if let Some(usage) = self.teams.get_mut(&team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// How many requests of a team run through this router.
    pub fn running(&self, team: TeamId) -> u32 {
        self.teams.get(&team).map_or(0, |it| it.running)
    }

    /// Forgets teams that run nothing and whose buckets were last used before `idle`.
    pub fn evict_idle(&mut self, idle: Time) {
        self.teams.retain(|_, it| it.running > 0 || it.filled >= idle);
    }

    /// How many teams are remembered.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}

impl Usage {
    fn fill(&mut self, now: Time, rate: u64, depth: u64) {
        let earned = now.since(self.filled).saturating_mul(rate);
        self.tokens = self.tokens.saturating_add(earned).min(depth);
        self.filled = self.filled.max(now);
    }
}

/// The depth of a bucket: a second of the share, and not less than the least burst.
fn depth(rate: u64, cost: u64) -> u64 {
    if rate == 0 { 0 } else { (rate * SECOND).max(BURST_REQUESTS * cost) }
}

fn refusal(micros: u64) -> Refusal {
    let retry_ms = u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX);
    Refusal::not_run(Reason::TeamLimit, retry_ms)
}

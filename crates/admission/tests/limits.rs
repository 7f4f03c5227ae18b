//! Tests that the shares of team limits add up to the limits and are never rounded down to zero.

use {
    admission::TeamLimiter,
    model::{Limits, MILLISECOND, SECOND, TeamId, Time},
    proptest::{collection::vec, prelude::*},
};

const TEAM: TeamId = TeamId(1);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Over any period, the fleet admits at most the rate and one burst per router, whichever
    /// routers receive the requests.
    #[test]
    fn the_fleet_stays_within_the_rate(
        rate in 1u32..200,
        routers in 1u32..12,
        calls in vec((0u32..12, 0u64..40_000), 1..400),
    ) {
        let limits = Limits { rate, running: u32::MAX, queued: 1 };
        let mut fleet: Vec<_> = (0..routers).map(|_| TeamLimiter::new(routers)).collect();
        let (mut now, mut admitted) = (Time(1), 0u64);
        for (router, pause) in calls {
            now = now + pause;
            admitted += u64::from(
                fleet[(router % routers) as usize].try_acquire(now, TEAM, &limits).is_ok(),
            );
        }
        let burst = (f64::from(rate) / f64::from(routers)).max(8.0) * f64::from(routers);
        let max_admitted = burst + f64::from(rate) * now.0 as f64 / SECOND as f64;
        prop_assert!(admitted as f64 <= max_admitted + 1e-6, "{admitted} exceeds {max_admitted}");
    }

    /// A refused request is admitted after its retry time, even if the share is far below one request per second.
    #[test]
    fn a_refused_request_is_admitted_after_its_retry_time(
        rate in 1u32..50,
        routers in 1u32..2_000,
        // Frequent polling must not prevent the bucket from being refilled.
        poll in 1u64..500_000,
    ) {
        let limits = Limits { rate, running: u32::MAX, queued: 1 };
        let mut limiter = TeamLimiter::new(routers);
        let mut now = Time(1);
        let refusal = loop {
            if let Err(refusal) = limiter.try_acquire(now, TEAM, &limits) {
                break refusal;
            }
        };
        prop_assert!(refusal.retry_ms > 0);
        let retry_at = now + u64::from(refusal.retry_ms) * MILLISECOND;
        let polls = (retry_at.since(now) / poll).min(1_000);
        for _ in 0..polls {
            now = now + poll;
            if limiter.try_acquire(now, TEAM, &limits).is_ok() {
                return Ok(());
            }
        }
        prop_assert!(limiter.try_acquire(retry_at.max(now), TEAM, &limits).is_ok());
    }

    /// Running requests are counted, and each router may run at least one.
    #[test]
    fn running_requests_are_limited_per_router(
        running in 1u32..20,
        routers in 1u32..40,
        attempts in 1u32..60,
    ) {
        let limits = Limits { rate: u32::MAX, running, queued: 1 };
        let mut limiter = TeamLimiter::new(routers);
        let started = (0..attempts)
            .filter(|_| limiter.try_acquire(Time(1), TEAM, &limits).is_ok())
            .count();
        prop_assert_eq!(started as u32, running.div_ceil(routers).min(attempts));
        (0..started).for_each(|_| limiter.release(TEAM));
        prop_assert_eq!(limiter.running(TEAM), 0);
        prop_assert!(limiter.try_acquire(Time(1), TEAM, &limits).is_ok());
    }
}

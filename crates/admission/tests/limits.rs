//! Shares of team limits add up to the limits, and are never rounded to nothing.

use {
    admission::TeamLimiter,
    model::{Limits, MILLISECOND, SECOND, TeamId, Time},
    proptest::{collection::vec, prelude::*},
};

const TEAM: TeamId = TeamId(1);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Over any time the fleet lets through the rate and one burst a router, whichever routers the requests meet.
    #[test]
    fn the_fleet_keeps_to_the_rate(
        rate in 1u32..200,
        routers in 1u32..12,
        calls in vec((0u32..12, 0u64..40_000), 1..400),
    ) {
        let limits = Limits { rate, running: u32::MAX, queued: 1 };
        let mut fleet: Vec<_> = (0..routers).map(|_| TeamLimiter::new(routers)).collect();
        let (mut now, mut passed) = (Time(1), 0u64);
        for (router, pause) in calls {
            now = now + pause;
            passed += u64::from(fleet[(router % routers) as usize].try_acquire(now, TEAM, &limits).is_ok());
        }
        let burst = (f64::from(rate) / f64::from(routers)).max(8.0) * f64::from(routers);
        let most = burst + f64::from(rate) * now.0 as f64 / SECOND as f64;
        prop_assert!(passed as f64 <= most + 1e-6, "{passed} over {most}");
    }

    /// A refused request passes at the time that it was told, even where the share is far below one request a second.
    #[test]
    fn a_share_is_never_rounded_to_nothing(
        rate in 1u32..50,
        routers in 1u32..2_000,
        // Polling as often as this must not keep the bucket from filling.
        poll in 1u64..500_000,
    ) {
        let limits = Limits { rate, running: u32::MAX, queued: 1 };
        let mut team = TeamLimiter::new(routers);
        let mut now = Time(1);
        let refusal = loop {
            if let Err(refusal) = team.try_acquire(now, TEAM, &limits) {
                break refusal;
            }
        };
        prop_assert!(refusal.retry_ms > 0);
        let due = now + u64::from(refusal.retry_ms) * MILLISECOND;
        let polls = (due.since(now) / poll).min(1_000);
        for _ in 0..polls {
            now = now + poll;
            if team.try_acquire(now, TEAM, &limits).is_ok() {
                return Ok(());
            }
        }
        prop_assert!(team.try_acquire(due.max(now), TEAM, &limits).is_ok());
    }

    /// Requests in and out are counted, and each router may run one at the least.
    #[test]
    fn running_requests_are_counted(running in 1u32..20, routers in 1u32..40, most in 1u32..60) {
        let limits = Limits { rate: u32::MAX, running, queued: 1 };
        let mut team = TeamLimiter::new(routers);
        let began = (0..most).filter(|_| team.try_acquire(Time(1), TEAM, &limits).is_ok()).count();
        prop_assert_eq!(began as u32, running.div_ceil(routers).min(most));
        (0..began).for_each(|_| team.release(TEAM));
        prop_assert_eq!(team.running(TEAM), 0);
        prop_assert!(team.try_acquire(Time(1), TEAM, &limits).is_ok());
    }
}

//! The queue is fair, loses and doubles nothing, and stays inside the room.

use {
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{Reason, RequestId, TeamId, Time, Work},
    proptest::{collection::vec, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

const FAR: Time = Time(u64::MAX / 2);
const COST_MAX: u64 = 50;

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn waiting(request: u128, team: u32, weight: u32, cost: u64, deadline: Time) -> QueuedRequest {
    QueuedRequest {
        request: RequestId(request),
        team: TeamId(team),
        weight,
        max_queued: u32::MAX,
        priority: 0,
        cost: Work(cost),
        deadline,
    }
}

/// Offers requests of a team with these costs.
fn offer_all(queue: &mut FairQueue, team: usize, (weight, costs): &(u32, Vec<u64>)) {
    for (at, cost) in costs.iter().enumerate() {
        let request = (team * 1_000 + at) as u128;
        queue.enqueue(Time(0), waiting(request, team as u32, *weight, *cost, FAR)).unwrap();
    }
}

/// Starts the next request alone.
fn next(queue: &mut FairQueue) -> Option<(RequestId, Work)> {
    let starts = queue.dispatch(Time(1), Capacity { work: Work(0), idle: true });
    assert!(starts.len() <= 1);
    starts.first().copied()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { team: u32, cost: u64, patience: u64 },
    Dispatch { work: u64, idle: bool },
    Expire,
    Cancel(usize),
    Ended(u64),
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..5, 0..COST_MAX, 0u64..9_000_000)
            .prop_map(|(team, cost, patience)| Step::Offer { team, cost, patience }),
        3 => (0u64..120, any::<bool>()).prop_map(|(work, idle)| Step::Dispatch { work, idle }),
        1 => Just(Step::Expire),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0u64..100).prop_map(Step::Ended),
        1 => (0u64..1_000_000).prop_map(Step::Pause),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Each request leaves the queue once, starts stay inside the room, and refusals come at once.
    #[test]
    fn requests_leave_once_and_starts_stay_inside_the_room(steps in vec(step(), 0..120)) {
        let mut now = Time(1);
        let mut queue = FairQueue::new(now, QueueConfig { capacity: 12, initial_rate: 40 });
        let mut inside = BTreeMap::new();
        for (at, step) in steps.into_iter().enumerate() {
            match step {
                Step::Offer { team, cost, patience } => {
                    let offered = waiting(at as u128, team, team + 1, cost, now + patience);
                    match queue.enqueue(now, offered) {
                        Ok(()) => drop(inside.insert(offered.request, offered)),
                        Err(refusal) => prop_assert!(
                            refusal.retry_ms > 0 || refusal.reason == Reason::Deadline),
                    }
                }
                Step::Dispatch { work, idle } => {
                    let expired = inside.values().any(|it| it.deadline <= now);
                    let mut left = work;
                    for (place, (request, cost)) in
                        queue.dispatch(now, Capacity { work: Work(work), idle }).into_iter().enumerate()
                    {
                        let offered = inside.remove(&request);
                        prop_assert!(offered.is_some_and(|it| it.cost == cost && it.deadline > now));
                        prop_assert!(cost.0 <= left || (idle && place == 0));
                        left = left.saturating_sub(cost.0);
                    }
                    if !expired && !inside.is_empty() {
                        let least = inside.values().map(|it| it.cost.0).max().unwrap_or(0);
                        prop_assert!(left < least, "{left} left for {least}");
                    }
                }
                Step::Expire => {
                    for (request, refusal) in queue.expire(now) {
                        let offered = inside.remove(&request);
                        prop_assert!(offered.is_some_and(|it| it.deadline <= now));
                        prop_assert!(refusal.retry_ms > 0);
                    }
                    prop_assert!(inside.values().all(|it| it.deadline > now));
                }
                Step::Cancel(pick) => {
                    let request = inside.keys().nth(pick % inside.len().max(1)).copied();
                    let request = request.unwrap_or(RequestId(9_999));
                    prop_assert_eq!(queue.cancel(request), inside.remove(&request).is_some());
                }
                Step::Ended(work) => queue.record_completed(now, Work(work)),
                Step::Pause(pause) => now = now + pause,
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert_eq!(queue.backlog().0, inside.values().map(|it| it.cost.0).sum::<u64>());
            let first = inside.values().map(|it| it.deadline).min().unwrap_or(Time::NEVER);
            prop_assert_eq!(queue.next_deadline(), first);
        }
    }

    /// While two teams wait, what is started for each differs by weight at most by one request of each; a team that
    /// comes later has nothing saved up.
    #[test]
    fn teams_that_wait_share_by_weight(
        teams in vec((1u32..5, vec(1..COST_MAX, 1..40)), 2..6),
        late in 0usize..40,
    ) {
        let mut queue = FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        (1..teams.len()).for_each(|team| offer_all(&mut queue, team, &teams[team]));
        let mut left: Vec<_> = teams.iter().map(|it| it.1.len()).collect();
        for _ in 0..late {
            let Some((request, _)) = next(&mut queue) else { break };
            left[request.0 as usize / 1_000] -= 1;
        }
        offer_all(&mut queue, 0, &teams[0]);
        let mut started = vec![0u64; teams.len()];
        while let Some((request, cost)) = next(&mut queue) {
            let team = request.0 as usize / 1_000;
            left[team] -= 1;
            started[team] += cost.0;
            let busy: Vec<_> = (0..teams.len()).filter(|it| left[*it] > 0).collect();
            for (&a, &b) in busy.iter().zip(busy.iter().skip(1)) {
                let (wa, wb) = (f64::from(teams[a].0), f64::from(teams[b].0));
                let skew = (started[a] as f64 / wa - started[b] as f64 / wb).abs();
                let bound = COST_MAX as f64 / wa + COST_MAX as f64 / wb;
                prop_assert!(skew <= bound, "{skew} over {bound}");
            }
        }
        prop_assert!(left.iter().all(|it| *it == 0));
    }

    /// A team that was quiet waits for one request of each other team, however many these have waiting.
    #[test]
    fn a_surge_delays_a_quiet_team_by_one_request_of_each(
        surge in vec((1u32..5, vec(1..COST_MAX, 1..60)), 1..5),
        before in 0usize..80,
    ) {
        let mut queue = FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        (0..surge.len()).for_each(|team| offer_all(&mut queue, team, &surge[team]));
        for _ in 0..before {
            next(&mut queue);
        }
        queue.enqueue(Time(0), waiting(999_999, 77, 1, 1, FAR)).unwrap();
        let mut seen = BTreeSet::new();
        loop {
            let (request, _) = next(&mut queue).unwrap();
            if request.0 == 999_999 {
                break;
            }
            prop_assert!(seen.insert(request.0 / 1_000), "two requests of one team went first");
        }
    }

    /// A team whose requests come one by one pays for each, and so gets no more than its share.
    #[test]
    fn requests_that_come_one_by_one_pay_their_share(
        costs in vec(1..COST_MAX, 2..60),
        weight in 1u32..5,
    ) {
        let mut queue = FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        offer_all(&mut queue, 1, &(1, vec![COST_MAX; 200]));
        let (mut mine, mut others) = (0u64, 0u64);
        for (at, cost) in costs.iter().enumerate() {
            queue.enqueue(Time(0), waiting(at as u128, 0, weight, *cost, FAR)).unwrap();
            loop {
                let (request, cost) = next(&mut queue).unwrap();
                if request.0 == at as u128 {
                    mine += cost.0;
                    break;
                }
                others += cost.0;
            }
            let share = others as f64 + COST_MAX as f64 + COST_MAX as f64 / f64::from(weight);
            prop_assert!(mine as f64 / f64::from(weight) <= share, "{mine} against {others}");
        }
    }

    /// A deadline that the queue cannot meet is refused at once, and what is queued can be met at the drain rate.
    #[test]
    fn a_deadline_that_cannot_be_met_is_refused_at_once(
        costs in vec(1..COST_MAX, 1..40),
        patience in 1u64..20_000_000,
    ) {
        let mut queue = FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 100 });
        let mut ahead = 0;
        for (at, cost) in costs.iter().enumerate() {
            let fits = ahead * 10_000 <= patience;
            let offered = queue.enqueue(Time(0), waiting(at as u128, 1, 1, *cost, Time(patience)));
            prop_assert_eq!(offered.is_ok(), fits);
            if let Err(refusal) = offered {
                // When to come back: once the queue has drained to where the deadline could be met.
                let over = (ahead * 10_000 - patience).div_ceil(1_000).max(50);
                prop_assert_eq!(u64::from(refusal.retry_ms), over.min(60_000));
            }
            ahead += if fits { *cost } else { 0 };
        }
    }
}

/// Time in which nothing waited once counted as time in which the endpoint was slow: after a pause the first work that
/// ended made the rate collapse, and requests with ample time were refused.
#[test]
fn idle_time_does_not_lower_the_drain_rate() {
    let config = QueueConfig { initial_rate: 1_000, ..QueueConfig::default() };
    let mut queue = FairQueue::new(Time(0), config);
    let idle = Time(60_000_000);
    let ample = idle + 20_000_000;
    queue.enqueue(idle, waiting(1, 1, 1, 100, ample)).unwrap();
    queue.enqueue(idle, waiting(2, 1, 1, 100, ample)).unwrap();
    assert_eq!(queue.dispatch(idle, Capacity { work: Work(0), idle: true }).len(), 1);
    queue.record_completed(idle + 100_000, Work(100));
    assert!(queue.enqueue(idle + 100_000, waiting(3, 1, 1, 100, ample)).is_ok());
}

//! Tests that the queue is fair, neither loses nor duplicates requests, and stays within the available capacity.

use {
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{Reason, RequestId, TeamId, Time, Work},
    proptest::{collection::vec, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

const FAR_FUTURE: Time = Time(u64::MAX / 2);
const MAX_COST: u64 = 50;

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn queued_request(
    request: u128,
    team: u32,
    weight: u32,
    cost: u64,
    deadline: Time,
) -> QueuedRequest {
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

/// Enqueues one request of a team per cost.
fn enqueue_all(queue: &mut FairQueue, team: usize, (weight, costs): &(u32, Vec<u64>)) {
    for (index, cost) in costs.iter().enumerate() {
        let request = (team * 1_000 + index) as u128;
        queue
            .enqueue(Time(0), queued_request(request, team as u32, *weight, *cost, FAR_FUTURE))
            .unwrap();
    }
}

/// Dispatches the next request.
fn dispatch_next(queue: &mut FairQueue) -> Option<(RequestId, Work)> {
    let dispatched = queue.dispatch(Time(1), Capacity { work: Work(0), idle: true });
    assert!(dispatched.len() <= 1);
    dispatched.first().copied()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Enqueue { team: u32, cost: u64, timeout: u64 },
    Dispatch { work: u64, idle: bool },
    Expire,
    Cancel(usize),
    Complete(u64),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..5, 0..MAX_COST, 0u64..9_000_000)
            .prop_map(|(team, cost, timeout)| Step::Enqueue { team, cost, timeout }),
        3 => (0u64..120, any::<bool>()).prop_map(|(work, idle)| Step::Dispatch { work, idle }),
        1 => Just(Step::Expire),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0u64..100).prop_map(Step::Complete),
        1 => (0u64..1_000_000).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Each request leaves the queue once, dispatched requests fit into the capacity, and refusals have a retry time.
    #[test]
    fn requests_leave_once_and_stay_within_the_capacity(steps in vec(step(), 0..120)) {
        let mut now = Time(1);
        let mut queue = FairQueue::new(now, QueueConfig { capacity: 12, initial_rate: 40 });
        let mut expected = BTreeMap::new();
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                Step::Enqueue { team, cost, timeout } => {
                    let queued = queued_request(index as u128, team, team + 1, cost, now + timeout);
                    match queue.enqueue(now, queued) {
                        Ok(()) => drop(expected.insert(queued.request, queued)),
                        Err(refusal) => prop_assert!(
                            refusal.retry_ms > 0 || refusal.reason == Reason::Deadline),
                    }
                }
                Step::Dispatch { work, idle } => {
                    let expired = expected.values().any(|it| it.deadline <= now);
                    let mut left = work;
                    for (position, (request, cost)) in
                        queue
                            .dispatch(now, Capacity { work: Work(work), idle })
                            .into_iter()
                            .enumerate()
                    {
                        let queued = expected.remove(&request);
                        prop_assert!(queued.is_some_and(|it| it.cost == cost && it.deadline > now));
                        prop_assert!(cost.0 <= left || (idle && position == 0));
                        left = left.saturating_sub(cost.0);
                    }
                    if !expired && !expected.is_empty() {
                        let max_cost = expected.values().map(|it| it.cost.0).max().unwrap_or(0);
                        prop_assert!(left < max_cost, "{left} left, cost {max_cost} waiting");
                    }
                }
                Step::Expire => {
                    for (request, refusal) in queue.expire(now) {
                        let queued = expected.remove(&request);
                        prop_assert!(queued.is_some_and(|it| it.deadline <= now));
                        prop_assert!(refusal.retry_ms > 0);
                    }
                    prop_assert!(expected.values().all(|it| it.deadline > now));
                }
                Step::Cancel(pick) => {
                    let request = expected.keys().nth(pick % expected.len().max(1)).copied();
                    let request = request.unwrap_or(RequestId(9_999));
                    prop_assert_eq!(queue.cancel(request), expected.remove(&request).is_some());
                }
                Step::Complete(work) => queue.record_completed(now, Work(work)),
                Step::Advance(pause) => now = now + pause,
            }
            prop_assert_eq!(queue.len(), expected.len());
            prop_assert_eq!(queue.backlog().0, expected.values().map(|it| it.cost.0).sum::<u64>());
            let first = expected.values().map(|it| it.deadline).min().unwrap_or(Time::NEVER);
            prop_assert_eq!(queue.next_deadline(), first);
        }
    }

    /// While two teams wait, the work started for them, divided by weight, differs by at most one request of each. A
    /// team that joins late gets no credit for the time before.
    #[test]
    fn waiting_teams_share_by_weight(
        teams in vec((1u32..5, vec(1..MAX_COST, 1..40)), 2..6),
        late in 0usize..40,
    ) {
        let mut queue =
            FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        (1..teams.len()).for_each(|team| enqueue_all(&mut queue, team, &teams[team]));
        let mut left: Vec<_> = teams.iter().map(|it| it.1.len()).collect();
        for _ in 0..late {
            let Some((request, _)) = dispatch_next(&mut queue) else { break };
            left[request.0 as usize / 1_000] -= 1;
        }
        enqueue_all(&mut queue, 0, &teams[0]);
        let mut started = vec![0u64; teams.len()];
        while let Some((request, cost)) = dispatch_next(&mut queue) {
            let team = request.0 as usize / 1_000;
            left[team] -= 1;
            started[team] += cost.0;
            let busy: Vec<_> = (0..teams.len()).filter(|it| left[*it] > 0).collect();
            for (&a, &b) in busy.iter().zip(busy.iter().skip(1)) {
                let (wa, wb) = (f64::from(teams[a].0), f64::from(teams[b].0));
                let skew = (started[a] as f64 / wa - started[b] as f64 / wb).abs();
                let bound = MAX_COST as f64 / wa + MAX_COST as f64 / wb;
                prop_assert!(skew <= bound, "{skew} exceeds {bound}");
            }
        }
        prop_assert!(left.iter().all(|it| *it == 0));
    }

    /// A team that was idle waits for at most one request of each other team, however many of them are queued.
    #[test]
    fn a_surge_delays_an_idle_team_by_one_request_per_team(
        surge in vec((1u32..5, vec(1..MAX_COST, 1..60)), 1..5),
        before in 0usize..80,
    ) {
        let mut queue =
            FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        (0..surge.len()).for_each(|team| enqueue_all(&mut queue, team, &surge[team]));
        for _ in 0..before {
            dispatch_next(&mut queue);
        }
        queue.enqueue(Time(0), queued_request(999_999, 77, 1, 1, FAR_FUTURE)).unwrap();
        let mut seen = BTreeSet::new();
        loop {
            let (request, _) = dispatch_next(&mut queue).unwrap();
            if request.0 == 999_999 {
                break;
            }
            prop_assert!(
                seen.insert(request.0 / 1_000),
                "two requests of one team were dispatched first"
            );
        }
    }

    /// A team that sends its requests one by one is charged for each, so it gets no more than its share.
    #[test]
    fn requests_sent_one_by_one_are_charged(
        costs in vec(1..MAX_COST, 2..60),
        weight in 1u32..5,
    ) {
        let mut queue =
            FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 1_000_000 });
        enqueue_all(&mut queue, 1, &(1, vec![MAX_COST; 200]));
        let (mut mine, mut others) = (0u64, 0u64);
        for (index, cost) in costs.iter().enumerate() {
            queue
                .enqueue(Time(0), queued_request(index as u128, 0, weight, *cost, FAR_FUTURE))
                .unwrap();
            loop {
                let (request, cost) = dispatch_next(&mut queue).unwrap();
                if request.0 == index as u128 {
                    mine += cost.0;
                    break;
                }
                others += cost.0;
            }
            let share = others as f64 + MAX_COST as f64 + MAX_COST as f64 / f64::from(weight);
            prop_assert!(
                mine as f64 / f64::from(weight) <= share,
                "{mine} exceeds the share, with {others} for the other team"
            );
        }
    }

    /// A request whose deadline cannot be met is refused at once; the deadlines of queued requests can be met at the
    /// drain rate.
    #[test]
    fn an_unreachable_deadline_is_refused_at_once(
        costs in vec(1..MAX_COST, 1..40),
        timeout in 1u64..20_000_000,
    ) {
        let mut queue = FairQueue::new(Time(0), QueueConfig { capacity: 1_000, initial_rate: 100 });
        let mut ahead = 0;
        for (index, cost) in costs.iter().enumerate() {
            let fits = ahead * 10_000 <= timeout;
            let result =
                queue.enqueue(Time(0), queued_request(index as u128, 1, 1, *cost, Time(timeout)));
            prop_assert_eq!(result.is_ok(), fits);
            if let Err(refusal) = result {
                // The retry time is when the queue has drained so far that the deadline could be met.
                let over = (ahead * 10_000 - timeout).div_ceil(1_000).max(50);
                prop_assert_eq!(u64::from(refusal.retry_ms), over.min(60_000));
            }
            ahead += if fits { *cost } else { 0 };
        }
    }
}

/// Guards against counting idle time in the drain rate: after an idle period, the first completed request lowered the
/// rate so far that requests with ample time were refused.
#[test]
fn idle_time_does_not_lower_the_drain_rate() {
    let config = QueueConfig { initial_rate: 1_000, ..QueueConfig::default() };
    let mut queue = FairQueue::new(Time(0), config);
    let idle = Time(60_000_000);
    let ample = idle + 20_000_000;
    queue.enqueue(idle, queued_request(1, 1, 1, 100, ample)).unwrap();
    queue.enqueue(idle, queued_request(2, 1, 1, 100, ample)).unwrap();
    assert_eq!(queue.dispatch(idle, Capacity { work: Work(0), idle: true }).len(), 1);
    queue.record_completed(idle + 100_000, Work(100));
    assert!(queue.enqueue(idle + 100_000, queued_request(3, 1, 1, 100, ample)).is_ok());
}

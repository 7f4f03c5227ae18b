//! Runs a fault plan: starts the fleet and the callers, injects faults, checks recovery and stops.

use {
    crate::{
        caller::Caller,
        disturbances::{Cause, SETTLE_TIME},
        endpoints::Endpoints,
        fleet::{Fleet, READY_TIMEOUT},
        history::{Cuts, History, OutcomeCounts, RequestKind, SharedHistory},
        operator::Operator,
        plan::{Component, Fault, FaultPlan, ScheduledFault},
    },
    derive_more::Debug,
    eyre::{Result, WrapErr, bail},
    model::mix2,
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::{JoinHandle, JoinSet},
        time::{sleep, sleep_until},
    },
};

/// How long after the last fault requests may still fail.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// How long an operator retries a publish while faults are injected.
const PUBLISH_LIMIT: Duration = Duration::from_secs(20);

/// How long callers run without faults before the first fault and after recovery.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// The interval between requests with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);

/// The result of a run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Report {
    /// The seed of its plan.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of requests by kind and outcome.
    pub counts: OutcomeCounts,
    /// Number of requests that were cut off, and what excuses them.
    pub cuts: Cuts,
    /// The violated invariants.
    pub violations: Vec<String>,
    /// Number of violations that are not listed.
    pub omitted: usize,
}

impl Report {
    /// Returns whether no invariant was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// The system under test and its history.
struct Environment {
    fleet: Fleet,
    endpoints: Endpoints,
    operator: Operator,
    history: SharedHistory,
}

/// Runs a fault plan with the binaries in `binaries`. Settings, state and logs are written to `folder`.
///
/// # Errors
///
/// The fleet cannot be started or stopped. In this case the run says nothing about the invariants.
pub async fn run_plan(plan: &FaultPlan, binaries: &Path, folder: &Path) -> Result<Report> {
    let history: SharedHistory = Arc::new(History::default());
    let is_direct = plan.steps.iter().any(|it| it.fault == Fault::CrashingPart);
    let endpoints = Endpoints::start(plan.size, is_direct, history.clone()).await?;
    let directory = endpoints.directory_addr();
    let fleet = Fleet::start(plan.size, binaries, folder, directory, history.clone()).await?;
    let admins = fleet.replicas.iter().map(|it| it.admin).collect();
    let operator = Operator::new(history.clone(), admins);
    let env = Arc::new(Environment { fleet, endpoints, operator, history });
    if !env.operator.publish(PUBLISH_LIMIT).await {
        bail!("the first configuration was not acknowledged");
    }
    env.fleet.wait_ready(&env.fleet.gateways).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&env, plan, &stop);
    sleep(QUIET_PERIOD).await;
    inject_faults(&env, plan).await?;
    check_recovery(&env).await?;
    sleep(QUIET_PERIOD).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.wrap_err("a caller task failed")?;
    }
    env.fleet.check_processes().await;
    env.fleet.stop_all().await?;
    let counts = env.history.finish();
    let cuts = env.history.cuts();
    let (violations, omitted) = env.history.violations();
    Ok(Report { seed: plan.seed, faults: plan.steps.len(), counts, cuts, violations, omitted })
}

fn caller(env: &Environment, gateway: usize, name: String, stop: &Arc<AtomicBool>) -> Caller {
    let member = &env.fleet.gateways[gateway];
    Caller {
        name,
        gateway,
        incarnation: member.incarnation.clone(),
        addr: member.proxy.addr(),
        history: env.history.clone(),
        stop: stop.clone(),
    }
}

fn start_callers(
    env: &Environment,
    plan: &FaultPlan,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let each = |gateway: usize| (0..plan.size.callers).map(move |number| (gateway, number));
    let all = (0..plan.size.gateways).flat_map(each);
    let start = |(gateway, number)| {
        let name = format!("g{gateway}c{number}");
        let seed = mix2(mix2(plan.seed, gateway as u64), number as u64);
        tokio::spawn(caller(env, gateway, name, stop).run(seed))
    };
    all.map(start).collect()
}

/// Injects all faults and waits until the last one has ended.
async fn inject_faults(env: &Arc<Environment>, plan: &FaultPlan) -> Result<()> {
    let began = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for step in plan.steps.clone() {
        let env = env.clone();
        tasks.spawn(async move {
            sleep_until(began + step.at).await;
            inject_fault(&env, &step).await.wrap_err_with(|| format!("{step:?}"))
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.wrap_err("a fault task failed")??;
    }
    Ok(())
}

async fn inject_fault(env: &Environment, step: &ScheduledFault) -> Result<()> {
    let duration = step.duration;
    match step.fault {
        Fault::Kill(component) => env.fleet.kill(component, duration, |_| Ok(())).await,
        Fault::Stop(component) => env.fleet.stop(component, duration).await,
        Fault::Pause(component) => env.fleet.pause(component, duration).await,
        Fault::Reload(component) => env.fleet.reload(component).await,
        Fault::WipeDisk(number) => env.fleet.wipe_disk(number, duration).await,
        Fault::TornLog(number) => env.fleet.tear_log(number, duration).await,
        Fault::Link(Component::Endpoint(number), fault) => {
            let component = Component::Endpoint(number);
            with_disturbance(
                env,
                component,
                env.endpoints.inject_link_fault(number, fault, duration),
            )
            .await;
            Ok(())
        }
        Fault::Link(component, fault) => {
            env.fleet.inject_link_fault(component, fault, duration).await;
            Ok(())
        }
        Fault::Misbehave(number, behavior) => {
            let component = Component::Endpoint(number);
            with_disturbance(
                env,
                component,
                env.endpoints.set_behavior(number, behavior, duration),
            )
            .await;
            Ok(())
        }
        Fault::Crash(number) => {
            with_disturbance(
                env,
                Component::Endpoint(number),
                env.endpoints.crash(number, duration),
            )
            .await
        }
        Fault::Replace(number) => env.endpoints.replace(number).await,
        Fault::CrashingPart => {
            send_crashing(env, duration).await;
            Ok(())
        }
        Fault::DirectoryOutage => {
            env.endpoints.fail_directory(duration).await;
            Ok(())
        }
        Fault::Publish => {
            env.operator.publish(PUBLISH_LIMIT).await;
            Ok(())
        }
        Fault::ConcurrentPublish => {
            tokio::join!(env.operator.publish(PUBLISH_LIMIT), env.operator.publish(PUBLISH_LIMIT));
            Ok(())
        }
    }
}

/// Sends requests with the crashing part, no two alike, to one gateway after the other.
async fn send_crashing(env: &Environment, duration: Duration) {
    let until = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let gateway = number % env.fleet.gateways.len();
        let stop = Arc::new(AtomicBool::new(false));
        let caller = caller(env, gateway, format!("crashing-{number}"), &stop);
        tasks.spawn(async move {
            caller.send_once(&caller.name, RequestKind::Crashing).await;
        });
        sleep(CRASHING_INTERVAL).await;
    }
    while tasks.join_next().await.is_some() {}
}

async fn with_disturbance<F>(env: &Environment, component: Component, fault: F) -> F::Output
where
    F: Future,
{
    env.history.begin_disturbance(component, Cause::Fault, Instant::now());
    let ended = fault.await;
    env.history.end_disturbance(component, Cause::Fault, Instant::now());
    ended
}

/// Checks that all kinds of requests and publishes succeed again within [`RECOVERY_LIMIT`].
async fn check_recovery(env: &Environment) -> Result<()> {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let history = &env.history;
    for members in [&env.fleet.replicas, &env.fleet.gateways] {
        if let Err(err) = env.fleet.wait_ready(members).await {
            history.record_violation("recover", &format!("{err:#}"));
        }
    }
    if !env.operator.publish(RECOVERY_LIMIT).await {
        history.record_violation("recover", "a configuration was not acknowledged");
    }
    let newest = history.acknowledged_version(Instant::now());
    let read = env.operator.read(READY_TIMEOUT).await;
    if read.is_none() || read < newest {
        let text = format!("read version {read:?} although {newest:?} is acknowledged");
        history.record_violation("recover", &text);
    }
    let stop = Arc::new(AtomicBool::new(false));
    for gateway in 0..env.fleet.gateways.len() {
        for kind in [RequestKind::Read, RequestKind::Write, RequestKind::Stream] {
            let mut number = 0;
            let caller = caller(env, gateway, format!("recover-g{gateway}"), &stop);
            loop {
                number += 1;
                let status =
                    caller.send_once(&format!("{}-{kind}-{number}", caller.name), kind).await;
                if status == 200 {
                    break;
                }
                if Instant::now() > deadline {
                    let text = format!(
                        "{kind} request to {} failed with status {status}",
                        Component::Gateway(gateway)
                    );
                    history.record_violation("recover", &text);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    // After the settle time no fault excuses a violation any more.
    sleep(SETTLE_TIME).await;
    Ok(())
}

//! One run: the fleet starts, faults befall it while callers call, it recovers and stops.

use {
    crate::{
        caller::Caller,
        calm::{CONTACT, Cause},
        endpoints::Endpoints,
        fleet::{Fleet, READY},
        operator::Operator,
        plan::{Fault, Part, Plan, Step},
        record::{Counts, Kind, Record, Shared},
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

/// How long after the last fault every promise holds again.
const RECOVER: Duration = Duration::from_secs(15);

/// How long an operator keeps sending a change while faults go on.
const PUBLISH: Duration = Duration::from_secs(20);

/// How long callers go on before the first fault and after the last.
const CALM: Duration = Duration::from_secs(2);

/// What a run showed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Verdict {
    /// The seed of its plan.
    pub seed: u64,
    /// The faults that were injected.
    pub faults: usize,
    /// Requests by kind and by how they ended.
    pub counts: Counts,
    /// The broken promises.
    pub violations: Vec<String>,
    /// Broken promises beyond those.
    pub more: usize,
}

impl Verdict {
    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Everything that faults act on.
struct Site {
    fleet: Fleet,
    endpoints: Endpoints,
    operator: Operator,
    record: Shared,
}

/// Plays a plan with the programs in `binaries`; settings, state and logs are kept in `folder`.
///
/// # Errors
///
/// The fleet cannot be started or ended, which is no verdict.
pub async fn play(plan: &Plan, binaries: &Path, folder: &Path) -> Result<Verdict> {
    let record: Shared = Arc::new(Record::default());
    let endpoints = Endpoints::start(plan.size, record.clone()).await?;
    let list = endpoints.list();
    let fleet = Fleet::start(plan.size, binaries, folder, list, record.clone()).await?;
    let admins = fleet.replicas.iter().map(|it| it.admin).collect();
    let operator = Operator::new(record.clone(), admins);
    let site = Arc::new(Site { fleet, endpoints, operator, record });
    if !site.operator.publish(PUBLISH).await {
        bail!("the first configuration is not acknowledged");
    }
    site.fleet.wait_ready(&site.fleet.gateways).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = call(&site, plan, &stop);
    sleep(CALM).await;
    inject(&site, plan).await?;
    recover(&site).await?;
    sleep(CALM).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.wrap_err("a caller")?;
    }
    site.fleet.check().await;
    site.fleet.end().await?;
    let counts = site.record.close();
    let (violations, more) = site.record.violations();
    Ok(Verdict { seed: plan.seed, faults: plan.steps.len(), counts, violations, more })
}

fn caller(site: &Site, gateway: usize, name: String, stop: &Arc<AtomicBool>) -> Caller {
    let member = &site.fleet.gateways[gateway];
    Caller {
        name,
        gateway,
        life: member.life.clone(),
        addr: member.proxy.addr(),
        record: site.record.clone(),
        stop: stop.clone(),
    }
}

fn call(site: &Site, plan: &Plan, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let each = |gateway: usize| (0..plan.size.callers).map(move |number| (gateway, number));
    let all = (0..plan.size.gateways).flat_map(each);
    let start = |(gateway, number)| {
        let name = format!("g{gateway}c{number}");
        let seed = mix2(mix2(plan.seed, gateway as u64), number as u64);
        tokio::spawn(caller(site, gateway, name, stop).run(seed))
    };
    all.map(start).collect()
}

/// Injects all faults and waits until the last one is over.
async fn inject(site: &Arc<Site>, plan: &Plan) -> Result<()> {
    let began = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for step in plan.steps.clone() {
        let site = site.clone();
        tasks.spawn(async move {
            sleep_until(began + step.at).await;
            befall(&site, &step).await.wrap_err_with(|| format!("{step:?}"))
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.wrap_err("a fault")??;
    }
    Ok(())
}

async fn befall(site: &Site, step: &Step) -> Result<()> {
    let lasts = step.lasts;
    match step.fault {
        Fault::Kill(part) => site.fleet.kill(part, lasts, |_| Ok(())).await,
        Fault::Stop(part) => site.fleet.stop(part, lasts).await,
        Fault::Pause(part) => site.fleet.pause(part, lasts).await,
        Fault::Hangup(part) => site.fleet.hang_up(part).await,
        Fault::Wipe(number) => site.fleet.wipe(number, lasts).await,
        Fault::Torn(number) => site.fleet.tear(number, lasts).await,
        Fault::Link(Part::Endpoint(number), harm) => {
            let part = Part::Endpoint(number);
            disturbed(site, part, site.endpoints.harm(number, harm, lasts)).await;
            Ok(())
        }
        Fault::Link(part, harm) => {
            site.fleet.harm(part, harm, lasts).await;
            Ok(())
        }
        Fault::Mood(number, mood) => {
            let part = Part::Endpoint(number);
            disturbed(site, part, site.endpoints.set_mood(number, mood, lasts)).await;
            Ok(())
        }
        Fault::Crash(number) => {
            disturbed(site, Part::Endpoint(number), site.endpoints.crash(number, lasts)).await
        }
        Fault::Replace(number) => site.endpoints.replace(number).await,
        Fault::Unlisted => {
            site.endpoints.unlist(lasts).await;
            Ok(())
        }
        Fault::Publish => {
            site.operator.publish(PUBLISH).await;
            Ok(())
        }
        Fault::Race => {
            tokio::join!(site.operator.publish(PUBLISH), site.operator.publish(PUBLISH));
            Ok(())
        }
    }
}

async fn disturbed<F>(site: &Site, part: Part, fault: F) -> F::Output
where
    F: Future,
{
    site.record.disturb(part, Cause::Fault, Instant::now());
    let ended = fault.await;
    site.record.calm(part, Cause::Fault, Instant::now());
    ended
}

/// Checks that everything works again soon after the last fault.
async fn recover(site: &Site) -> Result<()> {
    let deadline = Instant::now() + RECOVER;
    let record = &site.record;
    for members in [&site.fleet.replicas, &site.fleet.gateways] {
        if let Err(err) = site.fleet.wait_ready(members).await {
            record.violation("recover", &format!("{err:#}"));
        }
    }
    if !site.operator.publish(RECOVER).await {
        record.violation("recover", "a change is not acknowledged");
    }
    let newest = record.acknowledged(Instant::now());
    let read = site.operator.read(READY).await;
    if read.is_none() || read < newest {
        let text = format!("read back is {read:?}, acknowledged was {newest:?}");
        record.violation("recover", &text);
    }
    let stop = Arc::new(AtomicBool::new(false));
    for gateway in 0..site.fleet.gateways.len() {
        for kind in [Kind::Read, Kind::Write, Kind::Stream] {
            let mut number = 0;
            let caller = caller(site, gateway, format!("recover-g{gateway}"), &stop);
            loop {
                number += 1;
                let status = caller.once(&format!("{}-{kind}-{number}", caller.name), kind).await;
                if status == 200 {
                    break;
                }
                if Instant::now() > deadline {
                    let text = format!("{kind} at {} ends with {status}", Part::Gateway(gateway));
                    record.violation("recover", &text);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    // What callers see from here on is judged without excuses.
    sleep(CONTACT).await;
    Ok(())
}

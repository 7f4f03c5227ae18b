//! The faults of a run and their times, generated from a seed.

use {
    derive_more::{Debug, Display},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The number of processes and endpoints of a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FleetSize {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of control replicas.
    pub replicas: usize,
    /// Number of endpoints of the model service.
    pub models: usize,
    /// Number of endpoints of the plain service.
    pub plains: usize,
    /// Number of callers per gateway, each with its own connection.
    pub callers: usize,
}

impl FleetSize {
    /// A dozen processes.
    pub const SMALL: FleetSize =
        FleetSize { gateways: 4, replicas: 3, models: 4, plains: 3, callers: 6 };

    /// A hundred processes.
    pub const LARGE: FleetSize =
        FleetSize { gateways: 90, replicas: 5, models: 60, plains: 6, callers: 2 };
}

/// A component of the system under test that can be disturbed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Component {
    /// A gateway: its process and the connections of its callers.
    #[display("gateway-{_0}")]
    Gateway(usize),
    /// A control replica: its process and the connections to it.
    #[display("control-{_0}")]
    Control(usize),
    /// An endpoint and the connections to it.
    #[display("endpoint-{_0}")]
    Endpoint(usize),
    /// The directory of endpoints.
    #[display("list")]
    Directory,
}

/// A network fault on the connections to a component.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkFault {
    /// Bytes are delayed by this many milliseconds.
    Delay(u64),
    /// Bytes towards the component are held back.
    StallInbound,
    /// Bytes from the component are held back.
    StallOutbound,
    /// Bytes in both directions are held back.
    Stall,
    /// All open connections are reset once.
    Reset,
}

/// The behavior of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Behavior {
    /// It works correctly.
    Healthy,
    /// Every request takes this many milliseconds longer.
    Slow(u64),
    /// Half of its requests fail with status 500 or, for streams, break off.
    Failing,
    /// Half of its requests are never answered.
    Hanging,
    /// Half of its responses break off halfway.
    Truncating,
    /// It rejects every request without running it.
    Rejecting,
    /// It names how many requests a second it takes from all gateways.
    Limited,
}

/// A fault or an operator action injected during a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// A process is killed and restarted after the duration.
    Kill(Component),
    /// A process is stopped gracefully and restarted after the duration.
    Stop(Component),
    /// A process is suspended.
    Pause(Component),
    /// A process reloads its settings.
    Reload(Component),
    /// A replica is killed and restarted with an empty disk, if all other replicas are ready.
    WipeDisk(usize),
    /// A replica is killed and restarted with an incomplete record at the end of its log.
    TornLog(usize),
    /// The connections to a component have a network fault.
    Link(Component, LinkFault),
    /// An endpoint misbehaves.
    Misbehave(usize, Behavior),
    /// An endpoint crashes and restarts with the same id.
    Crash(usize),
    /// An endpoint drains and is replaced, and an endpoint of another service reuses its address.
    Replace(usize),
    /// Requests are sent of which one prompt part crashes each endpoint that begins to answer them.
    CrashingPart,
    /// The directory returns errors.
    DirectoryOutage,
    /// A configuration is published.
    Publish,
    /// Two configurations are published concurrently.
    ConcurrentPublish,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ScheduledFault {
    /// Start time, relative to the start of fault injection.
    pub at: Duration,
    /// Duration of the fault, or downtime of the process.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run, ordered by start time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FaultPlan {
    /// The seed from which the plan was generated.
    pub seed: u64,
    /// The number of processes and endpoints.
    pub size: FleetSize,
    /// Duration of fault injection. Every fault ends within it.
    pub duration: Duration,
    /// The faults.
    pub steps: Vec<ScheduledFault>,
}

/// Mean intervals between faults in milliseconds, for a dozen processes; each plan picks one. With short intervals many
/// faults overlap; with long ones components stay undisturbed for long enough to check invariants with a time bound.
const MEAN_INTERVALS_MS: [u64; 3] = [500, 1_000, 3_000];

/// Maximum duration of a fault in milliseconds, above the four seconds after which control replaces a silent replica.
const MAX_DURATION_MS: u64 = 6_000;

/// Mean interval between the steps of planned work in milliseconds.
const PLANNED_INTERVAL_MS: u64 = 500;

/// Mean interval between the steps beside a crashing prompt part in milliseconds. Some gateways must stay undisturbed.
const INCIDENT_INTERVAL_MS: u64 = 3_000;

/// Maximum time between the end of a stopped process and its restart in milliseconds.
const PLANNED_DOWNTIME_MS: u64 = 1_000;

/// Interval between the faults of a burst in milliseconds.
const BURST_INTERVAL_MS: u64 = 300;

impl FaultPlan {
    /// Generates a run with planned work only: graceful stops and reloads of gateways in overlapping series, and publishes.
    pub fn planned_work(seed: u64, size: FleetSize, duration: Duration) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end_ms = duration.as_millis() as u64;
        let mut steps = Vec::new();
        let mut at_ms = 0;
        while at_ms < end_ms {
            let gateway = Component::Gateway(rng.random_range(0..size.gateways));
            let fault = match rng.random_range(0..10) {
                0..5 => Fault::Stop(gateway),
                5..8 => Fault::Reload(gateway),
                8 => Fault::Publish,
                _ => Fault::ConcurrentPublish,
            };
            let duration_ms =
                rng.random_range(100..=PLANNED_DOWNTIME_MS).min(end_ms.saturating_sub(at_ms));
            let (at, duration) = (Duration::from_millis(at_ms), Duration::from_millis(duration_ms));
            steps.push(ScheduledFault { at, duration, fault });
            at_ms += rng.random_range(1..=2 * PLANNED_INTERVAL_MS);
        }
        FaultPlan { seed, size, duration, steps }
    }

    /// Generates a run with a crashing prompt part and limited endpoints, while gateways are killed, stopped and reloaded.
    pub fn incidents(seed: u64, size: FleetSize, duration: Duration) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let step = |at, duration, fault| ScheduledFault { at, duration, fault };
        let limited = rng.random_range(size.models..size.models + size.plains);
        let mut steps = vec![
            step(Duration::ZERO, duration, Fault::CrashingPart),
            step(Duration::ZERO, duration, Fault::Misbehave(limited, Behavior::Limited)),
        ];
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(1..=2 * INCIDENT_INTERVAL_MS);
            let downtime = Duration::from_millis(rng.random_range(100..=PLANNED_DOWNTIME_MS));
            let at = Duration::from_millis(at_ms);
            if at + downtime > duration {
                break;
            }
            let gateway = Component::Gateway(rng.random_range(0..size.gateways));
            let faults = [Fault::Kill(gateway), Fault::Stop(gateway), Fault::Reload(gateway)];
            steps.extend(faults.choose(&mut rng).map(|it| step(at, downtime, *it)));
        }
        FaultPlan { seed, size, duration, steps }
    }

    /// Generates the faults of a run.
    pub fn generate(seed: u64, size: FleetSize, duration: Duration) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end_ms = duration.as_millis() as u64;
        let scale = (size.gateways as u64 / FleetSize::SMALL.gateways as u64).clamp(1, 8);
        let mean_interval_ms = MEAN_INTERVALS_MS[rng.random_range(0..MEAN_INTERVALS_MS.len())];
        let mut steps = Vec::new();
        let mut at_ms = 0;
        while at_ms < end_ms {
            // One step in six is a burst of two to four faults of the same kind.
            let count = if rng.random_ratio(1, 6) { rng.random_range(2..=4) } else { 1 };
            let kind = rng.random_range(0..FAULT_KINDS);
            for number in 0..count {
                let begin_ms = at_ms + number * BURST_INTERVAL_MS;
                let max_ms = MAX_DURATION_MS.min(end_ms.saturating_sub(begin_ms));
                let duration_ms = rng.random_range(100..=MAX_DURATION_MS).min(max_ms);
                let (at, duration) =
                    (Duration::from_millis(begin_ms), Duration::from_millis(duration_ms));
                let fault = random_fault(kind, size, &mut rng);
                if duration_ms > 0 {
                    steps.push(ScheduledFault { at, duration, fault });
                }
            }
            at_ms += rng.random_range(1..=2 * mean_interval_ms / scale);
        }
        steps.sort_by_key(|it| it.at);
        FaultPlan { seed, size, duration, steps }
    }
}

/// Number of weighted choices in [`random_fault`].
const FAULT_KINDS: u32 = 15;

fn random_fault(kind: u32, size: FleetSize, rng: &mut ChaCha8Rng) -> Fault {
    let gateway = Component::Gateway(rng.random_range(0..size.gateways));
    let replica = rng.random_range(0..size.replicas);
    let control = Component::Control(replica);
    let endpoint = rng.random_range(0..size.models + size.plains);
    let process = if rng.random_ratio(1, 2) { gateway } else { control };
    let candidates = [gateway, control, Component::Endpoint(endpoint)];
    let component = candidates.choose(rng).copied().unwrap_or(gateway);
    let link_faults = [
        LinkFault::Delay(rng.random_range(5..400)),
        LinkFault::StallInbound,
        LinkFault::StallOutbound,
        LinkFault::Stall,
        LinkFault::Reset,
    ];
    let behaviors = [
        Behavior::Slow(rng.random_range(50..1_500)),
        Behavior::Failing,
        Behavior::Hanging,
        Behavior::Truncating,
        Behavior::Rejecting,
    ];
    match kind {
        0 => Fault::Kill(process),
        1 => Fault::Stop(process),
        2 => Fault::Pause(process),
        3 => Fault::Reload(gateway),
        4 => Fault::WipeDisk(replica),
        5 => Fault::TornLog(replica),
        6..=8 => {
            Fault::Link(component, link_faults.choose(rng).copied().unwrap_or(LinkFault::Reset))
        }
        9 => {
            Fault::Misbehave(endpoint, behaviors.choose(rng).copied().unwrap_or(Behavior::Failing))
        }
        10 => Fault::Crash(endpoint),
        11 => Fault::Replace(endpoint),
        12 => Fault::DirectoryOutage,
        13 => Fault::Publish,
        _ => Fault::ConcurrentPublish,
    }
}

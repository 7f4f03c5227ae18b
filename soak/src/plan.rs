//! Which faults a run injects and when, drawn from a seed.

use {
    derive_more::{Debug, Display},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The processes and endpoints of a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Control replicas.
    pub replicas: usize,
    /// Endpoints of the model service.
    pub models: usize,
    /// Endpoints of the plain service.
    pub plains: usize,
    /// Callers of each gateway, each with a connection of its own.
    pub callers: usize,
}

impl Size {
    /// A dozen processes.
    pub const SMALL: Size = Size { gateways: 4, replicas: 3, models: 4, plains: 3, callers: 6 };

    /// A hundred processes.
    pub const LARGE: Size = Size { gateways: 90, replicas: 5, models: 60, plains: 6, callers: 2 };
}

/// A part of a run that can be disturbed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Part {
    /// A gateway: its process and the connections of its callers.
    #[display("gateway-{_0}")]
    Gateway(usize),
    /// A control replica: its process and the connections to it.
    #[display("control-{_0}")]
    Control(usize),
    /// An endpoint and the connections to it.
    #[display("endpoint-{_0}")]
    Endpoint(usize),
    /// The list of endpoints.
    #[display("list")]
    List,
}

/// How connections are harmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Harm {
    /// Bytes are late by so many milliseconds.
    Delay(u64),
    /// Bytes towards the part are held back.
    SilentIn,
    /// Bytes from the part are held back.
    SilentOut,
    /// Bytes in both directions are held back.
    Silent,
    /// Every open connection is reset, once.
    Reset,
}

/// How an endpoint misbehaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mood {
    /// It answers as it should.
    Sound,
    /// It takes so many milliseconds longer.
    Slow(u64),
    /// Half of its requests end in a failure of its own.
    Failing,
    /// Half of its requests are never answered.
    Hanging,
    /// Half of its answers break off.
    Breaking,
    /// It refuses every request without running it.
    Shedding,
}

/// Something that happens during a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// A process is killed and started again after the pause.
    Kill(Part),
    /// A process is told to stop and started again after the pause.
    Stop(Part),
    /// A process stands still.
    Pause(Part),
    /// A process is told to read its settings again.
    Hangup(Part),
    /// A replica is killed and starts again with an empty disk, if all others are whole by then.
    Wipe(usize),
    /// A replica is killed and finds an unfinished record at the end of its log.
    Torn(usize),
    /// Connections to a part are harmed.
    Link(Part, Harm),
    /// An endpoint misbehaves.
    Mood(usize, Mood),
    /// An endpoint crashes and starts again under its id.
    Crash(usize),
    /// An endpoint is announced to leave, leaves, and its port goes to an endpoint of the other service.
    Replace(usize),
    /// The list of endpoints cannot be read.
    Unlisted,
    /// A configuration is published.
    Publish,
    /// Two configurations are published at once.
    Race,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Step {
    /// From the beginning of the faults.
    pub at: Duration,
    /// How long it lasts, or how long a process is away.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// The faults of a run, in the order of their times.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Plan {
    /// What the plan was drawn from.
    pub seed: u64,
    /// The processes and endpoints.
    pub size: Size,
    /// How long faults are injected; each is over by then.
    pub lasts: Duration,
    /// The faults.
    pub steps: Vec<Step>,
}

/// The mean times between two faults, in milliseconds, for a dozen processes, one of which a plan draws: faults overlap
/// at any time, or parts stay undisturbed for long enough that promises with a time bound are checked.
const BETWEEN_MS: [u64; 3] = [500, 1_000, 3_000];

/// The longest fault, in milliseconds: longer than the four seconds after which control replaces a silent replica.
const LONGEST_MS: u64 = 6_000;

/// The pause between the faults of a series, in milliseconds.
const SERIES_MS: u64 = 300;

impl Plan {
    /// Draws the faults of a run.
    pub fn draw(seed: u64, size: Size, lasts: Duration) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end_ms = lasts.as_millis() as u64;
        let scale = (size.gateways as u64 / Size::SMALL.gateways as u64).clamp(1, 8);
        let between_ms = BETWEEN_MS[rng.random_range(0..BETWEEN_MS.len())];
        let mut steps = Vec::new();
        let mut at_ms = 0;
        while at_ms < end_ms {
            // One draw in six is a series of the same kind of fault.
            let count = if rng.random_ratio(1, 6) { rng.random_range(2..=4) } else { 1 };
            let kind = rng.random_range(0..KINDS);
            for number in 0..count {
                let begin_ms = at_ms + number * SERIES_MS;
                let most_ms = LONGEST_MS.min(end_ms.saturating_sub(begin_ms));
                let lasts_ms = rng.random_range(100..=LONGEST_MS).min(most_ms);
                let (at, lasts) =
                    (Duration::from_millis(begin_ms), Duration::from_millis(lasts_ms));
                let fault = draw_fault(kind, size, &mut rng);
                if lasts_ms > 0 {
                    steps.push(Step { at, lasts, fault });
                }
            }
            at_ms += rng.random_range(1..=2 * between_ms / scale);
        }
        steps.sort_by_key(|it| it.at);
        Plan { seed, size, lasts, steps }
    }
}

/// The kinds that [`draw_fault`] knows.
const KINDS: u32 = 15;

fn draw_fault(kind: u32, size: Size, rng: &mut ChaCha8Rng) -> Fault {
    let gateway = Part::Gateway(rng.random_range(0..size.gateways));
    let replica = rng.random_range(0..size.replicas);
    let control = Part::Control(replica);
    let endpoint = rng.random_range(0..size.models + size.plains);
    let process = if rng.random_ratio(1, 2) { gateway } else { control };
    let linked = [gateway, control, Part::Endpoint(endpoint)];
    let part = linked.choose(rng).copied().unwrap_or(gateway);
    let harms = [
        Harm::Delay(rng.random_range(5..400)),
        Harm::SilentIn,
        Harm::SilentOut,
        Harm::Silent,
        Harm::Reset,
    ];
    let moods = [
        Mood::Slow(rng.random_range(50..1_500)),
        Mood::Failing,
        Mood::Hanging,
        Mood::Breaking,
        Mood::Shedding,
    ];
    match kind {
        0 => Fault::Kill(process),
        1 => Fault::Stop(process),
        2 => Fault::Pause(process),
        3 => Fault::Hangup(gateway),
        4 => Fault::Wipe(replica),
        5 => Fault::Torn(replica),
        6..=8 => Fault::Link(part, harms.choose(rng).copied().unwrap_or(Harm::Reset)),
        9 => Fault::Mood(endpoint, moods.choose(rng).copied().unwrap_or(Mood::Failing)),
        10 => Fault::Crash(endpoint),
        11 => Fault::Replace(endpoint),
        12 => Fault::Unlisted,
        13 => Fault::Publish,
        _ => Fault::Race,
    }
}

//! Replays the same chats over the same engines by several policies: cache reuse and load skew, in steady state,
//! through churn, and in a surge by a large team.
//!
//! Reuse is the share of prompt tokens that were cached. The oracle is one cache of the size of all engines' caches
//! together that evicts what is needed last; an engine that dies takes its part with it. Skew is sampled four times a second: the largest load over the mean load,
//! in work and in running requests; `bar one` leaves the largest request on each engine out.

#[path = "../../tests/fixture/mod.rs"]
mod fixture;
mod fleet;
mod score;
mod trace;
mod world;

use {
    crate::{
        fleet::{Fleet, Options, Outcome, Placed},
        score::{Phase, Score, oracle, print},
        trace::{Request, Shape},
        world::Engine,
    },
    model::{SECOND, mix},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const MILLI: u64 = 1_000;

/// How often load is sampled.
const SAMPLE: u64 = 250 * MILLI;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Policy {
    RoundRobin,
    LeastReported,
    Rendezvous,
    /// Stays where its prefix is cached, wherever that is, whatever the load.
    Affinity,
    Bounded,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    End {
        engine: usize,
        id: u64,
    },
    First {
        engine: usize,
        id: u64,
    },
    /// A request has waited long enough for room where its prefix is.
    GiveUp {
        engine: usize,
        id: u64,
    },
    Mean,
    Sample,
    Down {
        engine: usize,
    },
    Up {
        engine: usize,
    },
    Join,
    Restart {
        slot: usize,
    },
}

struct Replay {
    policy: Policy,
    fleet: Fleet,
    refresh: u64,
    engines: Vec<Engine>,
    cache: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Loads as last reported, for the policy that goes by them.
    reported: Vec<u64>,
    turn: usize,
    phases: Vec<Phase>,
    scores: Vec<Score>,
}

impl Replay {
    fn new(shape: &Shape, policy: Policy, options: Options, phases: &[Phase]) -> Replay {
        let engine = |_| Engine::new(shape.cache);
        Replay {
            policy,
            fleet: Fleet::new(shape, options),
            refresh: options.refresh,
            engines: (0..shape.engines).map(engine).collect(),
            cache: shape.cache,
            events: BinaryHeap::from([Reverse((0, Event::Mean)), Reverse((0, Event::Sample))]),
            reported: vec![0; shape.engines as usize],
            turn: 0,
            phases: phases.to_vec(),
            scores: vec![Score::default(); phases.len()],
        }
    }

    fn run(mut self, requests: &[Request], churn: &[(u64, Event)]) -> Vec<Score> {
        self.events.extend(churn.iter().map(|it| Reverse(*it)));
        for (id, request) in requests.iter().enumerate() {
            while let Some(Reverse((at, event))) = self.events.pop() {
                if at > request.at {
                    self.events.push(Reverse((at, event)));
                    break;
                }
                self.take(at, event);
            }
            self.arrive(request.at, id as u64, *request);
        }
        self.scores
    }

    fn up(&self) -> Vec<bool> {
        self.engines.iter().map(|it| it.up).collect()
    }

    fn score(&mut self, at: u64) -> Option<&mut Score> {
        let inside = |it: &Phase| (it.1..it.2).contains(&(at / SECOND));
        let phase = self.phases.iter().position(inside)?;
        Some(&mut self.scores[phase])
    }

    fn arrive(&mut self, now: u64, id: u64, request: Request) {
        let up = self.up();
        let engine = match self.policy {
            Policy::Bounded => return self.place(now, id, request, true),
            Policy::RoundRobin => {
                self.turn += 1;
                (0..up.len()).map(|it| (it + self.turn) % up.len()).find(|it| up[*it])
            }
            Policy::LeastReported => {
                // Ties are broken at random, as routers without a common order do.
                let load = |it: &usize| (self.reported[*it], mix(id ^ mix(*it as u64)));
                (0..up.len()).filter(|it| up[*it]).min_by_key(load)
            }
            Policy::Rendezvous => Some(self.fleet.rendezvous(request.chat, &up)),
            Policy::Affinity => {
                let tokens =
                    |it: &usize| self.engines[*it].cache.tokens(model::ChatKey(request.chat));
                let best = (0..up.len()).filter(|it| up[*it]).max_by_key(tokens);
                best.filter(|it| tokens(it) > 0)
                    .or_else(|| Some(self.fleet.rendezvous(request.chat, &up)))
            }
        };
        if let Some(engine) = engine {
            self.start(now, Placed { id, request, engine, router: 0 });
        }
    }

    fn place(&mut self, now: u64, id: u64, request: Request, patient: bool) {
        let up = self.up();
        match self.fleet.place(now, id, request, &up, patient) {
            Outcome::Started(placed) => self.start(now, placed),
            Outcome::Holds { engine, until } => {
                self.events.push(Reverse((until, Event::GiveUp { engine, id })));
            }
            Outcome::Waits => {}
        }
    }

    fn start(&mut self, now: u64, placed: Placed) {
        let Placed { id, request, engine, router } = placed;
        let cached = self.engines[engine].start(now, id, router, request);
        let Some(run) = self.engines[engine].runs.last().copied() else { return };
        self.events.push(Reverse((run.first, Event::First { engine, id })));
        self.events.push(Reverse((run.end, Event::End { engine, id })));
        if let Some(score) = self.score(request.at) {
            score.prompt += u64::from(request.prompt);
            score.cached += u64::from(cached);
            score.waits.push(run.first - request.at);
        }
    }

    fn take(&mut self, now: u64, event: Event) {
        match event {
            Event::First { engine, id } => {
                let run = self.engines[engine].runs.iter().find(|it| it.id == id).copied();
                if let Some(run) = run.filter(|_| self.policy == Policy::Bounded) {
                    self.fleet.progress(run.router, engine, id, run.request.out);
                    self.serve(now, engine);
                }
            }
            Event::End { engine, id } => {
                let runs = &mut self.engines[engine].runs;
                // A request that an engine lost runs again elsewhere; its first end is not its last.
                let Some(at) = runs.iter().position(|it| it.id == id && it.end == now) else {
                    return;
                };
                let run = runs.swap_remove(at);
                if self.policy == Policy::Bounded {
                    self.fleet.ended(now, run.router, engine, id);
                    self.serve(now, engine);
                }
            }
            Event::GiveUp { engine, id } => {
                if let Some(request) = self.fleet.give_up(engine, id) {
                    self.place(now, id, request, false);
                }
            }
            Event::Mean => {
                self.fleet.beat(now);
                self.reported = self.engines.iter().map(|it| it.work(now)).collect();
                for (engine, load) in self.reported.iter().enumerate() {
                    self.fleet.report(now, engine, *load);
                }
                (0..self.engines.len()).for_each(|it| self.serve(now, it));
                self.events.push(Reverse((now + self.refresh, Event::Mean)));
            }
            Event::Sample => {
                self.sample(now);
                self.events.push(Reverse((now + SAMPLE, Event::Sample)));
            }
            Event::Down { engine } => self.down(now, engine),
            Event::Up { engine } => {
                self.engines[engine] = Engine::new(self.cache);
                self.fleet.cleared(engine);
            }
            Event::Join => {
                self.engines.push(Engine::new(self.cache));
                self.reported.push(0);
                self.fleet.add_engine(now);
            }
            Event::Restart { slot } => self.fleet.replace_router(now, slot),
        }
    }

    fn serve(&mut self, now: u64, engine: usize) {
        let up = self.up();
        let placed = self.fleet.serve(now, engine, &up);
        placed.into_iter().for_each(|it| self.start(now, it));
    }

    /// An engine dies; what ran or waited there begins again elsewhere.
    fn down(&mut self, now: u64, engine: usize) {
        self.engines[engine].up = false;
        let runs = std::mem::take(&mut self.engines[engine].runs);
        let mut again: Vec<_> = runs.iter().map(|it| (it.id, it.request)).collect();
        if self.policy == Policy::Bounded {
            runs.iter().for_each(|it| self.fleet.ended(now, it.router, engine, it.id));
            again.extend(self.fleet.drop_queue(engine));
        }
        again.into_iter().for_each(|(id, request)| self.arrive(now, id, request));
    }

    fn sample(&mut self, now: u64) {
        let live: Vec<&Engine> = self.engines.iter().filter(|it| it.up).collect();
        let ratio = |of: fn(&Engine, u64) -> u64, mean: fn(&Engine, u64) -> u64| {
            let sum: u64 = live.iter().map(|it| mean(it, now)).sum();
            let most = live.iter().map(|it| of(it, now)).max().unwrap_or(0);
            (sum > 0).then(|| most * 1000 * live.len() as u64 / sum)
        };
        let count = |it: &Engine, _| it.runs.len() as u64;
        let ratios = [
            ratio(Engine::work, Engine::work),
            ratio(Engine::rest, Engine::work),
            ratio(count, count),
        ];
        let Some(score) = self.score(now) else { return };
        for (skews, ratio) in score.skews.iter_mut().zip(ratios) {
            skews.extend(ratio);
        }
    }
}

fn churn(shape: &Shape) -> Vec<(u64, Event)> {
    let mut events = vec![
        (300 * SECOND, Event::Down { engine: 3 }),
        (390 * SECOND, Event::Up { engine: 3 }),
        (450 * SECOND, Event::Join),
    ];
    for turn in 0..10 {
        events.push(((600 + 10 * turn) * SECOND, Event::Down { engine: 5 }));
        events.push(((605 + 10 * turn) * SECOND, Event::Up { engine: 5 }));
    }
    for slot in 0..shape.routers as usize {
        events.push(((750 + 15 * slot as u64) * SECOND, Event::Restart { slot }));
    }
    events
}

fn replay(shape: &Shape, requests: &[Request], phases: &[Phase], churn: &[(u64, Event)]) {
    let best = oracle(shape, requests, phases, churn, true);
    let recent = oracle(shape, requests, phases, churn, false);
    for ((phase, best), recent) in phases.iter().zip(&best).zip(&recent) {
        println!(
            "{:<28} {:<9} reuse {best:.3}; evicting the least recent: {recent:.3}",
            "oracle", phase.0
        );
    }
    let usual = Options {
        bound: 1250,
        less_cached: true,
        away: true,
        hold: (500, 2 * SECOND),
        hand_over: true,
        refresh: SECOND / 5,
    };
    let variants = [
        ("round robin", Policy::RoundRobin, usual),
        ("least reported", Policy::LeastReported, usual),
        ("plain rendezvous", Policy::Rendezvous, usual),
        ("unbounded affinity", Policy::Affinity, usual),
        ("bounded, owners", Policy::Bounded, usual),
        ("  means each second", Policy::Bounded, Options { refresh: SECOND, ..usual }),
        ("  work: whole prompt", Policy::Bounded, Options { less_cached: false, ..usual }),
        ("  no exceptions", Policy::Bounded, Options { away: false, ..usual }),
        ("  no waiting for prefix", Policy::Bounded, Options { hold: (0, 0), ..usual }),
        ("  waiting up to 1 s", Policy::Bounded, Options { hold: (100, SECOND), ..usual }),
        ("  waiting up to 3 s", Policy::Bounded, Options { hold: (1000, 3 * SECOND), ..usual }),
        ("  no hand-over of memory", Policy::Bounded, Options { hand_over: false, ..usual }),
        ("  bound 1.1", Policy::Bounded, Options { bound: 1100, ..usual }),
        ("  bound 1.5", Policy::Bounded, Options { bound: 1500, ..usual }),
    ];
    for (name, policy, options) in variants {
        let mut scores = Replay::new(shape, policy, options, phases).run(requests, churn);
        print(name, phases, &mut scores, &best);
    }
}

fn main() {
    let auditex = Shape {
        name: "Auditex",
        engines: 18,
        routers: 7,
        domains: 3,
        cache: 400_000,
        chats: 3.2,
        files: 40,
        file: 12_000,
    };
    let sahm = Shape {
        name: "Sahm",
        engines: 12,
        routers: 6,
        domains: 3,
        cache: 500_000,
        chats: 1.8,
        files: 8,
        file: 24_000,
    };
    for shape in [auditex, sahm] {
        let requests = trace::draw(&shape, 900, None);
        println!("\n{}, churn: {} requests in 900 s", shape.name, requests.len());
        let phases = [
            ("steady", 150, 300),
            ("lost", 300, 390),
            ("back", 390, 450),
            ("joined", 450, 600),
            ("flapping", 600, 700),
            ("restarts", 750, 870),
        ];
        replay(&shape, &requests, &phases, &churn(&shape));
        let requests = trace::draw(&shape, 450, Some((200, 300, 3.0)));
        println!("\n{}, surge: {} requests in 450 s", shape.name, requests.len());
        let phases = [("before", 100, 200), ("surge", 200, 300), ("after", 300, 450)];
        replay(&shape, &requests, &phases, &[]);
    }
}

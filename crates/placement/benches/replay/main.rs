//! Replays the same chats over the same engines under several policies. Measures cache reuse and
//! load skew in steady state, during churn, and during a surge by a large team.
//!
//! Reuse is the share of prompt tokens that were cached. The oracle is a single cache with the size
//! of all engines' caches together that evicts what is needed last. An engine that fails takes its
//! part of it along. Skew is sampled four times a second: the largest load divided by the mean
//! load, in work and in running requests. `without largest` excludes the largest request on each
//! engine.

mod engine;
#[path = "../../tests/fixture/mod.rs"]
mod fixture;
mod routers;
mod score;
mod trace;

use {
    crate::{
        engine::Engine,
        routers::{Options, Outcome, Routers, Started},
        score::{Phase, Score, oracle, print},
        trace::{Request, Workload},
    },
    model::{SECOND, mix},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const MILLISECOND: u64 = 1_000;

/// The interval between load samples, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 250 * MILLISECOND;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Policy {
    RoundRobin,
    LeastReported,
    Rendezvous,
    /// Routes to the engine that has the prefix cached, regardless of load.
    Affinity,
    Bounded,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    End {
        engine: usize,
        id: u64,
    },
    FirstToken {
        engine: usize,
        id: u64,
    },
    /// A request has waited long enough for room at the engine that has its prefix.
    WaitTimeout {
        engine: usize,
        id: u64,
    },
    RefreshLoads,
    Sample,
    Down {
        engine: usize,
    },
    Up {
        engine: usize,
    },
    Join,
    ReplaceRouter {
        slot: usize,
    },
}

struct Replay {
    policy: Policy,
    routers: Routers,
    refresh_interval_us: u64,
    engines: Vec<Engine>,
    cache: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// The last reported loads, for the least-reported policy.
    reported: Vec<u64>,
    last_chosen: usize,
    phases: Vec<Phase>,
    scores: Vec<Score>,
}

impl Replay {
    fn new(workload: &Workload, policy: Policy, options: Options, phases: &[Phase]) -> Replay {
        let engine = |_| Engine::new(workload.cache);
        Replay {
            policy,
            routers: Routers::new(workload, options),
            refresh_interval_us: options.refresh_interval_us,
            engines: (0..workload.engines).map(engine).collect(),
            cache: workload.cache,
            events: BinaryHeap::from([
                Reverse((0, Event::RefreshLoads)),
                Reverse((0, Event::Sample)),
            ]),
            reported: vec![0; workload.engines as usize],
            last_chosen: 0,
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
                self.handle_event(at, event);
            }
            self.handle_arrival(request.at, id as u64, *request);
        }
        self.scores
    }

    fn up_engines(&self) -> Vec<bool> {
        self.engines.iter().map(|it| it.up).collect()
    }

    fn score_at(&mut self, at: u64) -> Option<&mut Score> {
        let inside = |it: &Phase| (it.1..it.2).contains(&(at / SECOND));
        let phase = self.phases.iter().position(inside)?;
        Some(&mut self.scores[phase])
    }

    fn handle_arrival(&mut self, now: u64, id: u64, request: Request) {
        let up = self.up_engines();
        let engine = match self.policy {
            Policy::Bounded => return self.place(now, id, request, true),
            Policy::RoundRobin => {
                self.last_chosen += 1;
                (0..up.len()).map(|it| (it + self.last_chosen) % up.len()).find(|it| up[*it])
            }
            Policy::LeastReported => {
                // Ties are broken at random, because routers have no common order.
                let load = |it: &usize| (self.reported[*it], mix(id ^ mix(*it as u64)));
                (0..up.len()).filter(|it| up[*it]).min_by_key(load)
            }
            Policy::Rendezvous => Some(self.routers.rendezvous(request.chat, &up)),
            Policy::Affinity => {
                let tokens =
                    |it: &usize| self.engines[*it].cache.tokens(model::ChatKey(request.chat));
                let best = (0..up.len()).filter(|it| up[*it]).max_by_key(tokens);
                best.filter(|it| tokens(it) > 0)
                    .or_else(|| Some(self.routers.rendezvous(request.chat, &up)))
            }
        };
        if let Some(engine) = engine {
            self.start(now, Started { id, request, engine, router: 0 });
        }
    }

    fn place(&mut self, now: u64, id: u64, request: Request, may_wait: bool) {
        let up = self.up_engines();
        match self.routers.place(now, id, request, &up, may_wait) {
            Outcome::Started(started) => self.start(now, started),
            Outcome::WaitsForPrefix { engine, until } => {
                self.events.push(Reverse((until, Event::WaitTimeout { engine, id })));
            }
            Outcome::WaitsForRoom => {}
        }
    }

    fn start(&mut self, now: u64, started: Started) {
        let Started { id, request, engine, router } = started;
        let cached = self.engines[engine].start(now, id, router, request);
        let Some(run) = self.engines[engine].runs.last().copied() else { return };
        self.events.push(Reverse((run.first_token_at, Event::FirstToken { engine, id })));
        self.events.push(Reverse((run.ends_at, Event::End { engine, id })));
        if let Some(score) = self.score_at(request.at) {
            score.prompt += u64::from(request.prompt);
            score.cached += u64::from(cached);
            score.first_token_delays.push(run.first_token_at - request.at);
        }
    }

    fn handle_event(&mut self, now: u64, event: Event) {
        match event {
            Event::FirstToken { engine, id } => {
                let run = self.engines[engine].runs.iter().find(|it| it.id == id).copied();
                if let Some(run) = run.filter(|_| self.policy == Policy::Bounded) {
                    self.routers.progress(run.router, engine, id, run.request.output);
                    self.start_queued(now, engine);
                }
            }
            Event::End { engine, id } => {
                let runs = &mut self.engines[engine].runs;
                // A request that was lost with its engine runs again on another one, so its first
                // end event is stale.
                let Some(at) = runs.iter().position(|it| it.id == id && it.ends_at == now) else {
                    return;
                };
                let run = runs.swap_remove(at);
                if self.policy == Policy::Bounded {
                    self.routers.finish(now, run.router, engine, id);
                    self.start_queued(now, engine);
                }
            }
            Event::WaitTimeout { engine, id } => {
                if let Some(request) = self.routers.remove_waiting(engine, id) {
                    self.place(now, id, request, false);
                }
            }
            Event::RefreshLoads => {
                self.routers.refresh_loads(now);
                self.reported = self.engines.iter().map(|it| it.work(now)).collect();
                for (engine, load) in self.reported.iter().enumerate() {
                    self.routers.report(now, engine, *load);
                }
                (0..self.engines.len()).for_each(|it| self.start_queued(now, it));
                self.events.push(Reverse((now + self.refresh_interval_us, Event::RefreshLoads)));
            }
            Event::Sample => {
                self.sample(now);
                self.events.push(Reverse((now + SAMPLE_INTERVAL_US, Event::Sample)));
            }
            Event::Down { engine } => self.stop_engine(now, engine),
            Event::Up { engine } => {
                self.engines[engine] = Engine::new(self.cache);
                self.routers.clear_cache(engine);
            }
            Event::Join => {
                self.engines.push(Engine::new(self.cache));
                self.reported.push(0);
                self.routers.add_engine(now);
            }
            Event::ReplaceRouter { slot } => self.routers.replace_router(now, slot),
        }
    }

    fn start_queued(&mut self, now: u64, engine: usize) {
        let up = self.up_engines();
        let started = self.routers.start_queued(now, engine, &up);
        started.into_iter().for_each(|it| self.start(now, it));
    }

    /// Stops an engine. Its running and queued requests start over on other engines.
    fn stop_engine(&mut self, now: u64, engine: usize) {
        self.engines[engine].up = false;
        let runs = std::mem::take(&mut self.engines[engine].runs);
        let mut lost: Vec<_> = runs.iter().map(|it| (it.id, it.request)).collect();
        if self.policy == Policy::Bounded {
            runs.iter().for_each(|it| self.routers.finish(now, it.router, engine, it.id));
            lost.extend(self.routers.drop_queue(engine));
        }
        lost.into_iter().for_each(|(id, request)| self.handle_arrival(now, id, request));
    }

    fn sample(&mut self, now: u64) {
        let live: Vec<&Engine> = self.engines.iter().filter(|it| it.up).collect();
        let ratio = |of: fn(&Engine, u64) -> u64, mean: fn(&Engine, u64) -> u64| {
            let sum: u64 = live.iter().map(|it| mean(it, now)).sum();
            let largest = live.iter().map(|it| of(it, now)).max().unwrap_or(0);
            (sum > 0).then(|| largest * 1000 * live.len() as u64 / sum)
        };
        let count = |it: &Engine, _| it.runs.len() as u64;
        let ratios = [
            ratio(Engine::work, Engine::work),
            ratio(Engine::work_without_largest, Engine::work),
            ratio(count, count),
        ];
        let Some(score) = self.score_at(now) else { return };
        for (skews, ratio) in score.skews.iter_mut().zip(ratios) {
            skews.extend(ratio);
        }
    }
}

fn churn_events(workload: &Workload) -> Vec<(u64, Event)> {
    let mut events = vec![
        (300 * SECOND, Event::Down { engine: 3 }),
        (390 * SECOND, Event::Up { engine: 3 }),
        (450 * SECOND, Event::Join),
    ];
    for cycle in 0..10 {
        events.push(((600 + 10 * cycle) * SECOND, Event::Down { engine: 5 }));
        events.push(((605 + 10 * cycle) * SECOND, Event::Up { engine: 5 }));
    }
    for slot in 0..workload.routers as usize {
        events.push(((750 + 15 * slot as u64) * SECOND, Event::ReplaceRouter { slot }));
    }
    events
}

fn replay(workload: &Workload, requests: &[Request], phases: &[Phase], churn: &[(u64, Event)]) {
    let best = oracle(workload, requests, phases, churn, true);
    let recent = oracle(workload, requests, phases, churn, false);
    for ((phase, best), recent) in phases.iter().zip(&best).zip(&recent) {
        println!(
            "{:<28} {:<9} reuse {best:.3}; evicting the least recent: {recent:.3}",
            "oracle", phase.0
        );
    }
    let default_options = Options {
        bound: 1250,
        discount_cached: true,
        track_displaced: true,
        prefix_wait: (500, 2 * SECOND),
        hand_over: true,
        refresh_interval_us: SECOND / 5,
    };
    let variants = [
        ("round robin", Policy::RoundRobin, default_options),
        ("least reported", Policy::LeastReported, default_options),
        ("plain rendezvous", Policy::Rendezvous, default_options),
        ("unbounded affinity", Policy::Affinity, default_options),
        ("bounded, owners", Policy::Bounded, default_options),
        (
            "  mean updated every second",
            Policy::Bounded,
            Options { refresh_interval_us: SECOND, ..default_options },
        ),
        (
            "  work: whole prompt",
            Policy::Bounded,
            Options { discount_cached: false, ..default_options },
        ),
        (
            "  no displaced chats",
            Policy::Bounded,
            Options { track_displaced: false, ..default_options },
        ),
        (
            "  no waiting for prefix",
            Policy::Bounded,
            Options { prefix_wait: (0, 0), ..default_options },
        ),
        (
            "  waiting up to 1 s",
            Policy::Bounded,
            Options { prefix_wait: (100, SECOND), ..default_options },
        ),
        (
            "  waiting up to 3 s",
            Policy::Bounded,
            Options { prefix_wait: (1000, 3 * SECOND), ..default_options },
        ),
        ("  no handover", Policy::Bounded, Options { hand_over: false, ..default_options }),
        ("  bound 1.1", Policy::Bounded, Options { bound: 1100, ..default_options }),
        ("  bound 1.5", Policy::Bounded, Options { bound: 1500, ..default_options }),
    ];
    for (name, policy, options) in variants {
        let mut scores = Replay::new(workload, policy, options, phases).run(requests, churn);
        print(name, phases, &mut scores, &best);
    }
}

fn main() {
    let auditex = Workload {
        name: "Auditex",
        engines: 18,
        routers: 7,
        domains: 3,
        cache: 400_000,
        chats_per_second: 3.2,
        one_in_large: 40,
        large_prompt: 12_000,
    };
    let sahm = Workload {
        name: "Sahm",
        engines: 12,
        routers: 6,
        domains: 3,
        cache: 500_000,
        chats_per_second: 1.8,
        one_in_large: 8,
        large_prompt: 24_000,
    };
    for workload in [auditex, sahm] {
        let requests = trace::generate(&workload, 900, None);
        println!("\n{}, churn: {} requests in 900 s", workload.name, requests.len());
        let phases = [
            ("steady", 150, 300),
            ("lost", 300, 390),
            ("back", 390, 450),
            ("joined", 450, 600),
            ("flapping", 600, 700),
            ("restarts", 750, 870),
        ];
        replay(&workload, &requests, &phases, &churn_events(&workload));
        let requests = trace::generate(&workload, 450, Some((200, 300, 3.0)));
        println!("\n{}, surge: {} requests in 450 s", workload.name, requests.len());
        let phases = [("before", 100, 200), ("surge", 200, 300), ("after", 300, 450)];
        replay(&workload, &requests, &phases, &[]);
    }
}

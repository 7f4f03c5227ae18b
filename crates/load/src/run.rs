//! One run: sending by the clock, collecting, and the figures at the end.

use {
    crate::{
        call::{self, ChatAnswer, ChatResult},
        counts::Counts,
        flags::JfLoad,
        keys::{KeyAnswer, KeyBook},
        plot,
        report::Report,
        verdict::Verdict,
        watch,
        workload::{ChatTurn, KeyedCall, Shape, Step, Workload},
    },
    edge::Client,
    eyre::{Report as Failure, Result, WrapErr},
    indicatif::{ProgressBar, ProgressStyle},
    parking_lot::Mutex,
    settings::LoadSettings,
    standin::TOKEN_BYTES,
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch as signal,
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

const TICK: Duration = Duration::from_millis(5);
const HEAD_MS: u64 = 120_000;
const SURGING_TEAMS: usize = 2;

/// What all calls of a run share; the lock order is workload, keys, counts.
struct Shared {
    settings: LoadSettings,
    tokens: Vec<String>,
    client: Client,
    turn: AtomicUsize,
    workload: Mutex<Workload>,
    keys: Mutex<KeyBook>,
    counts: Mutex<Counts>,
}

/// Runs a load and returns its figures.
///
/// # Errors
///
/// A token cannot be read, or a result cannot be written.
pub async fn run(flags: &JfLoad, settings: &LoadSettings) -> Result<Report> {
    let shared = Arc::new(Shared::open(flags, settings)?);
    let (stop, stopped) = signal::channel(false);
    let started = Instant::now();
    let samples = tokio::spawn(watch::engines(settings.clone(), started, stopped));
    let before = watch::control_bytes(settings).await;
    send_all(flags, &shared, started).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = watch::control_bytes(settings).await;
    stop.send_replace(true);
    let samples = samples.await.wrap_err("load: watch engines")?;
    let runs = watch::runs(&settings.plain).await;
    let keys = runs.map(|it| shared.keys.lock().judge(&it));
    let report = Report::new(seconds, &shared.counts.lock(), keys, &samples, (&before, &after));
    if let Some(file) = &flags.json {
        report.write(file)?;
    }
    if let Some(file) = &flags.svg {
        plot::draw(file, &samples)?;
    }
    Ok(report)
}

impl Shared {
    fn open(flags: &JfLoad, settings: &LoadSettings) -> Result<Shared> {
        let token = |it: &settings::LoadTeam| {
            let text = fs::read_to_string(&it.token_file);
            let text = text.wrap_err_with(|| format!("load: read {}", it.token_file.display()))?;
            Ok(text.trim().to_owned())
        };
        let no_plain = settings.plain.is_empty();
        let shape = Shape {
            model: settings.model.to_string(),
            shares: settings.team.iter().map(|it| it.share).collect(),
            chats: flags.chats.unwrap_or(400),
            turns: flags.turns.unwrap_or(8).max(1),
            turn_bytes: flags.turn_bytes.unwrap_or(400),
            answer_tokens: flags.answer_tokens.unwrap_or(24),
            plain_permille: if no_plain { 0 } else { flags.plain_permille.unwrap_or(100) },
            resend_permille: flags.resend_permille.unwrap_or(200),
        };
        Ok(Shared {
            tokens: settings.team.iter().map(token).collect::<Result<_>>()?,
            client: Client::new(HEAD_MS),
            turn: AtomicUsize::new(0),
            workload: Mutex::new(Workload::new(shape, flags.seed.unwrap_or(1))),
            keys: Mutex::default(),
            counts: Mutex::default(),
            settings: settings.clone(),
        })
    }

    /// Returns the next router's address, as a balancer would.
    fn router(&self) -> SocketAddr {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.settings.router[turn % self.settings.router.len()].listen
    }

    async fn chat(&self, turn: ChatTurn) {
        let router = self.router();
        let sent = call::chat(&self.client, router, &self.tokens[turn.team], &turn).await;
        match sent {
            Ok(ChatResult::Answer(answer)) => self.answered(turn, answer, router),
            Ok(ChatResult::Refused(refusal)) => {
                self.workload.lock().refused(turn);
                *self.counts.lock().refused.entry(refusal).or_default() += 1;
            }
            Err(err) => {
                self.workload.lock().refused(turn);
                self.unanswered(&err);
            }
        }
    }

    fn answered(&self, turn: ChatTurn, answer: ChatAnswer, router: SocketAddr) {
        let known = known_tokens(&turn);
        let mut counts = self.counts.lock();
        counts.answer(answer.verdict, answer.usage, known);
        counts.first.note(answer.times.first, 1);
        counts.total.note(answer.times.total, 1);
        for (gap, tokens) in &answer.times.gaps {
            counts.between.note(*gap / *tokens as u32, *tokens);
        }
        if let Some(fault) = answer.fault {
            if answer.broken.is_some() && answer.verdict == Verdict::Lost {
                *counts.broken.entry(router.to_string()).or_default() += 1;
            }
            let why = answer.broken.unwrap_or_else(|| "ended in order".to_owned());
            let (chat, verdict) = (&turn.chat, answer.verdict);
            eprintln!(
                "jf-load: {chat} turn {} through {router}: {verdict} ({why}), {fault}",
                turn.turn
            );
        }
        drop(counts);
        self.workload.lock().answered(turn, answer.text);
    }

    async fn keyed(&self, call: KeyedCall) {
        let started = Instant::now();
        let at = call.team % self.settings.plain.len();
        let service = &self.settings.plain[at].service;
        let token = &self.tokens[call.team];
        let sent = call::keyed(&self.client, self.router(), token, service, &call).await;
        let answer = match sent {
            Ok((answer, refusal)) => {
                let mut counts = self.counts.lock();
                counts.plain.note(started.elapsed(), 1);
                if let Some(refusal) = refusal {
                    *counts.refused.entry(refusal).or_default() += 1;
                }
                answer
            }
            Err(err) => {
                self.unanswered(&err);
                KeyAnswer::Unknown
            }
        };
        self.keys.lock().note(&call.key, answer);
    }

    fn unanswered(&self, err: &Failure) {
        let text = err.to_string();
        let what = text.split(':').next().unwrap_or("").to_owned();
        *self.counts.lock().unanswered.entry(what).or_default() += 1;
    }
}

/// Returns the prompt tokens that an engine computed in earlier turns of a chat.
fn known_tokens(turn: &ChatTurn) -> u64 {
    let earlier = turn.request.messages.split_last().map_or(&[][..], |it| it.1);
    earlier.iter().map(|it| it.content.len().div_ceil(TOKEN_BYTES) as u64).sum()
}

/// Sends requests by the clock, whatever comes back, and waits for all answers.
async fn send_all(flags: &JfLoad, shared: &Arc<Shared>, started: Instant) {
    let seconds = flags.seconds.unwrap_or(30);
    let rate = f64::from(flags.rate.unwrap_or(100));
    let extra = f64::from(flags.surge.unwrap_or(1).saturating_sub(1));
    let surging = Surging::new(&shared.settings);
    let bar = progress(seconds);
    let mut calls = JoinSet::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (mut last, mut due, mut due_surge) = (0.0, 0.0, 0.0);
    while last < seconds as f64 {
        ticks.tick().await;
        let now = started.elapsed().as_secs_f64().min(seconds as f64);
        due += (now - last) * rate;
        if now > seconds as f64 / 3.0 && now < seconds as f64 * 2.0 / 3.0 {
            due_surge += (now - last) * rate * extra * surging.share;
        }
        last = now;
        while due >= 1.0 {
            due -= 1.0;
            let step = shared.workload.lock().draw();
            begin(&mut calls, shared, step);
        }
        while due_surge >= 1.0 {
            due_surge -= 1.0;
            let team = surging.next(shared);
            let step = shared.workload.lock().draw_of(team);
            begin(&mut calls, shared, step);
        }
        while calls.try_join_next().is_some() {}
        bar.set_position(now as u64);
        bar.set_message(format!("{} in flight", calls.len()));
    }
    while calls.join_next().await.is_some() {}
    bar.finish_and_clear();
}

/// The teams that surge.
struct Surging {
    teams: Vec<usize>,
    /// Their share of all requests.
    share: f64,
}

impl Surging {
    fn new(settings: &LoadSettings) -> Surging {
        let mut teams: Vec<usize> = (0..settings.team.len()).collect();
        teams.sort_by_key(|it| std::cmp::Reverse(settings.team[*it].share));
        teams.truncate(SURGING_TEAMS);
        let total: u32 = settings.team.iter().map(|it| it.share).sum();
        let own: u32 = teams.iter().map(|it| settings.team[*it].share).sum();
        Surging { teams, share: f64::from(own) / f64::from(total.max(1)) }
    }

    fn next(&self, shared: &Shared) -> usize {
        self.teams[shared.turn.load(Ordering::Relaxed) % self.teams.len()]
    }
}

fn begin(calls: &mut JoinSet<()>, shared: &Arc<Shared>, step: Step) {
    shared.counts.lock().sent += 1;
    let shared = shared.clone();
    calls.spawn(async move {
        match step {
            Step::Chat(turn) => shared.chat(turn).await,
            Step::Keyed(call) => shared.keyed(call).await,
        }
    });
}

fn progress(seconds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seconds);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}") {
        bar.set_style(style);
    }
    bar
}

//! Runs a load: sends requests at a fixed rate, collects the results and reports them.

use {
    crate::{
        call::{self, ChatAnswer, ChatResult},
        counts::Counts,
        flags::JfLoad,
        keys::{KeyAnswer, KeyTracker},
        plot,
        report::Report,
        verdict::Verdict,
        watch,
        workload::{ChatTurn, KeyedCall, NextRequest, Workload, WorkloadConfig},
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

/// The interval at which due requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout for the head of a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 120_000;
const SURGING_TEAM_COUNT: usize = 2;

/// The state shared by all calls of a run. The lock order is workload, keys, counts.
struct RunState {
    settings: LoadSettings,
    tokens: Vec<String>,
    client: Client,
    next_router: AtomicUsize,
    workload: Mutex<Workload>,
    keys: Mutex<KeyTracker>,
    counts: Mutex<Counts>,
}

/// Runs a load and returns its report.
///
/// # Errors
///
/// Returns an error if a token file cannot be read or an output file cannot be written.
pub async fn run(flags: &JfLoad, settings: &LoadSettings) -> Result<Report> {
    let state = Arc::new(RunState::new(flags, settings)?);
    let (stop, stopped) = signal::channel(false);
    let started = Instant::now();
    let samples = tokio::spawn(watch::sample_engines(settings.clone(), started, stopped));
    let before = watch::fetch_control_bytes(settings).await;
    send_all(flags, &state, started).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = watch::fetch_control_bytes(settings).await;
    stop.send_replace(true);
    let samples = samples.await.wrap_err("load: sampling the engines failed")?;
    let runs = watch::fetch_run_counts(&settings.plain).await;
    let keys = runs.map(|it| state.keys.lock().verdict(&it));
    let report = Report::new(seconds, &state.counts.lock(), keys, &samples, (&before, &after));
    if let Some(file) = &flags.json {
        report.write(file)?;
    }
    if let Some(file) = &flags.svg {
        plot::draw(file, &samples)?;
    }
    Ok(report)
}

impl RunState {
    fn new(flags: &JfLoad, settings: &LoadSettings) -> Result<RunState> {
        let token = |it: &settings::LoadTeam| {
            let text = fs::read_to_string(&it.token_file);
            let text =
                text.wrap_err_with(|| format!("load: failed to read {}", it.token_file.display()))?;
            Ok(text.trim().to_owned())
        };
        let no_plain = settings.plain.is_empty();
        let config = WorkloadConfig {
            model: settings.model.to_string(),
            shares: settings.team.iter().map(|it| it.share).collect(),
            chats: flags.chats.unwrap_or(400),
            turns: flags.turns.unwrap_or(8).max(1),
            turn_bytes: flags.turn_bytes.unwrap_or(400),
            answer_tokens: flags.answer_tokens.unwrap_or(24),
            plain_permille: if no_plain { 0 } else { flags.plain_permille.unwrap_or(100) },
            resend_permille: flags.resend_permille.unwrap_or(200),
        };
        Ok(RunState {
            tokens: settings.team.iter().map(token).collect::<Result<_>>()?,
            client: Client::new(RESPONSE_TIMEOUT_MS),
            next_router: AtomicUsize::new(0),
            workload: Mutex::new(Workload::new(config, flags.seed.unwrap_or(1))),
            keys: Mutex::default(),
            counts: Mutex::default(),
            settings: settings.clone(),
        })
    }

    /// Returns the address of the next router in turn, as a load balancer would.
    fn pick_router(&self) -> SocketAddr {
        let number = self.next_router.fetch_add(1, Ordering::Relaxed);
        self.settings.router[number % self.settings.router.len()].listen
    }

    async fn run_chat_turn(&self, turn: ChatTurn) {
        let router = self.pick_router();
        let sent = call::send_chat(&self.client, router, &self.tokens[turn.team], &turn).await;
        match sent {
            Ok(ChatResult::Answer(answer)) => self.record_answer(turn, answer, router),
            Ok(ChatResult::Refused(refusal)) => {
                self.workload.lock().revert_turn(turn);
                *self.counts.lock().refused.entry(refusal).or_default() += 1;
            }
            Err(err) => {
                self.workload.lock().revert_turn(turn);
                self.record_unanswered(&err);
            }
        }
    }

    fn record_answer(&self, turn: ChatTurn, answer: ChatAnswer, router: SocketAddr) {
        let reusable = reusable_tokens(&turn);
        let mut counts = self.counts.lock();
        counts.record_answer(answer.verdict, answer.usage, reusable);
        counts.first_token.record(answer.timing.first_part, 1);
        counts.total.record(answer.timing.total, 1);
        for (gap, tokens) in &answer.timing.gaps {
            counts.between_tokens.record(*gap / *tokens as u32, *tokens);
        }
        if let Some(mismatch) = answer.mismatch {
            if answer.body_error.is_some() && answer.verdict == Verdict::Lost {
                *counts.broken_connections.entry(router.to_string()).or_default() += 1;
            }
            let cause = answer.body_error.unwrap_or_else(|| "body complete".to_owned());
            let (chat, verdict) = (&turn.chat, answer.verdict);
            eprintln!(
                "jf-load: {chat} turn {} via {router}: {verdict} ({cause}), {mismatch}",
                turn.turn
            );
        }
        drop(counts);
        self.workload.lock().complete_turn(turn, answer.text);
    }

    async fn run_keyed_call(&self, call: KeyedCall) {
        let started = Instant::now();
        let index = call.team % self.settings.plain.len();
        let service = &self.settings.plain[index].service;
        let token = &self.tokens[call.team];
        let sent = call::send_keyed(&self.client, self.pick_router(), token, service, &call).await;
        let answer = match sent {
            Ok((answer, refusal)) => {
                let mut counts = self.counts.lock();
                counts.plain.record(started.elapsed(), 1);
                if let Some(refusal) = refusal {
                    *counts.refused.entry(refusal).or_default() += 1;
                }
                answer
            }
            Err(err) => {
                self.record_unanswered(&err);
                KeyAnswer::Unknown
            }
        };
        self.keys.lock().record(&call.key, answer);
    }

    /// Counts a request without a response by the text of its error before the first colon.
    fn record_unanswered(&self, err: &Failure) {
        let text = err.to_string();
        let step = text.split(':').next().unwrap_or("").to_owned();
        *self.counts.lock().unanswered.entry(step).or_default() += 1;
    }
}

/// Returns the number of prompt tokens that an engine computed in earlier turns of a chat.
fn reusable_tokens(turn: &ChatTurn) -> u64 {
    let earlier = turn.request.messages.split_last().map_or(&[][..], |it| it.1);
    earlier.iter().map(|it| it.content.len().div_ceil(TOKEN_BYTES) as u64).sum()
}

/// Sends requests at a fixed rate, independent of the answers, and then waits for all answers.
async fn send_all(flags: &JfLoad, state: &Arc<RunState>, started: Instant) {
    let seconds = flags.seconds.unwrap_or(30);
    let rate = f64::from(flags.rate.unwrap_or(100));
    let surge_extra = f64::from(flags.surge.unwrap_or(1).saturating_sub(1));
    let surging = SurgingTeams::new(&state.settings);
    let bar = progress_bar(seconds);
    let mut calls = JoinSet::new();
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (mut last, mut due, mut due_surge) = (0.0, 0.0, 0.0);
    while last < seconds as f64 {
        ticks.tick().await;
        let now = started.elapsed().as_secs_f64().min(seconds as f64);
        due += (now - last) * rate;
        if now > seconds as f64 / 3.0 && now < seconds as f64 * 2.0 / 3.0 {
            due_surge += (now - last) * rate * surge_extra * surging.share;
        }
        last = now;
        while due >= 1.0 {
            due -= 1.0;
            let request = state.workload.lock().next_request();
            spawn_call(&mut calls, state, request);
        }
        while due_surge >= 1.0 {
            due_surge -= 1.0;
            let team = surging.pick_team(state);
            let request = state.workload.lock().next_request_of(team);
            spawn_call(&mut calls, state, request);
        }
        while calls.try_join_next().is_some() {}
        bar.set_position(now as u64);
        bar.set_message(format!("{} in flight", calls.len()));
    }
    while calls.join_next().await.is_some() {}
    bar.finish_and_clear();
}

/// The largest teams, whose rate increases during a surge.
struct SurgingTeams {
    teams: Vec<usize>,
    /// Their combined share of all requests.
    share: f64,
}

impl SurgingTeams {
    fn new(settings: &LoadSettings) -> SurgingTeams {
        let mut teams: Vec<usize> = (0..settings.team.len()).collect();
        teams.sort_by_key(|it| std::cmp::Reverse(settings.team[*it].share));
        teams.truncate(SURGING_TEAM_COUNT);
        let total: u32 = settings.team.iter().map(|it| it.share).sum();
        let surging: u32 = teams.iter().map(|it| settings.team[*it].share).sum();
        SurgingTeams { teams, share: f64::from(surging) / f64::from(total.max(1)) }
    }

    fn pick_team(&self, state: &RunState) -> usize {
        self.teams[state.next_router.load(Ordering::Relaxed) % self.teams.len()]
    }
}

fn spawn_call(calls: &mut JoinSet<()>, state: &Arc<RunState>, request: NextRequest) {
    state.counts.lock().sent += 1;
    let state = state.clone();
    calls.spawn(async move {
        match request {
            NextRequest::Chat(turn) => state.run_chat_turn(turn).await,
            NextRequest::Keyed(call) => state.run_keyed_call(call).await,
        }
    });
}

fn progress_bar(seconds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seconds);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}") {
        bar.set_style(style);
    }
    bar
}

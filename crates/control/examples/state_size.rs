//! Measures the replicated state at the far size: memory, snapshot and time for teams, plans and claims.
//!
//! `cargo run --release -p control --example state_size -- claims`, and `-- teams`: each in a process of its own, as
//! memory that one freed would hide what the other takes.

#![allow(clippy::disallowed_methods, reason = "it measures time")]

use {
    bincode::{config::standard, serde::encode_to_vec},
    control::{Command, Output, State},
    intent::{Action, Document, Operation, PlanId, WeightStore},
    ledger::{ClaimKey, ClaimStep, LedgerCall, LedgerReply, RecordedAnswer},
    model::{
        Digest, Domain, Epoch, OperationId, RequestId, Roster, RouterEntry, RouterId, RouterState,
        ServiceId, TeamId,
    },
    replica::StateMachine,
    std::{env, fmt::Write, fs, sync::Arc, time::Instant},
};

const TEAMS: usize = 12_000;
const ENDPOINTS: usize = 1_100;
const CHANGES: u64 = 500;
const CLAIMS: u64 = 500_000;
const COPIES: usize = 20;
const BODY_BYTES: usize = 64;

fn main() {
    let mut state = State::default();
    match env::args().nth(1).as_deref() {
        Some("claims") => claims(&mut state),
        Some("teams") => {
            teams(&mut state);
            changes(&mut state);
        }
        _ => eprintln!("expected claims or teams"),
    }
}

/// The resident memory of this process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse().ok());
    pages.unwrap_or(0usize) * 4_096
}

fn document(teams: usize, endpoints: usize, minimum: u32) -> Document {
    let mut text = String::new();
    let service = "[[service]]\nname = \"draft\"\nkind = \"model\"\nbound-permille = 1250\n";
    writeln!(text, "{service}minimum = {minimum}\nclaim-ms = 86400000").unwrap_or_default();
    for at in 0..teams {
        let token = Digest::of(&at.to_le_bytes());
        let limits = "rate-per-second = 100\nrunning = 10\nqueued = 10";
        writeln!(text, "[[team]]\nname = \"team-{at}\"\ntokens = [\"sha256:{token}\"]\n{limits}")
            .unwrap_or_default();
    }
    for at in 0..endpoints {
        let addr = format!("10.{}.{}.1:8000", at / 250, at % 250);
        let rest = "domain = \"prg-a\"\nfencing = \"checked\"";
        let image = "images = [{ model = \"draft\", version = \"v1\" }]";
        writeln!(
            text,
            "[[endpoint]]\nname = \"draft-{at}\"\nservice = \"draft\"\naddr = \"{addr}\"\n{rest}\n{image}"
        )
        .unwrap_or_default();
    }
    Document::parse(&text).unwrap_or_else(|it| panic!("{it}"))
}

fn operation(id: String, action: Action) -> Vec<u8> {
    let operation = Operation {
        id: OperationId(id.into()),
        operator: "alice".into(),
        at_ms: 0,
        action,
        live: [].into(),
        weights: WeightStore::default(),
    };
    encode_to_vec(Command::Operation(Box::new(operation)), standard()).unwrap_or_default()
}

fn teams(state: &mut State) {
    let plan = operation("plan-0".into(), Action::Plan(document(TEAMS, ENDPOINTS, 0)));
    let start = Instant::now();
    state.apply(0, &plan);
    println!("plan of {TEAMS} teams and {ENDPOINTS} endpoints: {:?}", start.elapsed());
    let confirm = operation("confirm-0".into(), Action::Confirm { plan: PlanId(1) });
    let start = Instant::now();
    state.apply(0, &confirm);
    println!("confirm of it: {:?}", start.elapsed());
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes", snapshot.len());
    copies(&snapshot);
}

/// Restores a few copies, as memory that was freed before hides the growth of a first one.
fn copies(snapshot: &[u8]) {
    let mut states: Vec<State> = (0..COPIES).map(|_| State::default()).collect();
    let before = resident();
    for state in &mut states {
        state.restore(snapshot).unwrap_or_else(|it| panic!("{it}"));
    }
    let each = resident().saturating_sub(before) / COPIES;
    println!("memory: {each} bytes, {} a team (plan, answer and delta kept)", each / TEAMS);
}

fn changes(state: &mut State) {
    let documents = [document(TEAMS, ENDPOINTS, 0), document(TEAMS, ENDPOINTS, 1)];
    let commands: Vec<_> = (1..=CHANGES)
        .map(|it| {
            let plan = Action::Plan(documents[it as usize % 2].clone());
            let confirm = Action::Confirm { plan: PlanId(it + 1) };
            (operation(format!("plan-{it}"), plan), operation(format!("confirm-{it}"), confirm))
        })
        .collect();
    let start = Instant::now();
    for (plan, confirm) in &commands {
        state.apply(0, plan);
        state.apply(0, confirm);
    }
    println!("{CHANGES} changes of one line, the whole document sent: {:?}", start.elapsed());
    let start = Instant::now();
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes in {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    State::default().restore(&snapshot).unwrap_or_else(|it| panic!("{it}"));
    println!("restore: {:?}", start.elapsed());
}

fn claims(state: &mut State) {
    let entry = RouterEntry {
        id: RouterId(1),
        addr: ([127, 0, 0, 1], 9).into(),
        domain: Domain("prg-a".into()),
        state: RouterState::Live,
        acked: Epoch(0),
        lost: Epoch(0),
    };
    state.apply(0, &operation("plan".into(), Action::Plan(document(0, 0, 0))));
    state.apply(0, &operation("confirm".into(), Action::Confirm { plan: PlanId(1) }));
    state.execute(Command::Roster(Roster { epoch: Epoch(1), routers: [entry].into() }));
    let before = resident();
    let start = Instant::now();
    for number in 0..CLAIMS {
        let key = ClaimKey::new(TeamId(1), ServiceId(1), &number.to_le_bytes());
        let call =
            |step| LedgerCall { key, router: RouterId(1), id: RequestId(number.into()), step };
        let ledger = |step| Command::Ledger { at_ms: 0, call: call(step) };
        let claimed = state.execute(ledger(ClaimStep::Claim { request: Digest::default() }));
        assert!(matches!(claimed, Output::Ledger(LedgerReply::Granted)), "{claimed:?}");
        let answer = RecordedAnswer::new(200, [], vec![7; BODY_BYTES].into());
        state.execute(ledger(ClaimStep::Done { answer: Arc::new(answer) }));
    }
    let taken = start.elapsed();
    let grown = resident().saturating_sub(before) as u64;
    println!("{CLAIMS} claims with answers of {BODY_BYTES} bytes: {taken:?}");
    println!("memory: {grown} bytes, {} a claim", grown / CLAIMS);
    let start = Instant::now();
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes in {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    State::default().restore(&snapshot).unwrap_or_else(|it| panic!("{it}"));
    println!("restore: {:?}", start.elapsed());
}

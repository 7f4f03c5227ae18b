//! Measures the memory, the snapshot and the time that the replicated state takes for many teams, plans and claims.
//!
//! Run `cargo run --release -p control --example state_size -- claims` and `-- teams` as separate processes, because
//! memory freed by one measurement would hide the memory that the other one takes.

#![allow(clippy::disallowed_methods, reason = "this example measures time")]

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
        Some("claims") => measure_claims(&mut state),
        Some("teams") => {
            measure_teams(&mut state);
            measure_changes(&mut state);
        }
        _ => eprintln!("expected the argument claims or teams"),
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
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

fn measure_teams(state: &mut State) {
    let plan = operation("plan-0".into(), Action::Plan(document(TEAMS, ENDPOINTS, 0)));
    let start = Instant::now();
    state.apply(0, &plan);
    println!("plan of {TEAMS} teams and {ENDPOINTS} endpoints: {:?}", start.elapsed());
    let confirm = operation("confirm-0".into(), Action::Confirm { plan: PlanId(1) });
    let start = Instant::now();
    state.apply(0, &confirm);
    println!("confirmation of the plan: {:?}", start.elapsed());
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes", snapshot.len());
    measure_copies(&snapshot);
}

/// Restores several copies of the state and prints the memory per copy. A single copy could reuse memory that was freed
/// before, which would hide its size.
fn measure_copies(snapshot: &[u8]) {
    let mut states: Vec<State> = (0..COPIES).map(|_| State::default()).collect();
    let before = resident_bytes();
    for state in &mut states {
        state.restore(snapshot).unwrap_or_else(|it| panic!("{it}"));
    }
    let bytes_per_copy = resident_bytes().saturating_sub(before) / COPIES;
    println!(
        "memory: {bytes_per_copy} bytes, {} per team (including plan, answer and delta)",
        bytes_per_copy / TEAMS
    );
}

fn measure_changes(state: &mut State) {
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
    println!("{CHANGES} changes of one line, each with the full document: {:?}", start.elapsed());
    let start = Instant::now();
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes in {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    State::default().restore(&snapshot).unwrap_or_else(|it| panic!("{it}"));
    println!("restore: {:?}", start.elapsed());
}

fn measure_claims(state: &mut State) {
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
    state.execute(1, Command::Roster(Roster { epoch: Epoch(1), routers: [entry].into() }));
    let before = resident_bytes();
    let start = Instant::now();
    for number in 0..CLAIMS {
        let key = ClaimKey::new(TeamId(1), ServiceId(1), &number.to_le_bytes());
        let call =
            |step| LedgerCall { key, router: RouterId(1), id: RequestId(number.into()), step };
        let ledger = |step| Command::Ledger { at_ms: 0, call: call(step) };
        let claimed = state.execute(1, ledger(ClaimStep::Claim { request: Digest::default() }));
        assert!(matches!(claimed, Output::Ledger(LedgerReply::Granted)), "{claimed:?}");
        let answer = RecordedAnswer::new(200, [], vec![7; BODY_BYTES].into());
        state.execute(1, ledger(ClaimStep::Done { answer: Arc::new(answer) }));
    }
    let elapsed = start.elapsed();
    let growth = resident_bytes().saturating_sub(before) as u64;
    println!("{CLAIMS} claims with answers of {BODY_BYTES} bytes: {elapsed:?}");
    println!("memory: {growth} bytes, {} per claim", growth / CLAIMS);
    let start = Instant::now();
    let snapshot = state.snapshot();
    println!("snapshot: {} bytes in {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    State::default().restore(&snapshot).unwrap_or_else(|it| panic!("{it}"));
    println!("restore: {:?}", start.elapsed());
}

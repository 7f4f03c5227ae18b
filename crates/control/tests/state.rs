//! Tests that the replicated state depends only on the applied commands, even if it was restored from a snapshot in
//! between.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    control::{Command, Output, State},
    intent::{Action, Document, Operation, PlanId, WeightStore},
    ledger::{ClaimKey, ClaimStep, LedgerCall, LedgerReply, RecordedAnswer},
    model::{
        Digest, Domain, Epoch, HostName, OperationId, RequestId, Roster, RouterEntry, RouterId,
        RouterState, ServiceId, TeamId,
    },
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, Strategy, any, prop_oneof},
        prop_assert_eq, proptest,
    },
    replica::StateMachine,
    std::sync::Arc,
};

const INTENT: &str = r#"
[[service]]
name = "po-app"
kind = "plain"
bound-permille = 1250
minimum = 0
claim-ms = 1000
"#;

fn operation(id: u8, at_ms: u64, action: Action) -> Command {
    Command::Operation(Box::new(Operation {
        id: OperationId(format!("op-{id}").into()),
        operator: "omar".into(),
        at_ms,
        action,
        live: [].into(),
        weights: WeightStore::default(),
    }))
}

fn document(minimum: u32) -> Document {
    Document::parse(&INTENT.replace("minimum = 0", &format!("minimum = {minimum}"))).unwrap()
}

fn roster(epoch: u64, states: &[RouterState]) -> Roster {
    let entry = |(at, state): (usize, &RouterState)| RouterEntry {
        id: RouterId(at as u32 + 1),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: Domain("muscat-a".into()),
        state: *state,
        acked: Epoch(0),
        lost: Epoch(0),
    };
    Roster { epoch: Epoch(epoch), routers: states.iter().enumerate().map(entry).collect() }
}

fn call(router: u32, id: u8, key: u8, step: ClaimStep) -> LedgerCall {
    let key = ClaimKey::new(TeamId(1), ServiceId(1), &[key]);
    LedgerCall { key, router: RouterId(router), id: RequestId(id.into()), step }
}

fn claim_step() -> impl Strategy<Value = ClaimStep> {
    (0..4u8, any::<u8>()).prop_map(|(kind, byte)| match kind {
        0 => ClaimStep::Claim { request: Digest::of(&[byte % 2]) },
        1 => ClaimStep::Done { answer: Arc::new(RecordedAnswer::new(200, [], vec![byte].into())) },
        2 => ClaimStep::Release,
        _ => ClaimStep::Unknown,
    })
}

fn command() -> impl Strategy<Value = Command> {
    let state = || {
        prop_oneof![
            proptest::strategy::Just(RouterState::Live),
            proptest::strategy::Just(RouterState::Missing),
        ]
    };
    let register = any::<u8>().prop_map(|it| Command::Register {
        host: HostName(format!("e{}", it % 3).into()),
        process: u64::from(it % 5),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: Domain("muscat-a".into()),
    });
    prop_oneof![
        (0..20u8, 0..5_000u64, 0..2u32).prop_map(|(id, at, minimum)| operation(
            id,
            at,
            Action::Plan(document(minimum))
        )),
        (0..20u8, 0..5_000u64, 0..6u64).prop_map(|(id, at, plan)| operation(
            id,
            at,
            Action::Confirm { plan: PlanId(plan) }
        )),
        register,
        (0..6u64, vec(state(), 0..4))
            .prop_map(|(epoch, states)| Command::Roster(roster(epoch, &states))),
        (0..5_000u64, 1..4u32, 0..6u8, 0..2u8, claim_step()).prop_map(
            |(at_ms, router, id, key, step)| Command::Ledger {
                at_ms,
                call: call(router, id, key, step)
            }
        ),
        (0..5_000u64, any::<u8>()).prop_map(|(at_ms, byte)| Command::Quarantine {
            at_ms,
            fingerprint: Digest::of(&[byte % 4])
        }),
    ]
}

/// The encoding of the length 2^60, as `bincode` has it.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 16];

/// Guards against an allocation of the length that a command claims to have, which aborts every replica that applies it.
#[test]
fn a_command_with_a_huge_length_is_malformed() {
    let malformed = encode_to_vec(Output::Malformed, standard()).unwrap();
    // Variant 6 is a barrier, which has no content.
    for variant in (0..9).filter(|it| *it != 6) {
        let command = [&[variant], &HUGE_LENGTH[..]].concat();
        assert_eq!(State::default().apply(1, &command), malformed, "variant {variant}");
    }
}

/// Guards against an allocation of the length that a damaged snapshot claims to have, which aborts the replica.
#[test]
fn a_snapshot_with_a_huge_length_is_refused_or_read() {
    let mut state = State::default();
    let registration = Command::Register {
        host: HostName("h".into()),
        process: 1,
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: Domain("muscat-a".into()),
    };
    state.apply(1, &encode_to_vec(registration, standard()).unwrap());
    let bytes = state.snapshot();
    for at in 0..bytes.len() {
        let damaged = [&bytes[..at], &HUGE_LENGTH, &bytes[at..]].concat();
        let _ = State::default().restore(&damaged);
    }
    // The part of the section with the evacuations.
    for start in [&[][..], &[1], &[0, 1], &[1, 1]] {
        let content = [start, &HUGE_LENGTH].concat();
        let part = [&[2, content.len() as u8], &content[..]].concat();
        let _ = State::default().restore(&[&bytes[..], &part].concat());
    }
    assert!(State::default().restore(&bytes).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against panics and aborts on random bytes with a huge length in their middle.
    #[test]
    fn arbitrary_commands_and_snapshots_never_abort(
        start in vec(0..8_u8, 0..12),
        rest in vec(any::<u8>(), 0..40),
        has_length in any::<bool>(),
    ) {
        let length = if has_length { &HUGE_LENGTH[..] } else { &[] };
        let bytes = [&start[..], length, &rest].concat();
        let _ = State::default().apply(1, &bytes);
        let _ = State::default().restore(&bytes);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn restoring_snapshots_preserves_the_state(commands in vec(command(), 1..60)) {
        let (mut direct, mut restored) = (State::default(), State::default());
        for (index, command) in commands.iter().enumerate() {
            let bytes = encode_to_vec(command, standard()).unwrap();
            prop_assert_eq!(
                direct.apply(index as u64, &bytes),
                restored.apply(index as u64, &bytes)
            );
            let snapshot = restored.snapshot();
            restored = State::default();
            restored.restore(&snapshot).unwrap();
            prop_assert_eq!(&direct, &restored);
        }
    }
}

#[test]
fn a_malformed_command_leaves_the_state_unchanged() {
    let mut state = State::default();
    let reply = state.apply(1, &[0xff; 9]);
    let (output, _): (Output, _) = decode_from_slice(&reply, standard()).unwrap();
    assert_eq!(output, Output::Malformed);
    assert_eq!(state, State::default());
}

#[test]
fn claims_of_a_missing_router_become_unknown() {
    let mut state = State::default();
    state.execute(1, operation(1, 0, Action::Plan(document(0))));
    state.execute(1, operation(2, 0, Action::Confirm { plan: PlanId(1) }));
    let claim = || ClaimStep::Claim { request: Digest::of(b"approve") };
    let ledger = |state: &mut State, router, id| {
        state.execute(1, Command::Ledger { at_ms: 0, call: call(router, id, 1, claim()) })
    };
    let both_live = [RouterState::Live; 2];
    assert_eq!(state.execute(1, Command::Roster(roster(1, &both_live))), Output::Roster(true));
    assert_eq!(state.execute(1, Command::Roster(roster(1, &[]))), Output::Roster(false));
    assert_eq!(ledger(&mut state, 1, 1), Output::Ledger(LedgerReply::Granted));
    assert_eq!(ledger(&mut state, 2, 2), Output::Ledger(LedgerReply::InProgress));
    let first_missing = [RouterState::Missing, RouterState::Live];
    assert_eq!(state.execute(1, Command::Roster(roster(2, &first_missing))), Output::Roster(true));
    assert_eq!(ledger(&mut state, 2, 3), Output::Ledger(LedgerReply::Unknown));
    assert_eq!(ledger(&mut state, 1, 4), Output::Ledger(LedgerReply::NotLive));
}

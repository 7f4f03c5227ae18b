//! Fault injection: under crashes, disk loss, network faults and clock drift, no acknowledged command is lost, and no
//! replica leads or answers reads without a lease.

mod sim;

use {proptest::prelude::*, sim::Sim};

#[derive(Clone, Debug)]
enum Op {
    Rounds(u8),
    AdvanceTime(u32),
    Deliver(u16),
    DropMessage(u16),
    DuplicateMessage(u16),
    Delay(u64),
    Sync(usize),
    ToggleDiskStall(usize),
    Propose(usize),
    ProposeToLeader(u8),
    Read(usize),
    Snapshot(usize),
    Crash(usize, u64),
    CrashLeader(u64),
    CrashAndRestart(usize, u64),
    FailDisk(usize, u32, u64),
    Restart(usize),
    WipeDisk(usize),
    WipeLeaderDisk,
    FreezeLeader,
    UnfreezeAndRead(usize),
    Isolate(usize),
    IsolateLeader,
    CutLink(usize, usize),
    CutLeaderFrom(usize),
    Heal,
    ReplaceHost(usize),
}

/// Generates faults and requests for a group of `hosts` hosts.
fn op(hosts: usize) -> impl Strategy<Value = Op> {
    let host = move || 0..hosts;
    prop_oneof![
        24 => (1..100u8).prop_map(Op::Rounds),
        4 => (1..400_000u32).prop_map(Op::AdvanceTime),
        12 => any::<u16>().prop_map(Op::Deliver),
        2 => any::<u16>().prop_map(Op::DropMessage),
        2 => any::<u16>().prop_map(Op::DuplicateMessage),
        3 => (0..7u64).prop_map(Op::Delay),
        3 => host().prop_map(Op::Sync),
        1 => host().prop_map(Op::ToggleDiskStall),
        1 => host().prop_map(Op::Propose),
        14 => (1..4u8).prop_map(Op::ProposeToLeader),
        4 => host().prop_map(Op::Read),
        2 => host().prop_map(Op::Snapshot),
        2 => (host(), any::<u64>()).prop_map(|(at, pick)| Op::Crash(at, pick)),
        2 => any::<u64>().prop_map(Op::CrashLeader),
        2 => (host(), any::<u64>()).prop_map(|(at, pick)| Op::CrashAndRestart(at, pick)),
        1 => (host(), 0..9u32, any::<u64>())
            .prop_map(|(at, left, pick)| Op::FailDisk(at, left, pick)),
        12 => host().prop_map(Op::Restart),
        2 => host().prop_map(Op::WipeDisk),
        1 => Just(Op::WipeLeaderDisk),
        2 => Just(Op::FreezeLeader),
        6 => host().prop_map(Op::UnfreezeAndRead),
        1 => host().prop_map(Op::Isolate),
        3 => Just(Op::IsolateLeader),
        1 => (host(), host()).prop_map(|(a, b)| Op::CutLink(a, b)),
        2 => host().prop_map(Op::CutLeaderFrom),
        6 => Just(Op::Heal),
        1 => host().prop_map(Op::ReplaceHost),
    ]
}

/// Generates clock drifts: the two extremes that the drift margin allows, or any value between them.
fn drift() -> impl Strategy<Value = i32> {
    prop_oneof![Just(-50_000), Just(50_000), -50_000..50_000i32]
}

fn apply(sim: &mut Sim, op: &Op) {
    match *op {
        Op::Rounds(count) => (0..count).for_each(|_| sim.round()),
        Op::AdvanceTime(micros) => {
            sim.advance_time(u64::from(micros));
            (0..sim.hosts.len()).for_each(|it| sim.tick(it));
        }
        Op::Deliver(pick) => sim.deliver(Some(pick.into())),
        Op::DropMessage(pick) => sim.net.drop_message(pick.into()),
        Op::DuplicateMessage(pick) => sim.net.duplicate(pick.into()),
        Op::Sync(at) => sim.sync(at),
        Op::ToggleDiskStall(at) => sim.hosts[at].stalled ^= true,
        Op::Propose(at) => sim.propose(at),
        Op::Delay(eighths) => sim.delay = eighths,
        Op::ProposeToLeader(count) => {
            (0..count).for_each(|_| sim.leader().into_iter().for_each(|it| sim.propose(it)));
        }
        Op::Read(at) => sim.read(at),
        Op::Snapshot(at) => sim.snapshot(at),
        Op::Crash(at, pick) => sim.crash(at, pick),
        Op::CrashLeader(pick) => sim.leader().into_iter().for_each(|it| sim.crash(it, pick)),
        Op::CrashAndRestart(at, pick) => {
            sim.crash(at, pick);
            sim.restart(at);
        }
        Op::FailDisk(at, left, pick) => sim.fail_disk(at, left, pick),
        Op::Restart(at) => sim.restart(at),
        Op::WipeDisk(at) => wipe_disk(sim, at),
        Op::WipeLeaderDisk => sim.leader().into_iter().for_each(|it| wipe_disk(sim, it)),
        Op::FreezeLeader => sim.leader().into_iter().for_each(|it| sim.hosts[it].frozen = true),
        Op::UnfreezeAndRead(at) => {
            sim.hosts[at].frozen = false;
            sim.read(at);
        }
        Op::Isolate(at) => isolate(sim, at),
        Op::IsolateLeader => sim.leader().into_iter().for_each(|it| isolate(sim, it)),
        Op::CutLink(from, to) => sim.net.block(from, to),
        Op::CutLeaderFrom(at) => sim.leader().into_iter().for_each(|it| sim.net.block(it, at)),
        Op::Heal => sim.net.heal(),
        Op::ReplaceHost(at) if sim.is_seeded() => sim.replace(at),
        Op::ReplaceHost(_) => {}
    }
}

fn wipe_disk(sim: &mut Sim, at: usize) {
    if sim.wipe_disk(at) {
        sim.restart(at);
    }
}

fn isolate(sim: &mut Sim, at: usize) {
    for other in 0..sim.hosts.len() {
        sim.net.block(at, other);
        sim.net.block(other, at);
    }
}

/// Applies the operations, then checks that the group has kept all acknowledged commands and accepts new ones.
fn run_and_verify(mut sim: Sim, ops: &[Op]) {
    ops.iter().for_each(|it| apply(&mut sim, it));
    sim.recover();
    sim.check_acknowledged();
    let (leader, before) = (sim.leader().unwrap(), sim.acknowledged.len());
    sim.propose(leader);
    (0..50).for_each(|_| sim.round());
    assert_eq!(sim.acknowledged.len(), before + 1, "the group accepts commands again");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_commands_survive_and_at_most_one_replica_leads(
        drifts in prop::array::uniform3(drift()),
        ops in prop::collection::vec(op(3), 1..150),
    ) {
        run_and_verify(Sim::start(&drifts), &ops);
    }

    #[test]
    fn five_replicas_survive_two_lost_disks(
        drifts in prop::array::uniform5(drift()),
        ops in prop::collection::vec(op(5), 1..150),
    ) {
        run_and_verify(Sim::start(&drifts), &ops);
    }

    /// Three hosts bootstrap a group together under faults; later one is replaced by a host at another address.
    #[test]
    fn a_group_bootstrapped_from_seeds_survives_a_replaced_host(
        drifts in prop::array::uniform4(drift()),
        ops in prop::collection::vec(op(4), 1..150),
    ) {
        run_and_verify(Sim::seeded(&drifts), &ops);
    }
}

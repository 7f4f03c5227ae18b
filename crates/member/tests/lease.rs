//! Leases count from when the heartbeat was sent, and the leader knows only what it can prove.

use {
    member::{FlapDamping, Heartbeat, Lease, LeasePhase, LeaseTiming, MemberTracker},
    model::{Domain, HostName, Roster, RouterId, RouterState, SECOND, Time},
};

fn at(seconds: u64) -> Time {
    Time((100 + seconds) * SECOND)
}

fn hello(members: &mut MemberTracker, now: Time, id: u32, port: u16) {
    let (host, domain) = (HostName("h".into()), Domain("d".into()));
    members.register(now, RouterId(id), host, ([127, 0, 0, 1], port).into(), domain);
}

fn beat(members: &mut MemberTracker, now: Time, id: u32, seq: u64) -> Option<u32> {
    let epoch = members.roster().epoch;
    let beat = Heartbeat { seq, epoch, ..Heartbeat::default() };
    members.on_heartbeat(now, RouterId(id), beat).map(|it| it.lease_ms)
}

fn commit(members: &mut MemberTracker, now: Time) {
    if let Some(roster) = members.tick(now) {
        members.on_committed(roster);
    }
}

/// A leader that has heard a router for four seconds, with the roster committed.
fn heard() -> MemberTracker {
    let mut members = MemberTracker::new(at(0), Roster::default(), LeaseTiming::default());
    hello(&mut members, at(0), 1, 1);
    for second in 1..5 {
        beat(&mut members, at(second), 1, second);
        commit(&mut members, at(second));
    }
    members
}

fn state(members: &MemberTracker) -> Option<RouterState> {
    members.roster().get(RouterId(1)).map(|it| it.state)
}

#[test]
fn a_late_answer_renews_from_when_the_heartbeat_was_sent() {
    let mut lease = Lease::new(LeaseTiming::default());
    let seq = lease.next_heartbeat(at(0)).unwrap();
    assert!(lease.on_reply(seq, 8_000));
    assert!(lease.is_valid(at(7)));
    assert!(!lease.is_valid(at(8)), "a margin is taken off for drift");
    assert_eq!(lease.phase(at(10)), LeasePhase::Expired);
    assert!(matches!(lease.phase(at(17)), LeasePhase::FixedShare(_)));
}

#[test]
fn a_heartbeat_given_up_leaves_a_gap_in_the_numbers() {
    let mut lease = Lease::new(LeaseTiming::default());
    let first = lease.next_heartbeat(at(0)).unwrap();
    assert_eq!(lease.next_heartbeat(at(1)), None, "the first one is unanswered");
    let second = lease.next_heartbeat(at(5)).unwrap();
    assert_eq!(second, first + 2);
    assert!(!lease.on_reply(first, 8_000));
    assert!(lease.on_reply(second, 8_000));
    assert_eq!(lease.next_heartbeat(at(6)), Some(second + 1));
}

#[test]
fn a_router_joins_after_an_unbroken_row_of_heartbeats() {
    let members = heard();
    assert_eq!(state(&members), Some(RouterState::Live));
}

#[test]
fn numbers_with_gaps_prove_nothing() {
    let mut members = MemberTracker::new(at(0), Roster::default(), LeaseTiming::default());
    hello(&mut members, at(0), 1, 1);
    for second in 1..9 {
        beat(&mut members, at(second), 1, 2 * second);
        commit(&mut members, at(second));
    }
    assert_eq!(state(&members), None);
}

#[test]
fn a_silent_router_goes_missing_before_its_lease_can_run_out() {
    let mut members = heard();
    commit(&mut members, at(8));
    assert_eq!(state(&members), Some(RouterState::Missing));
    assert_eq!(members.roster().get(RouterId(1)).unwrap().lost, members.roster().epoch);
}

#[test]
fn nobody_gets_a_lease_while_a_live_router_is_not_heard() {
    let mut members = heard();
    hello(&mut members, at(4), 2, 2);
    for second in 5..9 {
        beat(&mut members, at(second), 1, second);
        beat(&mut members, at(second), 2, second - 4);
        commit(&mut members, at(second));
    }
    assert_eq!(members.roster().routers.len(), 2);
    // Router 2 falls silent, and the roster that calls it missing is not committed.
    let leases: Vec<_> = (9..20).filter_map(|it| beat(&mut members, at(it), 1, it)).collect();
    assert!(leases.iter().any(|it| *it > 0), "{leases:?}");
    assert_eq!(leases.last(), Some(&0));
}

#[test]
fn a_process_that_took_the_address_of_another_proves_that_one_dead() {
    let mut members = heard();
    hello(&mut members, at(5), 2, 1);
    commit(&mut members, at(5));
    assert_eq!(state(&members), Some(RouterState::Missing));
    assert_eq!(beat(&mut members, at(6), 1, 5), None);
    commit(&mut members, at(20));
    assert_eq!(state(&members), None, "it can hold nothing any more");
}

#[test]
fn a_leaving_router_stays_until_it_runs_nothing() {
    let mut members = heard();
    let mut seq = 4;
    let mut leave = |members: &mut MemberTracker, busy| {
        seq += 1;
        let epoch = members.roster().epoch;
        let beat = Heartbeat { seq, epoch, leaving: true, busy, ..Heartbeat::default() };
        members.on_heartbeat(at(seq), RouterId(1), beat);
        commit(members, at(seq));
    };
    leave(&mut members, true);
    assert_eq!(state(&members), Some(RouterState::Leaving));
    leave(&mut members, true);
    assert_eq!(state(&members), Some(RouterState::Leaving));
    leave(&mut members, false);
    assert_eq!(state(&members), None);
}

#[test]
fn what_flaps_must_stay_up_longer_each_time() {
    let mut damping = FlapDamping::default();
    damping.observe(at(0), true);
    assert!(damping.is_stable(at(0)));
    let mut waits = Vec::new();
    for turn in 1..5 {
        damping.observe(at(10 * turn), false);
        assert!(!damping.is_stable(at(10 * turn)));
        damping.observe(at(10 * turn + 1), true);
        waits.push(damping.stable_at().since(at(10 * turn + 1)) / SECOND);
    }
    assert_eq!(waits, [2, 4, 8, 16]);
}

/// A router that was lost for good once kept its shares until its process came back: nobody could start work on an idle
/// endpoint that it had owned.
#[test]
fn a_missing_router_is_removed_once_its_host_has_been_off_the_list_for_long() {
    let mut members = heard();
    let (here, elsewhere) = ([HostName("h".into())].into(), [HostName("other".into())].into());
    for second in 5..30 {
        commit(&mut members, at(second));
    }
    assert_eq!(state(&members), Some(RouterState::Missing));
    for second in 30..200 {
        members.update_hosts(at(second), &here);
        commit(&mut members, at(second));
    }
    assert_eq!(state(&members), Some(RouterState::Missing), "its host is still listed");
    members.update_hosts(at(200), &elsewhere);
    commit(&mut members, at(259));
    assert_eq!(state(&members), Some(RouterState::Missing), "the list may lag");
    commit(&mut members, at(261));
    assert_eq!(state(&members), None);
}

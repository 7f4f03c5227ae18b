//! Leases run from the time at which the heartbeat was sent, and the leader relies only on
//! confirmed heartbeats.

use {
    member::{FlapDamping, Heartbeat, Lease, LeasePhase, LeaseTiming, MemberTracker},
    model::{Domain, HostName, Roster, RouterId, RouterState, SECOND, Time},
};

fn at(seconds: u64) -> Time {
    Time((100 + seconds) * SECOND)
}

fn register(tracker: &mut MemberTracker, now: Time, id: u32, port: u16) {
    let (host, domain) = (HostName("h".into()), Domain("d".into()));
    tracker.register(now, RouterId(id), host, ([127, 0, 0, 1], port).into(), domain);
}

fn send_heartbeat(tracker: &mut MemberTracker, now: Time, id: u32, seq: u64) -> Option<u32> {
    let epoch = tracker.roster().epoch;
    let heartbeat = Heartbeat { seq, epoch, ..Heartbeat::default() };
    tracker.on_heartbeat(now, RouterId(id), heartbeat).map(|it| it.lease_ms)
}

fn commit(tracker: &mut MemberTracker, now: Time) {
    if let Some(roster) = tracker.tick(now) {
        tracker.on_committed(roster);
    }
}

/// Returns a leader that has heard a router for four seconds, with the roster committed.
fn tracker_with_live_router() -> MemberTracker {
    let mut tracker = MemberTracker::new(at(0), Roster::default(), LeaseTiming::default());
    register(&mut tracker, at(0), 1, 1);
    for second in 1..5 {
        send_heartbeat(&mut tracker, at(second), 1, second);
        commit(&mut tracker, at(second));
    }
    tracker
}

fn state(tracker: &MemberTracker) -> Option<RouterState> {
    tracker.roster().get(RouterId(1)).map(|it| it.state)
}

#[test]
fn a_delayed_reply_renews_the_lease_from_the_send_time() {
    let mut lease = Lease::new(LeaseTiming::default());
    let seq = lease.next_heartbeat(at(0)).unwrap();
    assert!(lease.on_reply(seq, 8_000));
    assert!(lease.is_valid(at(7)));
    assert!(!lease.is_valid(at(8)), "the lease is shortened by the clock drift bound");
    assert_eq!(lease.phase(at(10)), LeasePhase::Expired);
    assert!(matches!(lease.phase(at(17)), LeasePhase::FixedShare(_)));
}

#[test]
fn an_abandoned_heartbeat_leaves_a_gap_in_the_sequence_numbers() {
    let mut lease = Lease::new(LeaseTiming::default());
    let first = lease.next_heartbeat(at(0)).unwrap();
    assert_eq!(lease.next_heartbeat(at(1)), None, "the first heartbeat is unanswered");
    let second = lease.next_heartbeat(at(5)).unwrap();
    assert_eq!(second, first + 2);
    assert!(!lease.on_reply(first, 8_000));
    assert!(lease.on_reply(second, 8_000));
    assert_eq!(lease.next_heartbeat(at(6)), Some(second + 1));
}

#[test]
fn a_router_joins_after_consecutive_heartbeats() {
    let tracker = tracker_with_live_router();
    assert_eq!(state(&tracker), Some(RouterState::Live));
}

#[test]
fn sequence_numbers_with_gaps_confirm_nothing() {
    let mut tracker = MemberTracker::new(at(0), Roster::default(), LeaseTiming::default());
    register(&mut tracker, at(0), 1, 1);
    for second in 1..9 {
        send_heartbeat(&mut tracker, at(second), 1, 2 * second);
        commit(&mut tracker, at(second));
    }
    assert_eq!(state(&tracker), None);
}

#[test]
fn a_silent_router_is_declared_missing_before_its_lease_expires() {
    let mut tracker = tracker_with_live_router();
    commit(&mut tracker, at(8));
    assert_eq!(state(&tracker), Some(RouterState::Missing));
    assert_eq!(tracker.roster().get(RouterId(1)).unwrap().lost, tracker.roster().epoch);
}

#[test]
fn no_lease_is_granted_while_a_live_router_is_not_heard() {
    let mut tracker = tracker_with_live_router();
    register(&mut tracker, at(4), 2, 2);
    for second in 5..9 {
        send_heartbeat(&mut tracker, at(second), 1, second);
        send_heartbeat(&mut tracker, at(second), 2, second - 4);
        commit(&mut tracker, at(second));
    }
    assert_eq!(tracker.roster().routers.len(), 2);
    // Router 2 is silent, and the roster that declares it missing is not committed.
    let leases: Vec<_> =
        (9..20).filter_map(|it| send_heartbeat(&mut tracker, at(it), 1, it)).collect();
    assert!(leases.iter().any(|it| *it > 0), "{leases:?}");
    assert_eq!(leases.last(), Some(&0));
}

#[test]
fn a_new_process_at_the_same_address_marks_the_old_one_dead() {
    let mut tracker = tracker_with_live_router();
    register(&mut tracker, at(5), 2, 1);
    commit(&mut tracker, at(5));
    assert_eq!(state(&tracker), Some(RouterState::Missing));
    assert_eq!(send_heartbeat(&mut tracker, at(6), 1, 5), None);
    commit(&mut tracker, at(20));
    assert_eq!(state(&tracker), None, "its last lease has expired");
}

#[test]
fn a_leaving_router_stays_in_the_roster_until_it_runs_nothing() {
    let mut tracker = tracker_with_live_router();
    let mut seq = 4;
    let mut leave = |tracker: &mut MemberTracker, busy| {
        seq += 1;
        let epoch = tracker.roster().epoch;
        let heartbeat = Heartbeat { seq, epoch, leaving: true, busy, ..Heartbeat::default() };
        tracker.on_heartbeat(at(seq), RouterId(1), heartbeat);
        commit(tracker, at(seq));
    };
    leave(&mut tracker, true);
    assert_eq!(state(&tracker), Some(RouterState::Leaving));
    leave(&mut tracker, true);
    assert_eq!(state(&tracker), Some(RouterState::Leaving));
    leave(&mut tracker, false);
    assert_eq!(state(&tracker), None);
}

#[test]
fn flap_damping_doubles_the_wait_with_each_failure() {
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

/// A router that never came back kept its fixed shares reserved, so no router could start work on
/// an idle endpoint that it had owned.
#[test]
fn a_missing_router_is_removed_after_its_host_left_the_host_list() {
    let mut tracker = tracker_with_live_router();
    let (here, elsewhere) = ([HostName("h".into())].into(), [HostName("other".into())].into());
    for second in 5..30 {
        commit(&mut tracker, at(second));
    }
    assert_eq!(state(&tracker), Some(RouterState::Missing));
    for second in 30..200 {
        tracker.update_hosts(at(second), &here);
        commit(&mut tracker, at(second));
    }
    assert_eq!(state(&tracker), Some(RouterState::Missing), "its host is still in the list");
    tracker.update_hosts(at(200), &elsewhere);
    commit(&mut tracker, at(259));
    assert_eq!(state(&tracker), Some(RouterState::Missing), "the host list may lag");
    commit(&mut tracker, at(261));
    assert_eq!(state(&tracker), None);
}

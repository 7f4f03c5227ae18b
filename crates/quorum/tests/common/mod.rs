//! Replicas of group 7 in term 1 that are driven event by event.

#![allow(dead_code, reason = "each test target uses only some of these items")]

use {
    model::{ReplicaId, SECOND, Term, Time},
    quorum::{
        Action, Actions, Config, DurableState, Entry, Envelope, Event, HardState, Member,
        MemberRole, Membership, Message, Payload, Raft,
    },
};

/// A member that listens on a port of loopback.
pub(crate) fn member(id: u64, port: u16, role: MemberRole) -> Member {
    Member { id: ReplicaId(id), addr: ([127, 0, 0, 1], port).into(), role }
}

/// The voters 1 to `count`.
pub(crate) fn voters(count: u16) -> Membership {
    Membership((1..=count).map(|it| member(it.into(), it, MemberRole::Voter)).collect())
}

pub(crate) fn open(id: u64, members: Membership) -> Raft {
    open_with(id, members, Config::default())
}

pub(crate) fn open_with(id: u64, members: Membership, config: Config) -> Raft {
    let entry = Entry { index: 1, term: Term(1), payload: Payload::Membership(members) };
    let hard_state = HardState { group: 7, term: Term(1), vote: None, commit_index: 0 };
    let durable = DurableState { hard_state, entries: vec![entry], ..DurableState::default() };
    Raft::open(Time(SECOND), config, ReplicaId(id), durable, 1).0
}

/// Handles an event and reports its writes as synced. Returns the messages that are sent.
pub(crate) fn step(raft: &mut Raft, now: Time, event: Event) -> Vec<Envelope> {
    let mut actions: Actions = raft.step(now, event);
    let number = |it: &Action| if let Action::Write(number, _) = it { Some(*number) } else { None };
    if let Some(last) = actions.iter().filter_map(number).max() {
        actions.extend(raft.step(now, Event::Synced(last)));
    }
    let envelope = |it| if let Action::Send(envelope) = it { Some(envelope) } else { None };
    actions.into_iter().filter_map(envelope).collect()
}

/// Handles a message of term 2.
pub(crate) fn receive(raft: &mut Raft, now: Time, from: u64, message: Message) -> Vec<Envelope> {
    let (from, to, term) = (ReplicaId(from), raft.id(), Term(2));
    step(raft, now, Event::Received(Envelope { group: 7, from, to, term, message }))
}

/// Confirms that these replicas have the whole log of a leader on disk.
pub(crate) fn acknowledge(raft: &mut Raft, now: Time, from: &[u64]) {
    for from in from {
        let match_index = raft.last_index();
        receive(raft, now, *from, Message::AppendAccepted { match_index, sent_at: now });
    }
}

/// Lets a replica win an election with votes of these replicas and commits its first entry.
pub(crate) fn lead(mut raft: Raft, voters: &[u64]) -> Raft {
    let now = raft.deadline();
    lead_at(&mut raft, now, voters);
    raft
}

pub(crate) fn lead_at(raft: &mut Raft, now: Time, voters: &[u64]) {
    step(raft, now, Event::Tick);
    for from in voters {
        receive(raft, now, *from, Message::PreVoteResponse { granted: true });
    }
    for from in voters {
        receive(raft, now, *from, Message::VoteResponse { granted: true });
    }
    assert_eq!(raft.leader(), Some(raft.id()));
    for from in voters {
        receive(raft, now, *from, Message::AppendAccepted { match_index: 2, sent_at: now });
    }
}

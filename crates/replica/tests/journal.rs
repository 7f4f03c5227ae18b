//! Crash recovery of the data folder of a replica, with a crash at every operation of a write.

use {
    bytes::Bytes,
    fakes::Disk,
    model::{ReplicaId, Term},
    quorum::{
        DurableState, Entry, HardState, Member, MemberRole, Membership, Payload, Snapshot, Write,
    },
    replica::Journal,
    rstest::rstest,
    serde::Serialize,
    std::{net::SocketAddr, path::Path},
    store::Store,
};

const ID: ReplicaId = ReplicaId(5);

fn open(disk: &Disk) -> (Journal<Disk>, DurableState) {
    Journal::open(disk.clone(), Path::new("/data"), ID).unwrap()
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Vec<Entry> {
    let payload = || Payload::Command(Bytes::from_static(b"command"));
    indexes.map(|index| Entry { index, term: Term(term), payload: payload() }).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let data = Bytes::from_static(b"state");
    Snapshot { index, term: Term(term), data, ..Snapshot::default() }
}

/// After a crash during a write on top of five entries of term 1, the log is that before or that after the write.
#[rstest]
#[case::state(
    Write::HardState(HardState { group: 1, term: Term(9), vote: Some(ID), commit_index: 4 }),
    0,
    entries(1..=5, 1)
)]
#[case::append(Write::Append(entries(6..=7, 1)), 0, entries(1..=7, 1))]
#[case::install(Write::Install(snapshot(3, 2)), 3, Vec::new())]
#[case::install_beyond(Write::Install(snapshot(9, 2)), 9, Vec::new())]
#[case::compact(Write::Compact(snapshot(3, 1)), 3, entries(4..=5, 1))]
fn a_crash_during_a_write_leaves_the_old_or_the_new_log(
    #[case] write: Write,
    #[case] snapshot_index: u64,
    #[case] after: Vec<Entry>,
    #[values(0, 1, 2, 3, 4, 6, 12)] crash_pick: u64,
) {
    let mut finished = false;
    for operations in 0.. {
        let disk = Disk::default();
        let (mut journal, _) = open(&disk);
        journal.write(&Write::Append(entries(1..=5, 1))).unwrap();
        journal.sync().unwrap();
        disk.fail_after(operations);
        let done = journal.write(&write).is_ok() && journal.sync().is_ok();
        drop(journal);
        disk.crash(crash_pick);
        let (journal, recovered) = open(&disk);
        assert_eq!(journal.id(), ID);
        let is_after = recovered.snapshot.index == snapshot_index && recovered.entries == after;
        let is_before = recovered.snapshot.index == 0 && after.starts_with(&recovered.entries);
        let is_before =
            is_before || recovered.entries == entries(1..=5, 1) && recovered.snapshot.index == 0;
        assert!(
            is_after || (is_before && !done),
            "crashed after {operations} operations: {recovered:?}"
        );
        // Whatever was recovered, further entries can be appended and read back.
        let next = recovered.entries.last().map_or(recovered.snapshot.index, |it| it.index) + 1;
        let mut journal = journal;
        journal.write(&Write::Append(entries(next..=next, 3))).unwrap();
        journal.sync().unwrap();
        drop(journal);
        let again = open(&disk).1.entries;
        assert_eq!(again.len(), recovered.entries.len() + 1);
        if done {
            finished = true;
            break;
        }
    }
    assert!(finished);
}

/// The records of releases before [`MemberRole`].
mod earlier {
    use super::*;

    #[derive(Serialize)]
    pub(crate) struct Member {
        pub(crate) id: ReplicaId,
        pub(crate) addr: SocketAddr,
        pub(crate) voter: bool,
    }

    #[derive(Serialize)]
    pub(crate) struct Entry {
        pub(crate) index: u64,
        pub(crate) term: Term,
        pub(crate) payload: Payload,
    }

    #[derive(Serialize)]
    #[allow(dead_code)]
    pub(crate) enum Payload {
        Empty,
        Command(Bytes),
        Membership(Vec<Member>),
    }

    #[derive(Serialize)]
    pub(crate) struct Snapshot {
        pub(crate) index: u64,
        pub(crate) term: Term,
        pub(crate) members: Vec<Member>,
        pub(crate) data: Bytes,
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap()
}

#[test]
fn a_folder_of_a_release_without_replacements_opens_unchanged() {
    let roles = [(3, true), (4, false), (5, true)];
    let addr = |id: u64| SocketAddr::from(([10, 0, 0, 1], id as u16));
    let earlier = || {
        let member = |(id, voter)| earlier::Member { id: ReplicaId(id), addr: addr(id), voter };
        roles.map(member).into_iter().collect::<Vec<_>>()
    };
    let hard_state = HardState { group: 7, term: Term(2), vote: Some(ID), commit_index: 2 };
    let data = Bytes::from_static(b"state");
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone(), Path::new("/data")).unwrap();
    store.set_meta(&encode(&(ID, hard_state))).unwrap();
    let snapshot =
        earlier::Snapshot { index: 1, term: Term(1), members: earlier(), data: data.clone() };
    store.set_snapshot(1, &encode(&snapshot)).unwrap();
    store.reset(1).unwrap();
    let payload = earlier::Payload::Membership(earlier());
    store.append(2, &encode(&earlier::Entry { index: 2, term: Term(2), payload })).unwrap();
    store.sync().unwrap();
    drop(store);

    let member = |(id, voter)| {
        let role = if voter { MemberRole::Voter } else { MemberRole::NonVoter };
        Member { id: ReplicaId(id), addr: addr(id), role }
    };
    let members = Membership(roles.map(member).into());
    let (journal, durable) = open(&disk);
    assert_eq!(journal.id(), ID);
    assert_eq!(durable.hard_state, hard_state);
    let snapshot = Snapshot { index: 1, term: Term(1), members: members.clone(), data };
    assert_eq!(durable.snapshot, snapshot);
    let entry = Entry { index: 2, term: Term(2), payload: Payload::Membership(members) };
    assert_eq!(durable.entries, [entry]);
}

/// Guards against an allocation of the length that a damaged record claims to have, which aborts the process.
#[test]
fn a_record_with_a_huge_length_is_an_error() {
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone(), Path::new("/data")).unwrap();
    store.set_meta(&encode(&(ID, HardState::default()))).unwrap();
    // An entry with index 1, term 2 and a command of 2^60 bytes.
    store.append(1, &[1, 2, 1, 253, 0, 0, 0, 0, 0, 0, 0, 16]).unwrap();
    store.sync().unwrap();
    drop(store);
    let error = Journal::open(disk, Path::new("/data"), ID).err().unwrap();
    assert!(error.to_string().contains("record cannot be decoded"), "{error}");
}

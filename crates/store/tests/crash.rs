//! After any crash, all synced data is recovered, and only data that was written.

use {
    fakes::Disk,
    proptest::prelude::*,
    std::{collections::BTreeMap, path::Path},
    store::{Contents, Store, StoreError},
};

const FOLDER: &str = "/data";

#[derive(Clone, Debug)]
enum Op {
    Append(u8),
    Overwrite(u8),
    Sync,
    Meta,
    Snapshot,
    /// Crashes the disk, with the random number that selects what it loses.
    Crash(u64),
    /// Lets a number of further changes succeed, fails the later ones, and then crashes the disk.
    Fail(u32, u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (1..6u8).prop_map(Op::Append),
        1 => (1..6u8).prop_map(Op::Overwrite),
        4 => Just(Op::Sync),
        1 => Just(Op::Meta),
        2 => Just(Op::Snapshot),
        1 => any::<u64>().prop_map(Op::Crash),
        2 => (0..12u32, any::<u64>()).prop_map(|(operations, pick)| Op::Fail(operations, pick)),
    ]
}

type Log = BTreeMap<u64, Vec<u8>>;

/// The possible contents of the store: one of `metas`, one of `snapshots`, and the log as of the
/// last sync or any later state.
struct Model {
    metas: Vec<Vec<u8>>,
    snapshots: Vec<u64>,
    logs: Vec<Log>,
    count: u64,
}

impl Model {
    fn log(&self) -> Log {
        self.logs.last().unwrap().clone()
    }

    fn append(&mut self, index: u64) -> Vec<u8> {
        self.count += 1;
        let record = format!("{index} written as {}", self.count).into_bytes();
        let mut log = self.log();
        log.retain(|it, _| *it < index);
        log.insert(index, record.clone());
        self.logs.push(log);
        record
    }

    fn next(&self) -> u64 {
        self.log().last_key_value().map_or(1, |it| it.0 + 1)
    }

    /// Checks that the recovered contents are possible, and continues from them.
    fn check_recovered(&mut self, recovered: &Contents) {
        let meta = recovered.meta.clone().unwrap_or_default();
        assert!(self.metas.contains(&meta), "metadata {meta:?} is not one of {:?}", self.metas);
        let snapshot = recovered.snapshot.as_ref().map_or(0, |it| it.0);
        assert!(
            self.snapshots.contains(&snapshot),
            "snapshot {snapshot} is not one of {:?}",
            self.snapshots
        );
        let records: Log = recovered.records.iter().cloned().collect();
        let after_snapshot = |log: &Log| log.clone().split_off(&(snapshot + 1));
        let expected = self.logs.iter().any(|it| after_snapshot(it) == after_snapshot(&records));
        assert!(expected, "log {records:?} is not one of {:?}", self.logs);
        let log = self
            .logs
            .iter()
            .rfind(|it| after_snapshot(it) == after_snapshot(&records))
            .unwrap()
            .clone();
        (self.metas, self.snapshots, self.logs) = (vec![meta], vec![snapshot], vec![log]);
    }
}

fn apply(store: &mut Store<Disk>, model: &mut Model, op: &Op) -> Result<(), StoreError> {
    match op {
        Op::Append(count) => {
            for _ in 0..*count {
                let index = model.next();
                store.append(index, &model.append(index))?;
            }
        }
        Op::Overwrite(back) => {
            let min_index = model.snapshots.iter().max().unwrap() + 1;
            let index = model.next().saturating_sub(u64::from(*back)).max(min_index);
            store.append(index, &model.append(index))?;
        }
        Op::Sync => {
            store.sync()?;
            model.logs.drain(..model.logs.len() - 1);
        }
        Op::Meta => {
            model.count += 1;
            let meta = model.count.to_string().into_bytes();
            model.metas.push(meta.clone());
            store.set_meta(&meta)?;
            model.metas.drain(..model.metas.len() - 1);
        }
        Op::Snapshot => {
            // A snapshot contains only records that are durable.
            let index = model.logs[0].last_key_value().map_or(0, |it| *it.0);
            let index = index.max(*model.snapshots.last().unwrap());
            if index == 0
                || !model.logs.iter().all(|it| it.get(&index) == model.logs[0].get(&index))
            {
                return Ok(());
            }
            model.snapshots.push(index);
            store.set_snapshot(index, b"state")?;
            model.snapshots.drain(..model.snapshots.len() - 1);
            store.compact(index)?;
        }
        Op::Crash(_) | Op::Fail(..) => {}
    }
    Ok(())
}

fn open(disk: &Disk) -> (Store<Disk>, Contents) {
    let (mut store, contents) = Store::open(disk.clone(), Path::new(FOLDER)).unwrap();
    store.set_segment_limit(300);
    (store, contents)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn synced_data_survives_any_crash(ops in prop::collection::vec(op(), 1..60)) {
        let disk = Disk::default();
        let (mut store, _) = open(&disk);
        store.set_meta(b"").unwrap();
        let mut model =
            Model { metas: vec![vec![]], snapshots: vec![0], logs: vec![Log::new()], count: 0 };
        let mut pick = 0;
        for op in &ops {
            if let Op::Fail(operations, crash_pick) = op {
                disk.fail_after(*operations);
                pick = *crash_pick;
            }
            let failed = apply(&mut store, &mut model, op).is_err();
            if let Op::Crash(crash_pick) = op {
                pick = *crash_pick;
            }
            if failed || matches!(op, Op::Crash(_)) {
                drop(store);
                disk.crash(pick);
                let contents;
                (store, contents) = open(&disk);
                model.check_recovered(&contents);
            }
        }
    }
}

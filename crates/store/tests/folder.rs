//! Damaged and locked folders, in the file system of the operating system.

use {
    rstest::rstest,
    std::{fs, path::Path},
    store::{Contents, OsFileSystem, Store, StoreError},
    tempfile::{TempDir, tempdir},
};

/// Creates a folder with three records, each of which was synced separately and is in a segment of
/// its own.
fn filled_folder() -> TempDir {
    let folder = tempdir().unwrap();
    let (mut store, contents) = Store::open(OsFileSystem, folder.path()).unwrap();
    assert_eq!(contents, Contents::default());
    store.set_segment_limit(1);
    store.set_meta(b"meta").unwrap();
    for index in 1..=3 {
        store.append(index, format!("record {index}").as_bytes()).unwrap();
        store.sync().unwrap();
    }
    folder
}

fn open(folder: &Path) -> Result<Contents, StoreError> {
    Store::open(OsFileSystem, folder).map(|it| it.1)
}

fn edit<F>(path: &Path, edit: F)
where
    F: FnOnce(&mut Vec<u8>),
{
    let mut bytes = fs::read(path).unwrap();
    edit(&mut bytes);
    fs::write(path, bytes).unwrap();
}

fn segment(folder: &TempDir, number: u64) -> std::path::PathBuf {
    folder.path().join(format!("log-{number:016x}"))
}

#[test]
fn a_reopened_folder_has_all_contents() {
    let contents = open(filled_folder().path()).unwrap();
    assert_eq!(contents.meta.as_deref(), Some(&b"meta"[..]));
    let indexes: Vec<_> = contents.records.iter().map(|it| it.0).collect();
    assert_eq!(indexes, [1, 2, 3]);
}

#[test]
fn a_torn_write_is_truncated_and_writing_continues() {
    let folder = filled_folder();
    edit(&segment(&folder, 3), |it| it.truncate(it.len() - 2));
    {
        let (mut store, contents) = Store::open(OsFileSystem, folder.path()).unwrap();
        assert_eq!(contents.records.len(), 2);
        store.append(3, b"again").unwrap();
        store.sync().unwrap();
    }
    assert_eq!(open(folder.path()).unwrap().records[2].1, b"again");
}

#[rstest]
#[case::flipped_bit(2, |it: &mut Vec<u8>| it[70] ^= 1)]
#[case::truncated(2, |it: &mut Vec<u8>| it.truncate(it.len() - 1))]
#[case::emptied(1, |it: &mut Vec<u8>| it.clear())]
fn damage_before_the_last_segment_is_reported_with_its_file(
    #[case] number: u64,
    #[case] damage: fn(&mut Vec<u8>),
) {
    let folder = filled_folder();
    edit(&segment(&folder, number), damage);
    let err = open(folder.path()).unwrap_err();
    let StoreError::Corrupt { .. } = &err else { panic!("{err}") };
    let message = err.to_string();
    assert!(message.contains("log-") && message.contains("at byte"), "{message}");
    assert!(message.contains("move the data folder aside"), "{message}");
}

#[test]
fn damage_before_a_synced_frame_of_the_last_segment_is_reported() {
    let folder = tempdir().unwrap();
    let (mut store, _) = Store::open(OsFileSystem, folder.path()).unwrap();
    store.set_meta(b"meta").unwrap();
    for index in 1..=3 {
        store.append(index, b"record").unwrap();
        store.sync().unwrap();
    }
    drop(store);
    edit(&segment(&folder, 1), |it| it[40] ^= 1);
    let err = open(folder.path()).unwrap_err();
    assert!(matches!(err, StoreError::Corrupt { offset: 37, .. }), "{err}");
}

#[rstest]
#[case::last("log-0000000000000003")]
#[case::middle("log-0000000000000002")]
#[case::metadata("meta")]
fn a_missing_file_is_reported(#[case] name: &str) {
    let folder = filled_folder();
    fs::remove_file(folder.path().join(name)).unwrap();
    let err = open(folder.path()).unwrap_err();
    assert!(matches!(err, StoreError::Corrupt { .. }), "{err}");
}

#[test]
fn a_missing_snapshot_is_reported() {
    let folder = filled_folder();
    {
        let (mut store, _) = Store::open(OsFileSystem, folder.path()).unwrap();
        store.set_snapshot(3, b"state").unwrap();
        store.compact(3).unwrap();
    }
    assert_eq!(open(folder.path()).unwrap().snapshot, Some((3, b"state".to_vec())));
    fs::remove_file(folder.path().join("snapshot")).unwrap();
    let err = open(folder.path()).unwrap_err();
    assert!(matches!(err, StoreError::Corrupt { .. }), "{err}");
}

#[test]
fn two_processes_cannot_share_a_folder() {
    let folder = filled_folder();
    let (_store, _) = Store::open(OsFileSystem, folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(StoreError::Locked { .. })));
}

/// A host whose disk is lost has an empty folder, possibly while the former process still writes. If that process leaves
/// files behind which do not make up a folder, the next one cannot start.
#[rstest]
#[case::metadata(|it: &mut Store<OsFileSystem>| it.set_meta(b"later"))]
#[case::snapshot(|it: &mut Store<OsFileSystem>| it.set_snapshot(1, b"state"))]
fn a_folder_that_was_emptied_while_open_can_be_opened_as_a_new_one<F>(#[case] write: F)
where
    F: FnOnce(&mut Store<OsFileSystem>) -> Result<(), StoreError>,
{
    let folder = tempdir().unwrap();
    let mut store = Store::open(OsFileSystem, folder.path()).unwrap().0;
    store.set_meta(b"meta").unwrap();
    store.append(1, b"record 1").unwrap();
    store.sync().unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    fs::create_dir(folder.path()).unwrap();
    let written = write(&mut store);
    drop(store);
    assert_eq!(open(folder.path()).unwrap(), Contents::default());
    assert!(written.is_err(), "what was written is not in the folder");
}

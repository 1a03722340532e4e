//! The store on files of the file system.

use std::fs;
use std::path::{Path, PathBuf};

use dunelink_storage::{Disk, FolderDisk, Limits, LogStore, Operation, RecoveryNote};

fn empty_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if path.exists() {
        fs::remove_dir_all(&path).unwrap();
    }
    path
}

fn append(index: u64) -> Operation {
    Operation::Append { index, bytes: vec![index as u8; 100] }
}

#[test]
fn data_survives_reopening() {
    let path = empty_folder("storage-folder");
    let limits = Limits { segment_bytes: 500, disk_bytes: 1 << 20 };
    let mut last = 0;
    for round in 1..=4 {
        let (mut store, recovered) = LogStore::open(FolderDisk::new(&path).unwrap(), limits).unwrap();
        assert!(!recovered.damaged);
        assert_eq!(recovered.entries.last().map_or(0, |entry| entry.index), last);
        for index in last + 1..=last + 10 {
            store.apply(&[append(index), Operation::Metadata(vec![round; 9])]).unwrap();
        }
        last += 10;
        let snapshot = Operation::Snapshot { index: last - 1, bytes: vec![round; 600] };
        store.apply(&[snapshot, Operation::Release { through: last - 2 }]).unwrap();
        let on_disk: u64 =
            fs::read_dir(&path).unwrap().map(|file| file.unwrap().metadata().unwrap().len()).sum();
        assert_eq!(store.used_bytes(), on_disk);
    }
    let (_, recovered) = LogStore::open(FolderDisk::new(&path).unwrap(), limits).unwrap();
    assert_eq!(recovered.metadata, Some(vec![4; 9]));
    assert_eq!(recovered.snapshot.unwrap().bytes, vec![4; 600]);
    assert_eq!(recovered.entries.iter().map(|entry| entry.index).collect::<Vec<_>>(), [39, 40]);
}

#[test]
fn torn_segment_is_truncated_and_foreign_files_are_kept() {
    let path = empty_folder("storage-torn");
    let (mut store, _) = LogStore::open(FolderDisk::new(&path).unwrap(), Limits::default()).unwrap();
    store.apply(&[append(1)]).unwrap();
    store.apply(&[append(2)]).unwrap();
    drop(store);
    fs::write(path.join("other.txt"), b"not of the store").unwrap();
    let segment = path.join("segment-0000000000000001.log");
    let mut bytes = fs::read(&segment).unwrap();
    bytes.truncate(bytes.len() - 1);
    fs::write(&segment, bytes).unwrap();
    let (_, recovered) = LogStore::open(FolderDisk::new(&path).unwrap(), Limits::default()).unwrap();
    assert_eq!(recovered.entries.len(), 1);
    assert!(matches!(recovered.notes[..], [RecoveryNote::TornTail { .. }]));
    assert_eq!(fs::read(path.join("other.txt")).unwrap(), b"not of the store");
}

#[test]
fn disk_operations() {
    let mut disk = FolderDisk::new(empty_folder("storage-operations")).unwrap();
    disk.create("a").unwrap();
    assert!(disk.create("a").is_err());
    disk.write("a", 0, b"abcdef").unwrap();
    disk.write("a", 2, b"xy").unwrap();
    disk.set_len("a", 5).unwrap();
    disk.write("a", 5, b"!").unwrap();
    disk.sync_file("a").unwrap();
    disk.sync_folder().unwrap();
    assert_eq!(disk.read("a", 1, 100).unwrap(), b"bxye!");
    assert_eq!(disk.list().unwrap()[0].length, 6);
    disk.remove("a").unwrap();
    assert!(disk.list().unwrap().is_empty() && disk.write("a", 0, b"x").is_err());
}

//! Files written by the version at commit 0fd3fce are read, and the same calls write the same bytes today.

use std::path::Path;
use tansymux_store::{Folder, Found, Settings, Store, Sync};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/v1");
const FILES: [&str; 3] = [
    "snap-0000000000000002",
    "log-0000000000000003",
    "log-0000000000000004",
];

fn sync_each() -> Settings {
    Settings {
        sync: Sync::Each,
        ..Settings::default()
    }
}

fn expected_records() -> Vec<Vec<u8>> {
    vec![
        b"first".to_vec(),
        Vec::new(),
        vec![0xff; 300],
        b"second".to_vec(),
        vec![0, 1, 2, 254, 255],
        b"third".to_vec(),
    ]
}

#[test]
fn snapshot_and_logs_of_the_earlier_version_are_recovered() {
    let (_, records, found) = Store::open(Folder::new(FIXTURE).unwrap(), sync_each());
    assert_eq!(records, expected_records());
    assert_eq!(found, Found::Whole { records: 6 });
}

#[test]
fn the_same_calls_write_the_bytes_of_the_earlier_version() {
    let path = std::env::temp_dir().join(format!("tansymux-store-v1-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut store, ..) = Store::open(Folder::new(&path).unwrap(), sync_each());
    store.append(0.0, b"replaced by the snapshot").unwrap();
    let kept = [b"first".as_slice(), b"", &[0xff; 300]];
    store.compact(1.0, kept.into_iter()).unwrap();
    store.append(2.0, b"second").unwrap();
    store.append(3.0, &[0, 1, 2, 254, 255]).unwrap();
    drop(store);
    let (mut store, ..) = Store::open(Folder::new(&path).unwrap(), sync_each());
    store.append(4.0, b"third").unwrap();
    drop(store);
    for name in FILES {
        let written = std::fs::read(path.join(name)).unwrap();
        let earlier = std::fs::read(Path::new(FIXTURE).join(name)).unwrap();
        assert_eq!(written, earlier, "{name}");
    }
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), FILES.len());
    std::fs::remove_dir_all(&path).unwrap();
}

//! Compatibility with format version 1: files written at commit 0fd3fce are recovered, and the same calls write the
//! same bytes.

#![allow(
    clippy::unwrap_used,
    reason = "tests panic on the first unexpected result"
)]

use std::path::Path;
use tansymux_store::{Config, Directory, Opened, RecoveryReport, Store, SyncPolicy};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/v1");
const FILES: [&str; 3] = [
    "snap-0000000000000002",
    "log-0000000000000003",
    "log-0000000000000004",
];

fn sync_every_record() -> Config {
    let default = Config::default();
    Config::new(
        SyncPolicy::EveryRecord,
        default.max_log_bytes(),
        default.retry_after_ms(),
    )
    .unwrap()
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
fn snapshot_and_logs_of_version_1_are_recovered() {
    let Opened {
        records, report, ..
    } = Store::open(Directory::new(FIXTURE).unwrap(), sync_every_record());
    assert_eq!(records, expected_records());
    assert_eq!(report, RecoveryReport::Complete { records: 6 });
}

#[test]
fn same_calls_write_the_bytes_of_version_1() {
    let path = std::env::temp_dir().join(format!("tansymux-store-v1-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let Opened { mut store, .. } = Store::open(Directory::new(&path).unwrap(), sync_every_record());
    store.append(b"replaced by the snapshot", 0.0).unwrap();
    let snapshot_records = [b"first".as_slice(), b"", &[0xff; 300]];
    store.checkpoint(snapshot_records.into_iter(), 1.0).unwrap();
    store.append(b"second", 2.0).unwrap();
    store.append(&[0, 1, 2, 254, 255], 3.0).unwrap();
    drop(store);
    let Opened { mut store, .. } = Store::open(Directory::new(&path).unwrap(), sync_every_record());
    store.append(b"third", 4.0).unwrap();
    drop(store);
    for name in FILES {
        let written = std::fs::read(path.join(name)).unwrap();
        let expected = std::fs::read(Path::new(FIXTURE).join(name)).unwrap();
        assert_eq!(written, expected, "{name}");
    }
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), FILES.len());
    std::fs::remove_dir_all(&path).unwrap();
}

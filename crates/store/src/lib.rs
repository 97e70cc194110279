//! A write-ahead log with snapshots.
//!
//! The design is the usual one (as in ARIES-style redo logs or LevelDB's log format): checksummed frames are appended to
//! numbered log segments, a checkpoint writes a snapshot that replaces all of them, and recovery replays the newest
//! complete snapshot and then the logs that follow it. It differs from those in that there is no undo and no partial
//! checkpoint: the state is small enough to be written at once.
//!
//! Owns: the disk format ([`mod@format`]), recovery ([`Store::open`]), and when segments are written, synced and replaced
//! ([`Store`]). It never interprets a record, reads no clock, and touches files only through [`Disk`], so that a test
//! can make every single disk operation fail.
//!
//! Guarantees, tested by crashing at every step of a scripted run (`tests/crash_recovery.rs`):
//! - a record that was appended and synced is recovered, unless its bytes were corrupted afterwards;
//! - records are recovered in order and without gaps: nothing after a corrupt record is replayed;
//! - no corruption makes it panic, and all corruption is reported: see [`RecoveryReport`];
//! - files of a newer format version are neither read nor changed;
//! - a full or read-only disk stops writing only, and is retried later;
//! - the size is bounded: beyond `max_log_bytes` the store needs a checkpoint, beyond twice that it rejects appends.
//!
//! It is written here instead of embedding a database because one open file, no threads and no memory map make every
//! write position testable; `docs/design/engine-state.md` has the comparison.
//!
//! Start reading at [`Store::open`].

mod config;
mod disk;
mod error;
pub mod format;
mod recovery;
mod store;

pub use config::{Config, SyncPolicy};
pub use disk::{Directory, Disk};
pub use error::StoreError;
pub use recovery::{verify, RecoveryReport};
pub use store::{Opened, Store};

//! A write-ahead log with snapshots.
//!
//! The design is that of redo logs as in ARIES or LevelDB: checksummed frames are appended to numbered log segments,
//! a checkpoint writes a snapshot that replaces all segments, and recovery replays the newest complete snapshot and
//! the logs that continue it. Unlike those, it has no undo and no partial checkpoint: the state is small enough to be
//! written as a whole.
//!
//! Owns: the disk format ([`mod@format`]), recovery ([`Store::open`]), and writing, syncing and replacing segments
//! ([`Store`]). The crate does not interpret records, reads no clock, and accesses files only through [`Disk`], so
//! that a test can make each disk operation fail.
//!
//! Guarantees, tested by crashing at every step of a scripted run (`tests/crash_recovery.rs`):
//! - a record that was appended and synced is recovered, unless its bytes were corrupted afterwards;
//! - records are recovered in order and without gaps: no record after a corrupt one is replayed;
//! - corruption never causes a panic, and is always reported: see [`RecoveryReport`];
//! - files of a newer format version are neither read nor changed;
//! - a full or read-only disk makes writes fail, but not recovery; appends write to the disk again after
//!   `retry_after_ms`;
//! - the size of the logs is bounded: beyond `max_log_bytes` the store needs a checkpoint, and beyond twice that size
//!   it rejects appends.
//!
//! An embedded database was not chosen: with one open file, no threads and no memory map, a crash at every write can be
//! tested. `docs/design/engine-state.md` has the comparison.
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

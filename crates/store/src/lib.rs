//! A log and snapshots on disk.
//!
//! Owns: the form of the files ([`form`]), what is recovered from them ([`Store::open`]), and when they are written,
//! synced and replaced ([`Store`]). It knows nothing of what a record means, reads no clock, and touches files only
//! through [`Disk`], so that a test can fail every one of its steps.
//!
//! What is promised, and tested by crashing at every step of a scripted run:
//! - a record that was appended and synced is recovered, unless its bytes were damaged afterwards;
//! - records are recovered in order and without holes: what stands behind a damaged one is not used;
//! - no damage makes it panic, and none goes unsaid: [`Found`] names what was recovered and what was not;
//! - files of a newer version are neither read nor touched;
//! - a disk that is full or read-only ends writing and nothing else; it is tried again later;
//! - the size is bounded: beyond it the store asks to be compacted, and beyond twice of it nothing is written.
//!
//! A framed log of its own stands here and not an embedded database: one file open at a time, no threads, no memory
//! map, a few hundred lines whose every write position can be failed. `docs/design/store.md` weighs it.
//!
//! Start reading at [`Store::open`].

mod disk;
pub mod form;
mod store;

pub use disk::{Disk, Folder};
pub use store::{verify, Found, Settings, Store, StoreError, Sync};

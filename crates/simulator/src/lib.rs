//! The lab: a pool, its network, clients and list in virtual time, round the real decision packages.
//!
//! Owns: a discrete-event emulator small enough to read in an hour ([`world`]), experiments as files
//! ([`experiment`]), many seeds side by side and paired comparisons ([`compare`]), and what is shown of them
//! ([`report`]). It holds no decision: `tansymux::control` and `tansymux_zone_routing` are what is tried. Figures of it are
//! figures of this emulator, and named so.
//!
//! Start reading at [`world::run`].

pub mod compare;
pub mod engine;
pub mod experiment;
pub mod report;
pub mod world;

/// The experiment's schema, generated at build.
#[allow(clippy::all, clippy::pedantic)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/tansymux.lab.rs"));
}

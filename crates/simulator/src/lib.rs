//! A discrete-event simulator: a pool of engines, its network, clients and endpoint list in virtual time, around the
//! real decision packages.
//!
//! Owns: the simulation, small enough to read in an hour ([`simulation`]), engines that share their cores evenly
//! ([`engine`]), experiments as files ([`experiment`]), many seeds side by side and paired comparisons ([`compare`]), and
//! what is shown of them ([`report`]). It holds no decision: `tansymux::control` and `tansymux_zone_routing` are what is
//! tried. Its figures are figures of this simulator, and are named so.
//!
//! Start reading at [`simulation::run`].

pub mod compare;
pub mod engine;
pub mod experiment;
pub mod report;
pub mod simulation;

/// The experiment's schema, generated at build.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/tansymux.lab.rs"));
}

//! A discrete-event simulator: a pool of engines, its network, clients and endpoint list in virtual time, around the
//! real decision packages.
//!
//! Owns: the simulation ([`simulation`]), engines that share their cores evenly ([`engine`]), experiments as files
//! ([`experiment`]), concurrent runs of many seeds with paired comparisons ([`compare`]), and reports on them ([`report`]).
//! It makes no decisions: `tansymux::control` and `tansymux_zone_routing` are under test. Its figures are those of a
//! simulation, and are labelled so.
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

//! The testbed: loopback stand-ins for clients, engines and the name service, written from the published protocols.
//!
//! Owns: scripted clients ([`client`]), engines ([`engine`]) and a name service ([`name_service`]), the start of the
//! real program ([`program`]), the record of a run ([`record`]), the checker that verifies a record against the seven
//! rules ([`invariants`]), and fleets under fault injection in virtual time and on processes ([`fleet`]). It contains
//! no decision logic of the dispatcher, and no product code depends on it. All randomness is seeded.
//!
//! Start reading at [`invariants::find_violations`], then at [`demo::run`].

pub mod client;
pub mod corpus;
pub mod demo;
pub mod engine;
pub mod fault_shim;
pub mod fleet;
mod free_address;
pub mod invariants;
pub mod levels;
pub mod measure;
pub mod name_service;
pub mod plot;
pub mod program;
pub mod record;
pub mod replay;
mod setup;
pub mod soak;
pub mod wire;
pub mod zone_routing;

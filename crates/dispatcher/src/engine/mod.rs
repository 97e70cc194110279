//! Engine side: runs attempts, cancellations and health checks on connections to the engines, and reports their outcomes.
//!
//! This module owns the connections. The decisions choose the engine of each attempt and send an
//! [`EngineCommand`](crate::query_registry::EngineCommand); results return to them as an
//! [`Event`](crate::query_registry::Event). The engine side never retries and never chooses another engine.
//!
//! Start reading at [`pool`], which composes the owners of the state:
//!
//! - [`engine_table`] and [`engine_entry`]: the engines of the endpoint list, and the connections to each.
//! - [`allocation`]: the connection of each attempt, and the limits of connections.
//! - [`begin`]: the single place that every attempt passes before its first byte.
//! - [`abandon`], [`close`], [`timeouts`] and [`reports`]: the ends of attempts and connections.
//! - [`silence`], [`idle_reuse`] and [`keep_alive`]: connections that are lost without a reset.
//! - [`channel`]: one connection. [`channel::task`] does its I/O and reports its events to a [`channel::handler`].
//!   [`connection`] is its state machine, [`protocol`] has the words of the engine protocol.

mod abandon;
mod allocation;
mod begin;
mod channel;
mod channel_request;
mod close;
mod connection;
mod engine_entry;
mod engine_table;
mod idle_reuse;
mod keep_alive;
mod pool;
mod protocol;
mod protocol_error;
mod reports;
mod resp;
mod rows;
mod settings;
mod silence;
mod timeouts;

pub use pool::EnginePool;
pub use settings::ConnectionSettings;

#[cfg(test)]
mod tests;

//! Engine side: runs attempts, cancels and health checks on connections to the engines, and reports how they ended.
//!
//! It owns the connections and nothing else. The decisions choose the engine of each attempt and send an
//! [`EngineCommand`](crate::query_registry::EngineCommand); results go back to them as an
//! [`Event`](crate::query_registry::Event). The engine side never retries and never chooses another engine by itself.
//!
//! Start reading at [`commands`] (execution of the decisions' commands) and [`pool`] (which connections exist, and
//! which one carries an attempt). [`channel`] runs one connection's task, [`connect`] and [`begin`] are its steps that
//! can fail or be refused, [`connection`] is its state machine, [`protocol`] has the words of the engine protocol.
//! [`timeouts`] expires attempts and connections, [`health`] finds out whether engines are reachable.

mod begin;
mod channel;
mod commands;
mod connect;
mod connection;
mod health;
mod keep_alive;
mod pool;
mod protocol;
mod protocol_error;
mod reports;
mod resp;
mod rows;
mod settings;
mod timeouts;

pub use pool::EnginePool;
pub use settings::ConnectionSettings;

#[cfg(test)]
mod tests;

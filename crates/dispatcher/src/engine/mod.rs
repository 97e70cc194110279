//! Engine side: runs attempts, cancels and health checks on connections to the engines, and reports how they ended.
//!
//! It owns the connections and nothing else: which engine gets which attempt is decided elsewhere and arrives as an
//! [`EngineCommand`](crate::query_registry::EngineCommand); what happens is reported as an
//! [`Event`](crate::query_registry::Event). It never retries by itself.
//!
//! Start reading at [`pool`] (which connections there are) and [`commands`] (what the decisions ordered). [`channel`]
//! is one connection's life, [`connection`] its state machine, [`timeouts`] what runs out of time.

mod channel;
mod commands;
mod connection;
mod health;
mod keep_alive;
mod pool;
mod priorities;
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

//! Settings of connections to engines, and the limits that follow from them.

use std::time::Duration;

/// Connections to one engine at most, unless [`MAX_ATTEMPTS_PER_ENGINE`] needs more.
const MAX_CONNECTIONS_PER_ENGINE: usize = 12;
/// Attempts at one engine that its connections can carry at least, where each takes few.
const MAX_ATTEMPTS_PER_ENGINE: usize = 384;
/// Fraction of the configured idle time after which a connection is closed from here, before the engine does it.
const IDLE_FRACTION: f64 = 0.8;
/// A connection on which nothing came for so many progress intervals may be dead.
const SILENCE_INTERVALS: f64 = 1.25;
/// The least time (ms) of silence after which a connection may be dead.
pub const MIN_SILENCE_MS: f64 = 250.0;
/// Longest connect timeout (s), whatever the settings say.
const MAX_CONNECT_TIMEOUT_S: f64 = 3600.0;

/// What the platform's settings say of connections to engines.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSettings {
    /// Time (ms) within which a connection comes up, or the engine counts as not reached.
    pub connect_timeout_ms: f64,
    /// Time (ms) after which an engine closes an idle connection.
    pub idle_timeout_ms: f64,
    /// Time (ms) between an engine's progress notes on an attempt, 0 if it sends none.
    pub progress_interval_ms: f64,
    /// The shortest latency objective (ms) of all resource groups; takes the place of the progress interval where
    /// there are no notes.
    pub shortest_objective_ms: f64,
    /// Attempts that one connection may carry at once.
    pub max_streams: usize,
    /// Connections to all engines together.
    pub max_connections: usize,
}

impl ConnectionSettings {
    /// The connect timeout.
    pub fn connect_timeout(&self) -> Duration {
        let seconds = self.connect_timeout_ms / 1000.0;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_CONNECT_TIMEOUT_S))
    }

    /// Connections to one engine at most.
    pub fn max_connections_per_engine(&self) -> usize {
        MAX_CONNECTIONS_PER_ENGINE.max(MAX_ATTEMPTS_PER_ENGINE / self.max_streams.max(1))
    }

    /// Idle time (ms) after which a connection is closed from here, whatever was learned about longer ones.
    pub fn max_idle_ms(&self) -> f64 {
        IDLE_FRACTION * self.idle_timeout_ms
    }

    /// Time (ms) of silence after which a connection with an attempt out may be dead.
    pub fn max_silence_ms(&self) -> f64 {
        let interval_ms = if self.progress_interval_ms > 0.0 {
            self.progress_interval_ms
        } else {
            self.shortest_objective_ms
        };
        MIN_SILENCE_MS.max(SILENCE_INTERVALS * interval_ms)
    }
}

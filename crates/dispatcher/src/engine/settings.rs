//! Settings of connections to engines, and the limits derived from them.

use std::time::Duration;

/// Maximum number of connections to one engine, unless [`MIN_ATTEMPT_CAPACITY_PER_ENGINE`] requires more.
const MAX_CONNECTIONS_PER_ENGINE: usize = 12;
/// Minimum number of attempts that the connections to one engine can carry together, rounded down to a multiple of
/// [`ConnectionSettings::max_streams`].
const MIN_ATTEMPT_CAPACITY_PER_ENGINE: usize = 384;
/// Fraction of the engines' idle timeout after which this side closes an idle connection, so that the engine does not
/// close it first.
const IDLE_FRACTION: f64 = 0.8;
/// Multiple of the progress interval after which a silent connection with an attempt in flight may be lost.
const SILENCE_INTERVALS: f64 = 1.25;
/// Silence (ms) below which a connection never counts as lost.
pub const MIN_SILENCE_MS: f64 = 250.0;
/// Upper bound of the connect timeout (s): keeps any setting within the range of a timer.
const MAX_CONNECT_TIMEOUT_S: f64 = 3600.0;

/// Settings of connections to engines.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSettings {
    /// Connect timeout (ms).
    pub connect_timeout_ms: f64,
    /// Time (ms) after which an engine closes an idle connection.
    pub idle_timeout_ms: f64,
    /// Time (ms) between an engine's progress notes on an attempt, 0 if it sends none.
    pub progress_interval_ms: f64,
    /// Shortest latency objective (ms) of all resource groups; replaces the progress interval if engines send
    /// no notes.
    pub shortest_objective_ms: f64,
    /// Maximum number of attempts and health checks in flight on one connection.
    pub max_streams: usize,
    /// Maximum number of connections to all engines together.
    pub max_connections: usize,
}

impl ConnectionSettings {
    /// The connect timeout.
    pub fn connect_timeout(&self) -> Duration {
        let seconds = self.connect_timeout_ms / 1000.0;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_CONNECT_TIMEOUT_S))
    }

    /// Maximum number of connections to one engine.
    pub fn max_connections_per_engine(&self) -> usize {
        MAX_CONNECTIONS_PER_ENGINE.max(MIN_ATTEMPT_CAPACITY_PER_ENGINE / self.max_streams.max(1))
    }

    /// Idle time (ms) after which a connection is closed, even if the keep-alive estimate trusts longer idle times.
    pub fn max_idle_ms(&self) -> f64 {
        IDLE_FRACTION * self.idle_timeout_ms
    }

    /// Silence (ms) after which a connection with an attempt in flight may be lost.
    pub fn max_silence_ms(&self) -> f64 {
        let interval_ms = if self.progress_interval_ms > 0.0 {
            self.progress_interval_ms
        } else {
            self.shortest_objective_ms
        };
        MIN_SILENCE_MS.max(SILENCE_INTERVALS * interval_ms)
    }
}

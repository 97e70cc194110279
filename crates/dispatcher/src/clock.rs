//! The program's clock: Unix milliseconds that never run backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of [`Clock::instant`] (s after the start): keeps infinite deadlines within range.
const MAX_INSTANT_S: f64 = 1e9;

/// Reads the wall clock once, at its start, and then follows the monotonic clock, so that steps of the wall clock
/// have no effect. Copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_unix_ms: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started: Instant::now(),
            started_unix_ms: since_epoch.unwrap_or_default().as_secs_f64() * 1000.0,
        }
    }

    /// The reading, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which this clock reads `unix_ms`; the start for times before it.
    pub fn instant(&self, unix_ms: f64) -> Instant {
        let after_start_s = (unix_ms - self.started_unix_ms) / 1000.0;
        self.started + Duration::from_secs_f64(after_start_s.clamp(0.0, MAX_INSTANT_S))
    }
}

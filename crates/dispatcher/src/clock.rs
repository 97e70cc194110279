//! The clock: Unix milliseconds that never run backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    pub fn now(&self) -> f64 {
        self.unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which this clock reads `ms`.
    pub fn instant(&self, ms: f64) -> Instant {
        self.started + Duration::from_secs_f64(((ms - self.unix_ms) / 1000.0).clamp(0.0, 1e9))
    }
}

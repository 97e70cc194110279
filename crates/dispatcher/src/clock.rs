//! The program's clock, and the wall clock beside it.
//!
//! All times in the program are those of [`Clock`]: milliseconds that run with the monotonic clock, whatever happens to
//! the wall clock. A time that comes from outside in Unix time is translated once, by [`WallClock`].

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of [`Clock::instant`] (s after the start): keeps infinite deadlines within range.
const MAX_INSTANT_S: f64 = 1e9;
/// A change of the wall clock against the program's clock by more than this (ms) is a step; less is its drift.
const MIN_STEP_MS: f64 = 20.0;
/// Steps that are remembered.
const MAX_STEPS: usize = 16;
/// How far (ms) another machine's clock may be ahead of this one's.
const MAX_AHEAD_MS: f64 = 1000.0;

/// Reads the wall clock once, at its start, and then follows the monotonic clock, so that steps of the wall clock
/// have no effect. Copies show the same time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_unix_ms: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            started_unix_ms: unix_ms(),
        }
    }

    /// The reading: Unix milliseconds, as long as the wall clock is not stepped.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which this clock reads `at_ms`; the start for times before it.
    pub fn instant(&self, at_ms: f64) -> Instant {
        let after_start_s = (at_ms - self.started_unix_ms) / 1000.0;
        self.started + Duration::from_secs_f64(after_start_s.clamp(0.0, MAX_INSTANT_S))
    }
}

/// The wall clock of this machine (Unix ms).
fn unix_ms() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs_f64() * 1000.0
}

/// Translates Unix times into times of the program's clock, also across steps of the wall clock.
#[derive(Debug, Clone)]
pub struct WallClock {
    clock: Clock,
    offsets: WallOffsets,
}

impl WallClock {
    /// The wall clock beside `clock`.
    pub fn beside(clock: Clock) -> Self {
        let mut wall = WallClock {
            clock,
            offsets: WallOffsets::default(),
        };
        wall.observe();
        wall
    }

    /// The program's clock (ms).
    pub fn now_ms(&self) -> f64 {
        self.clock.now()
    }

    /// Looks whether the wall clock was stepped. To be called a few times a second: what was stamped between a step and
    /// the next call is translated as if it came after the step.
    pub fn observe(&mut self) {
        let offset_ms = unix_ms() - self.clock.now();
        if let Some(step_ms) = self.offsets.record(offset_ms) {
            tracing::warn!(step_ms, "wall clock stepped");
        }
    }

    /// When something happened on the program's clock, by its Unix time: at the latest now.
    pub fn translate_past(&mut self, unix_ms: f64) -> f64 {
        self.observe();
        self.offsets.translate_past(unix_ms, self.clock.now())
    }
}

/// How far the wall clock was ahead of the program's clock (ms), the latest last.
#[derive(Debug, Clone, Default)]
struct WallOffsets {
    offsets_ms: Vec<f64>,
}

impl WallOffsets {
    /// Takes in the present offset; by how much the wall clock was stepped, if it was.
    fn record(&mut self, offset_ms: f64) -> Option<f64> {
        let Some(last_ms) = self.offsets_ms.last_mut() else {
            self.offsets_ms.push(offset_ms);
            return None;
        };
        let step_ms = offset_ms - *last_ms;
        if step_ms.abs() < MIN_STEP_MS {
            *last_ms = offset_ms;
            return None;
        }
        if self.offsets_ms.len() == MAX_STEPS {
            self.offsets_ms.remove(0);
        }
        self.offsets_ms.push(offset_ms);
        Some(step_ms)
    }

    /// The time of a past event, by its Unix time.
    ///
    /// Nobody says which side of a step a stamp is from. Of the times that it may stand for, the latest that is not in
    /// the future is taken: an engine is rather taken for started too late than too early. A stamp from the future by
    /// all of them is from a clock that was stepped before this program started, and counts as now.
    fn translate_past(&self, unix_ms: f64, now_ms: f64) -> f64 {
        let times = self.offsets_ms.iter().map(|offset_ms| unix_ms - offset_ms);
        let past = times.filter(|at_ms| *at_ms <= now_ms + MAX_AHEAD_MS);
        past.reduce(f64::max).unwrap_or(now_ms).min(now_ms)
    }
}

#[cfg(test)]
mod tests;

//! The program's clock, and the translation of wall clock times to it.
//!
//! All times in the program are times of [`Clock`]: milliseconds that advance with the monotonic clock and do not
//! follow steps of the wall clock. [`WallClock`] translates Unix times that other machines report.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound (s after the start) of [`Clock::instant`]: keeps infinite deadlines within the range of `Instant`.
const MAX_INSTANT_S: f64 = 1e9;
/// Minimum change (ms) of the wall clock's offset that counts as a step; a smaller change is drift.
const MIN_STEP_MS: f64 = 20.0;
/// Maximum number of recorded offsets. Each step adds an offset; the oldest offset is dropped.
const MAX_OFFSETS: usize = 16;
/// Maximum time (ms) by which another machine's clock may be ahead of this one's.
const MAX_AHEAD_MS: f64 = 1000.0;

/// A clock that reads the wall clock once, at its start, and then follows the monotonic clock, so that steps of the
/// wall clock have no effect. Copies show the same time.
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

    /// The current time (ms): equal to the Unix time until the wall clock is stepped.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which this clock shows `at_ms`; the start of the clock for earlier times.
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
    /// A translator to the times of `clock`.
    pub fn new(clock: Clock) -> Self {
        let mut wall_clock = WallClock {
            clock,
            offsets: WallOffsets::default(),
        };
        wall_clock.observe();
        wall_clock
    }

    /// The current time (ms) of the program's clock.
    pub fn now_ms(&self) -> f64 {
        self.clock.now()
    }

    /// Checks whether the wall clock was stepped. Must be called several times per second: a timestamp taken between a
    /// step and the next call is translated as if it was taken after the step.
    pub fn observe(&mut self) {
        let offset_ms = unix_ms() - self.clock.now();
        if let Some(step_ms) = self.offsets.record(offset_ms) {
            tracing::warn!(step_ms, "wall clock stepped");
        }
    }

    /// Translates the Unix time (ms) of a past event to the program's clock; the result is not later than now.
    pub fn translate_past(&mut self, unix_ms: f64) -> f64 {
        self.observe();
        self.offsets.translate_past(unix_ms, self.clock.now())
    }
}

/// Offsets (ms) of the wall clock from the program's clock: one for each period between two steps, the latest last.
#[derive(Debug, Clone, Default)]
struct WallOffsets {
    offsets_ms: Vec<f64>,
}

impl WallOffsets {
    /// Records the current offset. Returns the size (ms) of the step if the wall clock was stepped.
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
        if self.offsets_ms.len() == MAX_OFFSETS {
            self.offsets_ms.remove(0);
        }
        self.offsets_ms.push(offset_ms);
        Some(step_ms)
    }

    /// Translates the Unix time of a past event.
    ///
    /// It is unknown whether a timestamp was taken before or after a step, so each offset gives a possible time. The
    /// result is the latest possible time that is not in the future: the program translates start times of engines, and
    /// one that is too late is safer than one that is too early. A timestamp that is in the future by all offsets is
    /// from a clock that was stepped before this program started, and counts as now.
    fn translate_past(&self, unix_ms: f64, now_ms: f64) -> f64 {
        let times = self.offsets_ms.iter().map(|offset_ms| unix_ms - offset_ms);
        let past = times.filter(|at_ms| *at_ms <= now_ms + MAX_AHEAD_MS);
        past.reduce(f64::max).unwrap_or(now_ms).min(now_ms)
    }
}

#[cfg(test)]
mod tests;

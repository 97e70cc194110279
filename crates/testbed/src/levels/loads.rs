//! Loads over a run, as fractions of capacity.

use std::f64::consts::{PI, TAU};

/// When the load of [`step`] rises, as a fraction of the run.
pub(super) const STEP_UP: f64 = 0.08;
/// When the load of [`step`] falls again, as a fraction of the run.
pub(super) const STEP_DOWN: f64 = 0.4;
/// The load of [`step`] when calm.
const CALM_LOAD: f64 = 0.3;

/// From calm to the peak and halfway back, as a quarter starts.
pub(super) fn quarter_start(fraction: f64, peak: f64) -> f64 {
    0.5 + (peak - 0.5) * (fraction * PI * 0.85).sin()
}

/// Around the thresholds: sines, squares and a sawtooth of periods from 7 to 90 s, as if the run took ten minutes.
pub(super) fn swings(fraction: f64, middle: f64) -> f64 {
    let time_s = fraction * 600.0;
    let wave = match (fraction * 6.0) as u32 {
        0 => (time_s / 7.0 * TAU).sin(),
        1 => (time_s / 20.0 * TAU).sin().signum(),
        2 => 2.0 * (time_s / 61.0).fract() - 1.0,
        3 => (time_s / 30.0 * TAU).sin(),
        4 => (time_s / 45.0 * TAU).sin().signum(),
        _ => (time_s / 90.0 * TAU).sin(),
    };
    middle + 0.45 * wave
}

/// Calm, then at the peak for a third of the time, then calm.
pub(super) fn step(fraction: f64, peak: f64) -> f64 {
    if (STEP_UP..STEP_DOWN).contains(&fraction) {
        peak
    } else {
        CALM_LOAD
    }
}

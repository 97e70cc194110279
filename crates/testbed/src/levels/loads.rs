//! Load profiles of a run. Each returns the load, as a fraction of capacity, at a fraction of the run.

use std::f64::consts::{PI, TAU};

/// Start of the peak of [`step`], as a fraction of the run.
pub(super) const STEP_BEGIN: f64 = 0.08;
/// End of the peak of [`step`], as a fraction of the run.
pub(super) const STEP_END: f64 = 0.4;
/// Load of [`step`] before and after the peak, as a fraction of capacity.
const BASE_LOAD: f64 = 0.3;

/// Rises along a sine from half of capacity to the peak and falls about halfway back, as load does at the start of a
/// business quarter.
pub(super) fn rise_to_peak(fraction: f64, peak: f64) -> f64 {
    0.5 + (peak - 0.5) * (fraction * PI * 0.85).sin()
}

/// Oscillates around `middle`, across the thresholds of the levels: sine, square and sawtooth waves with periods from 7
/// to 90 s, scaled to a run of ten minutes.
pub(super) fn waves(fraction: f64, middle: f64) -> f64 {
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

/// Base load with one peak that takes about a third of the run.
pub(super) fn step(fraction: f64, peak: f64) -> f64 {
    if (STEP_BEGIN..STEP_END).contains(&fraction) {
        peak
    } else {
        BASE_LOAD
    }
}

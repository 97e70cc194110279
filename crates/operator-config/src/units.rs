//! Conversion of units: the operators' file uses seconds, the packages use milliseconds.

/// Milliseconds in a second.
pub(crate) const MS_PER_S: f64 = 1000.0;

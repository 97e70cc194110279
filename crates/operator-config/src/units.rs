//! Units: the operators' file has seconds, the packages have milliseconds.

/// Milliseconds in a second.
pub(crate) const MS_PER_S: f64 = 1000.0;

//! Intervals against known values.

use super::*;

#[test]
fn mean_has_the_interval_of_students_t_distribution() {
    let m = mean([1.0, 2.0, 3.0, 4.0, 5.0, f64::NAN].into_iter());
    // 2.776 (four degrees) times the root of 2.5 / 5.
    assert_eq!((m.mean, m.count), (3.0, 5));
    assert!((m.half_width - 1.963).abs() < 0.002, "{m:?}");
    assert!(mean([7.0].into_iter()).half_width.is_nan());
}

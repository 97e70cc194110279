//! Checks confidence intervals against known values.

use super::*;

#[test]
fn mean_has_the_confidence_interval_of_students_t_distribution() {
    let result = mean([1.0, 2.0, 3.0, 4.0, 5.0, f64::NAN].into_iter());
    // 2.776 (quantile for four degrees of freedom) times the square root of 2.5 / 5.
    assert_eq!((result.mean, result.count), (3.0, 5));
    assert!((result.half_width - 1.963).abs() < 0.002, "{result:?}");
    assert!(mean([7.0].into_iter()).half_width.is_nan());
}

//! Fractions of late and rejected queries within the last ten seconds.

use tansymux_service_levels::{OutcomeWindows, QueryOutcome};

#[test]
fn fractions_cover_the_last_ten_seconds_and_need_enough_outcomes() {
    let mut windows = OutcomeWindows::new(2);
    (0..4).for_each(|_| windows.record(0, QueryOutcome::Late, 0.0));
    assert_eq!(windows.late_fraction(None, 0.0), 0.0);
    (0..4).for_each(|_| windows.record(0, QueryOutcome::InTime, 500.0));
    windows.record(1, QueryOutcome::Rejected, 900.0);
    assert_eq!(
        (
            windows.late_fraction(None, 900.0),
            windows.late_fraction(Some(0), 900.0)
        ),
        (0.5, 0.5)
    );
    assert_eq!(
        (
            windows.rejected_fraction(None, 900.0),
            windows.rejected_fraction(Some(1), 900.0)
        ),
        (1.0 / 9.0, 0.0)
    );
    assert_eq!(
        (
            windows.late_fraction(None, 9_999.0),
            windows.late_fraction(None, 10_001.0)
        ),
        (0.5, 0.0)
    );
    assert_eq!(windows.late_fraction(Some(7), 0.0), 0.0);
}

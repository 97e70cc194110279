use super::*;

const HOUR_MS: f64 = 3_600_000.0;

/// Offsets of a wall clock that started at the program's time and was then stepped by each of `steps_ms`.
fn stepped_by(steps_ms: &[f64]) -> WallOffsets {
    let mut offsets = WallOffsets::default();
    let mut offset_ms = 0.0;
    offsets.record(offset_ms);
    for step_ms in steps_ms {
        offset_ms += step_ms;
        assert!(offsets.record(offset_ms).is_some());
    }
    offsets
}

#[test]
fn timestamps_from_before_and_after_a_step_are_translated() {
    let now_ms = 50_000_000.0;
    for step_ms in [-HOUR_MS, -40_000.0, 40_000.0, HOUR_MS] {
        let offsets = stepped_by(&[step_ms]);
        // A timestamp from after the step, and one from before it.
        assert_eq!(
            offsets.translate_past(now_ms + step_ms - 500.0, now_ms),
            now_ms - 500.0
        );
        assert_eq!(
            offsets.translate_past(now_ms - 2500.0, now_ms),
            now_ms - 2500.0
        );
    }
}

#[test]
fn a_timestamp_in_the_future_counts_as_now() {
    let offsets = stepped_by(&[]);
    assert_eq!(offsets.translate_past(HOUR_MS + 5.0, 5.0), 5.0);
    // 10 ms ahead is within the limit for another machine's clock.
    assert_eq!(offsets.translate_past(1000.0, 990.0), 990.0);
}

#[test]
fn drift_is_not_a_step_and_the_number_of_recorded_offsets_is_bounded() {
    let mut offsets = stepped_by(&[]);
    for millis in 1..200 {
        assert_eq!(offsets.record(f64::from(millis)), None);
    }
    for step in 1..100 {
        let offset_ms = f64::from(step) * HOUR_MS;
        assert!(offsets.record(offset_ms).is_some());
    }
    assert_eq!(offsets.offsets_ms.len(), MAX_OFFSETS);
}

//! The low lane's token bucket.

use crate::model::LowLane;

#[test]
fn bucket_has_tokens_once_headroom_has_repaid_its_debt() {
    let mut low_lane = LowLane::default();
    assert!(low_lane.has_tokens());
    low_lane.refill(-2.0, 100.0);
    assert!(!low_lane.has_tokens());
    low_lane.refill(0.5, 399.0);
    assert!(!low_lane.has_tokens());
    low_lane.refill(0.5, 1.0);
    assert!(low_lane.has_tokens());
}

#[test]
fn debt_is_bounded() {
    let mut low_lane = LowLane::default();
    for _ in 0..1000 {
        low_lane.refill(-100.0, 1000.0);
    }
    low_lane.refill(1.0, 12_000.0);
    assert!(
        low_lane.has_tokens(),
        "12 s of one thread repay the maximum debt"
    );
}

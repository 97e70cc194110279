//! The sliding window of timed amounts.

use super::START_MS;
use crate::model::event_window::{EventWindow, MergedTime};

const SPAN_MS: f64 = 10_000.0;

/// A window with `count` events of 1, evenly distributed over the span that ends at `START_MS`.
fn window_of(count: u32, merged_time: MergedTime) -> EventWindow {
    let mut window = EventWindow::new(merged_time);
    for event in 0..count {
        let before_end_ms = SPAN_MS * (1.0 - f64::from(event) / f64::from(count));
        window.record(START_MS - before_end_ms, 1.0, SPAN_MS);
    }
    window
}

/// The total after the events up to `since_ms` have expired.
fn total_after(window: &mut EventWindow, since_ms: f64) -> f64 {
    window.drop_expired(|at_ms| at_ms <= since_ms);
    window.total()
}

#[test]
fn few_events_keep_their_exact_times() {
    let mut window = window_of(4000, MergedTime::Earliest);
    assert_eq!(window.total(), 4000.0);
    assert_eq!(total_after(&mut window, START_MS - SPAN_MS / 4.0), 999.0);
}

#[test]
fn many_events_are_merged_to_the_resolution_of_the_span() {
    for merged_time in [MergedTime::Earliest, MergedTime::Latest] {
        let window = window_of(1_000_000, merged_time);
        assert_eq!(window.total(), 1e6);
        assert!(window.len() < 5200, "{}", window.len());
    }
}

#[test]
fn merged_events_expire_too_early_or_too_late_as_chosen_and_by_no_more_than_the_resolution() {
    let count = 1_000_000;
    let exact = 0.25 * f64::from(count);
    let resolution = f64::from(count) / 1000.0;
    let since_ms = START_MS - SPAN_MS / 4.0;
    let early = total_after(&mut window_of(count, MergedTime::Earliest), since_ms);
    assert!(early <= exact && early >= exact - resolution, "{early}");
    let late = total_after(&mut window_of(count, MergedTime::Latest), since_ms);
    assert!(late >= exact - 1.0 && late <= exact + resolution, "{late}");
}

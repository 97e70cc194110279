//! The progress of an attempt, from its engine's progress notes.

use super::START_MS;
use crate::model::{Attempt, EngineIndex};

#[test]
fn notes_predict_the_run_time() {
    let mut progress = Attempt::new(EngineIndex(0), START_MS, 1.0, 1.0).progress;
    assert_eq!(progress.run_time_ms(), None);
    assert!(progress.has_no_progress());
    progress.record(START_MS + 100.0, 0.25);
    assert_eq!(progress.run_time_ms(), Some(400.0));
    assert_eq!(progress.remaining_ms(START_MS + 150.0), Some(250.0));
}

#[test]
fn time_spent_waiting_is_not_part_of_the_run_time() {
    let mut progress = Attempt::new(EngineIndex(0), START_MS, 1.0, 1.0).progress;
    progress.begin_wait();
    progress.record(START_MS + 1000.0, 0.1);
    assert_eq!(progress.run_time_ms(), None, "the wait has just ended");
    progress.record(START_MS + 1090.0, 0.4);
    let run_time_ms = progress.run_time_ms().unwrap();
    assert!((run_time_ms - 300.0).abs() < 1e-6, "{run_time_ms}");
}

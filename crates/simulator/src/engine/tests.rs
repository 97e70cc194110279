//! Sharing of cores, and warm-up after a start.

use super::*;

#[test]
fn cores_are_shared_evenly_and_a_single_thread_gets_one_core() {
    let mut engine = Engine::new(2.0, 0.0, 1.0);
    engine.add(0.0, 1, 100.0, 1.0);
    assert_eq!(engine.next_completion_ms(0.0), Some(100.0));
    engine.add(0.0, 2, 400.0, 4.0);
    // Five threads on two cores: 100 ms of service per thread take 250 ms.
    assert_eq!(engine.next_completion_ms(0.0), Some(250.0));
    assert_eq!(engine.take_completed(249.0), [0; 0]);
    let mut completed = engine.take_completed(250.0);
    completed.sort_unstable();
    assert_eq!(completed, [1, 2]);
    assert!(engine.remove(250.0, 1).is_some() && engine.remove(250.0, 1).is_none());
}

#[test]
fn engine_that_is_warming_up_starts_slowly() {
    let mut engine = Engine::new(1.0, 1000.0, 0.25);
    engine.started_ms = 0.0;
    engine.add(0.0, 1, 100.0, 1.0);
    let mut now_ms = 0.0;
    while engine.take_completed(now_ms).is_empty() {
        now_ms = engine.next_completion_ms(now_ms).unwrap().max(now_ms + 1.0);
    }
    assert!((250.0..400.0).contains(&now_ms), "{now_ms}");
}

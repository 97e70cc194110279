//! Sharing of cores, and warming up.

use super::*;

#[test]
fn cores_are_shared_evenly_and_a_lone_thread_gets_one_core() {
    let mut engine = Engine::new(2.0, 0.0, 1.0);
    engine.add(0.0, 1, 100.0, 1.0);
    assert_eq!(engine.next_completion_ms(0.0), Some(100.0));
    engine.add(0.0, 2, 400.0, 4.0);
    // Five threads on two cores: each of 100 ms takes 250 ms.
    assert_eq!(engine.next_completion_ms(0.0), Some(250.0));
    assert_eq!(engine.take_completed(249.0), [0; 0]);
    let mut completed = engine.take_completed(250.0);
    completed.sort_unstable();
    assert_eq!(completed, [1, 2]);
    assert!(engine.remove(250.0, 1).is_some() && engine.remove(250.0, 1).is_none());
}

#[test]
fn an_engine_that_warms_up_is_slow_at_first() {
    let mut engine = Engine::new(1.0, 1000.0, 0.25);
    engine.started_ms = 0.0;
    engine.add(0.0, 1, 100.0, 1.0);
    let mut now = 0.0;
    while engine.take_completed(now).is_empty() {
        now = engine.next_completion_ms(now).unwrap().max(now + 1.0);
    }
    assert!((250.0..400.0).contains(&now), "{now}");
}

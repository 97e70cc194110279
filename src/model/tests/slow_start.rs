//! Slow start (rule 4).

use super::{group, listed_engine, START_MS};
use crate::model::{Engine, SlowStart};
use crate::pcg::Pcg;
use crate::settings::{Settings, WarmUpRule};

/// All dispatchers together may send 1 s of work within 1 s to an engine of one core. The engine is warm after 10 s.
const RULE: WarmUpRule = WarmUpRule {
    multiple: 1.0,
    initial_capacity: 1.0,
    span_ms: 1000.0,
    warm_after_ms: 10_000.0,
};

/// Slow start of one of `dispatchers` dispatchers, whose first round ran long ago.
fn slow_start(dispatchers: f64) -> SlowStart {
    let settings = Settings {
        dispatchers,
        warm_up: Some(RULE),
        ..Settings::default()
    };
    let mut slow_start = SlowStart::new(&settings);
    slow_start.begin_round(0.0);
    slow_start
}

fn started_engine() -> Engine {
    listed_engine(1, Some(START_MS))
}

#[test]
fn warming_engine_gets_no_more_than_the_budget_within_a_span() {
    let slow_start = slow_start(1.0);
    let group = group(100.0);
    let mut engine = started_engine();
    let mut admitted = 0;
    while slow_start.admits(&engine, &group, START_MS) {
        slow_start.record_sent(&mut engine, group.usual_work_ms(), START_MS);
        admitted += 1;
    }
    assert_eq!(admitted, 6, "0.8 x 0.85 of a core for 1 s, 100 ms each");
    let mut rng = Pcg::new(1);
    slow_start.advance(&mut engine.warm_up, START_MS + 1001.0, &mut rng);
    assert!(slow_start.admits(&engine, &group, START_MS + 1001.0));
}

#[test]
fn warm_engine_is_not_limited() {
    let slow_start = slow_start(1.0);
    let engine = started_engine();
    assert!(slow_start.is_warming_up(&engine, START_MS + 9999.0));
    assert!(!slow_start.is_warming_up(&engine, START_MS + 10_000.0));
    assert!(slow_start.limits(&engine, START_MS + 10_999.0));
    assert!(!slow_start.limits(&engine, START_MS + 11_000.0));
}

#[test]
fn budget_below_one_query_admits_one_at_random() {
    let slow_start = slow_start(100.0);
    let group = group(100.0);
    let mut rng = Pcg::new(1);
    let mut engine = started_engine();
    let mut admitted = 0;
    for span in 0..2000 {
        // The engine restarts in every span, so that it stays cold.
        let now_ms = START_MS + 1001.0 * f64::from(span);
        engine.endpoint.started_ms = now_ms;
        slow_start.advance(&mut engine.warm_up, now_ms, &mut rng);
        if slow_start.admits(&engine, &group, now_ms) {
            slow_start.record_sent(&mut engine, group.usual_work_ms(), now_ms);
            admitted += 1;
            assert!(!slow_start.admits(&engine, &group, now_ms), "one per span");
        }
    }
    // A quarter of a budget of 6.8 ms is spent on queries of 100 ms each: 34 queries in 2000 spans on average.
    assert!((15..60).contains(&admitted), "{admitted}");
}

/// Guards against a record of every query that is sent to a warming engine: the budget bounds their work, not their
/// number.
#[test]
fn memory_is_bounded_for_any_number_of_queries_to_a_warming_engine() {
    let slow_start = slow_start(1.0);
    let mut engine = started_engine();
    for query in 0..100_000 {
        let now_ms = START_MS + f64::from(query) / 200.0;
        slow_start.record_sent(&mut engine, 0.001, now_ms);
    }
    assert!(engine.warm_up.sent_entries() < 5200);
}

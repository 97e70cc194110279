use super::*;

#[test]
fn the_ring_buffer_keeps_the_latest_events_in_order_and_lists_those_of_a_query() {
    let trace = EventTrace::new(Clock::start());
    for query_id in 0..(MAX_EVENTS as u64 + 100) {
        trace.record(query_id, TraceEvent::Admitted);
    }
    trace.record_attempt(
        7,
        1,
        0xab,
        TraceEvent::AttemptEnded {
            outcome: Outcome::Reset,
            cause: EndCause::Reset,
        },
    );
    let all = trace.lines(None, usize::MAX);
    assert_eq!(all.len(), MAX_EVENTS);
    assert!(all[0].contains("query_id=101 "), "{}", all[0]);
    let last = trace.lines(Some(7), 10);
    assert_eq!(last.len(), 1);
    assert!(last[0].ends_with(
        "attempt=1 engine_id=000000ab event=AttemptEnded { outcome: Reset, cause: Reset }"
    ));
    assert_eq!(trace.lines(None, 3).len(), 3);
}

//! Logs and counters for on-call engineers: the last events of each query, and counters by reason.

use super::support::*;

#[test]
fn sigusr1_writes_the_last_events_of_queries_to_the_log() {
    let mut program = start(&two_group_config(&[instant_engine()]));
    assert_eq!(ask(program.listen, &query("look", 1, 9000.0)), Some(200));
    program.signal("-USR1");
    assert_eq!(ask(program.listen, &query("look", 2, 9000.0)), Some(200));
    program.terminate();
    let log = program.end();
    let events = [
        "query_id=1 attempt=0 engine_id=00000000 event=Admitted",
        "event=Submitted",
        "event=Begun",
        "event=AttemptEnded(Completed)",
        "query_id=1 attempt=0 engine_id=00000000 event=Answered(200)",
    ];
    let mut rest = log.as_str();
    for event in events {
        let found = rest.find(event);
        assert!(
            found.is_some(),
            "{event} is not there, or not in its place: {log}"
        );
        rest = &rest[found.unwrap_or_default()..];
    }
}

#[test]
fn ends_and_closes_are_counted_by_reason() {
    // Without any engine a query is rejected, with a reason.
    let program = start(&two_group_config(&[]));
    assert_eq!(ask(program.listen, &query("look", 1, 9000.0)), Some(429));
    program.wait_for_count("ended_no_engine 1\n");
    assert!(program.counter("client_closed_by_client") > Some(0));
    for rule in [1, 2, 3, 6, 7] {
        let name = format!("violations_rule_{rule}");
        assert_eq!(program.counter(&name), Some(0), "{name}");
    }
}

//! Logs and counters for on-call engineers: the last events of each query, and counters by reason.

use super::support::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tansymux_testbed::engine::{start_scripted_engine, write_result};
use tansymux_testbed::wire::write_frame;

#[test]
fn sigusr1_writes_the_last_events_of_queries_to_the_log() {
    let mut program = start(&two_group_config(&[instant_engine()]));
    assert_eq!(
        query_status(program.listen, &query("look", 1, 9000.0)),
        Some(200)
    );
    program.signal("-USR1");
    assert_eq!(
        query_status(program.listen, &query("look", 2, 9000.0)),
        Some(200)
    );
    program.terminate();
    let log = program.wait_for_exit();
    let events = [
        "query_id=1 attempt=0 engine_id=00000000 event=Admitted",
        "event=Submitted",
        "event=Begun",
        "event=AttemptEnded { outcome: Completed, cause: FinalReply }",
        "query_id=1 attempt=0 engine_id=00000000 event=Answered(200)",
    ];
    let mut rest = log.as_str();
    for event in events {
        let found = rest.find(event);
        assert!(found.is_some(), "{event} is missing or out of order: {log}");
        rest = &rest[found.unwrap_or_default()..];
    }
}

#[test]
fn rejections_and_closed_connections_are_counted_by_reason() {
    // Without an engine, a query is rejected, and the rejection is counted by its reason.
    let program = start(&two_group_config(&[]));
    assert_eq!(
        query_status(program.listen, &query("look", 1, 9000.0)),
        Some(429)
    );
    program.wait_for_counter_line("ended_no_engine 1\n");
    assert!(program.counter("client_closed_by_client") > Some(0));
    // Violations are counted by rule, and there were none.
    for rule in [1, 2, 3, 6, 7] {
        let name = format!("violations_rule_{rule}");
        assert_eq!(program.counter(&name), Some(0), "{name}");
    }
}

#[test]
fn retry_and_ignored_reply_are_logged_with_the_ids_that_clients_and_engines_know() {
    // The first attempt fails. The second completes, and a failure reply follows its result.
    let fetches = AtomicUsize::new(0);
    let fetches = Arc::new(fetches);
    let (engine, _received) = start_scripted_engine(move |parts, to| {
        let id = &parts[1];
        if parts[0] != "fetch" {
            return;
        }
        if fetches.fetch_add(1, Ordering::SeqCst) == 0 {
            write_frame(to, &[id, "BROKE", "-", ""]);
            return;
        }
        write_result(to, id);
        write_frame(to, &[id, "BROKE", "-", ""]);
    });
    let mut program = start(&two_group_config(&[engine]));
    assert_eq!(
        query_status(program.listen, &query("look", 1, 9000.0)),
        Some(200)
    );
    program.wait_for_counter_line("replies_ignored_not_in_flight 1\n");
    program.wait_for_counter_line("attempts_ended_final_reply 2\n");
    program.wait_for_counter_line("retries_after_final_reply 1\n");
    program.terminate();
    let log = program.wait_for_exit();
    let line_with = |message: &str| log.lines().find(|line| line.contains(message));
    let id = r#"client_id="0000000000000001""#;
    for (message, fields) in [
        (
            "attempt ended",
            [
                "attempt=0",
                "connection=",
                "outcome=Error",
                "cause=final_reply",
            ],
        ),
        (
            "retry submitted",
            ["attempt=1", "engine_id=", "query_id=1", "after=final_reply"],
        ),
        (
            "engine reply ignored",
            [
                "connection=",
                "engine_id=",
                r#"reply="failed""#,
                "reason=not_in_flight",
            ],
        ),
    ] {
        let line = line_with(message).unwrap_or_default();
        for field in fields.iter().chain([&id]) {
            assert!(line.contains(field), "{field} is missing in {line:?}");
        }
    }
}

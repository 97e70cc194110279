use super::*;
use crate::engine::protocol::ProgressNote;
use crate::engine::protocol_error::ProtocolError;
use crate::engine::resp;
use crate::ignored_reply::IgnoredReply;
use tansymux::events::{AttemptLimits, NoteKind, Outcome};

fn connection() -> Connection {
    let mut connection = Connection::new(0.0);
    connection.state = ConnectionState::Up;
    connection
}

fn submit(connection: &mut Connection, id: &str, query_id: u64) {
    connection.submit(
        &id.into(),
        fields(),
        b"SELECT 1".as_slice().into(),
        Attempt::new(
            query_id,
            0,
            5.0,
            AttemptLimits {
                deadline_ms: 90.0,
                start_by_ms: 90.0,
                side_effect_free: true,
            },
        ),
    );
    begin_next(connection);
}

fn fields() -> RequestFields {
    RequestFields {
        before_limit: "cls=a".to_owned(),
        after_limit: String::new(),
    }
}

/// Grants a permit to the next request, unless an earlier request is partly written.
fn begin_next(connection: &mut Connection) {
    let next = connection.next_to_begin().map(|(id, _)| id);
    if let Some(id) = next {
        connection.begin(&id, &BeginPermit::for_test(85));
    }
}

fn receive(connection: &mut Connection, elements: &[&[u8]]) -> Result<FrameEvent, ProtocolError> {
    let mut bytes = Vec::new();
    resp::write(&mut bytes, elements, None);
    let frame = resp::parse(&bytes).unwrap().unwrap();
    connection.receive(&frame, 9.0)
}

fn unwritten(connection: &Connection) -> String {
    let mut slices = Vec::new();
    connection.slices(&mut slices, 64);
    slices
        .iter()
        .map(|slice| String::from_utf8_lossy(slice))
        .collect()
}

#[test]
fn all_pages_of_a_result_are_fetched_and_joined_in_order() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    let request = unwritten(&connection);
    assert_eq!(
        request,
        "*4\r\n$5\r\nfetch\r\n$2\r\ni1\r\n$14\r\ncls=a,limit=85\r\n$8\r\nSELECT 1\r\n"
    );
    connection.advance(request.len() - 1);
    assert!(!connection.is_fully_written("i1"));
    connection.advance(1);
    assert!(connection.is_fully_written("i1"));
    // Duplicates are ignored.
    for expected in [
        FrameEvent::PageArrived,
        FrameEvent::Ignored(IgnoredReply::DuplicateFirstPage),
    ] {
        assert_eq!(
            receive(&mut connection, &[b"i1", b"DONE", b"batches=3", b"a\t\t\n"]),
            Ok(expected)
        );
        assert_eq!(unwritten(&connection).matches("more").count(), 2);
    }
    for expected in [
        FrameEvent::PageArrived,
        FrameEvent::Ignored(IgnoredReply::DuplicatePage),
    ] {
        assert_eq!(
            receive(&mut connection, &[b"i1", b"MORE", b"batch=2", b"c\t\t\n"]),
            Ok(expected)
        );
    }
    let pages = [
        "[\"a\",\"\",\"\"]",
        "[\"b\",\"\",\"\"]",
        "[\"c\",\"\",\"\"]",
    ]
    .map(|page| page.as_bytes().to_vec())
    .to_vec();
    let (query_id, attempt, outcome, sent_ms) = (4, 0, Outcome::Completed, 5.0);
    let attempt_ended = Ok(FrameEvent::AttemptEnded {
        query_id,
        attempt,
        outcome,
        cause: EndCause::FinalReply,
        sent_ms,
        deadline_ms: 90.0,
        pages,
    });
    assert_eq!(
        receive(&mut connection, &[b"i1", b"MORE", b"batch=1", b"b\t\t\n"]),
        attempt_ended
    );
    assert!(unwritten(&connection).contains("done") && connection.in_flight() == 0);
    assert_eq!(
        receive(&mut connection, &[b"i1", b"MORE", b"batch=1", b"b\n"]),
        Ok(FrameEvent::Ignored(IgnoredReply::NotInFlight))
    );
}

#[test]
fn malformed_replies_are_protocol_errors() {
    let cases: [&[&[u8]]; 8] = [
        &[b"\xff", b"DONE", b"batches=1", b"a\t\t\n"],
        &[b"i1", b"DONE", b"batches=0", b"a\t\t\n"],
        &[b"i1", b"DONE", b"batches=100000", b"a\t\t\n"],
        &[b"i1", b"DONE", b"-", b"a\t\t\n"],
        &[b"i1", b"DONE", b"batches=1", b"\xff\t\t\n"],
        &[b"i1", b"DONE", b"batches=1", b"a\tb\n"],
        &[b"i1", b"MORE", b"batch=7", b"a\t\t\n"],
        &[b"i1", b"noise", b"-", b""],
    ];
    for elements in cases {
        let mut connection = connection();
        submit(&mut connection, "i1", 4);
        let received = receive(&mut connection, elements);
        assert!(
            received.is_err() && connection.in_flight() == 1,
            "{received:?}"
        );
    }
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    let failed = receive(&mut connection, &[b"i1", b"BROKE", b"-", b""]);
    assert!(matches!(
        failed,
        Ok(FrameEvent::AttemptEnded {
            outcome: Outcome::Error,
            ..
        })
    ));
    assert_eq!(
        receive(&mut connection, &[]),
        Ok(FrameEvent::Ignored(IgnoredReply::NotInFlight))
    );
}

#[test]
fn abandoning_withdraws_an_unwritten_request_and_aborts_a_written_one() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    submit(&mut connection, "i2", 5);
    connection.advance(3);
    assert_eq!(
        connection.unstarted_requests().collect::<Vec<_>>(),
        ["i2".into()]
    );
    assert!(connection
        .abandon("i2", 6.0)
        .is_some_and(|abandoned| abandoned.attempt.query_id == 5 && !abandoned.was_sent()));
    connection.advance(unwritten(&connection).len());
    assert!(connection
        .abandon("i1", 6.0)
        .is_some_and(|abandoned| abandoned.attempt.query_id == 4 && abandoned.was_sent()));
    assert!(connection.abandon("i1", 6.0).is_none() && connection.close_reason.is_none());
    let text = unwritten(&connection);
    assert!(
        !text.starts_with("$5\r\nfetch") && text.contains("abort") && !text.contains("i2"),
        "{text}"
    );
    connection.advance(text.len());
    assert!(
        !connection.has_unwritten()
            && connection.outbox.bytes() == 0
            && connection.in_flight() == 0
    );
}

#[test]
fn abandoning_a_partly_written_request_closes_the_connection() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.advance(3);
    assert!(connection
        .abandon("i1", 6.0)
        .is_some_and(|abandoned| abandoned.attempt.query_id == 4 && !abandoned.was_sent()));
    assert!(connection.close_reason.is_some());
}

#[test]
fn late_reply_to_an_abandoned_attempt_is_ignored() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    assert!(!connection.accepts("i1", 32) && connection.accepts("i2", 32));
    connection.advance(unwritten(&connection).len());
    assert!(connection
        .abandon("i1", 6.0)
        .is_some_and(|abandoned| abandoned.was_sent()));
    assert_eq!(
        receive(&mut connection, &[b"i1", b"DONE", b"batches=1", b"a\t\t\n"]),
        Ok(FrameEvent::Ignored(IgnoredReply::NotInFlight))
    );
}

#[test]
fn write_reaches_a_request_behind_other_bytes_only_with_its_first_byte() {
    let mut connection = connection();
    connection.check_health("t1".into(), 6.0, 250.0);
    let bytes_before_request = unwritten(&connection).len();
    submit(&mut connection, "i1", 4);
    assert!(
        !connection.reaches_next_request(bytes_before_request)
            && connection.reaches_next_request(bytes_before_request + 1)
    );
    connection.advance(bytes_before_request - 1);
    assert!(!connection.reaches_next_request(1) && connection.reaches_next_request(2));
    connection.advance(2);
    assert_eq!(connection.request_state("i1"), RequestState::PartlyWritten);
}

#[test]
fn only_unstarted_requests_pass_their_start_limit() {
    let mut connection = connection();
    for (id, start_by_ms) in [("i1", 7.0), ("i2", 7.0), ("i3", 90.0)] {
        let limits = AttemptLimits {
            deadline_ms: 90.0,
            start_by_ms,
            side_effect_free: false,
        };
        let attempt = Attempt::new(4, 0, 5.0, limits);
        connection.submit(&id.into(), fields(), b"SELECT 1".as_slice().into(), attempt);
    }
    begin_next(&mut connection);
    connection.advance(3);
    let too_late_ids = |now_ms| connection.too_late_to_begin(now_ms).collect::<Vec<_>>();
    assert_eq!(
        (too_late_ids(6.9), too_late_ids(7.0)),
        (vec![], vec!["i2".into()])
    );
}

#[test]
fn progress_notes_and_health_check_replies_are_distinguished() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.check_health("t1".into(), 6.0, 250.0);
    let progress = Ok(FrameEvent::Progress {
        query_id: 4,
        attempt: 0,
        note: ProgressNote {
            kind: NoteKind::Progress,
            amount: 0.5,
        },
    });
    assert_eq!(
        receive(
            &mut connection,
            &[b"i1", b"TELL", b"tell=frac,num=0.5", b""]
        ),
        progress
    );
    assert_eq!(
        receive(&mut connection, &[b"i1", b"TELL", b"-", b""]),
        Ok(FrameEvent::Ignored(IgnoredReply::UnusedNote))
    );
    assert_eq!(
        receive(
            &mut connection,
            &[b"i1", b"TELL", b"tell=frac,num=NaN", b""]
        ),
        Ok(FrameEvent::Ignored(IgnoredReply::UnusedNote))
    );
    assert_eq!(
        receive(&mut connection, &[b"t1", b"UNFIT", b"-", b""]),
        Ok(FrameEvent::HealthCheckAnswered(Outcome::Error))
    );
    assert_eq!(
        receive(&mut connection, &[b"t1", b"FIT", b"-", b""]),
        Ok(FrameEvent::Ignored(IgnoredReply::NotInFlight))
    );
}

/// A connection whose attempt was written and then abandoned at 6 ms.
fn connection_with_abort() -> Connection {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.advance(unwritten(&connection).len());
    connection.abandon("i1", 6.0);
    connection
}

#[test]
fn abort_counts_as_written_only_with_its_last_byte() {
    let mut connection = connection_with_abort();
    let abort_len = unwritten(&connection).len();
    connection.advance(abort_len - 1);
    assert!(connection.take_written_last_commands().is_empty());
    connection.advance(1);
    let attempt = AttemptId {
        query_id: 4,
        number: 0,
    };
    assert_eq!(connection.take_written_last_commands(), [attempt]);
    assert!(connection.take_written_last_commands().is_empty());
    // If the connection closes first, the close returns the attempt.
    assert_eq!(
        connection_with_abort().on_closed().unwritten_last_commands,
        [attempt]
    );
}

#[test]
fn connection_whose_engine_does_not_read_an_abort_closes_once_nothing_is_in_flight() {
    let mut connection = connection_with_abort();
    submit(&mut connection, "i2", 5);
    connection.enforce_last_command_timeout(255.0);
    assert!(!connection.is_retired() && connection.next_deadline_ms(255.0) == 90.0);
    connection.enforce_last_command_timeout(256.0);
    assert!(connection.is_retired() && connection.close_reason().is_none());
    connection.abandon("i2", 257.0);
    connection.enforce_last_command_timeout(257.0);
    assert_eq!(
        connection.close_reason(),
        Some(CloseReason::LastCommandNotRead)
    );
}

#[test]
fn incomplete_result_is_released_and_its_unwritten_page_requests_are_dropped() {
    let first_page: [&[u8]; 4] = [b"i1", b"DONE", b"batches=3", b"a\t\t\n"];
    // One attempt loses a page, the other is abandoned.
    let mut with_lost_page = connection();
    let mut abandoned = connection();
    for connection in [&mut with_lost_page, &mut abandoned] {
        submit(connection, "i1", 4);
        connection.advance(unwritten(connection).len());
        receive(connection, &first_page).unwrap();
        // One byte of the first page request is written.
        connection.advance(1);
    }
    let end = receive(&mut with_lost_page, &[b"i1", b"BROKE", b"-", b""]);
    assert!(matches!(
        end,
        Ok(FrameEvent::AttemptEnded {
            outcome: Outcome::Error,
            cause: EndCause::ResultLost,
            ..
        })
    ));
    abandoned.abandon("i1", 9.0);
    for connection in [&mut with_lost_page, &mut abandoned] {
        let text = unwritten(connection);
        assert!(
            text.matches("more").count() == 1 && text.ends_with("$4\r\ndone\r\n$2\r\ni1\r\n"),
            "{text}"
        );
        connection.advance(text.len());
        assert_eq!(connection.take_written_last_commands().len(), 1);
        assert_eq!(connection.outbox.bytes(), 0);
    }
}

#[test]
fn unwritten_priority_change_is_dropped_when_its_attempt_ends() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.advance(unwritten(&connection).len());
    // If it were written after the attempt has ended, it would apply to a retry with the same query id.
    connection.set_priority("i1", 1);
    receive(&mut connection, &[b"i1", b"BROKE", b"-", b""]).unwrap();
    assert!(!connection.has_unwritten());
}

/// Guards against results that are collected for clients that have left, where cancels are not allowed: their number is
/// not bounded by the number of clients.
#[test]
fn rows_of_an_attempt_whose_client_left_are_not_kept() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.advance(unwritten(&connection).len());
    let first_page: [&[u8]; 4] = [b"i1", b"DONE", b"batches=2", b"a\tb\tc\n"];
    receive(&mut connection, &first_page).unwrap();
    connection.discard_rows("i1");
    let second_page: [&[u8]; 4] = [b"i1", b"MORE", b"batch=1", b"d\te\tf\n"];
    let ended = receive(&mut connection, &second_page);
    let Ok(FrameEvent::AttemptEnded { outcome, pages, .. }) = ended else {
        panic!("{ended:?}");
    };
    assert_eq!(outcome, Outcome::Completed);
    assert!(pages.iter().all(Vec::is_empty), "{pages:?}");
}

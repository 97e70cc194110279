use super::*;

fn connection() -> Connection {
    let mut connection = Connection::new(0.0);
    connection.state = State::Up;
    connection
}

fn submit(connection: &mut Connection, id: &str, query: u64) {
    connection.submit(
        &id.into(),
        "cls=a",
        b"SELECT 1".as_slice().into(),
        Attempt::new(
            query,
            0,
            5.0,
            AttemptLimits {
                deadline_ms: 90.0,
                start_by_ms: 90.0,
                side_effect_free: true,
            },
        ),
    );
}

fn hear(connection: &mut Connection, parts: &[&[u8]]) -> Heard {
    let mut bytes = Vec::new();
    resp::write(&mut bytes, parts, None);
    let frame = resp::parse(&bytes).unwrap().unwrap();
    connection.hear(&frame, 9.0)
}

fn waiting(connection: &Connection) -> String {
    let mut slices = Vec::new();
    connection.slices(&mut slices, 64);
    slices
        .iter()
        .map(|slice| String::from_utf8_lossy(slice))
        .collect()
}

#[test]
fn a_result_of_several_pages_is_fetched_whole_and_in_order() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    let request = waiting(&connection);
    assert_eq!(
        request,
        "*4\r\n$5\r\nfetch\r\n$2\r\ni1\r\n$5\r\ncls=a\r\n$8\r\nSELECT 1\r\n"
    );
    connection.wrote(request.len() - 1);
    assert!(!connection.went_out("i1"));
    connection.wrote(1);
    assert!(connection.went_out("i1"));
    // Surplus copies are passed over.
    for _ in 0..2 {
        assert_eq!(
            hear(&mut connection, &[b"i1", b"DONE", b"batches=3", b"a\t\t\n"]),
            Heard::Nothing
        );
        assert_eq!(waiting(&connection).matches("more").count(), 2);
    }
    for _ in 0..2 {
        assert_eq!(
            hear(&mut connection, &[b"i1", b"MORE", b"batch=2", b"c\t\t\n"]),
            Heard::Nothing
        );
    }
    let pages = [
        "[\"a\",\"\",\"\"]",
        "[\"b\",\"\",\"\"]",
        "[\"c\",\"\",\"\"]",
    ]
    .map(|page| page.as_bytes().to_vec())
    .to_vec();
    let (query, attempt, outcome, sent) = (4, 0, Outcome::Completed, 5.0);
    let whole = Heard::Closed {
        query,
        attempt,
        outcome,
        sent,
        pages,
    };
    assert_eq!(
        hear(&mut connection, &[b"i1", b"MORE", b"batch=1", b"b\t\t\n"]),
        whole
    );
    assert!(waiting(&connection).contains("done") && connection.out() == 0);
    assert_eq!(
        hear(&mut connection, &[b"i1", b"MORE", b"batch=1", b"b\n"]),
        Heard::Nothing
    );
}

#[test]
fn answers_that_cannot_be_used_are_spoilt() {
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
    for parts in cases {
        let mut connection = connection();
        submit(&mut connection, "i1", 4);
        let heard = hear(&mut connection, parts);
        assert!(
            matches!(heard, Heard::Spoilt(_)) && connection.out() == 1,
            "{heard:?}"
        );
    }
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    let broke = hear(&mut connection, &[b"i1", b"BROKE", b"-", b""]);
    assert!(matches!(
        broke,
        Heard::Closed {
            outcome: Outcome::Error,
            ..
        }
    ));
    assert_eq!(hear(&mut connection, &[]), Heard::Nothing);
}

#[test]
fn what_was_not_begun_is_taken_back_and_the_rest_is_aborted() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    submit(&mut connection, "i2", 5);
    connection.wrote(3);
    assert_eq!(connection.not_begun().collect::<Vec<_>>(), ["i2".into()]);
    assert!(connection
        .give_up("i2", 6.0)
        .is_some_and(|(s, begun)| s.query == 5 && !begun));
    connection.wrote(waiting(&connection).len());
    assert!(connection
        .give_up("i1", 6.0)
        .is_some_and(|(s, begun)| s.query == 4 && begun));
    assert!(connection.give_up("i1", 6.0).is_none() && connection.broken.is_none());
    let text = waiting(&connection);
    assert!(
        !text.starts_with("$5\r\nfetch") && text.contains("abort") && !text.contains("i2"),
        "{text}"
    );
    connection.wrote(text.len());
    assert!(!connection.has_waiting() && connection.waiting_bytes == 0 && connection.out() == 0);
}

#[test]
fn what_was_written_in_part_never_becomes_whole_once_it_is_given_up() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.wrote(3);
    assert!(connection
        .give_up("i1", 6.0)
        .is_some_and(|(s, begun)| s.query == 4 && !begun));
    assert!(connection.broken.is_some());
}

#[test]
fn an_id_that_was_given_up_here_goes_out_on_another_connection_and_its_late_answer_is_nobodys() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.wrote(waiting(&connection).len());
    assert!(connection
        .give_up("i1", 6.0)
        .is_some_and(|(_, begun)| begun));
    assert!(!connection.takes("i1", 32) && connection.takes("i2", 32));
    assert_eq!(
        hear(&mut connection, &[b"i1", b"DONE", b"batches=1", b"a\t\t\n"]),
        Heard::Nothing
    );
    // One that never went out may go here again, and a connection that was left often is left for good.
    submit(&mut connection, "i2", 5);
    connection.give_up("i2", 6.0);
    assert!(connection.takes("i2", 32));
    for n in 0..MAX_LEFT {
        submit(&mut connection, &format!("n{n}"), 6);
        connection.wrote(waiting(&connection).len());
        connection.give_up(&format!("n{n}"), 6.0);
    }
    assert!(connection.retired && connection.left.len() <= MAX_LEFT + 1);
}

#[test]
fn what_may_not_begin_any_more_is_told_and_what_has_begun_is_not() {
    let mut connection = connection();
    for (id, start_by_ms) in [("i1", 7.0), ("i2", 7.0), ("i3", 90.0)] {
        let bounds = AttemptLimits {
            deadline_ms: 90.0,
            start_by_ms,
            side_effect_free: false,
        };
        let attempt = Attempt::new(4, 0, 5.0, bounds);
        connection.submit(&id.into(), "cls=a", b"SELECT 1".as_slice().into(), attempt);
    }
    connection.wrote(3);
    let late = |now| connection.too_late_to_begin(now).collect::<Vec<_>>();
    assert_eq!((late(6.9), late(7.0)), (vec![], vec!["i2".into()]));
}

#[test]
fn notes_and_probes_are_told_apart() {
    let mut connection = connection();
    submit(&mut connection, "i1", 4);
    connection.probe("t1".into(), 6.0, 250.0);
    let told = Heard::Noted {
        query: 4,
        attempt: 0,
        note: NoteKind::Progress,
        amount: 0.5,
    };
    assert_eq!(
        hear(
            &mut connection,
            &[b"i1", b"TELL", b"tell=frac,num=0.5", b""]
        ),
        told
    );
    assert_eq!(
        hear(&mut connection, &[b"i1", b"TELL", b"-", b""]),
        Heard::Nothing
    );
    assert_eq!(
        hear(
            &mut connection,
            &[b"i1", b"TELL", b"tell=frac,num=NaN", b""]
        ),
        Heard::Nothing
    );
    assert_eq!(
        hear(&mut connection, &[b"t1", b"UNFIT", b"-", b""]),
        Heard::Probed(Outcome::Error)
    );
    assert_eq!(
        hear(&mut connection, &[b"t1", b"FIT", b"-", b""]),
        Heard::Nothing
    );
}

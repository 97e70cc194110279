//! Completion of attempts: late, duplicate and misdirected replies do not complete a retry, and a half-closed
//! connection does not prove that its attempt has ended.

use super::support::*;
use std::io::{BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::engine::{start_scripted_engine, write_result_of, ReceivedFrame};
use tansymux_testbed::wire::{read_response, write_frame};

/// Interval between the error replies of an engine to requests for pages that it has lost.
const REPLY_INTERVAL: Duration = Duration::from_millis(4);
/// Run time of a retry.
const RUN_TIME: Duration = Duration::from_millis(80);
/// Maximum time that a test waits for a command from the program to an engine.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a client waits for its answer (ms).
const WAIT_MS: f64 = 6000.0;

/// Arrival and end times of the attempts that an engine received.
#[derive(Debug, Clone, Default)]
struct AttemptLog(Arc<Mutex<Vec<AttemptTimes>>>);

#[derive(Debug, Clone, Copy)]
struct AttemptTimes {
    arrived: Instant,
    ended: Option<Instant>,
}

impl AttemptLog {
    /// Records the arrival of an attempt and returns the attempt's number.
    fn record_arrival(&self) -> usize {
        let mut attempts = self.0.lock().unwrap();
        attempts.push(AttemptTimes {
            arrived: Instant::now(),
            ended: None,
        });
        attempts.len() - 1
    }

    fn record_end(&self, number: usize) {
        self.0.lock().unwrap()[number].ended = Some(Instant::now());
    }

    fn arrived(&self, number: usize) -> Instant {
        self.0.lock().unwrap()[number].arrived
    }

    fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Fails if an attempt arrived before the preceding attempt had ended.
    fn assert_no_overlap(&self) {
        let attempts = self.0.lock().unwrap();
        for pair in attempts.windows(2) {
            let ended = pair[0].ended;
            let is_after = ended.is_some_and(|ended| ended <= pair[1].arrived);
            assert!(is_after, "attempts overlap: {attempts:?}");
        }
    }
}

/// Completes an attempt with one row after [`RUN_TIME`], on a separate thread.
fn run_and_complete(log: &AttemptLog, number: usize, id: &str, to: &TcpStream) {
    let mut to = to.try_clone().unwrap();
    let (log, id) = (log.clone(), id.to_owned());
    thread::spawn(move || {
        thread::sleep(RUN_TIME);
        log.record_end(number);
        write_result_of(&mut to, &id, "x\ty\tz\n");
    });
}

/// Starts an engine that answers the first attempt with the first of three pages and replies with an error to
/// requests for the other two. It completes all later attempts.
fn engine_that_loses_pages(log: &AttemptLog) -> (SocketAddr, Receiver<ReceivedFrame>) {
    let log = log.clone();
    let answer = move |parts: &[String], to: &mut TcpStream| {
        let id = &parts[1];
        match parts[0].as_str() {
            "fetch" => {
                let number = log.record_arrival();
                if number > 0 {
                    return run_and_complete(&log, number, id, to);
                }
                log.record_end(number);
                write_frame(to, &[id, "DONE", "batches=3", "a\tb\tc\n"]);
            }
            "more" => {
                thread::sleep(REPLY_INTERVAL);
                write_frame(to, &[id, "BROKE", "-", ""]);
            }
            _ => {}
        }
    };
    start_scripted_engine(answer)
}

/// Sends a query on a new connection, and returns the status and body of the answer.
fn query_rows(to: SocketAddr, group: &str, id: u64) -> Option<(u16, String)> {
    let mut stream = connect(to);
    send(&mut stream, &query(group, id, WAIT_MS));
    let response = read_response(&mut BufReader::new(stream))?;
    Some((response.status, response.body))
}

/// Returns the expected answer of a retry: the row that [`run_and_complete`] writes.
fn retry_answer() -> Option<(u16, String)> {
    Some((200, r#"{"data":[["x","y","z"]]}"#.to_owned()))
}

#[test]
fn lost_pages_of_one_attempt_do_not_end_its_retry() {
    let log = AttemptLog::default();
    let (engine, _received) = engine_that_loses_pages(&log);
    let program = start(&two_group_config(&[engine]));
    assert_eq!(query_rows(program.listen, "look", 1), retry_answer());
    assert_eq!(log.count(), 2);
    log.assert_no_overlap();
}

/// A reply of an engine to an attempt.
#[derive(Debug, Clone, Copy)]
struct EngineReply {
    kind: &'static str,
    fields: &'static str,
    rows: &'static str,
}

/// Replies that an engine sends to an attempt after the final reply.
const LATE_REPLIES: [EngineReply; 6] = [
    EngineReply {
        kind: "BROKE",
        fields: "-",
        rows: "",
    },
    EngineReply {
        kind: "WAIT",
        fields: "-",
        rows: "",
    },
    EngineReply {
        kind: "PAST",
        fields: "-",
        rows: "",
    },
    EngineReply {
        kind: "DONE",
        fields: "batches=1",
        rows: "a\tb\tc\n",
    },
    EngineReply {
        kind: "MORE",
        fields: "batch=1",
        rows: "a\tb\tc\n",
    },
    EngineReply {
        kind: "TELL",
        fields: "tell=frac,num=0.99",
        rows: "",
    },
];

/// Starts an engine that fails the first attempt and sends the reply `late` to it 20 ms later. It completes all later
/// attempts.
fn engine_with_late_reply(log: &AttemptLog, late: EngineReply) -> SocketAddr {
    let log = log.clone();
    let fetch_count = Arc::new(AtomicUsize::new(0));
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] != "fetch" {
            return;
        }
        let id = parts[1].clone();
        let number = log.record_arrival();
        if fetch_count.fetch_add(1, Ordering::SeqCst) > 0 {
            return run_and_complete(&log, number, &id, to);
        }
        log.record_end(number);
        write_frame(to, &[&id, "BROKE", "-", ""]);
        let mut to = to.try_clone().unwrap();
        thread::spawn(move || {
            thread::sleep(5 * REPLY_INTERVAL);
            write_frame(&mut to, &[&id, late.kind, late.fields, late.rows]);
        });
    };
    start_scripted_engine(answer).0
}

#[test]
fn late_replies_to_one_attempt_are_not_credited_to_its_retry() {
    for late in LATE_REPLIES {
        let log = AttemptLog::default();
        let program = start(&two_group_config(&[engine_with_late_reply(&log, late)]));
        let answer = query_rows(program.listen, "look", 1);
        assert_eq!(answer, retry_answer(), "{late:?}");
        assert_eq!(log.count(), 2, "{late:?}");
        log.assert_no_overlap();
        // The program did not close the connection because of the late reply.
        assert_eq!(program.counter("connections_spoilt"), Some(0), "{late:?}");
    }
}

/// Delay until an engine reads from a connection that it has half-closed.
const CLOSE_READ_DELAY: Duration = Duration::from_millis(30);

/// Starts an engine that half-closes the connection of the first attempt and runs this attempt until the program has
/// closed its side as well. It completes all later attempts.
fn engine_that_half_closes(log: &AttemptLog) -> SocketAddr {
    let log = log.clone();
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] != "fetch" {
            return;
        }
        let number = log.record_arrival();
        if number > 0 {
            return run_and_complete(&log, number, &parts[1], to);
        }
        to.shutdown(Shutdown::Write).unwrap();
        thread::sleep(CLOSE_READ_DELAY);
        let mut rest = Vec::new();
        let _ = to.read_to_end(&mut rest);
        log.record_end(number);
    };
    start_scripted_engine(answer).0
}

#[test]
fn half_closed_connection_does_not_complete_its_attempt() {
    let log = AttemptLog::default();
    let program = start(&two_group_config(&[engine_that_half_closes(&log)]));
    assert_eq!(query_rows(program.listen, "look", 1), retry_answer());
    assert_eq!(log.count(), 2);
    log.assert_no_overlap();
}

/// Waits for a command from the program to an engine, and returns the time of its arrival.
fn wait_for_command(received: &Receiver<ReceivedFrame>, command: &str) -> Option<Instant> {
    let started = Instant::now();
    while started.elapsed() < COMMAND_TIMEOUT {
        match received.recv_timeout(COMMAND_TIMEOUT) {
            Ok((parts, at)) if parts[0] == command => return Some(at),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
    None
}

#[test]
fn result_whose_pages_are_lost_is_freed_on_the_engine() {
    let log = AttemptLog::default();
    let (engine, received) = engine_that_loses_pages(&log);
    let program = start(&two_group_config(&[engine]));
    assert_eq!(query_rows(program.listen, "look", 1), retry_answer());
    let freed = wait_for_command(&received, "done");
    assert!(freed.is_some());
    // The engine receives the command before the retry.
    assert!(freed.is_some_and(|freed| freed < log.arrived(1)));
}

/// Starts an engine that answers an attempt with a first page or a progress note, and then replies that the attempt
/// never ran.
fn engine_that_reports_a_started_attempt_as_never_run(
    first_reply: EngineReply,
    denial: &'static str,
) -> SocketAddr {
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            let id = &parts[1];
            write_frame(
                to,
                &[id, first_reply.kind, first_reply.fields, first_reply.rows],
            );
            write_frame(to, &[id, denial, "-", ""]);
        }
    };
    start_scripted_engine(answer).0
}

#[test]
fn write_that_has_begun_is_not_rejected_as_never_run() {
    let first_page = EngineReply {
        kind: "DONE",
        fields: "batches=2",
        rows: "a\tb\tc\n",
    };
    let progress = EngineReply {
        kind: "TELL",
        fields: "tell=frac,num=0.5",
        rows: "",
    };
    for first_reply in [first_page, progress] {
        for denial in ["WAIT", "PAST"] {
            let engine = engine_that_reports_a_started_attempt_as_never_run(first_reply, denial);
            let program = start(&two_group_config(&[engine]));
            let status = query_status(program.listen, &query("load", 1, WAIT_MS));
            assert_eq!(status, Some(500), "{first_reply:?}, {denial}");
        }
    }
}

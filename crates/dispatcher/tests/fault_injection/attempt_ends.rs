//! What ends an attempt: replies that come late, twice or for another attempt, and ends of connections that prove nothing.

use super::support::*;
use std::io::{BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::engine::{scripted, write_result_of, ReceivedFrame};
use tansymux_testbed::wire::{read_response, write_frame};

/// How long an engine's pages of one result are lost apart from each other.
const BETWEEN_REPLIES: Duration = Duration::from_millis(4);
/// How long a retry runs.
const RUN_TIME: Duration = Duration::from_millis(80);
/// How long a command of the program is awaited.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long clients wait for an answer (ms).
const WAIT_MS: f64 = 6000.0;

/// When an engine received each attempt and ended it.
#[derive(Debug, Clone, Default)]
struct AttemptLog(Arc<Mutex<Vec<AttemptTimes>>>);

#[derive(Debug, Clone, Copy)]
struct AttemptTimes {
    arrived: Instant,
    ended: Option<Instant>,
}

impl AttemptLog {
    /// Records an attempt and returns its number.
    fn arrive(&self) -> usize {
        let mut attempts = self.0.lock().unwrap();
        attempts.push(AttemptTimes {
            arrived: Instant::now(),
            ended: None,
        });
        attempts.len() - 1
    }

    fn end(&self, number: usize) {
        self.0.lock().unwrap()[number].ended = Some(Instant::now());
    }

    fn arrived(&self, number: usize) -> Instant {
        self.0.lock().unwrap()[number].arrived
    }

    fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Fails if an attempt arrived before the one ahead of it had ended.
    fn assert_one_at_a_time(&self) {
        let attempts = self.0.lock().unwrap();
        for pair in attempts.windows(2) {
            let ended = pair[0].ended;
            let is_after = ended.is_some_and(|ended| ended <= pair[1].arrived);
            assert!(is_after, "two attempts at once: {attempts:?}");
        }
    }
}

/// Completes an attempt after its run time, with one row.
fn run_and_complete(log: &AttemptLog, number: usize, id: &str, to: &TcpStream) {
    let mut to = to.try_clone().unwrap();
    let (log, id) = (log.clone(), id.to_owned());
    thread::spawn(move || {
        thread::sleep(RUN_TIME);
        log.end(number);
        write_result_of(&mut to, &id, "x\ty\tz\n");
    });
}

/// An engine that ends the first attempt with the first of three pages and loses the two others. It completes all later
/// attempts.
fn engine_that_loses_pages(log: &AttemptLog) -> (SocketAddr, Receiver<ReceivedFrame>) {
    let log = log.clone();
    let answer = move |parts: &[String], to: &mut TcpStream| {
        let id = &parts[1];
        match parts[0].as_str() {
            "fetch" => {
                let number = log.arrive();
                if number > 0 {
                    return run_and_complete(&log, number, id, to);
                }
                log.end(number);
                write_frame(to, &[id, "DONE", "batches=3", "a\tb\tc\n"]);
            }
            "more" => {
                thread::sleep(BETWEEN_REPLIES);
                write_frame(to, &[id, "BROKE", "-", ""]);
            }
            _ => {}
        }
    };
    scripted(answer)
}

/// The status and the body of the answer to a query on a connection of its own.
fn ask_for_rows(to: SocketAddr, group: &str, id: u64) -> Option<(u16, String)> {
    let mut stream = connect(to);
    send(&mut stream, &query(group, id, WAIT_MS));
    let response = read_response(&mut BufReader::new(stream))?;
    Some((response.status, response.body))
}

/// The answer with the one row of [`run_and_complete`].
fn retried_row() -> Option<(u16, String)> {
    Some((200, r#"{"data":[["x","y","z"]]}"#.to_owned()))
}

#[test]
fn lost_pages_of_one_attempt_do_not_end_its_retry() {
    let log = AttemptLog::default();
    let (engine, _received) = engine_that_loses_pages(&log);
    let program = start(&two_group_config(&[engine]));
    assert_eq!(ask_for_rows(program.listen, "look", 1), retried_row());
    assert_eq!(log.count(), 2);
    log.assert_one_at_a_time();
}

/// A reply that comes a second time, or behind the final one.
#[derive(Debug, Clone, Copy)]
struct LateReply {
    word: &'static str,
    fields: &'static str,
    rows: &'static str,
}

const LATE_REPLIES: [LateReply; 6] = [
    LateReply {
        word: "BROKE",
        fields: "-",
        rows: "",
    },
    LateReply {
        word: "WAIT",
        fields: "-",
        rows: "",
    },
    LateReply {
        word: "PAST",
        fields: "-",
        rows: "",
    },
    LateReply {
        word: "DONE",
        fields: "batches=1",
        rows: "a\tb\tc\n",
    },
    LateReply {
        word: "MORE",
        fields: "batch=1",
        rows: "a\tb\tc\n",
    },
    LateReply {
        word: "TELL",
        fields: "tell=frac,num=0.99",
        rows: "",
    },
];

/// An engine that fails the first attempt and sends another reply to it a moment later. It completes all later attempts.
fn engine_with_late_reply(log: &AttemptLog, late: LateReply) -> SocketAddr {
    let log = log.clone();
    let is_first = Arc::new(AtomicUsize::new(0));
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] != "fetch" {
            return;
        }
        let id = parts[1].clone();
        let number = log.arrive();
        if is_first.fetch_add(1, Ordering::SeqCst) > 0 {
            return run_and_complete(&log, number, &id, to);
        }
        log.end(number);
        write_frame(to, &[&id, "BROKE", "-", ""]);
        let mut to = to.try_clone().unwrap();
        thread::spawn(move || {
            thread::sleep(5 * BETWEEN_REPLIES);
            write_frame(&mut to, &[&id, late.word, late.fields, late.rows]);
        });
    };
    scripted(answer).0
}

#[test]
fn late_replies_to_one_attempt_are_not_credited_to_its_retry() {
    for late in LATE_REPLIES {
        let log = AttemptLog::default();
        let program = start(&two_group_config(&[engine_with_late_reply(&log, late)]));
        let answer = ask_for_rows(program.listen, "look", 1);
        assert_eq!(answer, retried_row(), "{late:?}");
        assert_eq!(log.count(), 2, "{late:?}");
        log.assert_one_at_a_time();
        // The late reply did not cost the connection either.
        assert_eq!(program.counter("connections_spoilt"), Some(0), "{late:?}");
    }
}

/// How late an engine reads the end of a connection that it has half-closed.
const CLOSE_READ_DELAY: Duration = Duration::from_millis(30);

/// An engine that half-closes the connection of the first attempt and runs it until it has read that the other side
/// closed as well. It completes all later attempts.
fn engine_that_half_closes(log: &AttemptLog) -> SocketAddr {
    let log = log.clone();
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] != "fetch" {
            return;
        }
        let number = log.arrive();
        if number > 0 {
            return run_and_complete(&log, number, &parts[1], to);
        }
        to.shutdown(Shutdown::Write).unwrap();
        thread::sleep(CLOSE_READ_DELAY);
        let mut rest = Vec::new();
        let _ = to.read_to_end(&mut rest);
        log.end(number);
    };
    scripted(answer).0
}

#[test]
fn half_closed_connection_does_not_prove_the_end_of_its_attempt() {
    let log = AttemptLog::default();
    let program = start(&two_group_config(&[engine_that_half_closes(&log)]));
    assert_eq!(ask_for_rows(program.listen, "look", 1), retried_row());
    assert_eq!(log.count(), 2);
    log.assert_one_at_a_time();
}

/// Waits until an engine has received a command, and returns when it did.
fn command_received(received: &Receiver<ReceivedFrame>, command: &str) -> Option<Instant> {
    let from = Instant::now();
    while from.elapsed() < COMMAND_TIMEOUT {
        match received.recv_timeout(COMMAND_TIMEOUT) {
            Ok((parts, at)) if parts[0] == command => return Some(at),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
    None
}

#[test]
fn engine_is_told_to_free_a_result_whose_pages_are_lost() {
    let log = AttemptLog::default();
    let (engine, received) = engine_that_loses_pages(&log);
    let program = start(&two_group_config(&[engine]));
    assert_eq!(ask_for_rows(program.listen, "look", 1), retried_row());
    let freed = command_received(&received, "done");
    assert!(freed.is_some());
    // The retry does not overtake it.
    assert!(freed.is_some_and(|freed| freed < log.arrived(1)));
}

/// An engine that answers an attempt with a first page or a progress note, and then says that the attempt never ran.
fn engine_that_denies_its_run(begins: LateReply, denies: &'static str) -> SocketAddr {
    let answer = move |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            let id = &parts[1];
            write_frame(to, &[id, begins.word, begins.fields, begins.rows]);
            write_frame(to, &[id, denies, "-", ""]);
        }
    };
    scripted(answer).0
}

#[test]
fn write_that_has_begun_is_not_rejected_as_never_run() {
    let first_page = LateReply {
        word: "DONE",
        fields: "batches=2",
        rows: "a\tb\tc\n",
    };
    let progress = LateReply {
        word: "TELL",
        fields: "tell=frac,num=0.5",
        rows: "",
    };
    for begins in [first_page, progress] {
        for denies in ["WAIT", "PAST"] {
            let engine = engine_that_denies_its_run(begins, denies);
            let program = start(&two_group_config(&[engine]));
            let status = ask(program.listen, &query("load", 1, WAIT_MS));
            assert_eq!(status, Some(500), "{begins:?}, {denies}");
        }
    }
}

//! Reuse and closing of connections to engines.

use super::support::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::{send_query_in_two_writes as post_in_two, ClientQuery};
use tansymux_testbed::engine::{
    fill_accept_backlog, start_scripted_engine as engine, write_result, write_result_of,
};
use tansymux_testbed::program::{Program, TIMEOUT};
use tansymux_testbed::wire::{self, read_response};

/// Pause between the two writes of a request.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

#[test]
fn silent_engine_connection_is_not_reused() {
    let first_peer = std::sync::Arc::new(std::sync::Mutex::new(None));
    let (address, requests) = engine(move |parts, to| {
        let peer = to.peer_addr().unwrap();
        if *first_peer.lock().unwrap().get_or_insert(peer) != peer {
            write_result(to, &parts[1]);
        }
    });
    let program = start(&[address]);
    // The stalled attempt is migrated to a new connection of the same engine, as there is no other engine.
    let served = read_response(&mut BufReader::new(post_query(program.listen, "look", 1))).unwrap();
    assert_eq!(
        (served.status, served.body.as_str()),
        (200, r#"{"data":[["a","b","c"]]}"#)
    );
    // The engine received the cancellation of the first attempt well before the second attempt.
    let commands: Vec<(String, Instant)> = requests
        .try_iter()
        .map(|(parts, at)| (parts[0].clone(), at))
        .collect();
    assert_eq!(
        commands
            .iter()
            .map(|(command, _)| command.as_str())
            .collect::<Vec<_>>(),
        ["fetch", "abort", "fetch"]
    );
    assert!(
        commands[2].1 - commands[1].1 > Duration::from_millis(30),
        "{commands:?}"
    );
    assert_eq!(answer_status(post_query(program.listen, "look", 2)), 200);
}

#[test]
fn malformed_or_truncated_engine_answer_fails_only_its_own_query() {
    // Query 1 gets malformed bytes, query 2 half an answer, query 3 a page without its last column, and query 4 a valid
    // answer between a frame for an unknown query and a duplicate.
    let (address, requests) = engine(|parts, to| {
        let id = parts[1].as_str();
        if parts[0] != "fetch" {
            return;
        }
        thread::sleep(Duration::from_millis(100));
        match id.as_bytes()[15] {
            b'1' => drop(to.write_all(b"*4\r\n$16\r\n\xff\xfe\x00no answer")),
            b'2' => drop(to.write_all(format!("*4\r\n$16\r\n{id}\r\n$4\r\nDO").as_bytes())),
            b'3' => write_result_of(to, id, "a\tb\n"),
            _ => {
                thread::sleep(Duration::from_millis(300));
                write_result_of(to, "00000000000000ff", "x\ty\tz\n");
                (0..2).for_each(|_| write_result(to, id));
            }
        }
    });
    let program = start(&[address]);
    let started = Instant::now();
    let clients: Vec<TcpStream> = [4, 1, 2, 3]
        .map(|id| {
            let client = post_query(program.listen, "load", id);
            assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
            client
        })
        .into();
    let answers: Vec<(u16, String)> = clients
        .into_iter()
        .map(|client| {
            read_response(&mut BufReader::new(client))
                .map(|response| (response.status, response.body))
                .unwrap()
        })
        .collect();
    assert_eq!(answers[0], (200, r#"{"data":[["a","b","c"]]}"#.into()));
    // The writes may have run, so they are not retried.
    assert!(
        answers[1..].iter().all(|(status, _)| *status == 500),
        "{answers:?}"
    );
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    program.wait_for_counter_line("connections_spoilt 3\n");
}

/// Starts an engine that completes each request, but closes a connection on which a request arrives after a pause of
/// more than 100 ms.
fn engine_closing_idle_connections() -> SocketAddr {
    let last = std::cell::Cell::new(None::<Instant>);
    let (address, _requests) = engine(move |parts, to| {
        if last
            .replace(Some(Instant::now()))
            .is_some_and(|at| at.elapsed() > Duration::from_millis(100))
        {
            return drop(to.shutdown(std::net::Shutdown::Both));
        }
        write_result(to, &parts[1]);
    });
    address
}

#[test]
fn write_is_not_sent_on_an_idle_engine_connection() {
    let program = start(&[engine_closing_idle_connections()]);
    for id in 1..8 {
        assert_eq!(
            answer_status(post_query(program.listen, "load", id)),
            200,
            "{id}"
        );
        thread::sleep(Duration::from_millis(if id % 2 == 0 { 10 } else { 130 }));
    }
}

/// Sends queries one after the other with pauses of `pause_ms`, and asserts that each is answered with a result.
fn assert_all_complete(program: &Program, group: &str, ids: std::ops::Range<u64>, pause_ms: u64) {
    for id in ids {
        let response = read_response(&mut BufReader::new(post_query(program.listen, group, id)));
        assert_eq!(
            response.map(|response| response.status),
            Some(200),
            "{group} {id}"
        );
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

#[test]
fn idle_engine_connections_are_reused_for_reads_but_not_for_writes() {
    let (address, _requests) = instant_engine();
    let program = start(&[address]);
    assert_all_complete(&program, "look", 1..15, 70);
    assert_eq!(program.counter("connections_to_engines"), Some(1));
    assert_all_complete(&program, "load", 15..20, 70);
    assert_eq!(program.counter("connections_to_engines"), Some(6));
    // Concurrent queries use several connections. One of these is kept once all are idle.
    let concurrent: Vec<TcpStream> = (20..24)
        .map(|id| post_query(program.listen, "look", id))
        .collect();
    concurrent
        .into_iter()
        .for_each(|client| assert_eq!(answer_status(client), 200));
    thread::sleep(Duration::from_millis(1200));
    let before = program.counter("connections_to_engines");
    assert_all_complete(&program, "look", 24..26, 70);
    assert_eq!(program.counter("connections_to_engines"), before);
}

#[test]
fn idle_engine_connections_are_no_longer_reused_once_some_were_lost() {
    let program = start(&[engine_closing_idle_connections()]);
    assert_all_complete(&program, "look", 1..20, 130);
    let lost = program.counter("connections_lost_idle").unwrap();
    assert!((1..=2).contains(&lost), "{lost}");
    // The loss of an idle connection does not indicate a fault of the engine: no attempt counts as reset.
    assert_eq!(program.counter("submissions_reset"), Some(0));
}

#[test]
fn engine_that_accepts_requests_but_stays_silent_is_checked_by_a_new_connection() {
    // The engine answers at first and then becomes unreachable: its connection stays open and silent, and no new
    // connection is established.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, listener_clone) = (
        listener.local_addr().unwrap(),
        listener.try_clone().unwrap(),
    );
    let unreachable = Arc::new(AtomicBool::new(false));
    let unreachable_flag = unreachable.clone();
    thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
        while let Some(parts) = wire::read_frame(&mut reader) {
            if !unreachable_flag.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(90));
                write_result(&mut writer, &parts[1]);
            }
        }
    });
    let (other, _requests) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(90));
        write_result(to, &parts[1]);
    });
    let program = start(&[address, other]);
    let run_query = |id| {
        let mut query = ClientQuery::new(
            id,
            "/invoke/look",
            "look",
            "SELECT a FROM sales_17.orders",
            9000.0,
        );
        query.cost = Some(100.0);
        let started = Instant::now();
        let mut reader = BufReader::new(post_in_two(
            program.listen,
            &query,
            50,
            Duration::from_millis(1),
        ));
        assert_eq!(
            read_response(&mut reader).map(|response| response.status),
            Some(200),
            "{id}"
        );
        started.elapsed()
    };
    (1..9).for_each(|id| assert!(run_query(id) < TIMEOUT));
    thread::sleep(Duration::from_millis(150));
    let _backlog = fill_accept_backlog(&listener_clone);
    unreachable.store(true, Ordering::Relaxed);
    // Without the check, each query at that engine waits for 900 ms: 400 ms plus five times its run time.
    let longest = (9..25).map(run_query).max().unwrap();
    assert!((500..800).contains(&longest.as_millis()), "{longest:?}");
    assert_eq!(program.counter("submissions_reset"), Some(1));
}

#[test]
fn cancelled_attempt_without_progress_notes_is_not_taken_for_a_lost_connection() {
    // Query 1 is never answered. Its client disconnects after 400 ms, with a latency objective of 5 s.
    let (address, requests) = engine(|parts, to| {
        if parts[0] == "fetch" && !parts[1].ends_with('1') {
            write_result(to, &parts[1]);
        }
    });
    let program = start_with(&[address], |config| {
        config
            .with_group_setting(0, keys::group::OBJECTIVE_US, 5_000_000)
            .with_group_setting(1, keys::group::OBJECTIVE_US, 5_000_000)
    });
    let send_query = |id| {
        post_in_two(
            program.listen,
            &ClientQuery::new(id, "/invoke/look", "look", "SELECT 1", 9000.0),
            50,
            WRITE_PAUSE,
        )
    };
    let leaving_client = send_query(1);
    assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    assert_eq!(answer_status(send_query(2)), 200);
    thread::sleep(Duration::from_millis(400));
    drop(leaving_client);
    program.wait_for_counter_line("vanished 1\n");
    assert_eq!(answer_status(send_query(3)), 200);
    assert_eq!(program.counter("connections_to_engines"), Some(2));
}

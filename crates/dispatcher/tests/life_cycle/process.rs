//! Signals, and requests that arrive during shutdown.

use super::support::*;
use serde_json::json;
use std::ffi::CString;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::ffi::OsStrExt;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::start_scripted_engine;
use tansymux_testbed::program::{free_address, get, resource_group, Config, TempFile, TIMEOUT};

#[test]
fn signals_sent_before_the_configuration_is_read_take_effect_afterwards() {
    // The configuration is a named pipe: the program blocks at its first read until the test writes to the pipe.
    let text = two_group_config(&[]).0.to_string();
    let pipe = TempFile::new("config.fifo", "");
    std::fs::remove_file(&pipe.0).unwrap();
    let path = CString::new(pipe.0.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    let mut child = Command::new(EXE)
        .env("RELAY_CONFIG", &pipe.0)
        .env_remove("RELAY_LISTEN")
        .env_remove("TANSYMUX_OPERATOR")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opening the pipe for writing blocks until the program has opened it for reading.
    let mut writer = std::fs::OpenOptions::new()
        .write(true)
        .open(&pipe.0)
        .unwrap();
    send_signal("-HUP", child.id());
    send_signal("-TERM", child.id());
    // Both signals are delivered before the process continues, because it is blocked in a system call.
    let pending = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let mask_of = |name: &str| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .unwrap_or("0");
            u64::from_str_radix(line.trim(), 16).unwrap_or(0)
        };
        mask_of("SigPnd:") | mask_of("ShdPnd:")
    };
    wait_until("signals are delivered", || pending() == 0);
    assert!(
        child.try_wait().unwrap().is_none(),
        "a signal ended the program"
    );
    writer.write_all(text.as_bytes()).unwrap();
    drop(writer);
    let started = Instant::now();
    let status = child.wait().unwrap();
    assert!(status.success() && started.elapsed() < TIMEOUT, "{status}");
}

#[test]
fn requests_that_arrive_before_sigterm_is_handled_are_answered() {
    let (address, requests) = start_delayed_engine(20);
    let mut program = start(&two_group_config(&[address]));
    let mut idle_client = send_query(&program, "look", 1);
    assert_eq!(answer_status(&idle_client), Some(200));
    // The program sees these events at once: a request on the idle connection, two SIGTERMs, three connections in the
    // backlog.
    let paused = PausedProgram::new(&program);
    idle_client.write_all(&query_bytes("look", 2)).unwrap();
    program.terminate();
    let backlog: Vec<TcpStream> = (3..6).map(|id| send_query(&program, "look", id)).collect();
    program.terminate();
    drop(paused);
    assert_eq!(answer_status(&idle_client), Some(200));
    backlog
        .iter()
        .for_each(|stream| assert_eq!(answer_status(stream), Some(200)));
    let report = program.wait_for_exit();
    assert!(
        report.contains("taken 5\n") && report.contains("finished 5\n"),
        "{report}"
    );
    assert_eq!(fetched_ids(&requests).len(), 5);
}

#[test]
fn connections_in_the_backlog_when_the_listener_closes_are_answered() {
    let (address, _requests) = start_delayed_engine(20);
    let mut program = start(&two_group_config(&[address]));
    let started = Instant::now();
    program.terminate();
    wait_until("health checks fail", || {
        get(program.listen, "/_health").is_some_and(|response| response.status == 503)
    });
    // Three clients connect while the accept grace ends, and the program sees both events at once.
    let paused = PausedProgram::new(&program);
    let backlog: Vec<TcpStream> = (1..4).map(|id| send_query(&program, "look", id)).collect();
    thread::sleep((ACCEPT_GRACE + Duration::from_millis(50)).saturating_sub(started.elapsed()));
    drop(paused);
    backlog
        .iter()
        .for_each(|stream| assert_eq!(answer_status(stream), Some(200)));
    assert!(program.wait_for_exit().contains("finished 3\n"));
}

#[test]
fn backlog_is_answered_at_shutdown_even_with_a_full_connection_table() {
    let (address, _requests) = start_delayed_engine(900);
    let config =
        two_group_config(&[address]).with("limits", json!({"sockets": 64, "memory_mb": 32}));
    let mut program = start(&config);
    // 64 descriptors allow 25 client connections, so the other clients wait in the backlog. The engine takes 900 ms,
    // so the first queries are in flight beyond the end of the accept grace.
    let clients: Vec<TcpStream> = (0..40)
        .map(|id| send_query(&program, "look", id + 1))
        .collect();
    program.terminate();
    for (nth, stream) in clients.iter().enumerate() {
        assert!(
            answer_status(stream).is_some_and(|status| status == 200 || status == 429),
            "{nth}"
        );
    }
    let report = program.wait_for_exit();
    assert!(
        report.contains("taken 40\n") && report.contains("unanswered 0\n"),
        "{report}"
    );
}

#[test]
fn idle_connection_is_half_closed_at_shutdown_and_a_crossing_request_is_discarded() {
    let (address, requests) = start_delayed_engine(0);
    let mut program = start(&two_group_config(&[address]));
    let mut idle_client = send_query(&program, "look", 1);
    assert_eq!(answer_status(&idle_client), Some(200));
    let started = Instant::now();
    program.terminate();
    // The client may send requests as long as new connections are accepted, and then sees the half-close.
    assert_eq!(idle_client.read(&mut [0; 64]).unwrap(), 0);
    assert!(started.elapsed() >= ACCEPT_GRACE, "{:?}", started.elapsed());
    // A request that crosses the half-close is read, so that the connection is not reset, and discarded.
    idle_client.write_all(&query_bytes("look", 2)).unwrap();
    assert!(program.wait_for_exit().contains("taken 1\n"));
    assert_eq!(idle_client.read(&mut [0; 64]).unwrap(), 0);
    assert_eq!(fetched_ids(&requests), ["0000000000000001"]);
}

#[test]
fn requests_completed_or_sent_after_sigterm_on_open_connections_are_served() {
    let (address, _requests) = start_delayed_engine(20);
    let mut program = start(&two_group_config(&[address]));
    let request = query_bytes("look", 1);
    let (mut partial_client, mut idle_client) =
        (connect_client(&program), connect_client(&program));
    partial_client.write_all(&request[..50]).unwrap();
    wait_until("both connections are accepted", || {
        program.counters().contains("connections_from_clients")
    });
    let started = Instant::now();
    program.terminate();
    wait_until("health checks fail", || {
        get(program.listen, "/_health").is_some_and(|response| response.status == 503)
    });
    idle_client.write_all(&query_bytes("look", 2)).unwrap();
    assert_eq!(answer_status(&idle_client), Some(200));
    // The last bytes of the partial request arrive after the listener is closed.
    thread::sleep((ACCEPT_GRACE + Duration::from_millis(100)).saturating_sub(started.elapsed()));
    partial_client.write_all(&request[50..]).unwrap();
    assert_eq!(answer_status(&partial_client), Some(200));
    assert!(program.wait_for_exit().contains("finished 2\n"));
}

#[test]
fn shutdown_with_short_deadlines_finishes_before_the_platform_kills_the_program() {
    let (address, requests) = start_scripted_engine(|_, _| {});
    let classes = [
        resource_group("look", 100.0, 1000.0, keys::effect::READ_ONLY),
        resource_group("load", 100.0, 1000.0, keys::effect::NON_IDEMPOTENT),
    ];
    let config = Config::new(
        free_address(),
        &[("s-0".into(), address)],
        &classes,
        &[1, 1],
    );
    let mut program = start(&config);
    // The client would wait for longer than the deadline in the settings, and the engine never answers.
    let mut client = connect_client(&program);
    client
        .write_all(
            &ClientQuery::new(
                1,
                "/invoke/load",
                "load",
                "DELETE FROM sales_17.orders",
                4000.0,
            )
            .bytes(),
        )
        .unwrap();
    assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    let started = Instant::now();
    program.terminate();
    assert_eq!(answer_status(&client), Some(500));
    drop(client);
    program.wait_for_exit();
    // The platform kills the program after the longest deadline (1 s) plus the accept grace (0.7 s).
    assert!(
        started.elapsed() < Duration::from_millis(1700),
        "{:?}",
        started.elapsed()
    );
}

//! Local failures while the dispatcher connects to engines. They must not count as failures of the engines.

use super::support::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use tansymux_testbed::program::Program;

/// Sets the limit of open descriptors of the process, and returns the previous limit.
fn set_descriptor_limit(program: &Program, limit: u64) -> u64 {
    let pid = program.child.id() as libc::pid_t;
    let mut previous = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: each pointer is null or refers to a valid `rlimit`.
    unsafe {
        libc::prlimit(pid, libc::RLIMIT_NOFILE, std::ptr::null(), &mut previous);
        let new = libc::rlimit {
            rlim_cur: limit,
            rlim_max: previous.rlim_max,
        };
        assert_eq!(
            libc::prlimit(pid, libc::RLIMIT_NOFILE, &new, std::ptr::null_mut()),
            0
        );
    }
    previous.rlim_cur
}

fn open_descriptors(program: &Program) -> u64 {
    let files = std::fs::read_dir(format!("/proc/{}/fd", program.child.id()));
    files.unwrap().count() as u64
}

#[test]
fn queries_beyond_the_connection_limit_wait_and_are_served() {
    let engines: Vec<SocketAddr> = (0..36)
        .map(|_| start_delayed_engine(Duration::from_millis(80)).0)
        .collect();
    let limits = json!({"sockets": 64, "memory_mb": 16});
    let program = start(&two_group_config(&engines).with("limits", limits));
    let mut clients: Vec<TcpStream> = (0..20).map(|_| connect(program.listen)).collect();
    for (id, client) in (1..).zip(&mut clients) {
        send(client, &query("look", id, 9000.0));
    }
    let statuses: Vec<_> = clients.iter().map(answer_status).collect();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    // No attempt failed for lack of a connection.
    assert_eq!(program.counter("submissions_no_connection"), Some(0));
}

#[test]
fn local_faults_at_connect_do_not_eject_an_engine() {
    let (engine, _requests) = start_delayed_engine(Duration::ZERO);
    let program = start(&two_group_config(&[engine]));
    // The clients are connected and the program can open no further descriptor, so it cannot connect to the engine.
    let mut clients: Vec<TcpStream> = (0..8).map(|_| connect(program.listen)).collect();
    for client in &mut clients {
        client.write_all(b"GET /_health HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(answer_status(client), Some(200));
    }
    let previous = set_descriptor_limit(&program, open_descriptors(&program));
    for (id, client) in (1..).zip(&mut clients) {
        send(client, &query("look", id, 9000.0));
    }
    thread::sleep(Duration::from_millis(600));
    set_descriptor_limit(&program, previous);
    let statuses: Vec<_> = clients.iter().map(answer_status).collect();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    assert_eq!(program.counter("submissions_no_connection"), Some(0));
    // The engine is not ejected: it completes a write, and ejected engines are sent no writes.
    assert_eq!(
        query_status(program.listen, &query("load", 99, 9000.0)),
        Some(200)
    );
}

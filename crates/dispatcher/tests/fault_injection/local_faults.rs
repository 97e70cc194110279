//! Faults of the dispatcher's own machine while it connects to engines, which must not count as faults of the engines.

use super::support::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use tansymux_testbed::program::Program;

/// Sets how many descriptors the process may have open, and returns the limit before.
fn set_descriptor_limit(program: &Program, limit: u64) -> u64 {
    let pid = program.child.id() as libc::pid_t;
    let mut before = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: valid places for both limits.
    unsafe {
        libc::prlimit(pid, libc::RLIMIT_NOFILE, std::ptr::null(), &mut before);
        let now = libc::rlimit {
            rlim_cur: limit,
            rlim_max: before.rlim_max,
        };
        assert_eq!(
            libc::prlimit(pid, libc::RLIMIT_NOFILE, &now, std::ptr::null_mut()),
            0
        );
    }
    before.rlim_cur
}

fn open_descriptors(program: &Program) -> u64 {
    let files = std::fs::read_dir(format!("/proc/{}/fd", program.child.id()));
    files.unwrap().count() as u64
}

#[test]
fn queries_beyond_the_connection_limit_wait_and_are_served() {
    let engines: Vec<SocketAddr> = (0..36)
        .map(|_| engine_answering_after(Duration::from_millis(80)).0)
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
    // No engine refused anything.
    assert_eq!(program.counter("submissions_no_connection"), Some(0));
}

#[test]
fn local_faults_at_connect_do_not_eject_an_engine() {
    let (engine, _requests) = engine_answering_after(Duration::ZERO);
    let program = start(&two_group_config(&[engine]));
    // The clients are connected, and no further descriptor can be opened: no connection to the engine is established.
    let mut clients: Vec<TcpStream> = (0..8).map(|_| connect(program.listen)).collect();
    for client in &mut clients {
        client.write_all(b"GET /_health HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(answer_status(client), Some(200));
    }
    let before = set_descriptor_limit(&program, open_descriptors(&program));
    for (id, client) in (1..).zip(&mut clients) {
        send(client, &query("look", id, 9000.0));
    }
    thread::sleep(Duration::from_millis(600));
    set_descriptor_limit(&program, before);
    let statuses: Vec<_> = clients.iter().map(answer_status).collect();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    assert_eq!(program.counter("submissions_no_connection"), Some(0));
    // The engine is not ejected: a write, which no ejected engine gets, is served.
    assert_eq!(ask(program.listen, &query("load", 99, 9000.0)), Some(200));
}

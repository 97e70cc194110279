//! Endpoint lists from the name service, and a change of the name service by a reload.

use super::support::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tansymux_testbed::engine::{start_scripted_engine as engine, write_result};
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::program::{free_address, TIMEOUT};
use tansymux_testbed::record::{Record, Status};

/// Starts a name service that lists one engine, `s-9`, and returns its address. The serial number of its list is 2, so
/// that the list supersedes that of the configuration.
fn name_service_with_engine(engine: SocketAddr) -> SocketAddr {
    let listed = Endpoint {
        id: "s-9".into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: engine,
        status: Status::Ready,
        started_ms: 0.0,
    };
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    names.add(listed);
    names.address
}

#[test]
fn name_service_adds_an_engine_unknown_at_startup() {
    let (address, _requests) = instant_engine();
    let resolver = name_service_with_engine(address);
    let program = start_with(&[free_address()], |config| {
        config.with("resolver", resolver.to_string())
    });
    program.wait_for_counter_line("lists 1\n");
    // The engine of the configuration is no longer listed: all queries are sent to the new engine.
    for id in 1..9 {
        assert_eq!(answer_status(post_query(program.listen, "load", id)), 200);
    }
}

#[test]
fn sighup_switches_the_name_service_without_losing_queries() {
    let (address, requests) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(300));
        write_result(to, &parts[1]);
    });
    let (silent_socket, resolver) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        name_service_with_engine(address),
    );
    let silent_address = silent_socket.local_addr().unwrap().to_string();
    let old = format!(r#""resolver":"{silent_address}""#);
    let mut program = start_with(&[address], |config| {
        config.with("resolver", silent_address.clone())
    });
    let text = std::fs::read_to_string(&program.config.0).unwrap();
    let open_query = post_query(program.listen, "look", 1);
    assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    // First an invalid configuration, then a valid configuration with a changed key that needs a restart.
    program.config.write(&text.replace(&old, r#""resolver":7"#));
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    let new = format!(r#""resolver":"{resolver}","limits":{{"sockets":512}}"#);
    program.config.write(&text.replace(&old, &new));
    (0..3).for_each(|_| program.signal("-HUP"));
    program.wait_for_counter_line("lists 1\n");
    assert_eq!(answer_status(open_query), 200);
    program.terminate();
    program.signal("-HUP");
    let log = program.wait_for_exit();
    assert!(
        log.contains("configuration reload rejected")
            && log.contains("key resolver is 7, expected a text"),
        "{log}"
    );
    assert!(
        log.contains("changed keys need a restart keys=limits\n"),
        "{log}"
    );
}

//! The program's use of descriptors, memory and CPU time.

use crate::support::{answer_status, config, instant_engine, start_limited, EXE};
use serde_json::json;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::{send_query_in_two_writes, ClientQuery};
use tansymux_testbed::engine::start_scripted_engine;
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::program::{
    anonymous_memory_kb, free_udp_address, resource_usage, Program, TIMEOUT,
};
use tansymux_testbed::record::{Record, Status};
use tansymux_testbed::wire::read_response;

/// Sends a query on a new connection without waiting for its answer.
fn send_query(program: &Program, id: u64) -> TcpStream {
    let mut query = ClientQuery::new(
        id,
        "/invoke/look",
        "look",
        "SELECT a FROM sales_17.orders",
        9000.0,
    );
    query.cost = Some(20.0);
    send_query_in_two_writes(program.listen, &query, 40, Duration::ZERO)
}

#[test]
fn clients_that_use_up_descriptors_block_neither_discovery_nor_reload() {
    // The configured engines never answer and hold one connection per query, and the name service is silent.
    let silent_engines: Vec<SocketAddr> =
        (0..4).map(|_| start_scripted_engine(|_, _| {}).0).collect();
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    names.set_silent(true);
    let config = config(&silent_engines).with("limits", json!({"sockets": 64, "memory_mb": 16}));
    let config = config
        .with("resolver", names.address.to_string())
        .with_setting(keys::STREAMS_PER_CONNECTION, 1);
    let mut program = start_limited(&config);
    // Clients connect as soon as the program listens, many more than it can accept.
    let started = Instant::now();
    let mut idle = Vec::new();
    while idle.len() < 120 {
        assert!(started.elapsed() < TIMEOUT, "the program does not listen");
        match TcpStream::connect(program.listen) {
            Ok(stream) => idle.push(stream),
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
    let waiting: Vec<_> = (1..60).map(|id| send_query(&program, id)).collect();
    program.wait_until_healthy();
    // An endpoint list over another socket and the configuration file at SIGHUP each need a descriptor while clients
    // hold theirs.
    program.wait_for_counter_line("lists 0\n");
    names.add(Endpoint {
        id: "s-9".into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: instant_engine(),
        status: Status::Ready,
        started_ms: 0.0,
    });
    names.set_silent(false);
    program.signal("-HUP");
    program.wait_for_counter_line("configurations_read 1\n");
    program.wait_for_counter_line("lists 1\n");
    drop(waiting);
    program.wait_for_counter_line("submissions_out 0\n");
    assert_eq!(answer_status(&program, 99, 9000.0), Some(200));
    program.terminate();
    let log = program.wait_for_exit();
    assert!(!log.contains("Too many open files"), "{log}");
}

#[test]
fn program_serves_with_64_descriptors_and_little_memory() {
    let engines: Vec<SocketAddr> = (0..36).map(|_| instant_engine()).collect();
    let config = config(&engines).with("limits", json!({"sockets": 64, "memory_mb": 16}));
    let program = start_limited(&config);
    program.wait_until_healthy();
    for first_id in [1, 100, 200] {
        let ids = first_id..first_id + 20;
        let clients: Vec<_> = ids.map(|id| send_query(&program, id)).collect();
        for client in clients {
            let response = read_response(&mut BufReader::new(client));
            assert_eq!(response.map(|response| response.status), Some(200));
        }
    }
    let (resident_kb, _) = resource_usage(program.child.id()).unwrap();
    assert!(resident_kb < 16 << 10, "{resident_kb} kB");
}

#[test]
fn three_hundred_peers_cost_little_time_and_memory_at_startup() {
    let own_address = free_udp_address().to_string();
    let address_of = |peer: u32| match peer {
        7 => own_address.clone(),
        _ => format!("127.9.{}.1:7946", peer % 250),
    };
    let peers: Vec<String> = (0..300).map(address_of).collect();
    let config = config(&[instant_engine()])
        .with("peer_listen", own_address.clone())
        .with("peers", json!(peers));
    let config = config
        .with_setting(keys::DISPATCHERS, 300)
        .with_setting(keys::PEER_MESSAGES, true);
    let started = Instant::now();
    let mut program = Program::start(
        Path::new(EXE),
        &config.with_setting(keys::DISPATCHER_INDEX, 7),
        &[],
    );
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    (1..20).for_each(|id| assert_eq!(answer_status(&program, id, 9000.0), Some(200)));
    let own_kb = anonymous_memory_kb(program.child.id()).unwrap();
    assert!(own_kb < 1600, "{own_kb} kB");
    program.terminate();
    program.wait_for_exit();
}

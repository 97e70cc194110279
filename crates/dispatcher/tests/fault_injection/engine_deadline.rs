//! The time limit in a request to an engine: the client's remaining time when the first byte of the request is sent.

use super::support::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::engine::fill_accept_backlog;
use tansymux_testbed::program::{Program, TIMEOUT};
use tansymux_testbed::wire::{list_value, read_frame};

/// Maximum time (ms) by which a time limit may exceed the client's remaining time, as documented for operators.
const SLACK_MS: f64 = 150.0;
/// Maximum time that a client waits for its answer (ms).
const WAIT_MS: f64 = 6000.0;

/// The time limit of a query, as an engine received it.
struct ReceivedLimit {
    id: u64,
    limit_ms: f64,
    arrived: Instant,
}

/// Reads requests from a connection until it closes, and sends the time limit of each query to `limits`.
fn read_limits(stream: &TcpStream, limits: &Sender<ReceivedLimit>) {
    let mut reader = BufReader::with_capacity(512, stream);
    while let Some(parts) = read_frame(&mut reader) {
        if parts[0] != "fetch" {
            continue;
        }
        let limit_ms = list_value(&parts[2], "limit").unwrap().parse().unwrap();
        let id = u64::from_str_radix(&parts[1], 16).unwrap();
        let arrived = Instant::now();
        let _ = limits.send(ReceivedLimit {
            id,
            limit_ms,
            arrived,
        });
    }
}

fn assert_within_slack(received: &ReceivedLimit, sent_at: Instant) {
    let waited_ms = received.arrived.duration_since(sent_at).as_secs_f64() * 1000.0;
    let remaining_ms = WAIT_MS - waited_ms;
    assert!(
        received.limit_ms <= remaining_ms + SLACK_MS,
        "query {} has a time limit of {} ms with {remaining_ms:.0} ms remaining",
        received.id,
        received.limit_ms
    );
}

#[test]
fn deadline_sent_to_an_engine_is_the_remaining_time_at_the_first_byte() {
    // The accept backlog is full: the connection is established when the backlog has room and the kernel retransmits
    // the SYN, a second or more later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let backlog = fill_accept_backlog(&listener);
    let config = two_group_config(&[address])
        .with_setting(keys::CONNECT_TIMEOUT_US, 30_000_000)
        .with_setting(keys::CANCELLATION, false);
    let program = start(&config);
    let sent_at = Instant::now();
    let mut client = connect(program.listen);
    send(&mut client, &query("look", 1, WAIT_MS));
    thread::sleep(Duration::from_millis(600));
    drop(backlog);
    let (sender, limits) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            read_limits(&stream, &sender);
        }
    });
    let received = limits.recv_timeout(TIMEOUT).unwrap();
    assert!(received.arrived.duration_since(sent_at) > Duration::from_millis(500));
    assert_within_slack(&received, sent_at);
}

/// Sends a query with a statement of 60 KB, which fills socket buffers. Returns the connection and the time of sending.
fn send_long_query(program: &Program, id: u64) -> (TcpStream, Instant) {
    let mut long = query("look", id, WAIT_MS);
    let note = "x".repeat(60_000);
    long.statement = format!("SELECT a FROM sales_17.orders WHERE note = '{note}'");
    let mut stream = connect(program.listen);
    send(&mut stream, &long);
    (stream, Instant::now())
}

/// Binds a listener with a receive buffer of 4 KB. Nothing is read from its connections until the test reads from them.
fn engine_that_does_not_read() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(4096).unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn deadline_of_a_request_behind_unread_bytes_is_the_remaining_time_when_it_is_sent() {
    let (address, listener) = engine_that_does_not_read();
    let config = two_group_config(&[address])
        .with_setting(keys::CANCELLATION, false)
        // All queries share one connection.
        .with(
            "limits",
            serde_json::json!({"sockets": 64, "memory_mb": 64}),
        )
        .with_setting(keys::STREAMS_PER_CONNECTION, 64);
    let program = start(&config);
    let mut clients = Vec::new();
    for id in 1..20 {
        clients.push(send_long_query(&program, id));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(1500));
    let (sender, limits) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || read_limits(&stream, &sender));
        }
    });
    let mut checked = 0;
    let mut over_limit = 0;
    while let Ok(received) = limits.recv_timeout(Duration::from_millis(800)) {
        let sent_at = clients[received.id as usize - 1].1;
        let waited = received.arrived.duration_since(sent_at);
        let remaining_ms = WAIT_MS - waited.as_secs_f64() * 1000.0;
        // The first requests of a connection went into socket buffers at once, long before the engine read them.
        if received.limit_ms > remaining_ms + SLACK_MS {
            over_limit += 1;
        }
        checked += 1;
    }
    assert!(checked > 12, "only {checked} requests arrived");
    assert!(
        over_limit <= 12,
        "{over_limit} of {checked} time limits exceed the remaining time"
    );
    drop(clients);
}

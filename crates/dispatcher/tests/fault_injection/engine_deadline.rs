//! The time limit that a request to an engine carries: the client's remaining time when the request's first byte is sent.

use super::support::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::engine::refuse_silently;
use tansymux_testbed::program::{Program, TIMEOUT};
use tansymux_testbed::wire::{list_value, read_frame};

/// How much more than the client's remaining time an engine may be given (ms; operators' page).
const SLACK_MS: f64 = 150.0;
/// How long clients wait for an answer (ms).
const WAIT_MS: f64 = 6000.0;

/// The time limit of a query, as an engine received it.
struct ReceivedLimit {
    id: u64,
    limit_ms: f64,
    arrived: Instant,
}

/// Reads requests from a connection, and sends the time limit of each.
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

fn assert_within_slack(received: &ReceivedLimit, asked: Instant) {
    let waited_ms = received.arrived.duration_since(asked).as_secs_f64() * 1000.0;
    let left_ms = WAIT_MS - waited_ms;
    assert!(
        received.limit_ms <= left_ms + SLACK_MS,
        "query {} was given {} ms with {left_ms:.0} ms left",
        received.id,
        received.limit_ms
    );
}

#[test]
fn deadline_sent_to_an_engine_is_what_is_left_when_its_first_byte_goes_out() {
    // Nobody accepts, and the backlog is full: the connection is established once there is room, a second or more later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let full = refuse_silently(&listener);
    let config = two_group_config(&[address])
        .with_setting(keys::CONNECT_TIMEOUT_US, 30_000_000)
        .with_setting(keys::CANCELLATION, false);
    let program = start(&config);
    let asked = Instant::now();
    let mut client = connect(program.listen);
    send(&mut client, &query("look", 1, WAIT_MS));
    thread::sleep(Duration::from_millis(600));
    drop(full);
    let (sender, limits) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            read_limits(&stream, &sender);
        }
    });
    let received = limits.recv_timeout(TIMEOUT).unwrap();
    assert!(received.arrived.duration_since(asked) > Duration::from_millis(500));
    assert_within_slack(&received, asked);
}

/// Sends a query whose statement fills buffers.
fn send_long_query(program: &Program, id: u64) -> (TcpStream, Instant) {
    let mut long = query("look", id, WAIT_MS);
    let note = "x".repeat(60_000);
    long.statement = format!("SELECT a FROM sales_17.orders WHERE note = '{note}'");
    let mut stream = connect(program.listen);
    send(&mut stream, &long);
    (stream, Instant::now())
}

/// A listener with a small receive buffer, from whose connections nothing is read until the test does so.
fn engine_that_does_not_read() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(4096).unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn deadline_of_a_request_behind_unread_bytes_is_what_is_left_when_it_goes_out() {
    let (address, listener) = engine_that_does_not_read();
    let config = two_group_config(&[address])
        .with_setting(keys::CANCELLATION, false)
        // All share one connection.
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
    let mut began_unread = 0;
    while let Ok(received) = limits.recv_timeout(Duration::from_millis(800)) {
        let asked = clients[received.id as usize - 1].1;
        let waited = received.arrived.duration_since(asked);
        let left_ms = WAIT_MS - waited.as_secs_f64() * 1000.0;
        // The first requests of a connection were sent at once, into buffers of the system.
        if received.limit_ms > left_ms + SLACK_MS {
            began_unread += 1;
        }
        checked += 1;
    }
    assert!(checked > 12, "only {checked} came");
    assert!(
        began_unread <= 12,
        "{began_unread} of {checked} were given too much"
    );
    drop(clients);
}

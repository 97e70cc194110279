//! Helpers of the socket tests: the program with two resource groups, an engine, and clients that send a query.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use tansymux_testbed::client::{send_query_in_two_writes as post_in_two, ClientQuery};
use tansymux_testbed::engine::{start_scripted_engine, write_result, ReceivedFrame};
use tansymux_testbed::program::{Config, Program};
use tansymux_testbed::wire::{self, read_response};

/// Length of the first part of a request (bytes), which ends within a header field.
const FIRST_PART_BYTES: usize = 50;

/// Starts the program with these engines, and waits until it is healthy.
pub fn start(engines: &[SocketAddr]) -> Program {
    start_with(engines, |config| config)
}

/// Starts the program as [`start`] does, with a configuration that `change` has modified.
pub fn start_with(engines: &[SocketAddr], change: impl Fn(Config) -> Config) -> Program {
    let config = Config::with_two_groups(engines);
    Program::start(
        Path::new(env!("CARGO_BIN_EXE_tansymux")),
        &change(config),
        &[],
    )
}

/// Starts an engine that completes each request at once. Returns its address and the frames that it receives.
pub fn instant_engine() -> (SocketAddr, Receiver<ReceivedFrame>) {
    start_scripted_engine(|parts, to| write_result(to, &parts[1]))
}

/// Reads the next answer on a client's connection, and returns its status.
pub fn answer_status(client: TcpStream) -> u16 {
    read_response(&mut BufReader::new(client))
        .expect("the program answers")
        .status
}

/// Writes a reply of an engine.
pub fn write_frame(to: &mut TcpStream, parts: &[&str]) {
    wire::write_frame(to, parts);
}

/// Sends a query on a new connection, and returns the connection.
pub fn post_query(to: SocketAddr, group: &str, id: u64) -> TcpStream {
    post_query_slowly(to, group, id, 9000, Duration::from_millis(5))
}

/// Sends a query on a new connection in two parts with a pause between them, as a client that waits for `wait_ms`.
pub fn post_query_slowly(
    to: SocketAddr,
    group: &str,
    id: u64,
    wait_ms: u64,
    pause: Duration,
) -> TcpStream {
    let statement = "SELECT a FROM sales_17.orders";
    let path = format!("/invoke/{group}");
    let mut query = ClientQuery::new(id, &path, group, statement, wait_ms as f64);
    query.cost = Some(20.0);
    post_in_two(to, &query, FIRST_PART_BYTES, pause)
}

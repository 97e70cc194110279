//! What the tests on sockets share: the program with two resource groups, and clients that send a query.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use tansymux_testbed::client::{send_query_in_two_writes as post_in_two, ClientQuery};
use tansymux_testbed::program::{Config, Program};
use tansymux_testbed::wire;

/// Starts the program with these engines, and waits until it is healthy.
pub fn start(engines: &[SocketAddr]) -> Program {
    start_with(engines, |config| config)
}

/// The same with a configuration that `change` completes.
pub fn start_with(engines: &[SocketAddr], change: impl Fn(Config) -> Config) -> Program {
    let config = Config::with_two_classes(engines);
    Program::start(
        Path::new(env!("CARGO_BIN_EXE_tansymux")),
        &change(config),
        &[],
    )
}

/// Writes an engine's answer.
pub fn write_frame(to: &mut TcpStream, parts: &[&str]) {
    wire::write_frame(to, parts);
}

/// Sends a query on a connection of its own.
pub fn post_query(to: SocketAddr, rg: &str, id: u64) -> TcpStream {
    post_query_slowly(to, rg, id, 9000, Duration::from_millis(5))
}

/// The same in two parts with a pause between them, by a client that waits for `wait_ms`.
pub fn post_query_slowly(
    to: SocketAddr,
    rg: &str,
    id: u64,
    wait_ms: u64,
    pause: Duration,
) -> TcpStream {
    let statement = "SELECT a FROM sales_17.orders";
    let mut ask = ClientQuery::new(id, &format!("/invoke/{rg}"), rg, statement, wait_ms as f64);
    ask.cost = Some(20.0);
    // Cut within a header field.
    post_in_two(to, &ask, 50, pause)
}

//! Helpers of the fault injection tests: the program under the fault shim, engines, and clients.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Stdio;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{start_scripted_engine, write_result};
use tansymux_testbed::fault_shim::{locate_library, FaultShim};
use tansymux_testbed::program::{Config, Program, TIMEOUT};
use tansymux_testbed::wire::read_response;

pub use tansymux_testbed::engine::start_delayed_engine;

/// The program under test.
pub const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Returns a configuration with these engines and two resource groups with a deadline of 9 s: `look` reads, `load`
/// writes.
pub fn two_group_config(engines: &[SocketAddr]) -> Config {
    Config::with_two_groups(engines)
}

/// Returns the fault shim with an empty fault table.
pub fn fault_shim() -> FaultShim {
    FaultShim::new(locate_library().expect("the shim can be built"))
}

/// Starts the program under the shim without waiting until it is healthy.
pub fn launch_under(shim: &FaultShim, config: &Config) -> Program {
    Program::launch_with(Path::new(EXE), config, &[], Stdio::piped(), |command| {
        shim.apply(command);
    })
}

/// Starts the program under the shim, and waits until it is healthy.
pub fn start_under(shim: &FaultShim, config: &Config) -> Program {
    let program = launch_under(shim, config);
    program.wait_until_healthy();
    program
}

/// Starts an engine that completes each query at once, and returns its address.
pub fn instant_engine() -> SocketAddr {
    let answers = |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            write_result(to, &parts[1]);
        }
    };
    start_scripted_engine(answers).0
}

/// Returns a query of a resource group whose client waits for `wait_ms`.
pub fn query(group: &str, id: u64, wait_ms: f64) -> ClientQuery {
    let path = format!("/invoke/{group}");
    ClientQuery::new(id, &path, group, "SELECT a FROM sales_17.orders", wait_ms)
}

/// Connects a client whose reads time out after [`TIMEOUT`].
pub fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends a query on a connection.
pub fn send(stream: &mut TcpStream, query: &ClientQuery) {
    stream.write_all(&query.bytes()).unwrap();
}

/// Reads the next answer on a connection and returns its status, or `None` if the connection closes without an answer.
pub fn answer_status(stream: &TcpStream) -> Option<u16> {
    read_response(&mut BufReader::new(stream)).map(|response| response.status)
}

/// Starts the program without the shim, and waits until it is healthy.
pub fn start(config: &Config) -> Program {
    Program::start(Path::new(EXE), config, &[])
}

/// Sends a query on a new connection and returns the status of its answer.
pub fn query_status(to: SocketAddr, query: &ClientQuery) -> Option<u16> {
    let mut stream = connect(to);
    send(&mut stream, query);
    answer_status(&stream)
}

//! Support of the fault injection tests: the program under the fault shim, and clients on connections of their own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Stdio;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{scripted, write_result};
use tansymux_testbed::fault_shim::{locate_library, FaultShim};
use tansymux_testbed::program::{Config, Program, TIMEOUT};
use tansymux_testbed::wire::read_response;

pub use tansymux_testbed::engine::engine_answering_after;

/// The program under test.
pub const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// A configuration with these engines and two resource groups of 9 s each: `look` only reads, `load` writes.
pub fn two_group_config(engines: &[SocketAddr]) -> Config {
    Config::with_two_classes(engines)
}

/// The fault shim, with an empty table.
pub fn fault_shim() -> FaultShim {
    FaultShim::new(locate_library().expect("the shim can be built"))
}

/// Starts the program under the shim, and does not wait for it.
pub fn launch_under(shim: &FaultShim, config: &Config) -> Program {
    Program::prepared(Path::new(EXE), config, &[], Stdio::piped(), |command| {
        shim.apply(command);
    })
}

/// Starts the program under the shim, and waits until it is healthy.
pub fn start_under(shim: &FaultShim, config: &Config) -> Program {
    let program = launch_under(shim, config);
    program.wait_until_healthy();
    program
}

/// An engine that answers at once.
pub fn instant_engine() -> SocketAddr {
    let answers = |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            write_result(to, &parts[1]);
        }
    };
    scripted(answers).0
}

/// A query of a group, with how long its client waits.
pub fn query(group: &str, id: u64, wait_ms: f64) -> ClientQuery {
    let path = format!("/invoke/{group}");
    ClientQuery::new(id, &path, group, "SELECT a FROM sales_17.orders", wait_ms)
}

/// A client's connection, with a limit on every wait.
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

/// The status of the next answer on a connection; `None` if it ends without one.
pub fn answer_status(stream: &TcpStream) -> Option<u16> {
    read_response(&mut BufReader::new(stream)).map(|response| response.status)
}

/// Starts the program without the shim, and waits until it is healthy.
pub fn start(config: &Config) -> Program {
    Program::start(Path::new(EXE), config, &[])
}

/// The status of the answer to a query on a connection of its own.
pub fn ask(to: SocketAddr, query: &ClientQuery) -> Option<u16> {
    let mut stream = connect(to);
    send(&mut stream, query);
    answer_status(&stream)
}

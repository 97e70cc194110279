//! Helpers of the life cycle tests: the program with two resource groups, queries, and pausing of the program.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{self, ReceivedFrame};
use tansymux_testbed::program::{Config, Program, TIMEOUT};
use tansymux_testbed::wire::read_response;

/// The program under test.
pub const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Time after SIGTERM during which the program still accepts new connections.
pub const ACCEPT_GRACE: Duration = Duration::from_millis(700);

/// Returns a configuration with these engines and two resource groups with a deadline of 9 s: `look` reads, `load`
/// writes.
pub fn two_group_config(engines: &[SocketAddr]) -> Config {
    Config::with_two_groups(engines)
}

/// Starts the program, and waits until it is healthy.
pub fn start(config: &Config) -> Program {
    Program::start(Path::new(EXE), config, &[])
}

/// Starts an engine that answers each query after `delay_ms`. Returns its address and the frames that it receives.
pub fn start_delayed_engine(delay_ms: u64) -> (SocketAddr, Receiver<ReceivedFrame>) {
    engine::start_delayed_engine(Duration::from_millis(delay_ms))
}

/// Connects a client whose reads time out after [`TIMEOUT`].
pub fn connect_client(program: &Program) -> TcpStream {
    let stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Returns the HTTP request of a query.
pub fn query_bytes(group: &str, id: u64) -> Vec<u8> {
    ClientQuery::new(
        id,
        &format!("/invoke/{group}"),
        group,
        "SELECT a FROM sales_17.orders",
        9000.0,
    )
    .bytes()
}

/// Sends a query on a new connection, and returns the connection.
pub fn send_query(program: &Program, group: &str, id: u64) -> TcpStream {
    let mut stream = connect_client(program);
    stream.write_all(&query_bytes(group, id)).unwrap();
    stream
}

/// Reads the next answer on a connection and returns its status, or `None` if the connection closes without an answer.
pub fn answer_status(stream: &TcpStream) -> Option<u16> {
    read_response(&mut BufReader::new(stream)).map(|response| response.status)
}

/// Returns the ids of the queries that an engine received.
pub fn fetched_ids(requests: &Receiver<ReceivedFrame>) -> Vec<String> {
    requests
        .try_iter()
        .filter(|(parts, _)| parts[0] == "fetch")
        .map(|(parts, _)| parts[1].clone())
        .collect()
}

/// Pauses the program until dropped. The program then sees all events of the pause at once.
pub struct PausedProgram(u32);

impl PausedProgram {
    /// Sends SIGSTOP to the program, and waits until it is stopped.
    pub fn new(program: &Program) -> Self {
        let pid = program.child.id();
        send_signal("-STOP", pid);
        wait_until("the program is stopped", || {
            std::fs::read_to_string(format!("/proc/{pid}/stat"))
                .is_ok_and(|stat| stat.contains(") T "))
        });
        PausedProgram(pid)
    }
}

impl Drop for PausedProgram {
    fn drop(&mut self) {
        send_signal("-CONT", self.0);
    }
}

/// Waits until a condition holds. Fails with its description after [`TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a signal, given as an option of `kill` such as `-TERM`.
pub fn send_signal(signal: &str, pid: u32) {
    assert!(Command::new("kill")
        .args([signal, &pid.to_string()])
        .status()
        .is_ok_and(|status| status.success()));
}

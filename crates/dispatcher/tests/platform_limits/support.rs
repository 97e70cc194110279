//! Helpers of the platform limit tests: engines that answer at once, and a program with resource limits.

use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tansymux_testbed::client::{send_query_in_two_writes, ClientQuery};
use tansymux_testbed::engine::{start_scripted_engine, write_result};
use tansymux_testbed::program::{Config, Program};
use tansymux_testbed::wire::read_response;

/// The program under test.
pub const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Returns a configuration with these engines and two resource groups.
pub fn config(engines: &[SocketAddr]) -> Config {
    Config::with_two_groups(engines)
}

/// Starts an engine that answers each request with a result at once, and returns its address.
pub fn instant_engine() -> SocketAddr {
    let answers = |parts: &[String], to: &mut std::net::TcpStream| {
        write_result(to, &parts[1]);
    };
    start_scripted_engine(answers).0
}

/// Sends a query on a new connection, and returns the status of its answer.
pub fn answer_status(program: &Program, id: u64, wait_ms: f64) -> Option<u16> {
    let mut query = ClientQuery::new(
        id,
        "/invoke/look",
        "look",
        "SELECT a FROM sales_17.orders",
        wait_ms,
    );
    query.cost = Some(20.0);
    let stream = send_query_in_two_writes(program.listen, &query, 40, Duration::from_millis(1));
    read_response(&mut BufReader::new(stream)).map(|response| response.status)
}

/// Starts the program with at most 64 descriptors and 64 MB of address space, without waiting until it is healthy.
pub fn start_limited(config: &Config) -> Program {
    let limits = [(libc::RLIMIT_NOFILE, 64), (libc::RLIMIT_AS, 64 << 20)];
    Program::launch_with(Path::new(EXE), config, &[], Stdio::piped(), |command| {
        let set_limits = move || {
            limits.iter().try_for_each(|&(resource, limit)| {
                let new = libc::rlimit {
                    rlim_cur: limit,
                    rlim_max: limit,
                };
                // SAFETY: the pointer refers to a valid `rlimit`.
                match unsafe { libc::setrlimit(resource, &new) } {
                    0 => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                }
            })
        };
        // SAFETY: the closure makes one system call per limit.
        unsafe { command.pre_exec(set_limits) };
    })
}

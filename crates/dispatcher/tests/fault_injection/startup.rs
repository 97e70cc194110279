//! Startup while system calls fail temporarily, and startup that cannot succeed.

use super::support::*;
use std::time::{Duration, Instant};
use tansymux_fault_table::Call;
use tansymux_testbed::program::{free_udp_address, Config};

/// Maximum time from the start of the process until it is ready, as documented for operators.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);

fn config_with_peers() -> Config {
    let peer = free_udp_address().to_string();
    two_group_config(&[instant_engine()])
        .with("peer_listen", peer.clone())
        .with("peers", serde_json::json!([peer]))
        .with("resolver", "127.0.0.1:9")
}

#[test]
fn startup_retries_system_calls_that_fail_temporarily() {
    let cases = [
        (Call::Socket, libc::ENOBUFS, 1),
        (Call::Socket, libc::ENFILE, 4),
        (Call::Socket, libc::EMFILE, 4),
        (Call::Socket, libc::ENOMEM, 4),
        (Call::Bind, libc::EADDRINUSE, 1),
        (Call::Bind, libc::EADDRINUSE, 6),
        (Call::Bind, libc::ENOMEM, 3),
        (Call::Listen, libc::EADDRINUSE, 2),
        (Call::Listen, libc::ENOBUFS, 2),
    ];
    for (call, errno, count) in cases {
        let shim = fault_shim();
        shim.table().fail(call, errno, 10_000, Some(count));
        let started = Instant::now();
        let mut program = start_under(&shim, &config_with_peers());
        assert!(
            started.elapsed() < MAX_STARTUP_TIME,
            "{:?}",
            started.elapsed()
        );
        assert_eq!(shim.table().injected(call), u64::from(count), "{call:?}");
        let status = query_status(program.listen, &query("look", 1, 9000.0));
        assert_eq!(status, Some(200), "{call:?} {errno}");
        program.terminate();
        let log = program.wait_for_exit();
        assert!(log.contains("address not bound"), "{log}");
    }
}

#[test]
fn startup_fails_at_once_and_names_the_key_on_a_permanent_error() {
    // Permanent errors: an address that this machine does not have (192.0.2.0/24 is reserved for documentation), and a
    // bind without permission.
    let remote_listen = config_with_peers().with("listen", "192.0.2.1:10080");
    let remote_peer_listen = config_with_peers().with("peer_listen", "192.0.2.1:7946");
    for (config, key) in [
        (remote_listen, "listen"),
        (remote_peer_listen, "peer_listen"),
    ] {
        let shim = fault_shim();
        assert_start_fails(&shim, &config, &format!("{key} 192.0.2.1"));
    }
    let shim = fault_shim();
    shim.table().fail(Call::Bind, libc::EACCES, 10_000, None);
    assert_start_fails(&shim, &config_with_peers(), "listen 127.0.0.1");
}

/// Asserts that the program exits with code 1 within a second and logs the reason.
fn assert_start_fails(
    shim: &tansymux_testbed::fault_shim::FaultShim,
    config: &Config,
    reason: &str,
) {
    let started = Instant::now();
    let mut program = launch_under(shim, config);
    let status = program.child.wait().unwrap();
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    let mut log = String::new();
    let mut stderr = program.child.stderr.take().unwrap();
    std::io::Read::read_to_string(&mut stderr, &mut log).unwrap();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(log.contains(reason), "{log}");
}

//! Starts while system calls fail for a moment, and starts that cannot succeed.

use super::support::*;
use std::time::{Duration, Instant};
use tansymux_fault_table::Call;
use tansymux_testbed::program::{free_udp_address, Config};

/// The longest time from a start to being ready (operators' page).
const READY_WITHIN: Duration = Duration::from_secs(10);

fn config_with_peers() -> Config {
    let peer = free_udp_address().to_string();
    two_group_config(&[instant_engine()])
        .with("peer_listen", peer.clone())
        .with("peers", serde_json::json!([peer]))
        .with("resolver", "127.0.0.1:9")
}

#[test]
fn start_survives_failures_of_the_system_that_pass() {
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
        let from = Instant::now();
        let mut program = start_under(&shim, &config_with_peers());
        assert!(from.elapsed() < READY_WITHIN, "{:?}", from.elapsed());
        assert_eq!(shim.table().injected(call), u64::from(count), "{call:?}");
        let served = ask(program.listen, &query("look", 1, 9000.0));
        assert_eq!(served, Some(200), "{call:?} {errno}");
        program.terminate();
        let log = program.end();
        assert!(log.contains("address not bound"), "{log}");
    }
}

#[test]
fn start_ends_at_once_with_the_key_where_a_failure_cannot_pass() {
    // The address of another machine (documentation range), and one that may not be used.
    let foreign = config_with_peers().with("listen", "192.0.2.1:10080");
    let foreign_peer = config_with_peers().with("peer_listen", "192.0.2.1:7946");
    for (config, key) in [(foreign, "listen"), (foreign_peer, "peer_listen")] {
        let shim = fault_shim();
        assert_start_fails(&shim, &config, &format!("{key} 192.0.2.1"));
    }
    let shim = fault_shim();
    shim.table().fail(Call::Bind, libc::EACCES, 10_000, None);
    assert_start_fails(&shim, &config_with_peers(), "listen 127.0.0.1");
}

/// Asserts that the program ends with code 1 within a second, and logs the reason.
fn assert_start_fails(
    shim: &tansymux_testbed::fault_shim::FaultShim,
    config: &Config,
    reason: &str,
) {
    let from = Instant::now();
    let mut program = launch_under(shim, config);
    let status = program.child.wait().unwrap();
    assert!(
        from.elapsed() < Duration::from_secs(1),
        "{:?}",
        from.elapsed()
    );
    let mut log = String::new();
    let mut stderr = program.child.stderr.take().unwrap();
    std::io::Read::read_to_string(&mut stderr, &mut log).unwrap();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(log.contains(reason), "{log}");
}

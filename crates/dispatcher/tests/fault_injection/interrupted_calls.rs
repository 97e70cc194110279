//! System calls that are interrupted by a signal, transfer fewer bytes than requested, or temporarily lack a resource.

use super::support::*;
use std::thread;
use tansymux_fault_table::Call;
use tansymux_testbed::program::free_udp_address;

/// Number of concurrent clients.
const CLIENTS: u64 = 10;
/// Number of queries per client.
const QUERIES_PER_CLIENT: u64 = 30;
/// Failing calls per 10,000: one in twenty.
const FAILURE_RATE: u32 = 500;

/// Sends queries from [`CLIENTS`] concurrent clients. Each uses one connection, and a new one if it closes without an
/// answer. Returns the status of each query.
fn query_in_parallel(to: std::net::SocketAddr) -> Vec<Option<u16>> {
    let client = move |number: u64| {
        let mut stream = connect(to);
        let mut statuses = Vec::new();
        for nth in 0..QUERIES_PER_CLIENT {
            let group = if nth % 4 == 0 { "load" } else { "look" };
            send(&mut stream, &query(group, number * 1000 + nth, 9000.0));
            statuses.push(answer_status(&stream));
            if statuses.last() == Some(&None) {
                stream = connect(to);
            }
        }
        statuses
    };
    let threads: Vec<_> = (1..=CLIENTS)
        .map(|number| thread::spawn(move || client(number)))
        .collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect()
}

/// Asserts that each query is answered with a result while some of these calls fail with `errno`.
fn assert_no_query_is_lost(errno: i32, calls: &[Call]) {
    let shim = fault_shim();
    let peer = free_udp_address().to_string();
    let config = two_group_config(&[instant_engine(), instant_engine()])
        .with("peer_listen", peer.clone())
        .with("peers", serde_json::json!([peer]));
    let program = start_under(&shim, &config);
    for call in calls {
        shim.table().fail(*call, errno, FAILURE_RATE, None);
    }
    let statuses = query_in_parallel(program.listen);
    for call in calls {
        assert!(shim.table().injected(*call) > 0, "{call:?} never failed");
    }
    let unserved = statuses.iter().filter(|status| **status != Some(200));
    assert_eq!(unserved.count(), 0, "{statuses:?}");
    shim.table().clear();
    assert_eq!(program.counter("submissions_reset"), Some(0));
}

#[test]
fn interrupted_system_calls_lose_no_query() {
    assert_no_query_is_lost(libc::EINTR, &[Call::Recv, Call::Writev]);
}

#[test]
fn temporary_buffer_shortages_lose_no_query() {
    assert_no_query_is_lost(libc::ENOBUFS, &[Call::Recv, Call::Writev]);
}

#[test]
fn short_reads_and_writes_lose_no_query() {
    let shim = fault_shim();
    let program = start_under(&shim, &two_group_config(&[instant_engine()]));
    shim.table().shorten(Call::Recv, 5000);
    shim.table().shorten(Call::Writev, 5000);
    let statuses = query_in_parallel(program.listen);
    assert!(shim.table().injected(Call::Recv) > 0);
    assert!(shim.table().injected(Call::Writev) > 0);
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
}

#[test]
fn failed_read_of_the_signal_pipe_does_not_stop_the_program() {
    let shim = fault_shim();
    let mut program = start_under(&shim, &two_group_config(&[instant_engine()]));
    // A single failure, because the next read is that of the configuration file.
    shim.table().fail(Call::Read, libc::EIO, 10_000, Some(1));
    program.signal("-HUP");
    program.wait_for_counter_line("configurations_read 1\n");
    assert_eq!(shim.table().injected(Call::Read), 1);
    assert_eq!(
        query_status(program.listen, &query("look", 1, 9000.0)),
        Some(200)
    );
    program.terminate();
    program.wait_for_exit();
}

#[test]
fn interrupted_reads_of_the_signal_pipe_lose_no_signal() {
    let shim = fault_shim();
    let mut program = start_under(&shim, &two_group_config(&[instant_engine()]));
    shim.table().fail(Call::Read, libc::EINTR, 10_000, Some(3));
    program.signal("-HUP");
    program.wait_for_counter_line("configurations_read 1\n");
    assert_eq!(shim.table().injected(Call::Read), 3);
    shim.table().fail(Call::Read, libc::EINTR, 10_000, Some(3));
    program.terminate();
    program.wait_for_exit();
}

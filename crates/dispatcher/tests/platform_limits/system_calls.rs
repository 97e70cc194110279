//! The program runs without the system calls that the platform refuses, and is linked as the platform requires.

use crate::support::{answer_status, config, instant_engine, EXE};
use object::{Object, ObjectSegment, ObjectSymbol};
use seccompiler::SeccompCmpOp::{MaskedEq, Ne};
use seccompiler::{
    BpfProgram, SeccompAction, SeccompCmpArgLen::Dword, SeccompCondition, SeccompFilter,
    SeccompRule,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};
use tansymux_testbed::program::{free_udp_address, Program};

/// Returns a filter that fails the calls of these rules with `error`.
fn filter_of(rules: BTreeMap<i64, Vec<SeccompRule>>, error: i32) -> BpfProgram {
    let arch = std::env::consts::ARCH
        .try_into()
        .expect("an architecture that seccomp supports");
    let filter = SeccompFilter::new(
        rules,
        SeccompAction::Allow,
        SeccompAction::Errno(error as u32),
        arch,
    );
    filter.and_then(BpfProgram::try_from).expect("valid rules")
}

/// Returns rules that refuse a call only if the comparison of its argument with `value` holds.
fn refused_if(argument: u8, comparison: seccompiler::SeccompCmpOp, value: u64) -> Vec<SeccompRule> {
    let condition =
        SeccompCondition::new(argument, Dword, comparison, value).expect("an argument from 0 to 5");
    vec![SeccompRule::new(vec![condition]).expect("one condition")]
}

/// Returns filters for the system calls that the platform refuses and for sockets other than IPv4. They allow the
/// exec that starts the program.
fn platform_filters() -> [BpfProgram; 2] {
    let always = Vec::new;
    let without_thread_flag = MaskedEq(libc::CLONE_THREAD as u64);
    let refused = [
        // Only x86-64 has fork and vfork; arm64 starts a process by clone and clone3 alone.
        #[cfg(target_arch = "x86_64")]
        (libc::SYS_fork, always()),
        #[cfg(target_arch = "x86_64")]
        (libc::SYS_vfork, always()),
        (libc::SYS_clone, refused_if(0, without_thread_flag, 0)),
        (libc::SYS_clone3, always()),
        (libc::SYS_execveat, always()),
        (libc::SYS_io_uring_setup, always()),
        (libc::SYS_sendfile, always()),
        (libc::SYS_socketpair, always()),
        (libc::SYS_socket, refused_if(0, Ne, libc::AF_INET as u64)),
    ];
    [
        filter_of(BTreeMap::from(refused), libc::ENOSYS),
        filter_of(BTreeMap::from([(libc::SYS_splice, always())]), libc::EINVAL),
    ]
}

fn apply(filters: &[BpfProgram]) -> std::io::Result<()> {
    for filter in filters {
        let applied = seccompiler::apply_filter(filter);
        applied.map_err(|error| std::io::Error::other(error.to_string()))?;
    }
    Ok(())
}

/// Returns the number of processes whose parent is `pid`.
fn child_processes(pid: u32) -> usize {
    let parent = format!("PPid:\t{pid}");
    let processes = std::fs::read_dir("/proc")
        .expect("/proc is readable")
        .flatten();
    let status =
        |entry: std::fs::DirEntry| std::fs::read_to_string(entry.path().join("status")).ok();
    processes
        .filter_map(status)
        .filter(|status| status.lines().any(|line| line == parent))
        .count()
}

#[test]
fn program_runs_without_the_system_calls_that_the_platform_refuses() {
    let filters = platform_filters();
    let peer = free_udp_address().to_string();
    let config = config(&[instant_engine()])
        .with("peer_listen", peer.clone())
        .with("peers", json!([peer]));
    let mut program =
        Program::launch_with(Path::new(EXE), &config, &[], Stdio::piped(), |command| {
            // SAFETY: two system calls per filter, on memory that was filled before the fork.
            unsafe { command.pre_exec(move || apply(&filters)) };
        });
    program.wait_until_healthy();
    (1..40).for_each(|id| assert_eq!(answer_status(&program, id, 9000.0), Some(200)));
    program.signal("-HUP");
    program.wait_for_counter_line("configurations_read 1\n");
    assert_eq!(answer_status(&program, 41, 9000.0), Some(200));
    let pid = program.child.id();
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
    let threads = threads.map(Iterator::count).unwrap_or(0);
    assert_eq!((child_processes(pid), threads), (0, 2));
    program.terminate();
    let log = program.wait_for_exit();
    assert!(log.contains("finished 40\n"), "{log}");
}

#[test]
fn system_call_filter_keeps_a_shell_from_starting_a_process() {
    // If a shell under the filters could start a program, the test above would prove nothing.
    let filters = platform_filters();
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "/bin/true; exit 7"])
        .stderr(Stdio::null());
    // SAFETY: as above.
    unsafe { shell.pre_exec(move || apply(&filters)) };
    let status = shell
        .status()
        .expect("this machine can't filter system calls: the test can't be run here");
    assert!(!status.success() && status.code() != Some(7), "{status}");
}

#[test]
fn program_is_dynamically_linked_against_the_c_library() {
    let bytes = std::fs::read(EXE).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let has = |name: &[u8]| {
        let data = |segment: object::Segment| segment.data().is_ok_and(|data| contains(data, name));
        file.segments().any(data)
    };
    assert!(
        has(b"/ld-linux") || has(b"/ld-musl"),
        "the binary names no dynamic loader"
    );
    assert!(
        has(b"libc.so.6\0") || has(b"libc.musl"),
        "the binary does not link the C library dynamically"
    );
    let symbols = file
        .dynamic_symbols()
        .filter_map(|symbol| symbol.name().ok())
        .collect::<Vec<_>>();
    // A platform that provides its own clock and sockets must be able to replace these calls.
    for call in ["clock_gettime", "accept4", "sendto", "pthread_create"] {
        assert!(
            symbols.contains(&call),
            "{call} is not taken from the C library: {symbols:?}"
        );
    }
}

fn contains(data: &[u8], pattern: &[u8]) -> bool {
    data.windows(pattern.len()).any(|window| window == pattern)
}

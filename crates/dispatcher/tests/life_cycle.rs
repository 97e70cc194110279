//! Events that cross in the life of the process, of clients' connections and of queries: each test forces the order
//! that docs/design/life-cycle.md names in its row, by stand-ins that hold or send their bytes when they are told.

use std::ffi::CString;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tansymux_rig::program::{class, free_address, Config, Scrap, WAIT};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Two resource groups, of 9 s each, and these engines.
fn config(engines: &[std::net::SocketAddr]) -> Config {
    let engines: Vec<_> = engines.iter().enumerate().map(|(i, at)| (format!("s-{i}"), *at)).collect();
    let classes = [class("look", 300.0, 9000.0, "read_like"), class("load", 300.0, 9000.0, "non_idempotent")];
    Config::new(free_address(), &engines, &classes, &[1, 1])
}

/// Waits until something is so.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let from = Instant::now();
    while !so() {
        assert!(from.elapsed() < WAIT, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn kill(which: &str, pid: u32) {
    assert!(Command::new("kill").args([which, &pid.to_string()]).status().is_ok_and(|s| s.success()));
}

// ---- The process ----

#[test]
fn a_signal_that_comes_before_the_configuration_is_read_is_kept() {
    // The configuration is a pipe: the program stands at its first read until the test writes.
    let text = config(&[]).0.to_string();
    let pipe = Scrap::new("config.fifo", "");
    std::fs::remove_file(&pipe.0).unwrap();
    let path = CString::new(pipe.0.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    let mut child = Command::new(EXE)
        .env("RELAY_CONFIG", &pipe.0)
        .env_remove("RELAY_LISTEN")
        .env_remove("TANSYMUX_OPERATOR")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opening for writing waits until the program has opened for reading.
    let mut writer = std::fs::OpenOptions::new().write(true).open(&pipe.0).unwrap();
    kill("-HUP", child.id());
    kill("-TERM", child.id());
    // Both are delivered before the process runs on: it is stopped at a system call.
    let pending = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let of = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or("0");
            u64::from_str_radix(line.trim(), 16).unwrap_or(0)
        };
        of("SigPnd:") | of("ShdPnd:")
    };
    until("signals are delivered", || pending() == 0);
    assert!(child.try_wait().unwrap().is_none(), "it ended by a signal");
    writer.write_all(text.as_bytes()).unwrap();
    drop(writer);
    let from = Instant::now();
    let status = child.wait().unwrap();
    assert!(status.success() && from.elapsed() < WAIT, "{status}");
}

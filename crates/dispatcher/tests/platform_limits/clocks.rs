//! Clocks that stop or jump.

use crate::support::{config, EXE};
use std::io::BufReader;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::{send_query_in_two_writes, ClientQuery};
use tansymux_testbed::engine::start_scripted_engine;
use tansymux_testbed::program::{resource_usage, Config, Program, TempFile};
use tansymux_testbed::wire::read_response;

/// The library that replaces the C library's clocks, and the file with the adjustments that it applies.
struct ClockShim {
    library: PathBuf,
    adjustments: TempFile,
}

/// Position of an adjustment in the shim's file, in units of 8 bytes.
#[derive(Clone, Copy)]
enum Adjustment {
    MonotonicOffset = 0,
    WallOffset = 1,
    MonotonicStop = 2,
}

const NANOS_PER_SECOND: i64 = 1_000_000_000;

impl ClockShim {
    fn new() -> Self {
        let built = Command::new(env!("CARGO"))
            .args([
                "build",
                "--quiet",
                "-p",
                "tansymux-dispatcher",
                "--example",
                "clock_shim",
            ])
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "the clock shim can't be built"
        );
        let executable = std::env::current_exe().unwrap();
        let target = executable.parent().and_then(Path::parent).unwrap();
        let library = target.join("examples").join("libclock_shim.so");
        assert!(library.exists(), "{} does not exist", library.display());
        ClockShim {
            library,
            adjustments: TempFile::new("clock_shim", &"\0".repeat(32)),
        }
    }

    fn set(&self, adjustment: Adjustment, nanos: i64) {
        let file = std::fs::OpenOptions::new()
            .write(true)
            .open(&self.adjustments.0)
            .unwrap();
        file.write_all_at(&nanos.to_ne_bytes(), 8 * adjustment as u64)
            .unwrap();
    }

    fn start(&self, config: &Config) -> Program {
        let program =
            Program::launch_with(Path::new(EXE), config, &[], Stdio::piped(), |command| {
                command
                    .env("LD_PRELOAD", &self.library)
                    .env("TANSYMUX_CLOCK_SHIM", &self.adjustments.0);
            });
        program.wait_until_healthy();
        program
    }
}

/// Returns the machine's monotonic time, without the shim (ns).
fn monotonic_ns() -> i64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the clock exists, and `now` is a valid `timespec`.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * NANOS_PER_SECOND + now.tv_nsec
}

#[test]
fn stopped_or_jumping_clock_ends_no_query_early() {
    let shim = ClockShim::new();
    let (silent_engine, _requests) = start_scripted_engine(|_, _| ());
    let mut program = shim.start(&config(&[silent_engine]));
    // The wall clock is set an hour ahead, an hour behind and right again. Without a name service, nothing depends on
    // it after startup.
    for hours in [1, -1, 0] {
        shim.set(Adjustment::WallOffset, hours * 3600 * NANOS_PER_SECOND);
        thread::sleep(Duration::from_millis(50));
        assert!(program.counter("rounds").is_some());
    }
    let send_query = |id, wait_ms| {
        let mut query = ClientQuery::new(
            id,
            "/invoke/load",
            "load",
            "SELECT a FROM sales_17.orders",
            wait_ms,
        );
        query.cost = Some(20.0);
        send_query_in_two_writes(program.listen, &query, 40, Duration::from_millis(1))
    };
    // The monotonic clock stops for twice a query's wait time: the query stays in flight, and the program serves
    // requests and does not spin.
    let client = send_query(1, 600.0);
    program.wait_for_counter_line("submissions 1\n");
    shim.set(Adjustment::MonotonicStop, monotonic_ns());
    let (_, before) = resource_usage(program.child.id()).unwrap();
    let rounds = program.counter("rounds").unwrap();
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(program.counter("unanswered"), Some(1));
    let (_, after) = resource_usage(program.child.id()).unwrap();
    let new_rounds = program.counter("rounds").unwrap() - rounds;
    assert!(
        after - before < 300.0 && new_rounds < 400,
        "{new_rounds} rounds, {} ms",
        after - before
    );
    // The clock continues past the query's deadline, and the query fails. Then it jumps past the deadline of the next
    // query.
    shim.set(Adjustment::MonotonicStop, 0);
    assert_eq!(
        read_response(&mut BufReader::new(client)).map(|response| response.status),
        Some(500)
    );
    let client = send_query(2, 8000.0);
    program.wait_for_counter_line("submissions 2\n");
    let started = Instant::now();
    shim.set(Adjustment::MonotonicOffset, 10 * NANOS_PER_SECOND);
    assert_eq!(
        read_response(&mut BufReader::new(client)).map(|response| response.status),
        Some(500)
    );
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "{:?}",
        started.elapsed()
    );
    program.terminate();
    program.wait_for_exit();
}

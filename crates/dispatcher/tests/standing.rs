//! What the operators' page on days at full size asks of the program itself, held without their bench: which system
//! calls it makes, what it links, how little it starts with, and clocks that are not the machine's. A test that this
//! machine can't run fails and says so.

use object::{Object, ObjectSegment, ObjectSymbol};
use seccompiler::SeccompCmpOp::{MaskedEq, Ne};
use seccompiler::{
    BpfProgram, SeccompAction, SeccompCmpArgLen::Dword, SeccompCondition, SeccompFilter,
    SeccompRule,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::{send_query_in_two_parts, ClientQuery};
use tansymux_testbed::engine::scripted;
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::program::{
    class, free_address, free_udp_address, own_memory, used, Config, Program, TempFile, TIMEOUT,
};
use tansymux_testbed::record::{Record, Status};
use tansymux_testbed::wire::{read_response, write_frame};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

fn config(engines: &[SocketAddr]) -> Config {
    let engines: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(i, at)| (format!("s-{i}"), *at))
        .collect();
    let classes = [
        class("look", 300.0, 9000.0, "read_like"),
        class("load", 300.0, 9000.0, "non_idempotent"),
    ];
    Config::new(free_address(), &engines, &classes, &[1, 1])
}

/// An engine that answers at once.
fn engine() -> SocketAddr {
    let answers = |parts: &[String], to: &mut std::net::TcpStream| {
        write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    };
    scripted(answers).0
}

/// The answer's status to one query.
fn asks(program: &Program, id: u64, wait: f64) -> Option<u16> {
    let mut ask = ClientQuery::new(
        id,
        "/invoke/look",
        "look",
        "SELECT a FROM sales_17.orders",
        wait,
    );
    ask.cost = Some(20.0);
    let stream = send_query_in_two_parts(program.listen, &ask, 40, Duration::from_millis(1));
    read_response(&mut BufReader::new(stream)).map(|got| got.0)
}

fn refuse(rules: BTreeMap<i64, Vec<SeccompRule>>, error: i32) -> BpfProgram {
    let arch = std::env::consts::ARCH
        .try_into()
        .expect("seccomp is known on this machine");
    let filter = SeccompFilter::new(
        rules,
        SeccompAction::Allow,
        SeccompAction::Errno(error as u32),
        arch,
    );
    filter
        .and_then(BpfProgram::try_from)
        .expect("a filter of plain rules")
}

/// Only if an argument compares so.
fn only(argument: u8, how: seccompiler::SeccompCmpOp, value: u64) -> Vec<SeccompRule> {
    let condition =
        SeccompCondition::new(argument, Dword, how, value).expect("an argument from 0 to 5");
    vec![SeccompRule::new(vec![condition]).expect("one condition")]
}

/// What the page refuses, and any socket but IPv4's. The program's own start by exec has to pass.
fn refused() -> [BpfProgram; 2] {
    let all = Vec::new;
    let processes = MaskedEq(libc::CLONE_THREAD as u64);
    let not_there = [
        (libc::SYS_fork, all()),
        (libc::SYS_vfork, all()),
        (libc::SYS_clone, only(0, processes, 0)),
        (libc::SYS_clone3, all()),
        (libc::SYS_execveat, all()),
        (libc::SYS_io_uring_setup, all()),
        (libc::SYS_sendfile, all()),
        (libc::SYS_socketpair, all()),
        (libc::SYS_socket, only(0, Ne, libc::AF_INET as u64)),
    ];
    [
        refuse(BTreeMap::from(not_there), libc::ENOSYS),
        refuse(BTreeMap::from([(libc::SYS_splice, all())]), libc::EINVAL),
    ]
}

/// How many processes have this one as their parent.
fn children(pid: u32) -> usize {
    let parent = format!("PPid:\t{pid}");
    let processes = std::fs::read_dir("/proc")
        .expect("processes are shown")
        .flatten();
    let status =
        |entry: std::fs::DirEntry| std::fs::read_to_string(entry.path().join("status")).ok();
    processes
        .filter_map(status)
        .filter(|status| status.lines().any(|line| line == parent))
        .count()
}

#[test]
fn it_starts_serves_reads_again_and_ends_where_the_page_refuses_calls() {
    let (config, filters) = (config(&[engine()]), refused());
    let peer = free_udp_address().to_string();
    let config = config
        .with("peer_listen", peer.clone())
        .with("peers", json!([peer]));
    let mut program = Program::prepared(Path::new(EXE), &config, &[], Stdio::piped(), |command| {
        let apply = move || {
            let refused = |e: seccompiler::Error| std::io::Error::other(e.to_string());
            filters
                .iter()
                .try_for_each(|filter| seccompiler::apply_filter(filter).map_err(refused))
        };
        // SAFETY: two system calls each, on memory that was filled before the fork.
        unsafe { command.pre_exec(apply) };
    });
    program.wait_until_healthy();
    (1..40).for_each(|id| assert_eq!(asks(&program, id, 9000.0), Some(200)));
    program.signal("-HUP");
    program.wait_for_count("configurations_read 1\n");
    assert_eq!(asks(&program, 41, 9000.0), Some(200));
    let (pid, threads) = (program.child.id(), |pid| {
        std::fs::read_dir(format!("/proc/{pid}/task"))
    });
    assert_eq!(
        (
            children(pid),
            threads(pid).map(Iterator::count).unwrap_or(0)
        ),
        (0, 2)
    );
    program.terminate();
    let log = program.end();
    assert!(log.contains("finished 40\n"), "{log}");
}

#[test]
fn the_filter_of_the_test_above_does_refuse() {
    // A shell under it can't start a program, or this machine has no such filters and the test above shows nothing.
    let filters = refused();
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "/bin/true; exit 7"])
        .stderr(Stdio::null());
    let apply = move || {
        let refused = |e: seccompiler::Error| std::io::Error::other(e.to_string());
        filters
            .iter()
            .try_for_each(|filter| seccompiler::apply_filter(filter).map_err(refused))
    };
    // SAFETY: as above.
    unsafe { shell.pre_exec(apply) };
    let ended = shell
        .status()
        .expect("this machine can't filter system calls: the test can't be run here");
    assert!(!ended.success() && ended.code() != Some(7), "{ended}");
}

#[test]
fn it_is_linked_against_the_c_library_when_it_starts() {
    let bytes = std::fs::read(EXE).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let has = |name: &[u8]| {
        let data = |segment: object::Segment| segment.data().is_ok_and(|data| contains(data, name));
        file.segments().any(data)
    };
    assert!(has(b"/ld-linux") || has(b"/ld-musl"), "no loader is named");
    assert!(
        has(b"libc.so.6\0") || has(b"libc.musl"),
        "the C library is not asked for"
    );
    let calls = file
        .dynamic_symbols()
        .filter_map(|symbol| symbol.name().ok())
        .collect::<Vec<_>>();
    // What a platform that lends a clock and sockets has to be able to take the place of.
    for call in ["clock_gettime", "accept4", "sendto", "pthread_create"] {
        assert!(
            calls.contains(&call),
            "{call} is not taken from the C library: {calls:?}"
        );
    }
}

fn contains(data: &[u8], what: &[u8]) -> bool {
    data.windows(what.len()).any(|window| window == what)
}

/// Starts the program, which gets no more than 64 descriptors and 64 MB of address space.
fn limited(config: &Config) -> Program {
    let limits = [(libc::RLIMIT_NOFILE, 64), (libc::RLIMIT_AS, 64 << 20)];
    Program::prepared(Path::new(EXE), config, &[], Stdio::piped(), |command| {
        let set = move || {
            limits.iter().try_for_each(|&(which, most)| {
                let limit = libc::rlimit {
                    rlim_cur: most,
                    rlim_max: most,
                };
                // SAFETY: a valid limit.
                match unsafe { libc::setrlimit(which, &limit) } {
                    0 => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                }
            })
        };
        // SAFETY: one system call for each limit.
        unsafe { command.pre_exec(set) };
    })
}

#[test]
fn clients_that_fill_the_descriptors_while_discovery_is_down_keep_nothing_else_from_its_own() {
    // The engines of the start hang, each with a connection for each query, and the service is silent at first.
    let hangs: Vec<SocketAddr> = (0..4).map(|_| scripted(|_, _| {}).0).collect();
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    names.silent(true);
    let config = config(&hangs).with("limits", json!({"sockets": 64, "memory_mb": 16}));
    let config = config
        .with("resolver", names.address.to_string())
        .with("settings.limits.streams-per-conn", 1);
    let mut program = limited(&config);
    // They connect as soon as anyone listens, and many more than there are places.
    let from = Instant::now();
    let mut idle = Vec::new();
    while idle.len() < 120 {
        assert!(from.elapsed() < TIMEOUT, "nobody listens");
        match std::net::TcpStream::connect(program.listen) {
            Ok(stream) => idle.push(stream),
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
    let ask = |id| {
        let mut ask = ClientQuery::new(
            id,
            "/invoke/look",
            "look",
            "SELECT a FROM sales_17.orders",
            9000.0,
        );
        ask.cost = Some(20.0);
        send_query_in_two_parts(program.listen, &ask, 40, Duration::ZERO)
    };
    let hang: Vec<_> = (1..60).map(ask).collect();
    program.wait_until_healthy();
    // All that needs a descriptor while they hold theirs: a list from another socket, and the file at SIGHUP.
    program.wait_for_count("lists 0\n");
    names.add(Endpoint {
        id: "s-9".into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: engine(),
        status: Status::Ready,
        started: 0.0,
    });
    names.silent(false);
    program.signal("-HUP");
    program.wait_for_count("configurations_read 1\n");
    program.wait_for_count("lists 1\n");
    drop(hang);
    program.wait_for_count("submissions_out 0\n");
    assert_eq!(asks(&program, 99, 9000.0), Some(200));
    program.terminate();
    let log = program.end();
    assert!(!log.contains("Too many open files"), "{log}");
}

#[test]
fn it_starts_and_serves_with_64_descriptors_and_little_memory() {
    let engines: Vec<SocketAddr> = (0..36).map(|_| engine()).collect();
    let config = config(&engines).with("limits", json!({"sockets": 64, "memory_mb": 16}));
    let program = limited(&config);
    program.wait_until_healthy();
    let clients = |from: u64| {
        let one = |id| {
            let mut ask = ClientQuery::new(
                id,
                "/invoke/look",
                "look",
                "SELECT a FROM sales_17.orders",
                9000.0,
            );
            ask.cost = Some(20.0);
            send_query_in_two_parts(program.listen, &ask, 40, Duration::ZERO)
        };
        (from..from + 20).map(one).collect::<Vec<_>>()
    };
    for from in [1, 100, 200] {
        for client in clients(from) {
            assert_eq!(
                read_response(&mut BufReader::new(client)).map(|got| got.0),
                Some(200)
            );
        }
    }
    let (resident, _) = used(program.child.id()).unwrap();
    assert!(resident < 16 << 10, "{resident} kB");
}

#[test]
fn three_hundred_peers_and_as_many_names_are_no_burden_at_the_start() {
    let own = free_udp_address().to_string();
    let peers: Vec<String> = (0..300)
        .map(|n| {
            if n == 7 {
                own.clone()
            } else {
                format!("127.9.{}.1:7946", n % 250)
            }
        })
        .collect();
    let config = config(&[engine()])
        .with("peer_listen", own)
        .with("peers", json!(peers));
    let config = config
        .with("settings.balancers", 300)
        .with("settings.limits.peers", true);
    let from = Instant::now();
    let mut program = Program::start(Path::new(EXE), &config.with("settings.me", 7), &[]);
    assert!(
        from.elapsed() < Duration::from_secs(2),
        "{:?}",
        from.elapsed()
    );
    (1..20).for_each(|id| assert_eq!(asks(&program, id, 9000.0), Some(200)));
    let own = own_memory(program.child.id()).unwrap();
    assert!(own < 1600, "{own} kB");
    program.terminate();
    program.end();
}

/// The library that bends clocks, and the file that says how.
struct Warp(PathBuf, TempFile);

impl Warp {
    fn new() -> Self {
        let built = Command::new(env!("CARGO"))
            .args([
                "build",
                "--quiet",
                "-p",
                "tansymux-dispatcher",
                "--example",
                "warp",
            ])
            .status();
        assert!(
            built.is_ok_and(|s| s.success()),
            "the library that bends clocks can't be built"
        );
        let own = std::env::current_exe().unwrap();
        let folder = own.parent().and_then(Path::parent).unwrap();
        let library = folder.join("examples").join("libwarp.so");
        assert!(library.exists(), "{} is not there", library.display());
        Warp(library, TempFile::new("warp", &"\0".repeat(32)))
    }

    fn set(&self, place: u64, nanos: i64) {
        let file = std::fs::OpenOptions::new()
            .write(true)
            .open(&self.1 .0)
            .unwrap();
        file.write_all_at(&nanos.to_ne_bytes(), 8 * place).unwrap();
    }

    fn start(&self, config: &Config) -> Program {
        let program = Program::prepared(Path::new(EXE), config, &[], Stdio::piped(), |command| {
            command
                .env("LD_PRELOAD", &self.0)
                .env("TANSYMUX_WARP", &self.1 .0);
        });
        program.wait_until_healthy();
        program
    }
}

/// Nanoseconds on the machine's own monotonic clock.
fn monotonic() -> i64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: a clock that is there, and room for its reading.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

#[test]
fn a_clock_that_stands_still_or_jumps_ends_nothing_that_need_not_end() {
    let warp = Warp::new();
    let (mute, _told) = scripted(|_, _| ());
    let mut program = warp.start(&config(&[mute]));
    // The day's clock jumps an hour ahead and back: nothing hangs on it after the start.
    for hours in [1, -1, 0] {
        warp.set(1, hours * 3600 * 1_000_000_000);
        thread::sleep(Duration::from_millis(50));
        assert!(program.counter("rounds").is_some());
    }
    let one = |id, wait| {
        let mut ask = ClientQuery::new(
            id,
            "/invoke/load",
            "load",
            "SELECT a FROM sales_17.orders",
            wait,
        );
        ask.cost = Some(20.0);
        send_query_in_two_parts(program.listen, &ask, 40, Duration::from_millis(1))
    };
    // It stands still for twice a query's time: the query does not end, the program answers, and does not spin.
    let waiting = one(1, 600.0);
    program.wait_for_count("submissions 1\n");
    warp.set(2, monotonic());
    let (_, before) = used(program.child.id()).unwrap();
    let rounds = program.counter("rounds").unwrap();
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(program.counter("unanswered"), Some(1));
    let (_, after) = used(program.child.id()).unwrap();
    let turned = program.counter("rounds").unwrap() - rounds;
    assert!(
        after - before < 300.0 && turned < 400,
        "{turned} rounds, {} ms",
        after - before
    );
    // It goes on, and jumps over the query's time: the query ends, and the next is served as ever.
    warp.set(2, 0);
    assert_eq!(
        read_response(&mut BufReader::new(waiting)).map(|got| got.0),
        Some(500)
    );
    let waiting = one(2, 8000.0);
    program.wait_for_count("submissions 2\n");
    let from = Instant::now();
    warp.set(0, 10_000_000_000);
    assert_eq!(
        read_response(&mut BufReader::new(waiting)).map(|got| got.0),
        Some(500)
    );
    assert!(
        from.elapsed() < Duration::from_secs(3),
        "{:?}",
        from.elapsed()
    );
    program.terminate();
    program.end();
}

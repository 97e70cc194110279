//! The real program as a process: its start, signals, counters and end. Its configuration is in `config`.
//!
//! Start reading at [`Program::start`].

mod config;

pub use crate::free_address::{free_address, free_udp_address};
pub use config::{class, numbered_engines, Config};

use crate::wire::{read_response, HttpResponse};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for anything in a test, ample for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A file in the system's folder for temporary files, removed when dropped.
#[derive(Debug)]
pub struct TempFile(pub PathBuf);

impl TempFile {
    /// Writes a file whose name ends in `name`.
    ///
    /// # Panics
    /// The folder can't be written to.
    pub fn new(name: &str, text: &str) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("tansymux-{}-{number}-{name}", std::process::id()));
        let file = TempFile(path);
        file.write(text);
        file
    }

    /// Replaces the file's text.
    ///
    /// # Panics
    /// The folder can't be written to.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the folder for temporary files can be written to");
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Processes that were started and not yet waited for: those that must end with the testbed.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// From now on, a signal that ends the testbed first kills the processes that it started.
pub fn end_children_on_signal() {
    let Ok(mut signals) = signal_hook::iterator::Signals::new([SIGINT, SIGTERM, SIGHUP]) else {
        return;
    };
    thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            // Until it is waited for, a number is its process's and nobody else's.
            let started = STARTED
                .lock()
                .map(|started| started.clone())
                .unwrap_or_default();
            let pids: Vec<String> = started.iter().map(u32::to_string).collect();
            let _ = Command::new("kill").arg("-KILL").args(&pids).status();
            std::process::exit(128 + signal);
        }
    });
}

/// The real program, killed when dropped.
#[derive(Debug)]
pub struct Program {
    /// The process.
    pub child: Child,
    /// Where it takes queries.
    pub listen: SocketAddr,
    /// Its configuration.
    pub config: TempFile,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|pid| *pid != self.child.id());
        }
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts `exe` and waits until it is healthy.
    ///
    /// # Panics
    /// It did not start or did not become healthy in time.
    pub fn start(exe: &Path, config: &Config, arguments: &[&str]) -> Self {
        let program = Program::launch(exe, config, arguments, Stdio::piped());
        program.wait_until_healthy();
        program
    }

    /// The same with its log written to where `log` says, and no wait.
    pub fn launch(exe: &Path, config: &Config, arguments: &[&str], log: Stdio) -> Self {
        Program::prepared(exe, config, arguments, log, |_| ())
    }

    /// The same, with more done to the command before it runs.
    pub fn prepared(
        exe: &Path,
        config: &Config,
        arguments: &[&str],
        log: Stdio,
        prepare: impl FnOnce(&mut Command),
    ) -> Self {
        let listen = config.0["listen"]
            .as_str()
            .and_then(|at| at.parse().ok())
            .expect("a configuration listens");
        let config = TempFile::new("config.json", &config.0.to_string());
        let mut command = Command::new(exe);
        command
            .args(arguments)
            .env("RELAY_CONFIG", &config.0)
            .env_remove("RELAY_LISTEN")
            .env_remove("TANSYMUX_OPERATOR")
            .stderr(log);
        prepare(&mut command);
        let child = command.spawn().expect("the program can be started");
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        Program {
            child,
            listen,
            config,
        }
    }

    /// Waits until it takes queries.
    ///
    /// # Panics
    /// It does not within [`TIMEOUT`].
    pub fn wait_until_healthy(&self) {
        let from = Instant::now();
        while get(self.listen, "/_health").is_none_or(|response| response.status != 200) {
            assert!(from.elapsed() < TIMEOUT, "not healthy in time");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a signal by its name, for example `-HUP`.
    ///
    /// # Panics
    /// The process is not there.
    pub fn signal(&self, which: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([which, &pid])
                .status()
                .is_ok_and(|status| status.success()),
            "kill {which}"
        );
    }

    /// Sends SIGTERM.
    ///
    /// # Panics
    /// The process is not there.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// All counters as text; empty where it does not answer.
    pub fn counters(&self) -> String {
        get(self.listen, "/_counters").map_or_else(String::new, |response| response.body)
    }

    /// A counter's value.
    pub fn counter(&self, name: &str) -> Option<u64> {
        self.counters()
            .lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Waits until the counters show this line.
    ///
    /// # Panics
    /// They do not within [`TIMEOUT`].
    pub fn wait_for_count(&self, line: &str) {
        let from = Instant::now();
        while !self.counters().contains(line) {
            assert!(from.elapsed() < TIMEOUT, "no {line}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for the end; what was written to standard error.
    ///
    /// # Panics
    /// It does not end within [`TIMEOUT`], ends with an error, or its guard has seen a violation.
    pub fn end(&mut self) -> String {
        let from = Instant::now();
        let status = loop {
            match self
                .child
                .try_wait()
                .expect("its own child can be waited for")
            {
                Some(status) => break status,
                None => assert!(from.elapsed() < TIMEOUT, "not ended in time"),
            }
            thread::sleep(Duration::from_millis(10));
        };
        assert!(status.success(), "{status}");
        let mut text = String::new();
        if let Some(mut stderr) = self.child.stderr.take() {
            let _ = stderr.read_to_string(&mut text);
        }
        assert!(!text.contains("invariant violated"), "{text}");
        text
    }
}

/// Memory that a process holds of its own (kB): without the pages of the program's file, of which more or fewer are in
/// memory with what else the machine has read.
pub fn own_memory(pid: u32) -> Option<u64> {
    of_status(pid, "RssAnon:")
}

/// A figure in kB from what the system says of a process.
fn of_status(pid: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|line| {
        line.strip_prefix(name)?
            .trim()
            .strip_suffix(" kB")?
            .trim()
            .parse()
            .ok()
    })
}

/// Resident memory (kB) and processor time (ms, of its own and of the system) of a process.
pub fn used(pid: u32) -> Option<(u64, f64)> {
    let resident = of_status(pid, "VmRSS:")?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    // Fields 14 and 15 of the line, in ticks of 10 ms.
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some((resident, ticks * 10.0))
}

/// Sends a GET on a new connection; returns none without a complete response.
pub fn get(to: SocketAddr, path: &str) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
        .ok()?;
    read_response(&mut BufReader::new(stream))
}

/// Why the program under test can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LocateError {
    /// The path of the running program is not known, or cargo can't be run.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The running program is in no folder.
    #[error("the folder of the running program is not known")]
    NoFolder,
    /// Cargo said why on standard error.
    #[error("tansymux could not be built")]
    BuildFailed,
    /// No program is where it should be.
    #[error("{} is not there", .0.display())]
    Missing(PathBuf),
}

/// The program under test, next to the running program; it is built by the same cargo, where there is one.
///
/// # Errors
/// It could not be built or is not there.
pub fn locate_program() -> Result<PathBuf, LocateError> {
    locate_beside("tansymux-dispatcher", "tansymux")
}

/// A package's file in the folder of the program that runs, or above it for a test; built by the same cargo where there is
/// one.
///
/// # Errors
/// It could not be built or is not there.
pub(crate) fn locate_beside(package: &str, file: &str) -> Result<PathBuf, LocateError> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().ok_or(LocateError::NoFolder)?;
    if folder.ends_with("deps") {
        folder = folder.parent().ok_or(LocateError::NoFolder)?;
    }
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "-p", package]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(LocateError::BuildFailed);
        }
    }
    let path = folder.join(file);
    if path.exists() {
        Ok(path)
    } else {
        Err(LocateError::Missing(path))
    }
}

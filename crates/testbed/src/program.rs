//! The program under test as a child process: start, signals, counters and exit. Its configuration is in `config`.
//!
//! Start reading at [`Program::start`].

mod config;

pub use crate::free_address::{free_address, free_udp_address};
pub use config::{numbered_engines, resource_group, Config};

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

/// Maximum time that a test waits for an event; ample for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A file in the system's directory for temporary files, removed when dropped.
#[derive(Debug)]
pub struct TempFile(pub PathBuf);

impl TempFile {
    /// Writes a file whose name ends in `name`.
    ///
    /// # Panics
    /// The directory can't be written to.
    pub fn new(name: &str, text: &str) -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("tansymux-{}-{number}-{name}", std::process::id()));
        let file = TempFile(path);
        file.write(text);
        file
    }

    /// Replaces the file's text.
    ///
    /// # Panics
    /// The directory can't be written to.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the directory for temporary files can be written to");
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Ids of the started processes that have not been waited for; they must not outlive the testbed.
static CHILD_PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Installs a handler for SIGINT, SIGTERM and SIGHUP that kills the started processes before the testbed exits.
pub fn kill_children_on_signal() {
    let Ok(mut signals) = signal_hook::iterator::Signals::new([SIGINT, SIGTERM, SIGHUP]) else {
        return;
    };
    thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            // A process id is not reused before the process has been waited for.
            let children = CHILD_PIDS
                .lock()
                .map(|children| children.clone())
                .unwrap_or_default();
            let pids: Vec<String> = children.iter().map(u32::to_string).collect();
            let _ = Command::new("kill").arg("-KILL").args(&pids).status();
            std::process::exit(128 + signal);
        }
    });
}

/// A process of the program under test, killed when dropped.
#[derive(Debug)]
pub struct Program {
    /// The process.
    pub child: Child,
    /// Address on which it accepts queries.
    pub listen: SocketAddr,
    /// Its configuration file.
    pub config: TempFile,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        if let Ok(mut children) = CHILD_PIDS.lock() {
            children.retain(|pid| *pid != self.child.id());
        }
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts `exe` and waits until it is healthy.
    ///
    /// # Panics
    /// It did not start, or did not become healthy within [`TIMEOUT`].
    pub fn start(exe: &Path, config: &Config, arguments: &[&str]) -> Self {
        let program = Program::launch(exe, config, arguments, Stdio::piped());
        program.wait_until_healthy();
        program
    }

    /// Starts `exe` with its standard error sent to `log`, without waiting until it is healthy.
    pub fn launch(exe: &Path, config: &Config, arguments: &[&str], log: Stdio) -> Self {
        Program::launch_with(exe, config, arguments, log, |_| ())
    }

    /// Like [`Program::launch`], but calls `prepare` on the command before it runs.
    pub fn launch_with(
        exe: &Path,
        config: &Config,
        arguments: &[&str],
        log: Stdio,
        prepare: impl FnOnce(&mut Command),
    ) -> Self {
        let listen = config.0["listen"]
            .as_str()
            .and_then(|address| address.parse().ok())
            .expect("a configuration has an address to listen on");
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
        if let Ok(mut children) = CHILD_PIDS.lock() {
            children.push(child.id());
        }
        Program {
            child,
            listen,
            config,
        }
    }

    /// Waits until the program is healthy.
    ///
    /// # Panics
    /// It is not healthy within [`TIMEOUT`].
    pub fn wait_until_healthy(&self) {
        let started = Instant::now();
        while get(self.listen, "/_health").is_none_or(|response| response.status != 200) {
            assert!(
                started.elapsed() < TIMEOUT,
                "the program did not become healthy in time"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a signal by its name, for example `-HUP`.
    ///
    /// # Panics
    /// The process does not exist.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .is_ok_and(|status| status.success()),
            "kill {name} failed"
        );
    }

    /// Sends SIGTERM.
    ///
    /// # Panics
    /// The process does not exist.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// All counters as text; empty if the program does not answer.
    pub fn counters(&self) -> String {
        get(self.listen, "/_counters").map_or_else(String::new, |response| response.body)
    }

    /// A counter's value; none if the program does not report it.
    pub fn counter(&self, name: &str) -> Option<u64> {
        self.counters()
            .lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Waits until the text of the counters contains `line`.
    ///
    /// # Panics
    /// It does not within [`TIMEOUT`].
    pub fn wait_for_counter_line(&self, line: &str) {
        let started = Instant::now();
        while !self.counters().contains(line) {
            assert!(
                started.elapsed() < TIMEOUT,
                "the counters do not show {line}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for the program to exit. Returns its standard error.
    ///
    /// # Panics
    /// It does not exit within [`TIMEOUT`], exits with an error, or its guard has logged a violation.
    pub fn wait_for_exit(&mut self) -> String {
        let started = Instant::now();
        let status = loop {
            match self
                .child
                .try_wait()
                .expect("a child process can be waited for")
            {
                Some(status) => break status,
                None => assert!(
                    started.elapsed() < TIMEOUT,
                    "the program did not exit in time"
                ),
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

/// Anonymous resident memory of a process (kB). File-backed pages are excluded, because how many of them are resident
/// depends on the other processes of the machine.
pub fn anonymous_memory_kb(pid: u32) -> Option<u64> {
    status_kb(pid, "RssAnon:")
}

/// A value in kB from `/proc/PID/status`.
fn status_kb(pid: u32, name: &str) -> Option<u64> {
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

/// Resident memory (kB) and processor time (user and system, ms) of a process.
pub fn resource_usage(pid: u32) -> Option<(u64, f64)> {
    let resident = status_kb(pid, "VmRSS:")?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    // User and system time: fields 14 and 15 of the line, in ticks of 10 ms.
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some((resident, ticks * 10.0))
}

/// Sends a GET request on a new connection. Returns none if no complete response arrives.
pub fn get(to: SocketAddr, path: &str) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
        .ok()?;
    read_response(&mut BufReader::new(stream))
}

/// An error in locating the program under test or the shim library.
#[derive(Debug, thiserror::Error)]
pub enum LocateError {
    /// The path of the running program is not known, or cargo can't be run.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The path of the running program has no parent directory.
    #[error("the directory of the running program is not known")]
    NoDirectory,
    /// Cargo could not build the package and printed the reason on standard error.
    #[error("cargo build failed")]
    BuildFailed,
    /// The file is not in the expected directory.
    #[error("{} does not exist", .0.display())]
    Missing(PathBuf),
}

/// Returns the path of the program under test, in the running program's directory. Under cargo, it is built first.
///
/// # Errors
/// It could not be built or does not exist.
pub fn locate_program() -> Result<PathBuf, LocateError> {
    locate_beside("tansymux-dispatcher", "tansymux")
}

/// Returns the path of a package's file, in the running program's directory or, for a test, in its parent directory.
/// Under cargo, the package is built first.
///
/// # Errors
/// It could not be built or does not exist.
pub(crate) fn locate_beside(package: &str, file: &str) -> Result<PathBuf, LocateError> {
    let running_exe = std::env::current_exe()?;
    let mut directory = running_exe.parent().ok_or(LocateError::NoDirectory)?;
    if directory.ends_with("deps") {
        directory = directory.parent().ok_or(LocateError::NoDirectory)?;
    }
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "-p", package]);
        if directory.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(LocateError::BuildFailed);
        }
    }
    let path = directory.join(file);
    if path.exists() {
        Ok(path)
    } else {
        Err(LocateError::Missing(path))
    }
}

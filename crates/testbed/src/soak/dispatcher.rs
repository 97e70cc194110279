//! The slot of a dispatcher in a soak: starts, signals, kills and replaces its process, and tells clients whether the
//! process accepts connections and requests.

use crate::fault_shim::FaultShim;
use crate::program::{get, Config, Program};
use crate::record::{EventKind, Record};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of the platform from a process's start until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from SIGTERM to SIGKILL beyond the longest deadline. The platform sets at least this much.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// Interval between the signals of a series.
pub(super) const SIGNAL_STEP: Duration = Duration::from_millis(70);
/// Time after SIGTERM for which clients still open connections.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time from SIGTERM to the start of the next process.
const NEXT_START_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// Texts that identify a log line about a violated invariant or a panic.
const FAILURE_PATTERNS: [&str; 2] = ["invariant violated", "panicked"];
/// Interval at which a process's state is polled.
const POLL: Duration = Duration::from_millis(10);

/// A dispatcher's current process and whether it accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientEndpoint {
    /// The number of processes started in this slot, including the current one. It is part of query ids.
    pub epoch: u64,
    /// Whether clients may open connections.
    pub takes_connections: bool,
}

#[derive(Debug)]
struct State {
    program: Option<Program>,
    epoch: u64,
    is_ready: bool,
    /// Whether the process is stopped by SIGSTOP.
    is_stopped: bool,
    /// The time at which SIGTERM was sent to the process.
    terminated: Option<Instant>,
    /// The epochs whose process `crash` has killed. No answers are expected from them.
    crashed: Vec<u64>,
    /// The epoch that received SIGTERM and has not exited.
    exiting: Option<u64>,
    log: PathBuf,
}

/// A dispatcher's slot, in which one process runs at a time.
pub struct DispatcherSlot {
    /// Its name in the record.
    pub name: String,
    /// The address at which all its processes accept queries.
    pub listen: SocketAddr,
    exe: PathBuf,
    config: Config,
    shim: FaultShim,
    logs: PathBuf,
    record: Arc<Record>,
    /// Time from SIGTERM to SIGKILL.
    sigkill_after: Duration,
    state: Mutex<State>,
}

impl DispatcherSlot {
    /// A slot in which no process has been started yet.
    pub fn new(
        name: String,
        exe: &Path,
        config: Config,
        shim: FaultShim,
        logs: &Path,
        record: Arc<Record>,
        max_deadline: Duration,
    ) -> Self {
        let listen = config.0["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        DispatcherSlot {
            name,
            listen: listen.expect("a configuration has a listen address"),
            exe: exe.to_owned(),
            config,
            shim,
            logs: logs.to_owned(),
            record,
            sigkill_after: max_deadline + SIGKILL_MARGIN,
            state: Mutex::new(State {
                program: None,
                epoch: 0,
                is_ready: false,
                is_stopped: false,
                terminated: None,
                crashed: Vec::new(),
                exiting: None,
                log: PathBuf::new(),
            }),
        }
    }

    /// The fault shim that is preloaded into the process.
    pub fn shim(&self) -> &FaultShim {
        &self.shim
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn record_failure(&self, how: String) {
        self.record.push(EventKind::DispatcherFailed {
            dispatcher: self.name.clone(),
            how,
        });
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&self) {
        let started = self.launch();
        self.wait_until_ready(started);
    }

    fn launch(&self) -> Instant {
        let mut state = self.state();
        state.epoch += 1;
        state.is_ready = false;
        state.terminated = None;
        state.log = self.logs.join(format!("{}-{}.log", self.name, state.epoch));
        let log = File::create(&state.log).map_or(Stdio::null(), Stdio::from);
        let arguments = ["--log-level", "info"];
        let program = Program::launch_with(&self.exe, &self.config, &arguments, log, |command| {
            self.shim.apply(command);
        });
        state.program = Some(program);
        Instant::now()
    }

    fn wait_until_ready(&self, started: Instant) {
        while started.elapsed() < READY_TIMEOUT {
            if get(self.listen, "/_health").is_some_and(|response| response.status == 200) {
                self.state().is_ready = true;
                return;
            }
            thread::sleep(POLL);
        }
        self.record_failure(format!("was not ready {READY_TIMEOUT:?} after its start"));
    }

    /// The current process and whether it accepts connections.
    pub fn client_endpoint(&self) -> ClientEndpoint {
        let state = self.state();
        let since_term = state.terminated.map(|at| at.elapsed());
        let is_accepting = since_term.is_none_or(|since| since < CONNECTS_AFTER_SIGTERM);
        ClientEndpoint {
            epoch: state.epoch,
            takes_connections: state.is_ready && is_accepting,
        }
    }

    /// Whether clients may send requests on open connections to the process of this epoch. They may until it exits.
    pub fn takes_requests(&self, epoch: u64) -> bool {
        let state = self.state();
        state.exiting == Some(epoch) || state.epoch == epoch && state.is_ready
    }

    /// Whether [`DispatcherSlot::crash`] has killed the process of this epoch.
    pub fn has_crashed(&self, epoch: u64) -> bool {
        self.state().crashed.contains(&epoch)
    }

    /// Terminates the process and sends it further signals. Starts the next process while clients continue to send
    /// requests on their connections to the old one, and checks the old one's exit.
    pub fn restart(&self, further_signals: &[&str]) {
        let Some(mut old) = self.terminate() else {
            return;
        };
        let terminated = Instant::now();
        self.send_signal_series(&old, further_signals);
        thread::sleep(NEXT_START_AFTER_SIGTERM.saturating_sub(terminated.elapsed()));
        let old_log = self.state().log.clone();
        // The new process binds the same address as soon as the old one has closed its listener.
        let started = self.launch();
        self.await_exit(&mut old, terminated);
        self.check_log(&old_log);
        self.wait_until_ready(started);
    }

    fn send_signal_series(&self, program: &Program, signals: &[&str]) {
        let mut stopped_ms = None;
        for signal in signals {
            thread::sleep(SIGNAL_STEP);
            program.signal(signal);
            match (*signal, stopped_ms) {
                ("-STOP", _) => stopped_ms = Some(self.record.now_ms()),
                ("-CONT", Some(from_ms)) => self.record.push(EventKind::Stalled {
                    dispatcher: self.name.clone(),
                    from_ms,
                }),
                _ => {}
            }
        }
    }

    /// Sends SIGTERM. Returns the process if it was ready and had not been terminated before.
    fn terminate(&self) -> Option<Program> {
        let mut state = self.state();
        if !state.is_ready || state.terminated.is_some() {
            return None;
        }
        state.terminated = Some(Instant::now());
        state.exiting = Some(state.epoch);
        let program = state.program.take()?;
        program.terminate();
        // `stall` sends SIGCONT only to the slot's process, which this one no longer is.
        if std::mem::take(&mut state.is_stopped) {
            thread::sleep(SIGNAL_STEP);
            program.signal("-CONT");
        }
        Some(program)
    }

    /// Terminates the last process at the end of the run.
    pub fn finish(&self) {
        let Some(mut program) = self.terminate() else {
            return self.record_failure("was not running at the end".to_owned());
        };
        self.await_exit(&mut program, Instant::now());
        let log = self.state().log.clone();
        self.check_log(&log);
    }

    /// Waits until a terminated process exits. Sends SIGKILL when the platform's time limit has passed.
    fn await_exit(&self, program: &mut Program, terminated: Instant) {
        let failure = loop {
            match program.child.try_wait() {
                Ok(Some(status)) if status.success() => break None,
                Ok(Some(status)) => break Some(format!("exited with {status}")),
                Ok(None) if terminated.elapsed() > self.sigkill_after => {
                    let _ = program.child.kill();
                    break Some(format!(
                        "had not exited {:?} after SIGTERM",
                        self.sigkill_after
                    ));
                }
                Ok(None) => thread::sleep(POLL),
                Err(error) => break Some(format!("could not be waited for: {error}")),
            }
        };
        self.state().exiting = None;
        if let Some(how) = failure {
            self.record_failure(how);
        }
    }

    fn check_log(&self, log: &Path) {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        for line in text.lines() {
            if FAILURE_PATTERNS
                .iter()
                .any(|pattern| line.contains(pattern))
            {
                self.record_failure(format!("logged: {line}"));
            }
        }
    }

    /// Kills the process by SIGKILL and starts the next one.
    pub fn crash(&self) {
        {
            let mut state = self.state();
            if !state.is_ready || state.terminated.is_some() {
                return;
            }
            let epoch = state.epoch;
            state.crashed.push(epoch);
            state.is_ready = false;
            // Dropping the program sends SIGKILL.
            state.program = None;
        }
        let log = self.state().log.clone();
        self.check_log(&log);
        let started = self.launch();
        self.wait_until_ready(started);
    }

    /// Suspends the process by SIGSTOP for this time, and then resumes it by SIGCONT.
    pub fn stall(&self, duration: Duration) {
        let send_signal = |signal| {
            let mut state = self.state();
            if let Some(program) = state.program.as_ref().filter(|_| state.is_ready) {
                program.signal(signal);
                state.is_stopped = signal == "-STOP";
            }
        };
        let from_ms = self.record.now_ms();
        send_signal("-STOP");
        thread::sleep(duration);
        send_signal("-CONT");
        self.record.push(EventKind::Stalled {
            dispatcher: self.name.clone(),
            from_ms,
        });
    }

    /// Sends `count` SIGHUPs. Before every third, only half of the configuration is written.
    pub fn reload(&self, count: u32) {
        let text = self.config.0.to_string();
        for nth in 0..count {
            let state = self.state();
            if let Some(program) = state.program.as_ref().filter(|_| state.is_ready) {
                let is_half = nth % 3 == 1;
                let written = if is_half { text.len() / 2 } else { text.len() };
                program.config.write(&text[..written]);
                program.signal("-HUP");
            }
            drop(state);
            thread::sleep(Duration::from_millis(3));
        }
        let state = self.state();
        if let Some(program) = &state.program {
            program.config.write(&text);
        }
    }

    /// Records a failure if the process exited without SIGTERM.
    pub fn check_alive(&self) {
        let mut state = self.state();
        let Some(program) = state.program.as_mut() else {
            return;
        };
        let exited = program.child.try_wait().ok().flatten();
        if let Some(status) = exited {
            let was_ready = std::mem::replace(&mut state.is_ready, false);
            state.program = None;
            let log = state.log.clone();
            drop(state);
            self.record_failure(format!(
                "exited without SIGTERM ({status}, was ready: {was_ready})"
            ));
            self.check_log(&log);
        }
    }
}

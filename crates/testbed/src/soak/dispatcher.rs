//! The slot of a dispatcher in a soak: starts, signals, kills and replaces its process, and knows what clients may expect of
//! it.

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

/// The platform's limit from a start to being ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time from SIGTERM to SIGKILL, beside the longest deadline: the shortest one of the platform.
const SIGKILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Time between the signals of a series.
pub(super) const SIGNAL_STEP: Duration = Duration::from_millis(70);
/// How long after SIGTERM clients still make new connections.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// How long after SIGTERM the next process is started.
const NEXT_START_AFTER_TERM: Duration = Duration::from_millis(500);
/// What a log line contains where an invariant was violated or the program panicked.
const FAILURE_PATTERNS: [&str; 2] = ["invariant violated", "panicked"];
/// Interval at which a process's state is polled.
const POLL: Duration = Duration::from_millis(10);

/// What clients may do at a dispatcher now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientEndpoint {
    /// The number of processes started in this slot; part of the ids of queries.
    pub epoch: u64,
    /// New connections may be made.
    pub takes_connections: bool,
}

#[derive(Debug)]
struct State {
    program: Option<Program>,
    epoch: u64,
    is_ready: bool,
    /// The process is stopped by SIGSTOP.
    is_stopped: bool,
    terminated: Option<Instant>,
    /// The epochs that ended by SIGKILL, which owe no answers.
    crashed: Vec<u64>,
    /// The epoch that was terminated and has not ended.
    ending: Option<u64>,
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
        let listen = config.0["listen"].as_str().and_then(|at| at.parse().ok());
        DispatcherSlot {
            name,
            listen: listen.expect("a configuration has its address"),
            exe: exe.to_owned(),
            config,
            shim,
            logs: logs.to_owned(),
            record,
            sigkill_after: max_deadline + SIGKILL_AFTER_DEADLINE,
            state: Mutex::new(State {
                program: None,
                epoch: 0,
                is_ready: false,
                is_stopped: false,
                terminated: None,
                crashed: Vec::new(),
                ending: None,
                log: PathBuf::new(),
            }),
        }
    }

    /// The fault shim under which the process runs.
    pub fn shim(&self) -> &FaultShim {
        &self.shim
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn fail(&self, how: String) {
        self.record.push(EventKind::DispatcherFailed {
            dispatcher: self.name.clone(),
            how,
        });
    }

    /// Starts a process, and waits until it is ready.
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
        let program = Program::prepared(&self.exe, &self.config, &arguments, log, |command| {
            self.shim.apply(command);
        });
        state.program = Some(program);
        Instant::now()
    }

    fn wait_until_ready(&self, started: Instant) {
        while started.elapsed() < READY_WITHIN {
            if get(self.listen, "/_health").is_some_and(|response| response.status == 200) {
                self.state().is_ready = true;
                return;
            }
            thread::sleep(POLL);
        }
        self.fail(format!("was not ready {READY_WITHIN:?} after its start"));
    }

    /// What clients may do now.
    pub fn client_endpoint(&self) -> ClientEndpoint {
        let state = self.state();
        let since_term = state.terminated.map(|at| at.elapsed());
        let is_accepting = since_term.is_none_or(|since| since < CONNECTS_AFTER_TERM);
        ClientEndpoint {
            epoch: state.epoch,
            takes_connections: state.is_ready && is_accepting,
        }
    }

    /// Whether requests may be sent on open connections to the process of this epoch: until it ends.
    pub fn takes_requests(&self, epoch: u64) -> bool {
        let state = self.state();
        state.ending == Some(epoch) || state.epoch == epoch && state.is_ready
    }

    /// Whether the process of this epoch ended by SIGKILL.
    pub fn has_crashed(&self, epoch: u64) -> bool {
        self.state().crashed.contains(&epoch)
    }

    /// Terminates the process, sends it further signals, starts the next one while clients go on sending on their connections
    /// to the first, and checks how that one ends.
    pub fn restart(&self, further_signals: &[&str]) {
        let Some(mut old) = self.terminate() else {
            return;
        };
        let from = Instant::now();
        self.send_series(&old, further_signals);
        thread::sleep(NEXT_START_AFTER_TERM.saturating_sub(from.elapsed()));
        let old_log = self.state().log.clone();
        // The next one binds the same address as soon as the first has closed its listener.
        let started = self.launch();
        self.await_end(&mut old, from);
        self.check_log(&old_log);
        self.wait_until_ready(started);
    }

    fn send_series(&self, program: &Program, signals: &[&str]) {
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

    /// Sends SIGTERM. Returns the process, if it was ready and not terminated before.
    fn terminate(&self) -> Option<Program> {
        let mut state = self.state();
        if !state.is_ready || state.terminated.is_some() {
            return None;
        }
        state.terminated = Some(Instant::now());
        state.ending = Some(state.epoch);
        let program = state.program.take()?;
        program.terminate();
        // The process has left the slot, where its SIGCONT would look for it.
        if std::mem::take(&mut state.is_stopped) {
            thread::sleep(SIGNAL_STEP);
            program.signal("-CONT");
        }
        Some(program)
    }

    /// Ends the last process, at the end of the run.
    pub fn finish(&self) {
        let Some(mut program) = self.terminate() else {
            return self.fail("was not running at the end".to_owned());
        };
        self.await_end(&mut program, Instant::now());
        let log = self.state().log.clone();
        self.check_log(&log);
    }

    /// Waits for the end of a terminated process, and ends it by SIGKILL at the platform's time.
    fn await_end(&self, program: &mut Program, from: Instant) {
        let failure = loop {
            match program.child.try_wait() {
                Ok(Some(status)) if status.success() => break None,
                Ok(Some(status)) => break Some(format!("ended with {status}")),
                Ok(None) if from.elapsed() > self.sigkill_after => {
                    let _ = program.child.kill();
                    break Some(format!(
                        "had not ended {:?} after SIGTERM",
                        self.sigkill_after
                    ));
                }
                Ok(None) => thread::sleep(POLL),
                Err(error) => break Some(format!("can't be waited for: {error}")),
            }
        };
        self.state().ending = None;
        if let Some(how) = failure {
            self.fail(how);
        }
    }

    fn check_log(&self, log: &Path) {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        for line in text.lines() {
            if FAILURE_PATTERNS
                .iter()
                .any(|pattern| line.contains(pattern))
            {
                self.fail(format!("logged: {line}"));
            }
        }
    }

    /// Ends the process by SIGKILL and starts another one.
    pub fn crash(&self) {
        {
            let mut state = self.state();
            if !state.is_ready || state.terminated.is_some() {
                return;
            }
            let epoch = state.epoch;
            state.crashed.push(epoch);
            state.is_ready = false;
            // Dropping it kills it.
            state.program = None;
        }
        let log = self.state().log.clone();
        self.check_log(&log);
        let started = self.launch();
        self.wait_until_ready(started);
    }

    /// Stops the process for a time.
    pub fn stall(&self, time: Duration) {
        let signal = |which| {
            let mut state = self.state();
            if let Some(program) = state.program.as_ref().filter(|_| state.is_ready) {
                program.signal(which);
                state.is_stopped = which == "-STOP";
            }
        };
        let from_ms = self.record.now_ms();
        signal("-STOP");
        thread::sleep(time);
        signal("-CONT");
        self.record.push(EventKind::Stalled {
            dispatcher: self.name.clone(),
            from_ms,
        });
    }

    /// Sends a number of SIGHUPs; before every third one only half of the configuration is written.
    pub fn reload(&self, count: u32) {
        let text = self.config.0.to_string();
        for nth in 0..count {
            let state = self.state();
            if let Some(program) = state.program.as_ref().filter(|_| state.is_ready) {
                let is_half = nth % 3 == 1;
                let end = if is_half { text.len() / 2 } else { text.len() };
                program.config.write(&text[..end]);
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

    /// Records a failure if the process ended without being terminated.
    pub fn check_alive(&self) {
        let mut state = self.state();
        let Some(program) = state.program.as_mut() else {
            return;
        };
        let ended = program.child.try_wait().ok().flatten();
        if let Some(status) = ended {
            let was_ready = std::mem::replace(&mut state.is_ready, false);
            state.program = None;
            let log = state.log.clone();
            drop(state);
            self.fail(format!(
                "ended by itself ({status}, was ready: {was_ready})"
            ));
            self.check_log(&log);
        }
    }
}

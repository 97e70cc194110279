//! One place for a dispatcher in a soak: its process, started, signalled, killed and replaced, and what clients may still
//! expect of it.

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
/// SIGKILL comes no sooner than this after SIGTERM: the longest deadline (3 s at most) and 0.7 s.
const TERMINATION_GRACE: Duration = Duration::from_millis(3700);
/// How long after SIGTERM clients still make new connections, and send on open ones.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
const REQUESTS_AFTER_TERM: Duration = Duration::from_millis(500);
/// What the log says where an invariant broke, or the program panicked.
const FAILURE_PATTERNS: [&str; 2] = ["invariant violated", "panicked"];
const POLL: Duration = Duration::from_millis(10);

/// What a client may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Front {
    /// Counts the processes at this place; part of the ids of queries.
    pub epoch: u64,
    /// New connections may be made.
    pub takes_connections: bool,
    /// Requests may be sent on open connections.
    pub takes_requests: bool,
}

#[derive(Debug)]
struct State {
    program: Option<Program>,
    epoch: u64,
    is_ready: bool,
    terminated: Option<Instant>,
    /// The epochs that ended by SIGKILL: nothing is owed for them.
    crashed: Vec<u64>,
    log: PathBuf,
}

/// The place.
pub struct DispatcherPlace {
    /// Its name in the record.
    pub name: String,
    /// Where it takes queries, in all its processes.
    pub listen: SocketAddr,
    exe: PathBuf,
    config: Config,
    shim: FaultShim,
    logs: PathBuf,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl DispatcherPlace {
    /// A place without a process yet.
    pub fn new(
        name: String,
        exe: &Path,
        config: Config,
        shim: FaultShim,
        logs: &Path,
        record: Arc<Record>,
    ) -> Self {
        let listen = config.0["listen"].as_str().and_then(|at| at.parse().ok());
        DispatcherPlace {
            name,
            listen: listen.expect("a configuration has its address"),
            exe: exe.to_owned(),
            config,
            shim,
            logs: logs.to_owned(),
            record,
            state: Mutex::new(State {
                program: None,
                epoch: 0,
                is_ready: false,
                terminated: None,
                crashed: Vec::new(),
                log: PathBuf::new(),
            }),
        }
    }

    /// What its process runs under.
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

    /// What a client may do now.
    pub fn front(&self) -> Front {
        let state = self.state();
        let since_term = state.terminated.map(|at| at.elapsed());
        let within =
            |limit: Duration| state.is_ready && since_term.is_none_or(|since| since < limit);
        Front {
            epoch: state.epoch,
            takes_connections: within(CONNECTS_AFTER_TERM),
            takes_requests: within(REQUESTS_AFTER_TERM),
        }
    }

    /// Whether the process of this epoch ended by SIGKILL.
    pub fn has_crashed(&self, epoch: u64) -> bool {
        self.state().crashed.contains(&epoch)
    }

    /// Tells the process to end, starts the next one when its clients have gone elsewhere, and checks the first one's end.
    pub fn restart(&self) {
        let Some(mut old) = self.terminate() else {
            return;
        };
        let from = Instant::now();
        thread::sleep(REQUESTS_AFTER_TERM);
        let old_log = self.state().log.clone();
        // The next one binds the same address as soon as the first has closed its listener.
        let started = self.launch();
        self.await_end(&mut old, from);
        self.check_log(&old_log);
        self.wait_until_ready(started);
    }

    /// Sends SIGTERM; the process, if it was ready and not told before.
    fn terminate(&self) -> Option<Program> {
        let mut state = self.state();
        if !state.is_ready || state.terminated.is_some() {
            return None;
        }
        state.terminated = Some(Instant::now());
        let program = state.program.take()?;
        program.terminate();
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

    fn await_end(&self, program: &mut Program, from: Instant) {
        loop {
            match program.child.try_wait() {
                Ok(Some(status)) if status.success() => return,
                Ok(Some(status)) => return self.fail(format!("ended with {status}")),
                Ok(None) if from.elapsed() > TERMINATION_GRACE => {
                    return self.fail(format!("had not ended {TERMINATION_GRACE:?} after SIGTERM"));
                }
                Ok(None) => thread::sleep(POLL),
                Err(error) => return self.fail(format!("can't be waited for: {error}")),
            }
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

    /// Ends the process by SIGKILL and starts another.
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
            let state = self.state();
            if let Some(program) = state.program.as_ref().filter(|_| state.is_ready) {
                program.signal(which);
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

    /// Sends SIGHUPs in a row; every third time the file is half written.
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

    /// Notices a process that ended by itself.
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

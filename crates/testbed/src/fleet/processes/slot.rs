//! The place of one dispatcher: the process that runs there, if one does.

use super::OLD_VERSION;
use crate::program::Program;
use std::time::{Duration, Instant};

/// One dispatcher's slot.
pub(super) struct DispatcherSlot {
    program: Option<Program>,
    version: &'static str,
    is_stalled: bool,
    /// After a crash: when the process is started again.
    restart_at: Option<Instant>,
    /// The restart lease under which the process was started last.
    lease: Option<String>,
}

impl DispatcherSlot {
    /// A slot in which no program has been started yet.
    pub fn new() -> Self {
        DispatcherSlot {
            program: None,
            version: OLD_VERSION,
            is_stalled: false,
            restart_at: None,
            lease: None,
        }
    }

    /// The version that belongs in this slot.
    pub fn version(&self) -> &'static str {
        self.version
    }

    /// Whether the process is stopped by a signal.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// The process, where one was started and is not stalled.
    pub fn responsive_program(&self) -> Option<&Program> {
        self.program.as_ref().filter(|_| !self.is_stalled)
    }

    /// The restart lease under which the process was started last.
    pub fn lease(&self) -> Option<&str> {
        self.lease.as_deref()
    }

    /// Whether no process was started here since the last one was taken away.
    pub fn is_empty(&self) -> bool {
        self.program.is_none()
    }

    /// Whether a process runs here and has not ended.
    fn is_alive(&mut self) -> bool {
        self.program.as_mut().is_some_and(|program| {
            program
                .child
                .try_wait()
                .is_ok_and(|status| status.is_none())
        })
    }

    /// Whether no process runs here any more.
    pub fn has_ended(&mut self) -> bool {
        self.program.as_mut().is_none_or(|program| {
            program
                .child
                .try_wait()
                .is_ok_and(|status| status.is_some())
        })
    }

    /// The exit status of a process that ended with an error.
    pub fn failure(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.program.as_mut()?.child.try_wait().ok().flatten()?;
        status
            .code()
            .is_some_and(|code| code != 0)
            .then_some(status)
    }

    /// Whether a crashed process is to be started again by now.
    pub fn is_restart_due(&self) -> bool {
        self.restart_at
            .is_some_and(|restart_at| Instant::now() >= restart_at)
    }

    /// Puts a started process into the slot.
    pub fn occupy(&mut self, program: Program, lease: Option<&str>) {
        self.program = Some(program);
        self.is_stalled = false;
        self.restart_at = None;
        self.lease = lease.map(str::to_owned);
    }

    /// Kills the process; it is started again after `delay`. An empty slot is left as it is.
    pub fn crash(&mut self, delay: Duration) {
        if self.program.take().is_some() {
            self.lease = None;
            self.restart_at = Some(Instant::now() + delay);
        }
    }

    /// Takes away a process that ended; it is started again after `delay`.
    pub fn restart_after(&mut self, delay: Duration) {
        self.program = None;
        self.restart_at = Some(Instant::now() + delay);
    }

    /// Sends SIGTERM to the process. Returns whether there is one.
    pub fn terminate(&self) -> bool {
        self.program.as_ref().map(Program::terminate).is_some()
    }

    /// Empties the slot; a process that still runs ends by SIGKILL.
    pub fn clear(&mut self) {
        self.program = None;
    }

    /// Empties the slot, in which another version belongs from now on.
    pub fn set_version(&mut self, version: &'static str) {
        self.program = None;
        self.restart_at = None;
        self.version = version;
    }

    /// Stops the process by a signal. Returns whether there was one to stop.
    pub fn stall(&mut self) -> bool {
        if !self.is_alive() {
            return false;
        }
        if let Some(program) = &self.program {
            program.signal("-STOP");
        }
        self.is_stalled = true;
        true
    }

    /// Lets a stalled process continue.
    pub fn resume(&mut self) {
        let was_stalled = std::mem::replace(&mut self.is_stalled, false);
        if was_stalled && self.is_alive() {
            if let Some(program) = &self.program {
                program.signal("-CONT");
            }
        }
    }
}

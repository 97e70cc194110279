//! The slot of one dispatcher: its process, if it has one, and the state that remains across restarts.

use super::OLD_VERSION;
use crate::program::Program;
use std::time::{Duration, Instant};

/// One dispatcher's slot.
pub(super) struct DispatcherSlot {
    program: Option<Program>,
    version: &'static str,
    is_stalled: bool,
    /// Time at which a crashed or failed process is started again.
    restart_at: Option<Instant>,
    /// The restart lease under which the process was last started.
    lease: Option<String>,
}

impl DispatcherSlot {
    /// An empty slot with the old version.
    pub fn new() -> Self {
        DispatcherSlot {
            program: None,
            version: OLD_VERSION,
            is_stalled: false,
            restart_at: None,
            lease: None,
        }
    }

    /// The version that the slot's process runs, or runs once it is started.
    pub fn version(&self) -> &'static str {
        self.version
    }

    /// Whether the process is stopped by SIGSTOP.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// The process, if the slot has one and it is not stalled.
    pub fn responsive_program(&self) -> Option<&Program> {
        self.program.as_ref().filter(|_| !self.is_stalled)
    }

    /// The restart lease under which the process was last started.
    pub fn lease(&self) -> Option<&str> {
        self.lease.as_deref()
    }

    /// Whether the slot has no process, neither a running nor an exited one.
    pub fn is_empty(&self) -> bool {
        self.program.is_none()
    }

    /// Whether the slot's process is running.
    fn is_alive(&mut self) -> bool {
        self.program.as_mut().is_some_and(|program| {
            program
                .child
                .try_wait()
                .is_ok_and(|status| status.is_none())
        })
    }

    /// Whether the slot is empty or its process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.program.as_mut().is_none_or(|program| {
            program
                .child
                .try_wait()
                .is_ok_and(|status| status.is_some())
        })
    }

    /// The exit status of the process, if it exited with a non-zero code.
    pub fn failure(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.program.as_mut()?.child.try_wait().ok().flatten()?;
        status
            .code()
            .is_some_and(|code| code != 0)
            .then_some(status)
    }

    /// Whether the restart of a crashed or failed process is due.
    pub fn is_restart_due(&self) -> bool {
        self.restart_at
            .is_some_and(|restart_at| Instant::now() >= restart_at)
    }

    /// Stores a started process in the slot.
    pub fn occupy(&mut self, program: Program, lease: Option<&str>) {
        self.program = Some(program);
        self.is_stalled = false;
        self.restart_at = None;
        self.lease = lease.map(str::to_owned);
    }

    /// Kills the process and schedules its restart after `delay`. An empty slot does not change.
    pub fn crash(&mut self, delay: Duration) {
        if self.program.take().is_some() {
            self.lease = None;
            self.restart_at = Some(Instant::now() + delay);
        }
    }

    /// Removes an exited process and schedules its restart after `delay`.
    pub fn restart_after(&mut self, delay: Duration) {
        self.program = None;
        self.restart_at = Some(Instant::now() + delay);
    }

    /// Sends SIGTERM to the process. Returns whether the slot has a process.
    pub fn terminate(&self) -> bool {
        self.program.as_ref().map(Program::terminate).is_some()
    }

    /// Empties the slot. A process that still runs is ended by SIGKILL.
    pub fn clear(&mut self) {
        self.program = None;
    }

    /// Empties the slot and sets the version of its next process.
    pub fn set_version(&mut self, version: &'static str) {
        self.program = None;
        self.restart_at = None;
        self.version = version;
    }

    /// Stops the process by SIGSTOP. Returns whether a process was running.
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

    /// Continues a stalled process by SIGCONT.
    pub fn resume(&mut self) {
        let was_stalled = std::mem::replace(&mut self.is_stalled, false);
        if was_stalled && self.is_alive() {
            if let Some(program) = &self.program {
                program.signal("-CONT");
            }
        }
    }
}

//! Members' processes: start, health, stalls, kills, and the program's `fleet` command.

use super::{FleetRun, OLD_VERSION, POLL_INTERVAL};
use crate::program::{get, Program, TempFile};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// What the program's log says where another program listens at its address.
const ADDRESS_TAKEN: &str = "Address already in use";
/// A process that ended by itself is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Whether a member's log says that its address was taken.
pub(super) fn reports_taken_address(log: &TempFile) -> bool {
    std::fs::read_to_string(&log.0).is_ok_and(|text| text.contains(ADDRESS_TAKEN))
}

/// One dispatcher's place: the process that runs there, if one does.
pub(super) struct Place {
    pub program: Option<Program>,
    pub version: &'static str,
    pub stalled: bool,
    /// After a crash: when it is started again.
    pub restart_at: Option<Instant>,
    /// The restart lease under which it was started last.
    pub lease: Option<String>,
}

impl Place {
    /// A place in which no program has been started yet.
    pub fn new() -> Self {
        Place {
            program: None,
            version: OLD_VERSION,
            stalled: false,
            restart_at: None,
            lease: None,
        }
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
}

/// What the program's `fleet` command said.
pub(super) struct CommandAnswer {
    /// The exit code; none where it could not run or was killed.
    pub code: Option<i32>,
    /// Standard output, then standard error.
    pub text: String,
}

/// Opens a log for appending; nothing is logged where that fails.
fn append_to(path: &Path, create: bool) -> Stdio {
    std::fs::OpenOptions::new()
        .create(create)
        .append(true)
        .open(path)
        .map_or_else(|_| Stdio::null(), Stdio::from)
}

impl FleetRun {
    /// Starts the process that belongs at a place, under a restart lease if there is one.
    pub(super) fn start_member(&self, n: usize, place: &mut Place, lease: Option<&str>) {
        let log = match &self.options.logs {
            Some(folder) => append_to(&folder.join(format!("n{n}.log")), true),
            None => append_to(&self.log_files[n].0, false),
        };
        let operator_path = self.operator_files[n].0.display().to_string();
        let arguments = ["--operator", operator_path.as_str()];
        let program = Program::prepared(&self.exe, &self.configs[n], &arguments, log, |command| {
            command.env_remove("TANSYMUX_TURN");
            if let Some(lease) = lease {
                command.env("TANSYMUX_TURN", lease);
            }
        });
        place.program = Some(program);
        place.stalled = false;
        place.restart_at = None;
        place.lease = lease.map(str::to_owned);
    }

    pub(super) fn is_healthy(&self, n: usize) -> bool {
        let stalled = self.place(n).stalled;
        !stalled
            && get(self.listen_addresses[n], "/_health")
                .is_some_and(|response| response.status == 200)
    }

    /// The first voter whose counters say that it leads.
    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.scenario.voters).find(|n| {
            let place = self.place(*n);
            let program = place.program.as_ref().filter(|_| !place.stalled);
            program.and_then(|program| program.counter("fleet_leads")) == Some(1)
        })
    }

    /// `tansymux fleet ...` at a member, waited for.
    pub(super) fn fleet_command(&self, n: usize, words: &[&str]) -> CommandAnswer {
        let output = self
            .spawn_fleet_command(n, words)
            .and_then(|child| child.wait_with_output().ok());
        output.map_or(
            CommandAnswer {
                code: None,
                text: String::new(),
            },
            |output| CommandAnswer {
                code: output.status.code(),
                text: String::from_utf8_lossy(&[output.stdout, output.stderr].concat())
                    .into_owned(),
            },
        )
    }

    fn spawn_fleet_command(&self, n: usize, words: &[&str]) -> Option<Child> {
        Command::new(&self.exe)
            .arg("fleet")
            .args(words)
            .arg("--operator")
            .arg(&self.operator_files[n].0)
            .env_remove("TANSYMUX_OPERATOR")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .ok()
    }

    /// Starts again what crashed, once its time has come.
    pub(super) fn restart_crashed_members(&self) {
        while !self.is_over() {
            thread::sleep(POLL_INTERVAL);
            for n in 0..self.places.len() {
                let mut place = self.place(n);
                let due = |restart_at| Instant::now() >= restart_at;
                if place.restart_at.is_some_and(due) {
                    let lease = place.lease.clone();
                    self.start_member(n, &mut place, lease.as_deref());
                }
                self.check_exit(n, &mut place);
            }
        }
    }

    /// A process that ended by itself with an error is a violation, unless its address was taken while it was down.
    fn check_exit(&self, n: usize, place: &mut Place) {
        let status = place
            .program
            .as_mut()
            .and_then(|program| program.child.try_wait().ok().flatten());
        let failed = status.is_some_and(|status| status.code().is_some_and(|code| code != 0));
        if !failed {
            return;
        }
        let log = std::fs::read_to_string(&self.log_files[n].0).unwrap_or_default();
        if !log.contains(ADDRESS_TAKEN) {
            self.record_violation(format!("n{n} ended by itself: {status:?} {log}"));
        }
        self.log_files[n].write("");
        place.program = None;
        place.restart_at = Some(Instant::now() + RESTART_DELAY);
    }

    /// Kills a member's process. One that its supervisor has taken down is not touched.
    pub(super) fn crash_member(&self, n: usize, down_ms: f64) {
        let mut place = self.place(n);
        if place.program.take().is_some() {
            place.lease = None;
            place.restart_at = Some(Instant::now() + Duration::from_secs_f64(down_ms / 1000.0));
        }
    }

    /// Stops a member's process by a signal; whether one was there to stop.
    pub(super) fn stall_member(&self, n: usize) -> bool {
        let mut place = self.place(n);
        if !place.is_alive() {
            return false;
        }
        if let Some(program) = &place.program {
            program.signal("-STOP");
        }
        place.stalled = true;
        true
    }

    /// Lets a stalled process go on.
    pub(super) fn continue_member(&self, n: usize) {
        let mut place = self.place(n);
        let was_stalled = std::mem::replace(&mut place.stalled, false);
        if was_stalled && place.is_alive() {
            if let Some(program) = &place.program {
                program.signal("-CONT");
            }
        }
    }
}

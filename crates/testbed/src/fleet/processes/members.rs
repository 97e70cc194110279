//! The members' processes: their configurations and operators' files, their start, and the program's `fleet` command.

use super::slot::DispatcherSlot;
use super::{operator_file, ProcessOptions};
use crate::program::{get, Config, Program, TempFile};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Text in the program's log when another program already listens at its address.
const ADDRESS_TAKEN: &str = "Address already in use";
/// Delay before a failed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Environment variable that passes a process its restart lease.
const LEASE_VARIABLE: &str = "TANSYMUX_TURN";

/// The result of running the program's `fleet` command.
pub(super) struct CommandAnswer {
    /// The exit code; `None` if the command could not run or was killed.
    pub code: Option<i32>,
    /// Standard output, then standard error.
    pub text: String,
}

/// The members' processes, each in its slot.
pub(super) struct MemberProcesses {
    exe: PathBuf,
    /// The folder for logs that are kept after the run.
    logs: Option<PathBuf>,
    slots: Vec<Mutex<DispatcherSlot>>,
    listen_addresses: Vec<SocketAddr>,
    configs: Vec<Config>,
    operator_files: Vec<TempFile>,
    log_files: Vec<TempFile>,
}

impl MemberProcesses {
    /// Creates a slot for each member, with its configuration and the text of its operators' file. Starts no
    /// process.
    pub fn new(
        exe: &Path,
        options: &ProcessOptions,
        listen_addresses: Vec<SocketAddr>,
        configs: Vec<Config>,
        operator_texts: &[String],
    ) -> Self {
        MemberProcesses {
            exe: exe.to_owned(),
            logs: options.logs.clone(),
            slots: configs
                .iter()
                .map(|_| Mutex::new(DispatcherSlot::new()))
                .collect(),
            listen_addresses,
            operator_files: operator_texts
                .iter()
                .map(|text| TempFile::new(operator_file::NAME_SUFFIX, text))
                .collect(),
            log_files: configs.iter().map(|_| TempFile::new("log", "")).collect(),
            configs,
        }
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The slot of a member.
    pub fn slot(&self, member: usize) -> MutexGuard<'_, DispatcherSlot> {
        self.slots[member].lock().expect("the lock is not poisoned")
    }

    /// The address at which a member accepts queries.
    pub fn listen_address(&self, member: usize) -> SocketAddr {
        self.listen_addresses[member]
    }

    /// Starts a member's process in its slot, under a restart lease if `lease` gives one.
    pub fn start(&self, member: usize, slot: &mut DispatcherSlot, lease: Option<&str>) {
        let log = match &self.logs {
            Some(folder) => append_to(&folder.join(format!("n{member}.log")), true),
            None => append_to(&self.log_files[member].0, false),
        };
        let operator_path = self.operator_files[member].0.display().to_string();
        let arguments = ["--operator", operator_path.as_str()];
        let config = &self.configs[member];
        let program = Program::launch_with(&self.exe, config, &arguments, log, |command| {
            command.env_remove(LEASE_VARIABLE);
            if let Some(lease) = lease {
                command.env(LEASE_VARIABLE, lease);
            }
        });
        slot.occupy(program, lease);
    }

    /// Starts all members without a restart lease.
    pub fn start_all(&self) {
        for member in 0..self.len() {
            self.start(member, &mut self.slot(member), None);
        }
    }

    /// Starts a crashed member again if its restart is due.
    pub fn restart_if_due(&self, member: usize, slot: &mut DispatcherSlot) {
        if slot.is_restart_due() {
            let lease = slot.lease().map(str::to_owned);
            self.start(member, slot, lease.as_deref());
        }
    }

    /// Removes a process that exited with an error and schedules its restart. Returns the error, unless another
    /// program took the process's address while it was down.
    pub fn check_exit(&self, member: usize, slot: &mut DispatcherSlot) -> Option<String> {
        let status = slot.failure()?;
        let log = std::fs::read_to_string(&self.log_files[member].0).unwrap_or_default();
        let is_violation = !log.contains(ADDRESS_TAKEN);
        self.log_files[member].write("");
        slot.restart_after(RESTART_DELAY);
        is_violation.then(|| format!("n{member} exited unexpectedly: {:?} {log}", Some(status)))
    }

    /// Whether any member's log reports that another program took the member's address.
    pub fn is_any_address_taken(&self) -> bool {
        self.log_files.iter().any(|log| {
            std::fs::read_to_string(&log.0).is_ok_and(|text| text.contains(ADDRESS_TAKEN))
        })
    }

    /// Whether a member's process is not stalled and reports that it is healthy.
    pub fn is_healthy(&self, member: usize) -> bool {
        let is_stalled = self.slot(member).is_stalled();
        !is_stalled
            && get(self.listen_addresses[member], "/_health")
                .is_some_and(|response| response.status == 200)
    }

    /// The first voter whose counters report that it leads. The voters are the first `voters` members.
    pub fn leader(&self, voters: usize) -> Option<usize> {
        (0..voters).find(|member| {
            let slot = self.slot(*member);
            let program = slot.responsive_program();
            program.and_then(|program| program.counter("fleet_leads")) == Some(1)
        })
    }

    /// The id of a member's process; `None` if it is down or stalled.
    pub fn running_process_id(&self, member: usize) -> Option<u32> {
        let slot = self.slot(member);
        slot.responsive_program().map(|program| program.child.id())
    }

    /// Number of members whose slot has this version.
    pub fn count_on(&self, version: &str) -> usize {
        (0..self.len())
            .filter(|member| self.slot(*member).version() == version)
            .count()
    }

    /// Replaces the text of a member's operators' file.
    pub fn write_operator_file(&self, member: usize, text: &str) {
        self.operator_files[member].write(text);
    }

    /// Runs `tansymux fleet ...` with a member's operators' file and waits until the command exits.
    pub fn fleet_command(&self, member: usize, arguments: &[&str]) -> CommandAnswer {
        let output = self
            .spawn_fleet_command(member, arguments)
            .and_then(|child| child.wait_with_output().ok());
        match output {
            None => CommandAnswer {
                code: None,
                text: String::new(),
            },
            Some(output) => CommandAnswer {
                code: output.status.code(),
                text: String::from_utf8_lossy(&[output.stdout, output.stderr].concat())
                    .into_owned(),
            },
        }
    }

    fn spawn_fleet_command(&self, member: usize, arguments: &[&str]) -> Option<Child> {
        Command::new(&self.exe)
            .arg("fleet")
            .args(arguments)
            .arg("--operator")
            .arg(&self.operator_files[member].0)
            .env_remove("TANSYMUX_OPERATOR")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .ok()
    }
}

/// Opens a log for appending. If that fails, the output is discarded.
fn append_to(path: &Path, create: bool) -> Stdio {
    std::fs::OpenOptions::new()
        .create(create)
        .append(true)
        .open(path)
        .map_or_else(|_| Stdio::null(), Stdio::from)
}

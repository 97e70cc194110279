//! `tansymux fleet`: sends a command from a shell or a supervisor's script to a member of the fleet, and prints the
//! answer.
//!
//! Start reading at [`run`]. [`connection`] has the socket to a member, [`display`] formats answers and the fleet's
//! status.

mod connection;
mod display;

use crate::cli::{Fleet, FleetCommand};
use connection::MemberConnection;
use display::{answer_text, status_text, zone_line};
use rand::RngExt;
use std::io;
use std::process::ExitCode;
use tansymux_membership::member_id_of;
use tansymux_operator_config::{name_hash, Operator};
use tansymux_rollout::message::{Answer, Command, Status};
use tansymux_rollout::{LeaseOutcome, LeaseRequest, RestartLease};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Exit code: the restart lease is refused for a reason that waiting does not remove ([`LeaseOutcome::Refused`]), or
/// another command is refused because the fleet is halted. Any other refusal of a command exits with 1.
const EXIT_REFUSED: u8 = 3;
/// Exit code: the answer or the restart lease timed out, or the fleet has no leader.
const EXIT_TIMED_OUT: u8 = 4;

/// An error of preparing or sending a command.
#[derive(Debug, thiserror::Error)]
pub enum FleetClientError {
    /// No operators' file was given, or the file has no `fleet`.
    #[error("the operators' file defines no fleet: --operator FILE must name a file that does")]
    NoFleet,
    /// A required key of `fleet` is missing or malformed.
    #[error("fleet: a required key is missing or malformed")]
    Incomplete,
    /// `fleet.listen`, the member's address if `--member` is absent, is not an address with a port.
    #[error("fleet.listen is {value:?}, allowed is an address with a port")]
    InvalidListen {
        /// The value in the file.
        value: String,
    },
    /// `resume` while the fleet is not halted.
    #[error("the fleet is not halted")]
    NotHalted,
    /// `back` while there is no release.
    #[error("there is no release")]
    NoRelease,
    /// An error of the socket.
    #[error(transparent)]
    Socket(#[from] io::Error),
}

/// Runs one subcommand and prints its result.
///
/// # Errors
/// The operators' file defines no valid fleet, the command needs a halt or release and there is none, or the socket
/// failed. A refusal by the fleet is not an error: it is printed, and the exit code shows it.
pub fn run(arguments: &Fleet, operator: &Operator) -> Result<ExitCode, FleetClientError> {
    let fleet = operator.fleet.as_ref().ok_or(FleetClientError::NoFleet)?;
    let member = MemberConnection::open(arguments.member, fleet)?;
    match &arguments.command {
        FleetCommand::Status => member.print_status(),
        FleetCommand::Turn {
            to,
            dispatcher,
            wait_s,
        } => member.wait_for_lease(to.as_deref(), dispatcher.as_deref(), *wait_s),
        FleetCommand::Drain { engine } => member.drain(engine),
        FleetCommand::Undrain { engine } => member.execute(Command::Undrain {
            engine: u64::from(name_hash(engine)),
        }),
        FleetCommand::Release { to, from } => member.release(to, from.as_deref()),
        FleetCommand::Halt => member.execute(Command::Halt {
            number: random_number(),
        }),
        FleetCommand::Resume => member.resume(),
        FleetCommand::Back => member.roll_back(),
        FleetCommand::Leave { zone, dry_run } => member.execute(Command::EvacuateZone {
            zone: name_hash(zone),
            dry_run: *dry_run,
        }),
        FleetCommand::Return { zone } => member.execute(Command::ReturnToZone {
            zone: name_hash(zone),
        }),
        FleetCommand::Zones => member.print_zones(),
        FleetCommand::Forget { dispatcher } => member.execute(Command::Forget {
            id: member_id_of(dispatcher),
        }),
    }
}

/// A random number for a new release or halt; never 0, which stands for no release or halt.
fn random_number() -> u32 {
    rand::rng().random::<u32>() | 1
}

impl MemberConnection {
    /// Sends a command that is answered by success or a refusal, and prints the answer.
    fn execute(&self, command: Command) -> Result<ExitCode, FleetClientError> {
        let answer = self.request(command)?;
        Ok(print_answer(&answer))
    }

    /// Requests the status, and sends the command that `command` builds from it: a command on the current halt or
    /// release needs its number.
    fn execute_with_status(
        &self,
        command: impl Fn(&Status) -> Result<Command, FleetClientError>,
    ) -> Result<ExitCode, FleetClientError> {
        match self.request(Command::Status)? {
            Answer::Status(status) => self.execute(command(&status)?),
            answer => Ok(print_answer(&answer)),
        }
    }

    fn print_status(&self) -> Result<ExitCode, FleetClientError> {
        let answer = self.request(Command::Status)?;
        let Answer::Status(status) = answer else {
            return Ok(print_answer(&answer));
        };
        println!("{}", status_text(&status));
        Ok(ExitCode::SUCCESS)
    }

    fn print_zones(&self) -> Result<ExitCode, FleetClientError> {
        let answer = self.request(Command::ListZones)?;
        let Answer::Zones(zones) = answer else {
            return Ok(print_answer(&answer));
        };
        let mut count = 0;
        for entry in zones.iter().flatten() {
            println!("{}", zone_line(entry));
            count += 1;
        }
        println!("{count} zones are not whole");
        Ok(ExitCode::SUCCESS)
    }

    fn drain(&self, engine: &str) -> Result<ExitCode, FleetClientError> {
        self.execute(Command::Drain {
            engine: u64::from(name_hash(engine)),
            grant_id: rand::rng().random(),
        })
    }

    fn release(&self, to: &str, from: Option<&str>) -> Result<ExitCode, FleetClientError> {
        self.execute(Command::Release {
            number: random_number(),
            to: name_hash(to),
            from: from.map_or(0, name_hash),
        })
    }

    fn resume(&self) -> Result<ExitCode, FleetClientError> {
        self.execute_with_status(|status| {
            let (_, number) = status.halt.ok_or(FleetClientError::NotHalted)?;
            Ok(Command::Resume { number })
        })
    }

    fn roll_back(&self) -> Result<ExitCode, FleetClientError> {
        self.execute_with_status(|status| {
            let release = status.release.ok_or(FleetClientError::NoRelease)?;
            Ok(Command::RollBack {
                number: release.number,
            })
        })
    }

    /// Waits for a restart lease, and prints its number and the seconds for which it is valid.
    fn wait_for_lease(
        &self,
        to: Option<&str>,
        dispatcher: Option<&str>,
        wait_s: f64,
    ) -> Result<ExitCode, FleetClientError> {
        let request = LeaseRequest {
            keys: self.config.keys.clone(),
            dispatcher: dispatcher.map_or(0, member_id_of),
            to: to.map_or(0, name_hash),
            max_clock_skew: self.config.quorum.max_clock_skew,
            max_wait_ms: wait_s * MS_PER_S,
        };
        let mut lease = RestartLease::new(request, self.now_ms(), rand::rng().random());
        loop {
            let outgoing = lease.poll(self.now_ms());
            match lease.outcome() {
                Some(LeaseOutcome::Granted { until_ms }) => {
                    let remaining_s = ((until_ms - self.now_ms()) / MS_PER_S).max(0.0);
                    println!("{:016x} {remaining_s:.1}", lease.grant_id());
                    return Ok(ExitCode::SUCCESS);
                }
                Some(LeaseOutcome::Refused(answer)) => {
                    eprintln!("tansymux: {}", answer_text(&answer));
                    return Ok(ExitCode::from(EXIT_REFUSED));
                }
                Some(LeaseOutcome::TimedOut(answer)) => {
                    eprintln!("tansymux: no turn in time: {}", answer_text(&answer));
                    return Ok(ExitCode::from(EXIT_TIMED_OUT));
                }
                None => {}
            }
            self.exchange(outgoing, |datagram| lease.handle(datagram, self.now_ms()))?;
        }
    }
}

/// Prints an answer and returns its exit code.
fn print_answer(answer: &Answer) -> ExitCode {
    if matches!(answer, Answer::Done | Answer::Granted { .. }) {
        println!("done");
        return ExitCode::SUCCESS;
    }
    eprintln!("tansymux: {}", answer_text(answer));
    match answer {
        Answer::Halted { .. } => ExitCode::from(EXIT_REFUSED),
        Answer::NoLeader | Answer::Pending => ExitCode::from(EXIT_TIMED_OUT),
        _ => ExitCode::FAILURE,
    }
}

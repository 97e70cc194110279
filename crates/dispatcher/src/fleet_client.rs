//! `tansymux fleet`: calls a member of the fleet, from a shell or a supervisor's script.

use crate::cli::{Fleet, FleetCommand};
use rand::RngExt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tansymux_coordination::Stage as Released;
use tansymux_membership::member_id_of;
use tansymux_operator_config::{number_of, schema, Operator};
use tansymux_rollout::message::{Answer, Command, Status};
use tansymux_rollout::{FleetClient, Settings, Turn, TurnEnd};
use tansymux_zone_evacuation::Stage;

/// Granted or done; halted; given up in time, or nobody leads.
const HALTED: u8 = 3;
const GIVEN_UP: u8 = 4;

struct Line {
    socket: UdpSocket,
    to: SocketAddr,
    settings: Settings,
    from: Instant,
}

pub fn run(how: &Fleet, operator: &Operator) -> Result<ExitCode, String> {
    let told = operator
        .fleet
        .as_ref()
        .ok_or("the operators' file tells of no fleet: --operator FILE")?;
    let line = Line::open(how, told).map_err(|e| e.to_string())?;
    match &how.command {
        FleetCommand::Status => {
            let answer = line.asks(Command::Status).map_err(|e| e.to_string())?;
            if let Answer::Status(status) = answer {
                println!("{}", shown(&status));
                return Ok(ExitCode::SUCCESS);
            }
            Ok(ended(answer))
        }
        FleetCommand::Turn {
            to,
            dispatcher,
            wait_s,
        } => line.turn(to.as_deref(), dispatcher.as_deref(), *wait_s),
        FleetCommand::Drain { engine } => {
            let engine = u64::from(number_of(engine));
            line.says(Command::Drain {
                engine,
                grant: rand::rng().random(),
            })
        }
        FleetCommand::Undrain { engine } => line.says(Command::Undrain {
            engine: u64::from(number_of(engine)),
        }),
        FleetCommand::Release { to, from } => {
            let number = rand::rng().random::<u32>() | 1;
            let from = from.as_deref().map_or(0, number_of);
            line.says(Command::Release {
                number,
                to: number_of(to),
                from,
            })
        }
        FleetCommand::Halt => line.says(Command::Halt {
            number: rand::rng().random::<u32>() | 1,
        }),
        FleetCommand::Resume => line.of_status(|status| {
            let (_, number) = status.halt.ok_or("nothing is halted")?;
            Ok(Command::Resume { number })
        }),
        FleetCommand::Back => line.of_status(|status| {
            let (number, ..) = status.release.ok_or("there is no release")?;
            Ok(Command::Back { number })
        }),
        FleetCommand::Leave { zone, dry_run } => line.says(Command::Leave {
            zone: number_of(zone),
            dry: *dry_run,
        }),
        FleetCommand::Return { zone } => line.says(Command::ReturnTo {
            zone: number_of(zone),
        }),
        FleetCommand::Zones => {
            let answer = line.asks(Command::Zones).map_err(|e| e.to_string())?;
            let Answer::Zones(list) = answer else {
                return Ok(ended(answer));
            };
            for entry in list.iter().flatten() {
                let (zone, status, out) = (entry.zone, &entry.status, entry.quota);
                let what = if status.stage == Stage::Evacuated {
                    "left"
                } else {
                    "returns"
                };
                println!(
                    "{zone:08x} {what} step {} number {} why {} shares {out:.3}",
                    status.step, status.decision_number, status.reason
                );
            }
            println!("{} zones are not whole", list.iter().flatten().count());
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Forget { dispatcher } => line.says(Command::Forget {
            id: member_id_of(dispatcher),
        }),
    }
}

impl Line {
    fn open(how: &Fleet, told: &schema::Fleet) -> io::Result<Self> {
        let other = |e: &str| io::Error::other(e.to_owned());
        let settings = tansymux_operator_config::fleet(told, 0)
            .ok_or_else(|| other("fleet: a needed key is missing"))?;
        let own = || {
            told.listen()
                .parse()
                .map_err(|_| other("fleet.listen is no address"))
        };
        let to: SocketAddr = how.member.map_or_else(own, Ok)?;
        let any = if to.ip().is_loopback() {
            [127, 0, 0, 1]
        } else {
            [0, 0, 0, 0]
        };
        let socket = UdpSocket::bind(SocketAddr::from((any, 0)))?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        Ok(Line {
            socket,
            to,
            settings,
            from: Instant::now(),
        })
    }

    fn now(&self) -> f64 {
        self.from.elapsed().as_secs_f64() * 1000.0
    }

    /// Sends, and hands on what comes within 20 ms. A member that is not there is one that does not answer.
    fn turns(&self, out: Vec<Vec<u8>>, mut heard: impl FnMut(&[u8])) -> io::Result<()> {
        for bytes in out {
            let _ = self.socket.send_to(&bytes, self.to);
        }
        let mut bytes = [0; 512];
        match self.socket.recv_from(&mut bytes) {
            Ok((count, _)) => heard(&bytes[..count]),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                std::thread::sleep(Duration::from_millis(20));
            }
            Err(e) => return Err(e),
        }
        Ok(())
    }

    fn asks(&self, command: Command) -> io::Result<Answer> {
        let mut caller = FleetClient::new(
            self.settings.keys.clone(),
            command,
            self.now(),
            rand::rng().random(),
        );
        loop {
            let (out, _) = caller.poll(self.now());
            if let Some(answer) = caller.answer() {
                return Ok(answer);
            }
            self.turns(out, |bytes| caller.handle(bytes))?;
        }
    }

    fn says(&self, command: Command) -> Result<ExitCode, String> {
        Ok(ended(self.asks(command).map_err(|e| e.to_string())?))
    }

    /// A command that names what stands: a halt or a release by its number.
    fn of_status(
        &self,
        command: impl Fn(&Status) -> Result<Command, &'static str>,
    ) -> Result<ExitCode, String> {
        match self.asks(Command::Status).map_err(|e| e.to_string())? {
            Answer::Status(status) => self.says(command(&status)?),
            answer => Ok(ended(answer)),
        }
    }

    fn turn(
        &self,
        to: Option<&str>,
        dispatcher: Option<&str>,
        wait_s: f64,
    ) -> Result<ExitCode, String> {
        let (id, version) = (dispatcher.map_or(0, member_id_of), to.map_or(0, number_of));
        let (keys, skew) = (self.settings.keys.clone(), self.settings.terms.skew);
        let patience = wait_s * 1000.0;
        let mut turn = Turn::new(
            keys,
            id,
            version,
            skew,
            self.now(),
            patience,
            rand::rng().random(),
        );
        loop {
            let (out, _) = turn.poll(self.now());
            match turn.end() {
                Some(TurnEnd::Granted { until }) => {
                    println!(
                        "{:016x} {:.1}",
                        turn.grant(),
                        ((until - self.now()) / 1000.0).max(0.0)
                    );
                    return Ok(ExitCode::SUCCESS);
                }
                Some(TurnEnd::Halted(answer)) => {
                    eprintln!("tansymux: {}", words(&answer));
                    return Ok(ExitCode::from(HALTED));
                }
                Some(TurnEnd::GivenUp(answer)) => {
                    eprintln!("tansymux: no turn in time: {}", words(&answer));
                    return Ok(ExitCode::from(GIVEN_UP));
                }
                None => {}
            }
            self.turns(out, |bytes| turn.handle(self.now(), bytes))
                .map_err(|e| e.to_string())?;
        }
    }
}

fn ended(answer: Answer) -> ExitCode {
    match answer {
        Answer::Done | Answer::Granted { .. } => {
            println!("done");
            ExitCode::SUCCESS
        }
        answer => {
            eprintln!("tansymux: {}", words(&answer));
            match answer {
                Answer::Halted { .. } => ExitCode::from(HALTED),
                Answer::NoLeader | Answer::Pending => ExitCode::from(GIVEN_UP),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn words(answer: &Answer) -> String {
    match answer {
        Answer::NoLeader => "nobody leads: nothing new goes out, what serves goes on".into(),
        Answer::Pending => "it was not agreed in time".into(),
        Answer::Granted { .. } | Answer::Done | Answer::Status(_) | Answer::Zones(_) => {
            "done".into()
        }
        Answer::TooMuch { part } => format!("{:.0}% of all cores would be left", part * 100.0),
        Answer::Halted { why, number, .. } => format!("halted, {} (number {number})", why.words()),
        Answer::Full { scope, out, most } => format!("{out} are out of at most {most} ({scope:?})"),
        Answer::TooSoon { wait } => {
            format!(
                "too soon after the last one, by {:.1} s",
                f64::from(*wait) / 1000.0
            )
        }
        Answer::AlreadyOut { why } => format!("it is out already ({why:?})"),
        Answer::NotCarried { load, left } => {
            format!("what remains would not carry the load: {load:.1} on {left:.1}")
        }
        Answer::Unknown => "no such member or engine is known".into(),
        Answer::Others => "others are first".into(),
        Answer::Pause => "a rest after a hall".into(),
        Answer::NoSuchRelease => "no release goes there".into(),
        Answer::Already => "it is there already".into(),
        Answer::Running { number } => format!("release {number} is under way"),
        Answer::NoWayBack => "the release named no version to go back to".into(),
    }
}

fn shown(s: &Status) -> String {
    let stage = |stage: Released| match stage {
        Released::Canaries => "first few",
        Released::Waves => "hall by hall",
        Released::Back => "going back",
        Released::Done => "done",
        Released::Undone => "gone back",
    };
    let mut text = format!(
        "leader {:016x}\nmembers {} out {} lost {}\nengines {} out {}",
        s.leader, s.members, s.out, s.lost, s.engines, s.engines_out
    );
    text += &match s.halt {
        Some((why, number)) => format!("\nhalted {} (number {number})", why.words()),
        None => "\nhalted no".into(),
    };
    if let Some((number, at, to, from)) = s.release {
        text += &format!(
            "\nrelease {number} {} to {to:08x} from {from:08x} there {} to go {} pairs {} difference {:+.4}",
            stage(at),
            s.released,
            s.to_go,
            s.pairs,
            s.by
        );
    }
    text
}

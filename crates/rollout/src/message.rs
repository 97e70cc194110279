//! What members tell each other beside the voters' messages, in bytes.

use tansymux_coordination::limits::{Halt, Scope};
use tansymux_coordination::wire::{put_record, read_records, Counted, MOST};
use tansymux_coordination::{Id, Record, Stage, Why};
use tansymux_zone_evacuation::codec::{self, LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::MemberReport;

/// Records that fit behind any of these heads.
pub const RECORDS: usize = (MOST - 13) / 47;

/// What a member says of itself, about once a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Of the records that it knows, and the highest round among them.
    pub digest: u32,
    pub round: u32,
    pub zone: u32,
    pub version: u32,
    /// Drawn at each start.
    pub session: u32,
    /// Part of what it can carry that is in use, and threads that its queries run on.
    pub busy: f32,
    pub threads: f32,
    /// Requests since its start: served well, and all.
    pub good: u32,
    pub all: u32,
    /// An engine that it finds bad; 0: none.
    pub bad: u64,
    /// The last tick that it heard of the one it tells.
    pub echo: u32,
    /// The turn under which it was started; 0: none.
    pub turn: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Command {
    Status,
    /// A dispatcher wants to be out, to come back with this version (0: as it is).
    Turn {
        id: Id,
        to: u32,
        grant: u64,
    },
    /// It does not need its turn any more.
    Return {
        id: Id,
        grant: u64,
    },
    Drain {
        engine: u64,
        grant: u64,
    },
    Undrain {
        engine: u64,
    },
    Release {
        number: u32,
        to: u32,
        from: u32,
    },
    Back {
        number: u32,
    },
    Halt {
        number: u32,
    },
    /// Ends this halt, and no other.
    Resume {
        number: u32,
    },
    /// One that is lost does not come back.
    Forget {
        id: Id,
    },
    /// A zone is left by the operators' word; `dry`: only whether the others would carry it.
    Leave {
        zone: u32,
        dry: bool,
    },
    /// And returned to, step by step.
    ReturnTo {
        zone: u32,
    },
    Zones,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Nobody leads, or it was not reached: nothing new goes out.
    NoLeader,
    /// It is being agreed on.
    Pending,
    /// For so long from when it was asked for first (ms).
    Granted {
        left: u32,
    },
    Done,
    Halted {
        why: Halt,
        by: Id,
        number: u32,
    },
    Full {
        scope: Scope,
        out: u32,
        most: u32,
    },
    TooSoon {
        wait: u32,
    },
    AlreadyOut {
        why: Why,
    },
    NotCarried {
        load: f32,
        left: f32,
    },
    Unknown,
    /// The release has others first, rests, or does not go there.
    Others,
    Pause,
    NoSuchRelease,
    Already,
    /// Another release is under way.
    Running {
        number: u32,
    },
    NoWayBack,
    Status(Status),
    /// So much of all cores would be left.
    TooMuch {
        part: f32,
    },
    /// Zones that are not whole, each with the sum of the shares that are out.
    Zones(ZoneList),
}

/// Zones that fit an answer.
pub const MAX_LISTED: usize = 8;
pub type ZoneList = [Option<ZoneEntry>; MAX_LISTED];

/// The fleet as its leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Status {
    pub leader: Id,
    pub members: u32,
    pub out: u32,
    pub lost: u32,
    pub engines: u32,
    pub engines_out: u32,
    /// Why, and its number; none: not halted.
    pub halt: Option<(Halt, u32)>,
    pub release: Option<(u32, Stage, u32, u32)>,
    pub released: u32,
    pub to_go: u32,
    /// Pairs compared, and how much less the released serve well.
    pub pairs: u32,
    pub by: f32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Report(Report),
    /// Who leads, and records that the receiver did not have. `tick`: the sender's time in milliseconds, the low part.
    Gossip {
        leader: Id,
        tick: u32,
        records: Vec<Counted>,
    },
    /// Tell me what you know: you know of a later round.
    Want,
    Hand {
        records: Vec<Counted>,
    },
    /// A member asks the leader, for itself or for whoever called it.
    Command {
        call: u64,
        command: Command,
    },
    Answer {
        call: u64,
        answer: Answer,
    },
    /// Whoever calls a member asks for a number, and calls with it: so nothing that was recorded can be played again.
    Hello {
        call: u64,
    },
    Nonce {
        call: u64,
        nonce: u64,
    },
    Call {
        call: u64,
        nonce: u64,
        command: Command,
    },
    /// What a member says of zones, and the leader's answer.
    ZonesTold(MemberReport),
    ZonePlan(LeaderReply),
}

const FIRST: u8 = 16;

#[derive(Default)]
struct Put(Vec<u8>);

impl Put {
    fn byte(mut self, n: u8) -> Self {
        self.0.push(n);
        self
    }
    fn four(mut self, n: u32) -> Self {
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }
    fn eight(mut self, n: u64) -> Self {
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }
    fn part(self, n: f32) -> Self {
        self.four(n.to_bits())
    }
    fn records(mut self, records: &[Counted]) -> Self {
        records
            .iter()
            .take(RECORDS)
            .for_each(|record| put_record(&mut self.0, record));
        self
    }
    fn command(self, command: &Command) -> Self {
        match *command {
            Command::Status => self.byte(0),
            Command::Turn { id, to, grant } => self.byte(1).eight(id).four(to).eight(grant),
            Command::Return { id, grant } => self.byte(2).eight(id).eight(grant),
            Command::Drain { engine, grant } => self.byte(3).eight(engine).eight(grant),
            Command::Undrain { engine } => self.byte(4).eight(engine),
            Command::Release { number, to, from } => self.byte(5).four(number).four(to).four(from),
            Command::Back { number } => self.byte(6).four(number),
            Command::Halt { number } => self.byte(7).four(number),
            Command::Resume { number } => self.byte(8).four(number),
            Command::Forget { id } => self.byte(9).eight(id),
            Command::Leave { zone, dry } => self.byte(10).four(zone).byte(u8::from(dry)),
            Command::ReturnTo { zone } => self.byte(11).four(zone),
            Command::Zones => self.byte(12),
        }
    }
    fn answer(self, answer: &Answer) -> Self {
        match *answer {
            Answer::NoLeader => self.byte(0),
            Answer::Pending => self.byte(1),
            Answer::Granted { left } => self.byte(2).four(left),
            Answer::Done => self.byte(3),
            Answer::Halted { why, by, number } => {
                self.byte(4).byte(why as u8).eight(by).four(number)
            }
            Answer::Full { scope, out, most } => {
                self.byte(5).byte(scope as u8).four(out).four(most)
            }
            Answer::TooSoon { wait } => self.byte(6).four(wait),
            Answer::AlreadyOut { why } => self.byte(7).byte(why as u8),
            Answer::NotCarried { load, left } => self.byte(8).part(load).part(left),
            Answer::Unknown => self.byte(9),
            Answer::Others => self.byte(10),
            Answer::Pause => self.byte(11),
            Answer::NoSuchRelease => self.byte(12),
            Answer::Already => self.byte(13),
            Answer::Running { number } => self.byte(14).four(number),
            Answer::NoWayBack => self.byte(15),
            Answer::TooMuch { part } => self.byte(17).part(part),
            Answer::Zones(list) => {
                let zones = list.iter().flatten().copied().collect();
                let mut put = self.byte(18);
                put.0.extend(codec::encode_reply(&LeaderReply {
                    sequence_number: 0,
                    zones,
                }));
                put
            }
            Answer::Status(s) => {
                let (halt, halt_number) = s
                    .halt
                    .map_or((u8::MAX, 0), |(why, number)| (why as u8, number));
                let (number, stage, to, from) = s
                    .release
                    .map_or((0, u8::MAX, 0, 0), |(n, stage, to, from)| {
                        (n, stage as u8, to, from)
                    });
                let counts = [
                    s.members,
                    s.out,
                    s.lost,
                    s.engines,
                    s.engines_out,
                    s.released,
                    s.to_go,
                    s.pairs,
                ];
                let put = self.byte(16).eight(s.leader);
                let put = counts.into_iter().fold(put, Put::four).part(s.by);
                put.byte(halt)
                    .four(halt_number)
                    .byte(stage)
                    .four(number)
                    .four(to)
                    .four(from)
            }
        }
    }
}

struct Take<'a>(&'a [u8]);

impl<'a> Take<'a> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }
    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*first)
    }
    fn four(&mut self) -> Option<u32> {
        self.array().map(u32::from_be_bytes)
    }
    fn eight(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }
    /// A number that can be reckoned with.
    fn part(&mut self) -> Option<f32> {
        self.four().map(f32::from_bits).filter(|n| n.is_finite())
    }
    fn records(&mut self) -> Option<Vec<Counted>> {
        read_records(std::mem::take(&mut self.0))
    }
    fn command(&mut self) -> Option<Command> {
        Some(match self.byte()? {
            0 => Command::Status,
            1 => Command::Turn {
                id: self.eight()?,
                to: self.four()?,
                grant: self.eight()?,
            },
            2 => Command::Return {
                id: self.eight()?,
                grant: self.eight()?,
            },
            3 => Command::Drain {
                engine: self.eight()?,
                grant: self.eight()?,
            },
            4 => Command::Undrain {
                engine: self.eight()?,
            },
            5 => Command::Release {
                number: self.four()?,
                to: self.four()?,
                from: self.four()?,
            },
            6 => Command::Back {
                number: self.four()?,
            },
            7 => Command::Halt {
                number: self.four()?,
            },
            8 => Command::Resume {
                number: self.four()?,
            },
            9 => Command::Forget { id: self.eight()? },
            10 => Command::Leave {
                zone: self.four()?,
                dry: self.byte()? != 0,
            },
            11 => Command::ReturnTo { zone: self.four()? },
            12 => Command::Zones,
            _ => return None,
        })
    }
    fn why(&mut self) -> Option<Why> {
        let all = [
            Why::Turn,
            Why::Drain,
            Why::Ejected,
            Why::Lost,
            Why::Announced,
        ];
        all.get(usize::from(self.byte()?)).copied()
    }
    fn answer(&mut self) -> Option<Answer> {
        Some(match self.byte()? {
            0 => Answer::NoLeader,
            1 => Answer::Pending,
            2 => Answer::Granted { left: self.four()? },
            3 => Answer::Done,
            4 => Answer::Halted {
                why: Halt::of(self.byte()?),
                by: self.eight()?,
                number: self.four()?,
            },
            5 => {
                let scope =
                    *[Scope::Fleet, Scope::Zone, Scope::Version].get(usize::from(self.byte()?))?;
                Answer::Full {
                    scope,
                    out: self.four()?,
                    most: self.four()?,
                }
            }
            6 => Answer::TooSoon { wait: self.four()? },
            7 => Answer::AlreadyOut { why: self.why()? },
            8 => Answer::NotCarried {
                load: self.part()?,
                left: self.part()?,
            },
            9 => Answer::Unknown,
            10 => Answer::Others,
            11 => Answer::Pause,
            12 => Answer::NoSuchRelease,
            13 => Answer::Already,
            14 => Answer::Running {
                number: self.four()?,
            },
            15 => Answer::NoWayBack,
            17 => Answer::TooMuch { part: self.part()? },
            18 => {
                let plan = codec::decode_reply(std::mem::take(&mut self.0)).ok()?;
                let mut list = ZoneList::default();
                list.iter_mut()
                    .zip(plan.zones)
                    .for_each(|(place, zone)| *place = Some(zone));
                Answer::Zones(list)
            }
            16 => {
                let leader = self.eight()?;
                let mut counts = [0; 8];
                for count in &mut counts {
                    *count = self.four()?;
                }
                let [members, out, lost, engines, engines_out, released, to_go, pairs] = counts;
                let by = self.part()?;
                let (halt, halt_number) = (self.byte()?, self.four()?);
                let (stage, number, to, from) =
                    (self.byte()?, self.four()?, self.four()?, self.four()?);
                let stages = [
                    Stage::Canaries,
                    Stage::Waves,
                    Stage::Back,
                    Stage::Done,
                    Stage::Undone,
                ];
                let halt = (halt != u8::MAX).then(|| (Halt::of(halt), halt_number));
                let release = stages
                    .get(usize::from(stage))
                    .map(|stage| (number, *stage, to, from));
                Answer::Status(Status {
                    leader,
                    members,
                    out,
                    lost,
                    engines,
                    engines_out,
                    halt,
                    release,
                    released,
                    to_go,
                    pairs,
                    by,
                })
            }
            _ => return None,
        })
    }
}

/// Whether bytes are of this kind, and not a voter's message.
pub fn is_one(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|code| *code >= FIRST)
}

pub fn write(message: &Message) -> Vec<u8> {
    let put = Put::default();
    match message {
        Message::Report(r) => {
            let put = put
                .byte(FIRST)
                .four(r.digest)
                .four(r.round)
                .four(r.zone)
                .four(r.version)
                .four(r.session);
            put.part(r.busy)
                .part(r.threads)
                .four(r.good)
                .four(r.all)
                .eight(r.bad)
                .four(r.echo)
                .eight(r.turn)
        }
        Message::Gossip {
            leader,
            tick,
            records,
        } => put
            .byte(FIRST + 1)
            .eight(*leader)
            .four(*tick)
            .records(records),
        Message::Want => put.byte(FIRST + 2),
        Message::Hand { records } => put.byte(FIRST + 3).records(records),
        Message::Command { call, command } => put.byte(FIRST + 4).eight(*call).command(command),
        Message::Answer { call, answer } => put.byte(FIRST + 5).eight(*call).answer(answer),
        Message::Hello { call } => put.byte(FIRST + 6).eight(*call),
        Message::Nonce { call, nonce } => put.byte(FIRST + 7).eight(*call).eight(*nonce),
        Message::Call {
            call,
            nonce,
            command,
        } => put
            .byte(FIRST + 8)
            .eight(*call)
            .eight(*nonce)
            .command(command),
        Message::ZonesTold(told) => {
            Put([&[FIRST + 9], codec::encode_report(told).as_slice()].concat())
        }
        Message::ZonePlan(plan) => {
            Put([&[FIRST + 10], codec::encode_reply(plan).as_slice()].concat())
        }
    }
    .0
}

/// None for what is no such message.
pub fn read(bytes: &[u8]) -> Option<Message> {
    let mut take = Take(bytes.get(..bytes.len().min(MOST))?);
    Some(match take.byte()?.checked_sub(FIRST)? {
        0 => Message::Report(Report {
            digest: take.four()?,
            round: take.four()?,
            zone: take.four()?,
            version: take.four()?,
            session: take.four()?,
            busy: take.part()?,
            threads: take.part()?,
            good: take.four()?,
            all: take.four()?,
            bad: take.eight()?,
            echo: take.four()?,
            turn: take.eight()?,
        }),
        1 => Message::Gossip {
            leader: take.eight()?,
            tick: take.four()?,
            records: take.records()?,
        },
        2 => Message::Want,
        3 => Message::Hand {
            records: take.records()?,
        },
        4 => Message::Command {
            call: take.eight()?,
            command: take.command()?,
        },
        5 => Message::Answer {
            call: take.eight()?,
            answer: take.answer()?,
        },
        6 => Message::Hello {
            call: take.eight()?,
        },
        7 => Message::Nonce {
            call: take.eight()?,
            nonce: take.eight()?,
        },
        9 => Message::ZonesTold(codec::decode_report(take.0).ok()?),
        10 => Message::ZonePlan(codec::decode_reply(take.0).ok()?),
        8 => Message::Call {
            call: take.eight()?,
            nonce: take.eight()?,
            command: take.command()?,
        },
        _ => return None,
    })
}

/// The highest round among records.
pub fn round_of<'a>(records: impl Iterator<Item = &'a Record>) -> u32 {
    records
        .map(|record| record.stamp.ballot.round)
        .max()
        .unwrap_or(0)
}

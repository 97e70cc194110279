//! The datagrams of [`crate::message`]. All numbers are big-endian; records are those of
//! [`tansymux_coordination::codec`].
//!
//! | message | layout (bytes) |
//! | --- | --- |
//! | [`Message::Report`] | 16 (1), digest (4), round (4), zone (4), version (4), session (4), utilization (4, float), threads (4, float), succeeded (4), total (4), failing engine (8), echoed tick (4), grant id (8) |
//! | [`Message::Gossip`] | 17 (1), leader (8), tick (4), records |
//! | [`Message::RecordsRequest`] | 18 (1) |
//! | [`Message::Records`] | 19 (1), records |
//! | [`Message::Command`] | 20 (1), call (8), command |
//! | [`Message::Answer`] | 21 (1), call (8), answer |
//! | [`Message::Hello`] | 22 (1), call (8) |
//! | [`Message::Nonce`] | 23 (1), call (8), nonce (8) |
//! | [`Message::Call`] | 24 (1), call (8), nonce (8), command |
//! | [`Message::ZoneReport`] | 25 (1), as in crates/zone-evacuation |
//! | [`Message::ZonePlan`] | 26 (1), as in crates/zone-evacuation |
//!
//! | command | layout (bytes) |
//! | --- | --- |
//! | [`Command::Status`] | 0 (1) |
//! | [`Command::RequestLease`] | 1 (1), id (8), version (4), grant id (8) |
//! | [`Command::ReturnLease`] | 2 (1), id (8), grant id (8) |
//! | [`Command::Drain`] | 3 (1), engine (8), grant id (8) |
//! | [`Command::Undrain`] | 4 (1), engine (8) |
//! | [`Command::Release`] | 5 (1), number (4), to (4), from (4) |
//! | [`Command::RollBack`], [`Command::Halt`], [`Command::Resume`] | 6, 7, 8 (1), number (4) |
//! | [`Command::Forget`] | 9 (1), id (8) |
//! | [`Command::EvacuateZone`] | 10 (1), zone (4), dry run (1) |
//! | [`Command::ReturnToZone`] | 11 (1), zone (4) |
//! | [`Command::ListZones`] | 12 (1) |
//!
//! | answer | layout (bytes) |
//! | --- | --- |
//! | [`Answer::NoLeader`], [`Answer::Pending`], [`Answer::Done`] | 0, 1, 3 (1) |
//! | [`Answer::Granted`] | 2 (1), remaining ms (4) |
//! | [`Answer::Halted`] | 4 (1), reason (1), by (8), number (4) |
//! | [`Answer::BudgetExhausted`] | 5 (1), scope (1), unavailable (4), limit (4) |
//! | [`Answer::TooSoon`] | 6 (1), wait ms (4) |
//! | [`Answer::AlreadyOut`] | 7 (1), reason (1) |
//! | [`Answer::InsufficientCapacity`] | 8 (1), load (4, float), remaining (4, float) |
//! | [`Answer::UnknownUnit`], [`Answer::OthersFirst`], [`Answer::PausedAfterZone`], [`Answer::NoSuchRelease`], [`Answer::Already`], [`Answer::NoPreviousVersion`] | 9, 10, 11, 12, 13, 15 (1) |
//! | [`Answer::ReleaseInProgress`] | 14 (1), number (4) |
//! | [`Answer::Status`] | 16 (1), leader (8), members, unavailable, lost, engines, engines unavailable, released, remaining, pairs (4 each), mean difference (4, float), halt reason (1, 255: none), halt number (4), release stage (1, 255: none), release number, to, from (4 each) |
//! | [`Answer::TooManyCoresEvacuated`] | 17 (1), fraction (4, float) |
//! | [`Answer::Zones`] | 18 (1), a zone plan as in crates/zone-evacuation |
//!
//! Bytes after a message of fixed length are passed over, as are those after
//! [`tansymux_coordination::codec::MAX_DATAGRAM_BYTES`].

use crate::message::{Answer, Command, Message, Report, Status, ZoneList};
use crate::rollout_plan::Release;
use tansymux_coordination::bytes::{ByteReader, ByteWriter, DecodeError};
use tansymux_coordination::codec::{decode_records, encode_record, MAX_DATAGRAM_BYTES};
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{DisruptionReason, LeasedRecord, ReleaseStage};
use tansymux_zone_evacuation::codec as zone_codec;
use tansymux_zone_evacuation::codec::LeaderReply;

/// The longest head in front of records: that of gossip.
const MAX_HEAD_BYTES: usize = 1 + 8 + 4;
const RECORD_BYTES: usize = 47;
/// Records that fit in any of these messages.
pub const MAX_RECORDS_PER_MESSAGE: usize = (MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES) / RECORD_BYTES;

/// The lowest code; those below are the voters'.
const FIRST_CODE: u8 = 16;
const REPORT: u8 = FIRST_CODE;
const GOSSIP: u8 = FIRST_CODE + 1;
const RECORDS_REQUEST: u8 = FIRST_CODE + 2;
const RECORDS: u8 = FIRST_CODE + 3;
const COMMAND: u8 = FIRST_CODE + 4;
const ANSWER: u8 = FIRST_CODE + 5;
const HELLO: u8 = FIRST_CODE + 6;
const NONCE: u8 = FIRST_CODE + 7;
const CALL: u8 = FIRST_CODE + 8;
const ZONE_REPORT: u8 = FIRST_CODE + 9;
const ZONE_PLAN: u8 = FIRST_CODE + 10;

/// Stands for "none" where a code is expected.
const NO_CODE: u8 = u8::MAX;

/// Whether a datagram is one of these messages, and not a voter's.
pub fn is_rollout_message(datagram: &[u8]) -> bool {
    datagram.first().is_some_and(|code| *code >= FIRST_CODE)
}

/// The bytes of a message. Records that do not fit ([`MAX_RECORDS_PER_MESSAGE`]) are left out.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_BYTES);
    match message {
        Message::Report(report) => encode_report(&mut writer, report),
        Message::Gossip {
            leader,
            tick,
            records,
        } => {
            writer.u8(GOSSIP).u64(*leader).u32(*tick);
            encode_records(&mut writer, records);
        }
        Message::RecordsRequest => {
            writer.u8(RECORDS_REQUEST);
        }
        Message::Records { records } => {
            writer.u8(RECORDS);
            encode_records(&mut writer, records);
        }
        Message::Command { call, command } => {
            writer.u8(COMMAND).u64(*call);
            encode_command(&mut writer, command);
        }
        Message::Answer { call, answer } => {
            writer.u8(ANSWER).u64(*call);
            encode_answer(&mut writer, answer);
        }
        Message::Hello { call } => {
            writer.u8(HELLO).u64(*call);
        }
        Message::Nonce { call, nonce } => {
            writer.u8(NONCE).u64(*call).u64(*nonce);
        }
        Message::Call {
            call,
            nonce,
            command,
        } => {
            writer.u8(CALL).u64(*call).u64(*nonce);
            encode_command(&mut writer, command);
        }
        Message::ZoneReport(report) => {
            writer
                .u8(ZONE_REPORT)
                .bytes(&zone_codec::encode_report(report));
        }
        Message::ZonePlan(plan) => {
            writer.u8(ZONE_PLAN).bytes(&zone_codec::encode_reply(plan));
        }
    }
    writer.into_bytes()
}

fn encode_report(writer: &mut ByteWriter, report: &Report) {
    writer
        .u8(REPORT)
        .u32(report.digest)
        .u32(report.round)
        .u32(report.zone)
        .u32(report.version)
        .u32(report.session)
        .f32(report.utilization)
        .f32(report.threads)
        .u32(report.succeeded)
        .u32(report.total)
        .u64(report.failing_engine)
        .u32(report.echoed_tick)
        .u64(report.grant_id);
}

fn encode_records(writer: &mut ByteWriter, records: &[LeasedRecord]) {
    for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
        encode_record(writer, record);
    }
}

fn encode_command(writer: &mut ByteWriter, command: &Command) {
    match *command {
        Command::Status => writer.u8(0),
        Command::RequestLease { id, to, grant_id } => writer.u8(1).u64(id).u32(to).u64(grant_id),
        Command::ReturnLease { id, grant_id } => writer.u8(2).u64(id).u64(grant_id),
        Command::Drain { engine, grant_id } => writer.u8(3).u64(engine).u64(grant_id),
        Command::Undrain { engine } => writer.u8(4).u64(engine),
        Command::Release { number, to, from } => writer.u8(5).u32(number).u32(to).u32(from),
        Command::RollBack { number } => writer.u8(6).u32(number),
        Command::Halt { number } => writer.u8(7).u32(number),
        Command::Resume { number } => writer.u8(8).u32(number),
        Command::Forget { id } => writer.u8(9).u64(id),
        Command::EvacuateZone { zone, dry_run } => writer.u8(10).u32(zone).u8(u8::from(dry_run)),
        Command::ReturnToZone { zone } => writer.u8(11).u32(zone),
        Command::ListZones => writer.u8(12),
    };
}

fn encode_answer(writer: &mut ByteWriter, answer: &Answer) {
    match *answer {
        Answer::NoLeader => writer.u8(0),
        Answer::Pending => writer.u8(1),
        Answer::Granted { remaining_ms } => writer.u8(2).u32(remaining_ms),
        Answer::Done => writer.u8(3),
        Answer::Halted { reason, by, number } => writer.u8(4).u8(reason as u8).u64(by).u32(number),
        Answer::BudgetExhausted {
            scope,
            unavailable,
            max_unavailable,
        } => writer
            .u8(5)
            .u8(scope as u8)
            .u32(unavailable)
            .u32(max_unavailable),
        Answer::TooSoon { wait_ms } => writer.u8(6).u32(wait_ms),
        Answer::AlreadyOut { reason } => writer.u8(7).u8(reason as u8),
        Answer::InsufficientCapacity { load, remaining } => writer.u8(8).f32(load).f32(remaining),
        Answer::UnknownUnit => writer.u8(9),
        Answer::OthersFirst => writer.u8(10),
        Answer::PausedAfterZone => writer.u8(11),
        Answer::NoSuchRelease => writer.u8(12),
        Answer::Already => writer.u8(13),
        Answer::ReleaseInProgress { number } => writer.u8(14).u32(number),
        Answer::NoPreviousVersion => writer.u8(15),
        Answer::Status(ref status) => encode_status(writer.u8(16), status),
        Answer::TooManyCoresEvacuated { fraction } => writer.u8(17).f32(fraction),
        Answer::Zones(ref list) => {
            let zones = list.iter().flatten().copied().collect();
            let reply = LeaderReply {
                sequence_number: 0,
                zones,
            };
            writer.u8(18).bytes(&zone_codec::encode_reply(&reply))
        }
    };
}

fn encode_status<'a>(writer: &'a mut ByteWriter, status: &Status) -> &'a mut ByteWriter {
    writer
        .u64(status.leader)
        .u32(status.members)
        .u32(status.unavailable)
        .u32(status.lost)
        .u32(status.engines)
        .u32(status.engines_unavailable)
        .u32(status.released)
        .u32(status.remaining)
        .u32(status.pairs)
        .f32(status.mean_difference);
    match status.halt {
        Some((reason, number)) => writer.u8(reason as u8).u32(number),
        None => writer.u8(NO_CODE).u32(0),
    };
    match status.release {
        Some(release) => writer
            .u8(release.stage as u8)
            .u32(release.number)
            .u32(release.to)
            .u32(release.from),
        None => writer.u8(NO_CODE).u32(0).u32(0).u32(0),
    }
}

/// Reads a message.
///
/// # Errors
/// A [`DecodeError`] for bytes that are no such message. The receiver drops those.
pub fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let length = datagram.len().min(MAX_DATAGRAM_BYTES);
    let mut reader = ByteReader::new(&datagram[..length]);
    match reader.u8()? {
        REPORT => Ok(Message::Report(decode_report(&mut reader)?)),
        GOSSIP => Ok(Message::Gossip {
            leader: reader.u64()?,
            tick: reader.u32()?,
            records: decode_records(&mut reader)?,
        }),
        RECORDS_REQUEST => Ok(Message::RecordsRequest),
        RECORDS => Ok(Message::Records {
            records: decode_records(&mut reader)?,
        }),
        COMMAND => Ok(Message::Command {
            call: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        ANSWER => Ok(Message::Answer {
            call: reader.u64()?,
            answer: decode_answer(&mut reader)?,
        }),
        HELLO => Ok(Message::Hello {
            call: reader.u64()?,
        }),
        NONCE => Ok(Message::Nonce {
            call: reader.u64()?,
            nonce: reader.u64()?,
        }),
        CALL => Ok(Message::Call {
            call: reader.u64()?,
            nonce: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        ZONE_REPORT => zone_codec::decode_report(reader.take_remaining())
            .map(Message::ZoneReport)
            .map_err(|_| DecodeError::Embedded("zone report")),
        ZONE_PLAN => decode_zone_plan(&mut reader).map(Message::ZonePlan),
        code => Err(DecodeError::UnknownCode {
            field: "message",
            code,
        }),
    }
}

fn decode_zone_plan(reader: &mut ByteReader) -> Result<LeaderReply, DecodeError> {
    zone_codec::decode_reply(reader.take_remaining())
        .map_err(|_| DecodeError::Embedded("zone plan"))
}

fn decode_report(reader: &mut ByteReader) -> Result<Report, DecodeError> {
    Ok(Report {
        digest: reader.u32()?,
        round: reader.u32()?,
        zone: reader.u32()?,
        version: reader.u32()?,
        session: reader.u32()?,
        utilization: reader.finite_f32()?,
        threads: reader.finite_f32()?,
        succeeded: reader.u32()?,
        total: reader.u32()?,
        failing_engine: reader.u64()?,
        echoed_tick: reader.u32()?,
        grant_id: reader.u64()?,
    })
}

fn decode_command(reader: &mut ByteReader) -> Result<Command, DecodeError> {
    let command = match reader.u8()? {
        0 => Command::Status,
        1 => Command::RequestLease {
            id: reader.u64()?,
            to: reader.u32()?,
            grant_id: reader.u64()?,
        },
        2 => Command::ReturnLease {
            id: reader.u64()?,
            grant_id: reader.u64()?,
        },
        3 => Command::Drain {
            engine: reader.u64()?,
            grant_id: reader.u64()?,
        },
        4 => Command::Undrain {
            engine: reader.u64()?,
        },
        5 => Command::Release {
            number: reader.u32()?,
            to: reader.u32()?,
            from: reader.u32()?,
        },
        6 => Command::RollBack {
            number: reader.u32()?,
        },
        7 => Command::Halt {
            number: reader.u32()?,
        },
        8 => Command::Resume {
            number: reader.u32()?,
        },
        9 => Command::Forget { id: reader.u64()? },
        10 => Command::EvacuateZone {
            zone: reader.u32()?,
            dry_run: reader.u8()? != 0,
        },
        11 => Command::ReturnToZone {
            zone: reader.u32()?,
        },
        12 => Command::ListZones,
        code => {
            return Err(DecodeError::UnknownCode {
                field: "command",
                code,
            })
        }
    };
    Ok(command)
}

fn decode_answer(reader: &mut ByteReader) -> Result<Answer, DecodeError> {
    let answer = match reader.u8()? {
        0 => Answer::NoLeader,
        1 => Answer::Pending,
        2 => Answer::Granted {
            remaining_ms: reader.u32()?,
        },
        3 => Answer::Done,
        4 => Answer::Halted {
            reason: HaltReason::from_code(reader.u8()?),
            by: reader.u64()?,
            number: reader.u32()?,
        },
        5 => Answer::BudgetExhausted {
            scope: reader.code("scope", Scope::from_code)?,
            unavailable: reader.u32()?,
            max_unavailable: reader.u32()?,
        },
        6 => Answer::TooSoon {
            wait_ms: reader.u32()?,
        },
        7 => Answer::AlreadyOut {
            reason: reader.code("disruption reason", DisruptionReason::from_code)?,
        },
        8 => Answer::InsufficientCapacity {
            load: reader.finite_f32()?,
            remaining: reader.finite_f32()?,
        },
        9 => Answer::UnknownUnit,
        10 => Answer::OthersFirst,
        11 => Answer::PausedAfterZone,
        12 => Answer::NoSuchRelease,
        13 => Answer::Already,
        14 => Answer::ReleaseInProgress {
            number: reader.u32()?,
        },
        15 => Answer::NoPreviousVersion,
        16 => Answer::Status(decode_status(reader)?),
        17 => Answer::TooManyCoresEvacuated {
            fraction: reader.finite_f32()?,
        },
        18 => Answer::Zones(decode_zone_list(reader)?),
        code => {
            return Err(DecodeError::UnknownCode {
                field: "answer",
                code,
            })
        }
    };
    Ok(answer)
}

fn decode_zone_list(reader: &mut ByteReader) -> Result<ZoneList, DecodeError> {
    let plan = decode_zone_plan(reader)?;
    let mut list = ZoneList::default();
    for (entry, zone) in list.iter_mut().zip(plan.zones) {
        *entry = Some(zone);
    }
    Ok(list)
}

fn decode_status(reader: &mut ByteReader) -> Result<Status, DecodeError> {
    let mut status = Status {
        leader: reader.u64()?,
        members: reader.u32()?,
        unavailable: reader.u32()?,
        lost: reader.u32()?,
        engines: reader.u32()?,
        engines_unavailable: reader.u32()?,
        released: reader.u32()?,
        remaining: reader.u32()?,
        pairs: reader.u32()?,
        mean_difference: reader.finite_f32()?,
        halt: None,
        release: None,
    };
    let halt_reason = reader.u8()?;
    let halt_number = reader.u32()?;
    if halt_reason != NO_CODE {
        status.halt = Some((HaltReason::from_code(halt_reason), halt_number));
    }
    let stage = reader.u8()?;
    let number = reader.u32()?;
    let to = reader.u32()?;
    let from = reader.u32()?;
    status.release = ReleaseStage::from_code(stage).map(|stage| Release {
        number,
        to,
        from,
        stage,
    });
    Ok(status)
}

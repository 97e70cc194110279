//! Bytes of answers. Numbers are big-endian.
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

use super::decode_zone_plan;
use crate::message::{Answer, Status, ZoneList};
use crate::rollout_plan::Release;
use tansymux_codec::{ByteReader, ByteWriter, DecodeError};
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{DisruptionReason, ReleaseStage};
use tansymux_zone_evacuation::codec as zone_codec;
use tansymux_zone_evacuation::codec::LeaderReply;

/// Stands for "none" where a code is expected.
const NO_CODE: u8 = u8::MAX;

pub(super) fn encode_answer(writer: &mut ByteWriter, answer: &Answer) {
    match *answer {
        Answer::NoLeader => writer.u8(0),
        Answer::Pending => writer.u8(1),
        Answer::Granted { remaining_ms } => writer.u8(2).u32(remaining_ms),
        Answer::Done => writer.u8(3),
        Answer::Halted { reason, by, number } => writer.u8(4).u8(reason.code()).u64(by).u32(number),
        Answer::BudgetExhausted {
            scope,
            unavailable,
            max_unavailable,
        } => writer
            .u8(5)
            .u8(scope.code())
            .u32(unavailable)
            .u32(max_unavailable),
        Answer::TooSoon { wait_ms } => writer.u8(6).u32(wait_ms),
        Answer::AlreadyOut { reason } => writer.u8(7).u8(reason.code()),
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
        Some((reason, number)) => writer.u8(reason.code()).u32(number),
        None => writer.u8(NO_CODE).u32(0),
    };
    match status.release {
        Some(release) => writer
            .u8(release.stage.code())
            .u32(release.number)
            .u32(release.to)
            .u32(release.from),
        None => writer.u8(NO_CODE).u32(0).u32(0).u32(0),
    }
}

pub(super) fn decode_answer(reader: &mut ByteReader) -> Result<Answer, DecodeError> {
    let answer = match reader.u8()? {
        0 => Answer::NoLeader,
        1 => Answer::Pending,
        2 => Answer::Granted {
            remaining_ms: reader.u32()?,
        },
        3 => Answer::Done,
        4 => Answer::Halted {
            reason: HaltReason::from_code_lossy(reader.u8()?),
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
        status.halt = Some((HaltReason::from_code_lossy(halt_reason), halt_number));
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

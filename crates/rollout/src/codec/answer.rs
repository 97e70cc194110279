//! Encoding of answers. Numbers are big-endian.
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
use tansymux_codec::{wire_enum, ByteReader, ByteWriter, DecodeError};
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{DisruptionReason, ReleaseStage};
use tansymux_zone_evacuation::codec as zone_codec;
use tansymux_zone_evacuation::codec::LeaderReply;

/// Code of an absent optional value.
const NO_CODE: u8 = u8::MAX;

wire_enum! {
    /// The first byte of an answer.
    enum AnswerKind {
        /// [`Answer::NoLeader`].
        NoLeader = 0,
        /// [`Answer::Pending`].
        Pending = 1,
        /// [`Answer::Granted`].
        Granted = 2,
        /// [`Answer::Done`].
        Done = 3,
        /// [`Answer::Halted`].
        Halted = 4,
        /// [`Answer::BudgetExhausted`].
        BudgetExhausted = 5,
        /// [`Answer::TooSoon`].
        TooSoon = 6,
        /// [`Answer::AlreadyOut`].
        AlreadyOut = 7,
        /// [`Answer::InsufficientCapacity`].
        InsufficientCapacity = 8,
        /// [`Answer::UnknownUnit`].
        UnknownUnit = 9,
        /// [`Answer::OthersFirst`].
        OthersFirst = 10,
        /// [`Answer::PausedAfterZone`].
        PausedAfterZone = 11,
        /// [`Answer::NoSuchRelease`].
        NoSuchRelease = 12,
        /// [`Answer::Already`].
        Already = 13,
        /// [`Answer::ReleaseInProgress`].
        ReleaseInProgress = 14,
        /// [`Answer::NoPreviousVersion`].
        NoPreviousVersion = 15,
        /// [`Answer::Status`].
        Status = 16,
        /// [`Answer::TooManyCoresEvacuated`].
        TooManyCoresEvacuated = 17,
        /// [`Answer::Zones`].
        Zones = 18,
    }
}

impl AnswerKind {
    fn of(answer: &Answer) -> Self {
        match answer {
            Answer::NoLeader => AnswerKind::NoLeader,
            Answer::Pending => AnswerKind::Pending,
            Answer::Granted { .. } => AnswerKind::Granted,
            Answer::Done => AnswerKind::Done,
            Answer::Halted { .. } => AnswerKind::Halted,
            Answer::BudgetExhausted { .. } => AnswerKind::BudgetExhausted,
            Answer::TooSoon { .. } => AnswerKind::TooSoon,
            Answer::AlreadyOut { .. } => AnswerKind::AlreadyOut,
            Answer::InsufficientCapacity { .. } => AnswerKind::InsufficientCapacity,
            Answer::UnknownUnit => AnswerKind::UnknownUnit,
            Answer::OthersFirst => AnswerKind::OthersFirst,
            Answer::PausedAfterZone => AnswerKind::PausedAfterZone,
            Answer::NoSuchRelease => AnswerKind::NoSuchRelease,
            Answer::Already => AnswerKind::Already,
            Answer::ReleaseInProgress { .. } => AnswerKind::ReleaseInProgress,
            Answer::NoPreviousVersion => AnswerKind::NoPreviousVersion,
            Answer::Status(_) => AnswerKind::Status,
            Answer::TooManyCoresEvacuated { .. } => AnswerKind::TooManyCoresEvacuated,
            Answer::Zones(_) => AnswerKind::Zones,
        }
    }
}

pub(super) fn encode_answer(writer: &mut ByteWriter, answer: &Answer) {
    writer.u8(AnswerKind::of(answer).code());
    match *answer {
        Answer::NoLeader
        | Answer::Pending
        | Answer::Done
        | Answer::UnknownUnit
        | Answer::OthersFirst
        | Answer::PausedAfterZone
        | Answer::NoSuchRelease
        | Answer::Already
        | Answer::NoPreviousVersion => writer,
        Answer::Granted { remaining_ms } => writer.u32(remaining_ms),
        Answer::Halted { reason, by, number } => writer.u8(reason.code()).u64(by).u32(number),
        Answer::BudgetExhausted {
            scope,
            unavailable,
            max_unavailable,
        } => writer
            .u8(scope.code())
            .u32(unavailable)
            .u32(max_unavailable),
        Answer::TooSoon { wait_ms } => writer.u32(wait_ms),
        Answer::AlreadyOut { reason } => writer.u8(reason.code()),
        Answer::InsufficientCapacity { load, remaining } => writer.f32(load).f32(remaining),
        Answer::ReleaseInProgress { number } => writer.u32(number),
        Answer::Status(ref status) => encode_status(writer, status),
        Answer::TooManyCoresEvacuated { fraction } => writer.f32(fraction),
        Answer::Zones(ref list) => encode_zone_list(writer, list),
    };
}

fn encode_zone_list<'a>(writer: &'a mut ByteWriter, list: &ZoneList) -> &'a mut ByteWriter {
    let reply = LeaderReply {
        sequence_number: 0,
        zones: list.iter().flatten().copied().collect(),
    };
    writer.bytes(&zone_codec::encode_reply(&reply))
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
    Ok(match reader.code("answer", AnswerKind::from_code)? {
        AnswerKind::NoLeader => Answer::NoLeader,
        AnswerKind::Pending => Answer::Pending,
        AnswerKind::Granted => Answer::Granted {
            remaining_ms: reader.u32()?,
        },
        AnswerKind::Done => Answer::Done,
        AnswerKind::Halted => decode_halted(reader)?,
        AnswerKind::BudgetExhausted => decode_budget_exhausted(reader)?,
        AnswerKind::TooSoon => Answer::TooSoon {
            wait_ms: reader.u32()?,
        },
        AnswerKind::AlreadyOut => Answer::AlreadyOut {
            reason: reader.code("disruption reason", DisruptionReason::from_code)?,
        },
        AnswerKind::InsufficientCapacity => decode_insufficient_capacity(reader)?,
        AnswerKind::UnknownUnit => Answer::UnknownUnit,
        AnswerKind::OthersFirst => Answer::OthersFirst,
        AnswerKind::PausedAfterZone => Answer::PausedAfterZone,
        AnswerKind::NoSuchRelease => Answer::NoSuchRelease,
        AnswerKind::Already => Answer::Already,
        AnswerKind::ReleaseInProgress => Answer::ReleaseInProgress {
            number: reader.u32()?,
        },
        AnswerKind::NoPreviousVersion => Answer::NoPreviousVersion,
        AnswerKind::Status => Answer::Status(decode_status(reader)?),
        AnswerKind::TooManyCoresEvacuated => Answer::TooManyCoresEvacuated {
            fraction: reader.finite_f32()?,
        },
        AnswerKind::Zones => Answer::Zones(decode_zone_list(reader)?),
    })
}

fn decode_halted(reader: &mut ByteReader) -> Result<Answer, DecodeError> {
    Ok(Answer::Halted {
        reason: HaltReason::from_code_lossy(reader.u8()?),
        by: reader.u64()?,
        number: reader.u32()?,
    })
}

fn decode_budget_exhausted(reader: &mut ByteReader) -> Result<Answer, DecodeError> {
    Ok(Answer::BudgetExhausted {
        scope: reader.code("scope", Scope::from_code)?,
        unavailable: reader.u32()?,
        max_unavailable: reader.u32()?,
    })
}

fn decode_insufficient_capacity(reader: &mut ByteReader) -> Result<Answer, DecodeError> {
    Ok(Answer::InsufficientCapacity {
        load: reader.finite_f32()?,
        remaining: reader.finite_f32()?,
    })
}

fn decode_zone_list(reader: &mut ByteReader) -> Result<ZoneList, DecodeError> {
    let plan = decode_zone_plan(reader)?;
    let mut list = ZoneList::default();
    for (slot, entry) in list.iter_mut().zip(plan.zones) {
        *slot = Some(entry);
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

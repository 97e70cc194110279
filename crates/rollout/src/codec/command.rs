//! Bytes of commands. Numbers are big-endian.
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

use crate::message::Command;
use tansymux_codec::{ByteReader, ByteWriter, DecodeError};

pub(super) fn encode_command(writer: &mut ByteWriter, command: &Command) {
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

pub(super) fn decode_command(reader: &mut ByteReader) -> Result<Command, DecodeError> {
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

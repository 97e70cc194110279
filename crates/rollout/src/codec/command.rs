//! Encoding of commands. Numbers are big-endian.
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
use tansymux_codec::{wire_enum, ByteReader, ByteWriter, DecodeError};

wire_enum! {
    /// The first byte of a command.
    enum CommandKind {
        /// [`Command::Status`].
        Status = 0,
        /// [`Command::RequestLease`].
        RequestLease = 1,
        /// [`Command::ReturnLease`].
        ReturnLease = 2,
        /// [`Command::Drain`].
        Drain = 3,
        /// [`Command::Undrain`].
        Undrain = 4,
        /// [`Command::Release`].
        Release = 5,
        /// [`Command::RollBack`].
        RollBack = 6,
        /// [`Command::Halt`].
        Halt = 7,
        /// [`Command::Resume`].
        Resume = 8,
        /// [`Command::Forget`].
        Forget = 9,
        /// [`Command::EvacuateZone`].
        EvacuateZone = 10,
        /// [`Command::ReturnToZone`].
        ReturnToZone = 11,
        /// [`Command::ListZones`].
        ListZones = 12,
    }
}

impl CommandKind {
    fn of(command: &Command) -> Self {
        match command {
            Command::Status => CommandKind::Status,
            Command::RequestLease { .. } => CommandKind::RequestLease,
            Command::ReturnLease { .. } => CommandKind::ReturnLease,
            Command::Drain { .. } => CommandKind::Drain,
            Command::Undrain { .. } => CommandKind::Undrain,
            Command::Release { .. } => CommandKind::Release,
            Command::RollBack { .. } => CommandKind::RollBack,
            Command::Halt { .. } => CommandKind::Halt,
            Command::Resume { .. } => CommandKind::Resume,
            Command::Forget { .. } => CommandKind::Forget,
            Command::EvacuateZone { .. } => CommandKind::EvacuateZone,
            Command::ReturnToZone { .. } => CommandKind::ReturnToZone,
            Command::ListZones => CommandKind::ListZones,
        }
    }
}

pub(super) fn encode_command(writer: &mut ByteWriter, command: &Command) {
    writer.u8(CommandKind::of(command).code());
    match *command {
        Command::Status | Command::ListZones => writer,
        Command::RequestLease { id, to, grant_id } => writer.u64(id).u32(to).u64(grant_id),
        Command::ReturnLease { id, grant_id } => writer.u64(id).u64(grant_id),
        Command::Drain { engine, grant_id } => writer.u64(engine).u64(grant_id),
        Command::Undrain { engine } => writer.u64(engine),
        Command::Release { number, to, from } => writer.u32(number).u32(to).u32(from),
        Command::RollBack { number } => writer.u32(number),
        Command::Halt { number } => writer.u32(number),
        Command::Resume { number } => writer.u32(number),
        Command::Forget { id } => writer.u64(id),
        Command::EvacuateZone { zone, dry_run } => writer.u32(zone).u8(u8::from(dry_run)),
        Command::ReturnToZone { zone } => writer.u32(zone),
    };
}

pub(super) fn decode_command(reader: &mut ByteReader) -> Result<Command, DecodeError> {
    Ok(match reader.code("command", CommandKind::from_code)? {
        CommandKind::Status => Command::Status,
        CommandKind::RequestLease => decode_lease_request(reader)?,
        CommandKind::ReturnLease => Command::ReturnLease {
            id: reader.u64()?,
            grant_id: reader.u64()?,
        },
        CommandKind::Drain => Command::Drain {
            engine: reader.u64()?,
            grant_id: reader.u64()?,
        },
        CommandKind::Undrain => Command::Undrain {
            engine: reader.u64()?,
        },
        CommandKind::Release => decode_release(reader)?,
        CommandKind::RollBack => Command::RollBack {
            number: reader.u32()?,
        },
        CommandKind::Halt => Command::Halt {
            number: reader.u32()?,
        },
        CommandKind::Resume => Command::Resume {
            number: reader.u32()?,
        },
        CommandKind::Forget => Command::Forget { id: reader.u64()? },
        CommandKind::EvacuateZone => Command::EvacuateZone {
            zone: reader.u32()?,
            dry_run: reader.u8()? != 0,
        },
        CommandKind::ReturnToZone => Command::ReturnToZone {
            zone: reader.u32()?,
        },
        CommandKind::ListZones => Command::ListZones,
    })
}

fn decode_lease_request(reader: &mut ByteReader) -> Result<Command, DecodeError> {
    Ok(Command::RequestLease {
        id: reader.u64()?,
        to: reader.u32()?,
        grant_id: reader.u64()?,
    })
}

fn decode_release(reader: &mut ByteReader) -> Result<Command, DecodeError> {
    Ok(Command::Release {
        number: reader.u32()?,
        to: reader.u32()?,
        from: reader.u32()?,
    })
}

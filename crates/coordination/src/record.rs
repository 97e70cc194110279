//! The replicated records. Of two records with the same key, the record with the higher stamp is newer.

use tansymux_codec::wire_enum;

/// Identifier of a dispatcher (as in membership) or of an engine.
pub type Id = u64;

/// Key of the record that halts all disruptions.
pub const HALT_KEY: u64 = 1;
/// Key of the release record.
pub const RELEASE_KEY: u64 = 2;

/// XORed with a dispatcher's id to form the key of its record, so that it does not collide with an engine's key.
const DISPATCHER_KEY_SALT: u64 = 0x5851_F42D_4C95_7F2D;
/// XORed with an engine's id to form the key of its record.
const ENGINE_KEY_SALT: u64 = 0x1405_7B7E_F767_814F;
/// Upper half of a zone's key ("ZONE" in ASCII); the lower half is the zone's id.
const ZONE_KEY_PREFIX: u64 = 0x5A4F_4E45 << 32;

/// A Paxos ballot number: the round, then the proposer's id. Of two proposers in the same round, the
/// proposer with the higher id wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ballot {
    /// The round: higher for each candidacy.
    pub round: u32,
    /// The proposer: a candidate, and the leader once it is elected.
    pub leader: Id,
}

/// Version of a record: the leader's ballot, and the record's sequence number under this ballot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// The ballot of the leader that wrote the record.
    pub ballot: Ballot,
    /// Sequence number of the record under this ballot, from 1.
    pub number: u32,
}

wire_enum! {
    /// The kind of unit that a disruption makes unavailable.
    pub enum UnitKind {
        /// A dispatcher: a member of the fleet.
        Dispatcher = 0,
        /// An engine.
        Engine = 1,
    }
}

wire_enum! {
    /// The reason why a unit is unavailable.
    pub enum DisruptionReason {
        /// A dispatcher holds a restart lease.
        RestartLease = 0,
        /// The operators drain the unit.
        Drain = 1,
        /// Enough dispatchers reported the engine as failing.
        Ejected = 2,
        /// The unit disappeared without a lease, or did not return before its lease ended.
        Lost = 3,
        /// The name service lists the unit as unavailable. The leader writes no record with this reason: such a unit
        /// counts as unavailable by [`crate::disruption_budget::Unit::available`].
        Announced = 4,
    }
}

wire_enum! {
    /// The stage of a release.
    pub enum ReleaseStage {
        /// Only the canaries restart.
        Canaries = 0,
        /// All other dispatchers restart, in one wave per zone.
        Waves = 1,
        /// Released dispatchers return to the previous version.
        RollingBack = 2,
        /// All dispatchers have the new version.
        Completed = 3,
        /// All dispatchers have the previous version again.
        RolledBack = 4,
    }
}

impl ReleaseStage {
    /// Whether the release is over.
    pub fn is_final(self) -> bool {
        matches!(self, ReleaseStage::Completed | ReleaseStage::RolledBack)
    }
}

/// The content of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordValue {
    /// The record has ended.
    Tombstone,
    /// A unit is unavailable.
    Disruption {
        /// Dispatcher or engine.
        kind: UnitKind,
        /// The reason why the unit is unavailable.
        reason: DisruptionReason,
        /// The unit's zone.
        zone: u32,
        /// The dispatcher's session that the disruption ends; 0 for engines.
        session: u32,
        /// Random identifier drawn by the requester. A repeated request has the same identifier.
        grant_id: u64,
    },
    /// A halt: no new disruption is granted.
    Halt {
        /// Identifies this halt. A request to resume has to name it.
        number: u32,
        /// The leader that wrote the record.
        by: Id,
        /// Code of a [`crate::disruption_budget::HaltReason`].
        reason: u8,
    },
    /// State of a zone. crates/zone-evacuation defines the codes.
    Zone {
        /// The zone.
        zone: u32,
        /// Code of the stage: evacuated, or in recovery.
        stage: u8,
        /// Step of the recovery ramp.
        step: u8,
        /// Code of the reason.
        reason: u8,
        /// Number of the decision, which increases with each change of the zone.
        number: u32,
    },
    /// A release.
    Release {
        /// Number of the release.
        number: u32,
        /// The new version.
        to: u32,
        /// Only dispatchers with this version take part; 0: all dispatchers whose version is not `to`.
        from: u32,
        /// The stage of the release.
        stage: ReleaseStage,
    },
}

/// A version of a replicated register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    /// Identifies the register: see [`Record::unit_key`], [`Record::zone_key`], [`HALT_KEY`] and [`RELEASE_KEY`].
    pub key: u64,
    /// Orders the versions of the register.
    pub stamp: Stamp,
    /// The content.
    pub value: RecordValue,
}

impl Record {
    /// Key of the disruption of a dispatcher or an engine. It is never [`HALT_KEY`] or [`RELEASE_KEY`].
    pub fn unit_key(kind: UnitKind, id: Id) -> u64 {
        let salt = match kind {
            UnitKind::Dispatcher => DISPATCHER_KEY_SALT,
            UnitKind::Engine => ENGINE_KEY_SALT,
        };
        (id ^ salt).max(RELEASE_KEY + 1)
    }

    /// Key of the state of a zone.
    pub fn zone_key(zone: u32) -> u64 {
        u64::from(zone) | ZONE_KEY_PREFIX
    }

    /// Whether the record has ended.
    pub fn is_tombstone(&self) -> bool {
        self.value == RecordValue::Tombstone
    }
}

//! The replicated records. Of two records with one key, the one with the higher stamp is the later one.

/// Number of a dispatcher (as in membership) or of an engine.
pub type Id = u64;

/// Key of the record that halts all disruptions.
pub const HALT_KEY: u64 = 1;
/// Key of the record of the release.
pub const RELEASE_KEY: u64 = 2;

/// Keys of dispatchers and engines: the id, mixed with a constant for each kind so that the two don't collide.
const DISPATCHER_KEY_SALT: u64 = 0x5851_F42D_4C95_7F2D;
const ENGINE_KEY_SALT: u64 = 0x1405_7B7E_F767_814F;
/// Upper half of the keys of zones.
const ZONE_KEY_PREFIX: u64 = 0x5A4F_4E45 << 32;

/// The number under which a leader writes. Of two leaders in one round, the one with the higher id wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ballot {
    /// Goes up with each candidacy.
    pub round: u32,
    /// The candidate.
    pub leader: Id,
}

/// When a record was written: the leader's ballot, and the record's number under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// The ballot of the leader that wrote it.
    pub ballot: Ballot,
    /// Counts the records of this leader, from 1.
    pub number: u32,
}

/// What kind of unit a disruption is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum UnitKind {
    /// A dispatcher: a member of the fleet.
    Dispatcher = 0,
    /// An engine.
    Engine = 1,
}

impl UnitKind {
    /// All kinds, in the order of their codes.
    pub const ALL: [UnitKind; 2] = [UnitKind::Dispatcher, UnitKind::Engine];

    /// The kind with this code on the wire.
    pub fn from_code(code: u8) -> Option<Self> {
        UnitKind::ALL.get(usize::from(code)).copied()
    }
}

/// Why a unit is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum DisruptionReason {
    /// A dispatcher holds a restart lease.
    RestartLease = 0,
    /// The operators drain it.
    Drain = 1,
    /// Enough dispatchers found the engine failing.
    Ejected = 2,
    /// It disappeared without a lease, or did not come back from one.
    Lost = 3,
    /// The name service lists it as unavailable, which can't be refused.
    Announced = 4,
}

impl DisruptionReason {
    /// All reasons, in the order of their codes.
    pub const ALL: [DisruptionReason; 5] = [
        DisruptionReason::RestartLease,
        DisruptionReason::Drain,
        DisruptionReason::Ejected,
        DisruptionReason::Lost,
        DisruptionReason::Announced,
    ];

    /// The reason with this code on the wire.
    pub fn from_code(code: u8) -> Option<Self> {
        DisruptionReason::ALL.get(usize::from(code)).copied()
    }
}

/// How far a release is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum ReleaseStage {
    /// Only the canaries restart.
    Canaries = 0,
    /// All others restart, one wave for each zone.
    Waves = 1,
    /// Released dispatchers go back to the previous version.
    RollingBack = 2,
    /// All have the new version.
    Completed = 3,
    /// All went back.
    RolledBack = 4,
}

impl ReleaseStage {
    /// All stages, in the order of their codes.
    pub const ALL: [ReleaseStage; 5] = [
        ReleaseStage::Canaries,
        ReleaseStage::Waves,
        ReleaseStage::RollingBack,
        ReleaseStage::Completed,
        ReleaseStage::RolledBack,
    ];

    /// The stage with this code on the wire.
    pub fn from_code(code: u8) -> Option<Self> {
        ReleaseStage::ALL.get(usize::from(code)).copied()
    }

    /// Whether nothing of the release is left to do.
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
        /// Why it is unavailable.
        reason: DisruptionReason,
        /// Its zone.
        zone: u32,
        /// The session of the dispatcher's life that the disruption ends; 0 for engines.
        session: u32,
        /// Drawn by the requester for each disruption: a repeated request has the same one.
        grant_id: u64,
    },
    /// No new disruption is granted.
    Halt {
        /// Drawn for each halt, so that only this one can be resumed by it.
        number: u32,
        /// The leader that wrote it.
        by: Id,
        /// Code of a [`crate::disruption_budget::HaltReason`].
        reason: u8,
    },
    /// State of a zone, in the codes of crates/zone-evacuation.
    Zone {
        /// The zone.
        zone: u32,
        /// Code of the stage: evacuated, or in recovery.
        stage: u8,
        /// Step of the recovery ramp.
        step: u8,
        /// Code of the reason.
        reason: u8,
        /// Goes up with each change of the zone.
        number: u32,
    },
    /// A release.
    Release {
        /// Number of the release.
        number: u32,
        /// The new version.
        to: u32,
        /// Only dispatchers at this version take part; 0: all that are not at `to`.
        from: u32,
        /// How far it is.
        stage: ReleaseStage,
    },
}

/// One replicated register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    /// Names the register: see [`Record::unit_key`], [`Record::zone_key`], [`HALT_KEY`] and [`RELEASE_KEY`].
    pub key: u64,
    /// When it was written.
    pub stamp: Stamp,
    /// Its content.
    pub value: RecordValue,
}

impl Record {
    /// Key of the disruption of a dispatcher or an engine.
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

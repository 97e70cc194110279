//! The messages that members exchange beside those of the voters. [`crate::codec`] has their bytes.

use crate::rollout_plan::Release;
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{DisruptionReason, Id, LeasedRecord};
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::MemberReport;

/// What a member reports of itself, about once a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Digest of the records that it knows.
    pub digest: u32,
    /// The highest round among those records.
    pub round: u32,
    /// Its zone.
    pub zone: u32,
    /// Its version.
    pub version: u32,
    /// Drawn at each start.
    pub session: u32,
    /// Fraction of its capacity that is in use.
    pub utilization: f32,
    /// Threads that its queries run on.
    pub threads: f32,
    /// Requests that succeeded since its start.
    pub succeeded: u32,
    /// All requests since its start.
    pub total: u32,
    /// An engine that it finds failing; 0: none.
    pub failing_engine: u64,
    /// The last tick that it received from the voter that it reports to.
    pub echoed_tick: u32,
    /// The restart lease under which it was started; 0: none.
    pub grant_id: u64,
}

/// What a member or a client asks of the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Command {
    /// The state of the fleet.
    Status,
    /// A restart lease for a dispatcher.
    RequestLease {
        /// The dispatcher; 0: the member that is called.
        id: Id,
        /// The version that it comes back with; 0: the present one.
        to: u32,
        /// Drawn for each lease.
        grant_id: u64,
    },
    /// The dispatcher needs its lease no longer.
    ReturnLease {
        /// The dispatcher; 0: the member that is called.
        id: Id,
        /// The lease.
        grant_id: u64,
    },
    /// Drains an engine.
    Drain {
        /// The engine.
        engine: u64,
        /// Drawn for each drain.
        grant_id: u64,
    },
    /// Ends the drain or ejection of an engine.
    Undrain {
        /// The engine.
        engine: u64,
    },
    /// Starts a release.
    Release {
        /// Drawn for each release.
        number: u32,
        /// The new version.
        to: u32,
        /// Only members at this version take part; 0: all.
        from: u32,
    },
    /// Rolls a release back.
    RollBack {
        /// The release.
        number: u32,
    },
    /// Halts all disruptions.
    Halt {
        /// Drawn for each halt.
        number: u32,
    },
    /// Ends this halt, and no other.
    Resume {
        /// The halt.
        number: u32,
    },
    /// A lost dispatcher will not come back.
    Forget {
        /// The dispatcher.
        id: Id,
    },
    /// Evacuates a zone.
    EvacuateZone {
        /// The zone.
        zone: u32,
        /// Only checks whether the other zones would carry the load.
        dry_run: bool,
    },
    /// Returns to a zone, step by step.
    ReturnToZone {
        /// The zone.
        zone: u32,
    },
    /// Lists the zones that are not in normal use.
    ListZones,
}

/// The leader's answer to a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// There is no leader, or it was not reached: nothing new is granted.
    NoLeader,
    /// No majority has accepted it yet.
    Pending,
    /// A lease is granted.
    Granted {
        /// Its term (ms), from when it was first requested.
        remaining_ms: u32,
    },
    /// It is done.
    Done,
    /// All disruptions are halted.
    Halted {
        /// Why.
        reason: HaltReason,
        /// The leader that wrote the halt.
        by: Id,
        /// Number of the halt.
        number: u32,
    },
    /// A limit of the disruption budget is reached.
    BudgetExhausted {
        /// Which limit.
        scope: Scope,
        /// Units that are unavailable.
        unavailable: u32,
        /// Units that may be.
        max_unavailable: u32,
    },
    /// The last disruption is too recent.
    TooSoon {
        /// When to ask again, from now (ms).
        wait_ms: u32,
    },
    /// The unit is unavailable for another reason.
    AlreadyOut {
        /// That reason.
        reason: DisruptionReason,
    },
    /// The other units could not carry the load.
    InsufficientCapacity {
        /// The observed load.
        load: f32,
        /// The capacity that would remain.
        remaining: f32,
    },
    /// No such member or engine is known.
    UnknownUnit,
    /// Canaries or another zone are first.
    OthersFirst,
    /// The release pauses after a zone.
    PausedAfterZone,
    /// No release goes to that version.
    NoSuchRelease,
    /// It is so already.
    Already,
    /// Another release is in progress.
    ReleaseInProgress {
        /// That release.
        number: u32,
    },
    /// The release named no previous version, so it can't be rolled back.
    NoPreviousVersion,
    /// The state of the fleet.
    Status(Status),
    /// Too large a part of all cores would be evacuated.
    TooManyCoresEvacuated {
        /// The fraction of all cores.
        fraction: f32,
    },
    /// The zones that are not in normal use, each with the sum of the quotas that are granted in it.
    Zones(ZoneList),
}

/// Zones that fit in an answer.
pub const MAX_LISTED_ZONES: usize = 8;
/// Zones with their state and the sum of their granted quotas.
pub type ZoneList = [Option<ZoneEntry>; MAX_LISTED_ZONES];

/// The fleet as its leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Status {
    /// The leader.
    pub leader: Id,
    /// Dispatchers.
    pub members: u32,
    /// Dispatchers that are unavailable.
    pub unavailable: u32,
    /// Those of them that are lost.
    pub lost: u32,
    /// Engines.
    pub engines: u32,
    /// Engines that are unavailable.
    pub engines_unavailable: u32,
    /// Reason and number of the halt, if there is one.
    pub halt: Option<(HaltReason, u32)>,
    /// The last release.
    pub release: Option<Release>,
    /// Dispatchers at the version that the release goes to.
    pub released: u32,
    /// Dispatchers that still have to restart for it.
    pub remaining: u32,
    /// Pairs that the canary analysis compared.
    pub pairs: u32,
    /// Mean difference of the success rate, below 0 where the released dispatchers do worse.
    pub mean_difference: f32,
}

/// A message between members, or between a client and a member.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A member's report to a voter.
    Report(Report),
    /// A voter's answer to a report: who leads, and records that the member lacks.
    Gossip {
        /// The leader; 0: none is known.
        leader: Id,
        /// The voter's time (ms), its low 32 bits.
        tick: u32,
        /// Records.
        records: Vec<LeasedRecord>,
    },
    /// The leader asks a member for its records: it may know some that the voters have lost.
    RecordsRequest,
    /// A member's records.
    Records {
        /// The records.
        records: Vec<LeasedRecord>,
    },
    /// A member asks the leader, for itself or for a client.
    Command {
        /// The client's call.
        call: u64,
        /// The command.
        command: Command,
    },
    /// The answer to a command or a call.
    Answer {
        /// The client's call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client asks for a nonce to call with, so that recorded calls can't be replayed.
    Hello {
        /// Drawn for each call.
        call: u64,
    },
    /// The nonce.
    Nonce {
        /// The client's call.
        call: u64,
        /// Drawn by the member for this call.
        nonce: u64,
    },
    /// A client's command.
    Call {
        /// The client's call.
        call: u64,
        /// The member's nonce.
        nonce: u64,
        /// The command.
        command: Command,
    },
    /// What a member observes of zones.
    ZoneReport(MemberReport),
    /// The leader's answer to that.
    ZonePlan(LeaderReply),
}

//! Messages of members and clients, other than those that voters exchange. [`crate::codec`] encodes them.

use crate::rollout_plan::Release;
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{DisruptionReason, Id, LeasedRecord};
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::MemberReport;

/// A member's periodic report.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Digest of the member's copies of the records.
    pub digest: u32,
    /// The highest round among those records.
    pub round: u32,
    /// The member's zone.
    pub zone: u32,
    /// The member's version.
    pub version: u32,
    /// The member's session, drawn at random at each start.
    pub session: u32,
    /// Fraction of the member's capacity that is in use.
    pub utilization: f32,
    /// Number of engine threads that the member's queries use.
    pub threads: f32,
    /// Number of requests that succeeded since the start.
    pub succeeded: u32,
    /// Number of all requests since the start.
    pub total: u32,
    /// An engine that the member finds failing; 0: none.
    pub failing_engine: u64,
    /// The last tick that arrived from the receiver of the report; 0: none.
    pub echoed_tick: u32,
    /// The restart lease under which the member was started; 0: none.
    pub grant_id: u64,
}

/// A command of a member or client to the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Command {
    /// Returns the status of the fleet.
    Status,
    /// Requests a restart lease for a dispatcher.
    RequestLease {
        /// The dispatcher; 0: the member that is called.
        id: Id,
        /// The version after the restart; 0: the current version.
        to: u32,
        /// Identifier of the lease, drawn by the requester.
        grant_id: u64,
    },
    /// Gives back a dispatcher's restart lease.
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
        /// Identifier of the drain, drawn by the requester.
        grant_id: u64,
    },
    /// Ends the drain or ejection of an engine.
    Undrain {
        /// The engine.
        engine: u64,
    },
    /// Starts a release.
    Release {
        /// Number of the release, drawn by the requester.
        number: u32,
        /// The new version.
        to: u32,
        /// Only members with this version take part; 0: all.
        from: u32,
    },
    /// Rolls a release back.
    RollBack {
        /// The release.
        number: u32,
    },
    /// Halts all disruptions.
    Halt {
        /// Number of the halt, drawn by the requester.
        number: u32,
    },
    /// Ends the halt with this number.
    Resume {
        /// The halt.
        number: u32,
    },
    /// Records that a lost dispatcher will not come back.
    Forget {
        /// The dispatcher.
        id: Id,
    },
    /// Evacuates a zone.
    EvacuateZone {
        /// The zone.
        zone: u32,
        /// Whether only to check that the other zones can carry the load, without evacuating the zone.
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
    /// There is no leader, or it was not reached; nothing is granted.
    NoLeader,
    /// No majority has accepted the change yet.
    Pending,
    /// A lease is granted.
    Granted {
        /// The remaining term of the lease (ms), which the holder counts from its request.
        remaining_ms: u32,
    },
    /// The command is completed.
    Done,
    /// All disruptions are halted.
    Halted {
        /// Why all disruptions are halted.
        reason: HaltReason,
        /// The leader that wrote the halt.
        by: Id,
        /// Number of the halt.
        number: u32,
    },
    /// A limit of the disruption budget is reached.
    BudgetExhausted {
        /// The scope of the exhausted limit.
        scope: Scope,
        /// Number of units that are unavailable.
        unavailable: u32,
        /// Maximum number of units that may be unavailable.
        max_unavailable: u32,
    },
    /// The last disruption is too recent.
    TooSoon {
        /// Time until a retry may succeed (ms).
        wait_ms: u32,
    },
    /// Another disruption of the unit is on record, or the requested disruption is being ended.
    AlreadyOut {
        /// The reason on record.
        reason: DisruptionReason,
    },
    /// The other units could not carry the load. For engines the load is in threads and the capacity in cores, for
    /// zones both are in threads, and for dispatchers both are in multiples of one dispatcher's capacity.
    InsufficientCapacity {
        /// The observed load.
        load: f32,
        /// The capacity that would remain.
        remaining: f32,
    },
    /// No such member or engine is known.
    UnknownUnit,
    /// Canaries or another zone have to restart first.
    OthersFirst,
    /// The release pauses after a zone.
    PausedAfterZone,
    /// No release has that target version or number, or the dispatcher has not reported its version.
    NoSuchRelease,
    /// The requested state is in force already.
    Already,
    /// Another release is in progress.
    ReleaseInProgress {
        /// The number of the other release.
        number: u32,
    },
    /// The release names no previous version, so it cannot be rolled back.
    NoPreviousVersion,
    /// The status of the fleet.
    Status(Status),
    /// The evacuation would exceed the limit on the fraction of all cores.
    TooManyCoresEvacuated {
        /// The fraction of all cores that would be evacuated.
        fraction: f32,
    },
    /// The zones that are not in normal use, each with the sum of its granted quotas.
    Zones(ZoneList),
}

/// Maximum number of zones in an answer.
pub const MAX_LISTED_ZONES: usize = 8;
/// Zones, each with its status and the sum of its granted quotas.
pub type ZoneList = [Option<ZoneEntry>; MAX_LISTED_ZONES];

/// The status of the fleet as its leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Status {
    /// The leader.
    pub leader: Id,
    /// Number of dispatchers.
    pub members: u32,
    /// Number of dispatchers that are unavailable.
    pub unavailable: u32,
    /// Number of dispatchers that are lost.
    pub lost: u32,
    /// Number of engines.
    pub engines: u32,
    /// Number of engines that are unavailable.
    pub engines_unavailable: u32,
    /// Reason and number of the halt, if there is one.
    pub halt: Option<(HaltReason, u32)>,
    /// The last release.
    pub release: Option<Release>,
    /// Number of dispatchers with the target version of the release.
    pub released: u32,
    /// Number of dispatchers that still have to restart for the release.
    pub remaining: u32,
    /// Number of pairs in the canary analysis.
    pub pairs: u32,
    /// Mean difference of the success rate, negative if the released dispatchers perform worse.
    pub mean_difference: f32,
}

/// A message between members, or between a client and a member.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A member's report to a voter.
    Report(Report),
    /// A voter's answer to a report: the leader, and records that the member lacks.
    Gossip {
        /// The leader; 0: none is known.
        leader: Id,
        /// Low 32 bits of the voter's time (ms).
        tick: u32,
        /// Some of the records that the member lacks.
        records: Vec<LeasedRecord>,
    },
    /// The leader's request for a member's records, which may include records that the voters have lost.
    RecordsRequest,
    /// A member's records.
    Records {
        /// The records.
        records: Vec<LeasedRecord>,
    },
    /// A member's command to the leader, on behalf of itself or a client.
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
    /// A client requests a nonce for its call, so that recorded calls cannot be replayed.
    Hello {
        /// Identifier of the call, drawn by the client.
        call: u64,
    },
    /// The nonce of a call.
    Nonce {
        /// The client's call.
        call: u64,
        /// The nonce, drawn by the member for this call.
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
    /// A member's observations of zones.
    ZoneReport(MemberReport),
    /// The leader's answer to a zone report.
    ZonePlan(LeaderReply),
}

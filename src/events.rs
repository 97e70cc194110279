//! What the decisions are called with and what they write to: typed events, and [`DecisionSink`].
//!
//! A protocol turns what came in into these events, calls the handlers of [`Control`](crate::control::Control) with
//! them, and carries out what arrives at its `DecisionSink`. Times are milliseconds on the caller's clock.

/// Takes the decisions as they are made.
pub trait DecisionSink {
    /// Starts an attempt of query `query_id` on engine `engine_id`.
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits);
    /// Rejects a query; its client may come back after `retry_after_ms`.
    fn reject(&mut self, query_id: u64, retry_after_ms: f64);
    /// Ends a query with a final error.
    fn fail(&mut self, query_id: u64);
    /// Why the query is about to be rejected or failed: for logs and metrics.
    fn note_end_reason(&mut self, _query_id: u64, _reason: EndReason) {}
    /// Cancels one attempt of a query.
    fn cancel(&mut self, query_id: u64, attempt: usize);
    /// Sets priority and memory grant (MB; 0 leaves it to the engine) of the query's next attempts.
    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64);
    /// Starts a health check of an engine.
    fn check_health(&mut self, engine_id: u64);
    /// Sends a message to another dispatcher, or to all others.
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]);
    /// Asks for another round after `delay_ms`.
    fn set_timer(&mut self, delay_ms: f64, handle: u64);
    /// Asks for pushed updates of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// Why the decisions end a query without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// No engine may or should take it now: the pool is at its limits, or all are ejected, draining or warming up.
    NoEngine,
    /// The engine that was chosen may not take it any more.
    NotAllowed,
    /// A run would not complete before its client leaves.
    NotInTime,
    /// Its key's order held it back for too long.
    TurnTooLate,
    /// What is left of its run takes longer than its client gives.
    Hopeless,
}

impl EndReason {
    /// All reasons.
    pub const ALL: [EndReason; 5] = [
        EndReason::NoEngine,
        EndReason::NotAllowed,
        EndReason::NotInTime,
        EndReason::TurnTooLate,
        EndReason::Hopeless,
    ];

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::NoEngine => "no_engine",
            EndReason::NotAllowed => "not_allowed",
            EndReason::NotInTime => "not_in_time",
            EndReason::TurnTooLate => "turn_too_late",
            EndReason::Hopeless => "hopeless",
        }
    }
}

/// The time limits of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// The attempt is abandoned at this time (ms).
    pub deadline_ms: f64,
    /// An attempt that has not begun to go out by then (ms) must not go out: the rules allow it up to there.
    pub start_by_ms: f64,
    /// The query can be sent again even if this attempt runs and nobody learns of it.
    pub side_effect_free: bool,
}

/// What the analysis of a statement adds to what its client declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementTraits {
    /// Confidence in the cost estimate, from 0 to 1.
    pub confidence: f64,
    /// The statement may change tables, whatever its resource group promises.
    pub may_write: bool,
}

impl StatementTraits {
    /// The statement was not analysed: what its client declared holds.
    pub const UNKNOWN: StatementTraits = StatementTraits {
        confidence: 1.0,
        may_write: false,
    };
}

/// A query came in.
#[derive(Debug, Clone, Copy)]
pub struct QueryArrived<'a> {
    /// Number of the query, unique among those in flight.
    pub query_id: u64,
    /// Name of its resource group.
    pub group: &'a str,
    /// Name of its tenant; empty where there is none.
    pub tenant: &'a str,
    /// Ordering key, where the client gave one.
    pub key: Option<u64>,
    /// When its client gives up (ms).
    pub deadline_ms: f64,
    /// Estimated thread time (ms); 0 where there is no estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB).
    pub memory_mb: f64,
    /// The set of tables that it uses, as a number.
    pub tables: u32,
    /// What its text showed.
    pub statement: StatementTraits,
}

/// An attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnded {
    /// The query of the attempt.
    pub query_id: u64,
    /// Which of the query's attempts, counted from 0.
    pub attempt: usize,
    /// The engine that it ran on.
    pub engine_id: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The client already has the whole answer.
    pub answer_delivered: bool,
    /// From submission to the end (ms).
    pub latency_ms: f64,
    /// What the engine reported as used, where it reports that.
    pub used: Option<ResourceUsage>,
}

/// What an attempt used, by its engine's report. A value of 0 is not known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Thread time (ms).
    pub thread_ms: f64,
    /// Peak memory (MB).
    pub memory_mb: f64,
}

/// An engine's note on a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressNote {
    /// The query of the attempt.
    pub query_id: u64,
    /// Which of the query's attempts, counted from 0.
    pub attempt: usize,
    /// What the note is about.
    pub kind: NoteKind,
    /// Progress: the fraction done. Waiting: 2 for a wait behind a load. Otherwise of no meaning here.
    pub amount: f64,
}

/// What a [`ProgressNote`] is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// A fraction of the work is done.
    Progress,
    /// The attempt spills memory to disk.
    Spilling,
    /// The attempt waits for a lock.
    Waiting,
}

/// A health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthCheckEnded {
    /// The engine that was checked.
    pub engine_id: u64,
    /// `Completed` where it answered.
    pub outcome: Outcome,
}

/// A message from another dispatcher, in the form of [`peer_codec`](crate::peer_codec).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerMessage<'a> {
    /// Number of the sender.
    pub peer: u32,
    /// The bytes as they came; malformed ones are ignored.
    pub content: &'a [u8],
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a result.
    Completed,
    /// With an error of the engine's.
    Error,
    /// The engine refused it, being full.
    Full,
    /// No answer within its time limit.
    Timeout,
    /// No connection to the engine came up.
    NoConnection,
    /// The connection was lost before the answer.
    Reset,
    /// It was cancelled.
    Cancelled,
    /// It never went out.
    NotSent,
    /// It never began, and its engine is not the reason: it was taken back in time, or this dispatcher lacked a
    /// descriptor, a port or memory for a connection.
    Withdrawn,
}

impl Outcome {
    /// The attempt provably never ran.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Withdrawn
        )
    }

    /// The engine may still be running the attempt, or may have completed it.
    pub(crate) fn is_unknown(self) -> bool {
        matches!(self, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
    }
}

/// Which kind of endpoint list comes, or that none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only endpoints that changed.
    Delta,
    /// All endpoints; one that is left out is gone.
    Snapshot,
    /// All endpoints as last stored by this dispatcher: a newer list is to be asked for.
    Cached,
    /// The list could not be obtained.
    Failed,
}

/// An endpoint's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes queries.
    Ready,
    /// Ends what it has, takes nothing new.
    Draining,
    /// No longer there.
    Gone,
}

/// One endpoint of a list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointUpdate<'a> {
    /// Number of the engine.
    pub engine_id: u64,
    /// Its kind, by name.
    pub kind: &'a str,
    /// Its zone, by name.
    pub zone: &'a str,
    /// Its state.
    pub state: EndpointState,
    /// When its process started (ms), if that is known.
    pub started_ms: Option<f64>,
    /// Number of its cell.
    pub cell: u32,
}

/// A query names a resource group that the settings do not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown resource group {name:?}")]
pub struct UnknownResourceGroup {
    /// The name that came with the query.
    pub name: String,
}

impl UnknownResourceGroup {
    pub(crate) fn new(name: &str) -> Self {
        let name = name.to_owned();
        UnknownResourceGroup { name }
    }
}

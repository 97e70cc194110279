//! The interface of the decisions: the events that they receive, and [`DecisionSink`], which receives the decisions.
//!
//! A program turns its input into these events, calls the handlers of [`Control`](crate::control::Control) with them,
//! and carries out the decisions that its `DecisionSink` receives. Times are milliseconds on the caller's clock.

/// Receives the decisions as they are made.
pub trait DecisionSink {
    /// Starts an attempt of query `query_id` on engine `engine_id`.
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits);
    /// Rejects a query; its client may come back after `retry_after_ms`.
    fn reject(&mut self, query_id: u64, retry_after_ms: f64);
    /// Ends a query with a final error.
    fn fail(&mut self, query_id: u64);
    /// Reports why the query is about to be rejected or failed, for logs and metrics.
    fn note_end_reason(&mut self, _query_id: u64, _reason: EndReason) {}
    /// Cancels one attempt of a query.
    fn cancel(&mut self, query_id: u64, attempt: usize);
    /// Sets priority and memory grant of the query's next attempts (MB; with 0 the engine chooses).
    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64);
    /// Starts a health check of an engine.
    fn check_health(&mut self, engine_id: u64);
    /// Sends a message to another dispatcher, or to all others.
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]);
    /// Requests another round after `delay_ms`.
    fn set_timer(&mut self, delay_ms: f64, handle: u64);
    /// Requests pushed updates of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// Why the decisions end a query without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// No engine may or should take the query now: all are at their limits, ejected, draining or warming up.
    NoEngine,
    /// The engine that was chosen may not take the query any more.
    NotAllowed,
    /// A run would not complete before the deadline.
    NotInTime,
    /// The query waited for its key's turn until a run would not complete before the deadline.
    TurnTooLate,
    /// The remaining run time of the query's attempt exceeds the time until the deadline.
    Unattainable,
}

impl EndReason {
    /// All reasons.
    pub const ALL: [EndReason; 5] = [
        EndReason::NoEngine,
        EndReason::NotAllowed,
        EndReason::NotInTime,
        EndReason::TurnTooLate,
        EndReason::Unattainable,
    ];

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::NoEngine => "no_engine",
            EndReason::NotAllowed => "not_allowed",
            EndReason::NotInTime => "not_in_time",
            EndReason::TurnTooLate => "turn_too_late",
            EndReason::Unattainable => "hopeless",
        }
    }
}

/// The time limits of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// The attempt is abandoned at this time (ms).
    pub deadline_ms: f64,
    /// An attempt that has not started by this time (ms) must not start: the rules allow it until then only.
    pub start_by_ms: f64,
    /// The query can be sent again even if this attempt runs without an answer.
    pub side_effect_free: bool,
}

/// What the analysis of a statement shows, beyond what its client declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementTraits {
    /// Confidence in the cost estimate, from 0 to 1.
    pub confidence: f64,
    /// The statement may change tables, even if its resource group is read-only.
    pub may_write: bool,
}

impl StatementTraits {
    /// The traits of a statement that was not analysed.
    pub const UNKNOWN: StatementTraits = StatementTraits {
        confidence: 1.0,
        may_write: false,
    };
}

/// A query arrived.
#[derive(Debug, Clone, Copy)]
pub struct QueryArrived<'a> {
    /// Number of the query, unique among those in flight.
    pub query_id: u64,
    /// Name of its resource group.
    pub group: &'a str,
    /// Name of its tenant; empty where there is none.
    pub tenant: &'a str,
    /// Ordering key, if the query has one.
    pub key: Option<u64>,
    /// The client's deadline (ms).
    pub deadline_ms: f64,
    /// Estimated thread time (ms); 0 where there is no estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB).
    pub memory_mb: f64,
    /// The set of tables that the query uses, as a number.
    pub tables: u32,
    /// Traits of the statement.
    pub statement: StatementTraits,
}

/// An attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnded {
    /// The query of the attempt.
    pub query_id: u64,
    /// Which of the query's attempts, counted from 0.
    pub attempt: usize,
    /// The engine that the attempt was sent to.
    pub engine_id: u64,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The client already has the complete answer.
    pub answer_delivered: bool,
    /// From submission to the end (ms).
    pub latency_ms: f64,
    /// What the engine reported as used, where it reports that.
    pub used: Option<ResourceUsage>,
}

/// The resources that an attempt used, by its engine's report. A value of 0 is unknown.
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
    /// Progress: the fraction done. Waiting: 2 for a wait behind a load. Unused in other notes.
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
    /// `Completed` where the engine answered.
    pub outcome: Outcome,
}

/// A message from another dispatcher, in the form of [`peer_codec`](crate::peer_codec).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerMessage<'a> {
    /// Number of the sender.
    pub peer: u32,
    /// The bytes of the message; malformed ones are ignored.
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
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The attempt never started, and its engine is not the reason: it was withdrawn in time, or this dispatcher lacked
    /// a descriptor, a port or memory for a connection.
    Withdrawn,
}

impl Outcome {
    /// Whether the attempt certainly never ran.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Withdrawn
        )
    }

    /// Whether the engine may still run the attempt, or may have completed it.
    pub(crate) fn is_unknown(self) -> bool {
        matches!(self, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
    }
}

/// The kind of an endpoint list, or that none could be obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only endpoints that changed.
    Delta,
    /// All endpoints; a known endpoint that is missing is gone.
    Snapshot,
    /// All endpoints as last stored by this dispatcher: a newer list has to be requested.
    Cached,
    /// The list could not be obtained.
    Failed,
}

/// An endpoint's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new queries.
    Ready,
    /// Completes what is in flight and takes no new queries.
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
    /// When the engine's process started (ms), if that is known.
    pub started_ms: Option<f64>,
    /// Number of its cell.
    pub cell: u32,
}

/// A query names a resource group that the settings do not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown resource group {name:?}")]
pub struct UnknownResourceGroup {
    /// The name in the query.
    pub name: String,
}

impl UnknownResourceGroup {
    pub(crate) fn new(name: &str) -> Self {
        let name = name.to_owned();
        UnknownResourceGroup { name }
    }
}

//! The interface of [`Control`](crate::control::Control): the events that it handles, and [`DecisionSink`], which
//! receives its decisions.
//!
//! A program converts its input into these events, passes them to the handlers of `Control`, and carries out the
//! decisions that its `DecisionSink` receives. Times are milliseconds on the caller's clock.

/// Receives the decisions as they are made.
pub trait DecisionSink {
    /// Starts an attempt of query `query_id` on engine `engine_id`.
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits);
    /// Rejects a query. Its client may retry after `retry_after_ms`.
    fn reject(&mut self, query_id: u64, retry_after_ms: f64);
    /// Ends a query with a final error.
    fn fail(&mut self, query_id: u64);
    /// Reports, for logs and metrics, the reason for which a query is about to be rejected or failed.
    fn report_end_reason(&mut self, _query_id: u64, _reason: EndReason) {}
    /// Cancels one attempt of a query.
    fn cancel(&mut self, query_id: u64, attempt: usize);
    /// Sets the priority weight and the memory grant (MB) of the query's next attempts. With a grant of 0 the engine
    /// chooses the memory.
    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64);
    /// Starts a health check of an engine.
    fn check_health(&mut self, engine_id: u64);
    /// Sends a message to another dispatcher, or to all others.
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]);
    /// Requests another round of decisions after `delay_ms`. `handle` is the timer's number in the caller's protocol;
    /// `Control` always passes 0.
    fn set_timer(&mut self, delay_ms: f64, handle: u64);
    /// Subscribes to updates of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// Reason for which a query is ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// No engine accepts the query now: all are at their limits, ejected, draining, warming up or excluded by a rule.
    NoEngine,
    /// The rules no longer allow an attempt on the chosen engine.
    NotAllowed,
    /// A new attempt is not expected to complete before the deadline.
    NotInTime,
    /// The query waited in its ordering key's queue until an attempt could no longer complete before the deadline.
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

    /// Returns the name of the reason in logs and counters.
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

/// Time limits of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// Time at which the attempt times out (ms).
    pub deadline_ms: f64,
    /// Time (ms) by which the attempt must have started; the rules do not allow a later start.
    pub start_by_ms: f64,
    /// Whether the query can be retried even if this attempt ran and its answer was lost.
    pub side_effect_free: bool,
}

/// Properties of a statement found by analysis, in addition to those that its client declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementTraits {
    /// Confidence in the cost estimate, from 0 to 1.
    pub confidence: f64,
    /// Whether the statement may change tables, even if its resource group is read-only.
    pub may_write: bool,
}

impl StatementTraits {
    /// The traits of a statement that was not analysed.
    pub const UNKNOWN: StatementTraits = StatementTraits {
        confidence: 1.0,
        may_write: false,
    };
}

/// Event: a query arrived.
#[derive(Debug, Clone, Copy)]
pub struct QueryArrived<'a> {
    /// Number of the query, unique among those in flight.
    pub query_id: u64,
    /// Name of its resource group.
    pub group: &'a str,
    /// Name of its tenant; empty if it has none.
    pub tenant: &'a str,
    /// Ordering key, if the query has one.
    pub key: Option<u64>,
    /// The client's deadline (ms).
    pub deadline_ms: f64,
    /// Estimated thread time (ms); 0 if there is no estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB).
    pub memory_mb: f64,
    /// Number that identifies the set of tables that the query uses.
    pub tables: u32,
    /// Traits of the statement.
    pub statement: StatementTraits,
}

/// Event: an attempt completed, failed, or was cancelled or withdrawn.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnded {
    /// Number of the query.
    pub query_id: u64,
    /// Number of the attempt within its query, from 0.
    pub attempt: usize,
    /// Number of the engine that the attempt was assigned to.
    pub engine_id: u64,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the client already has the complete answer.
    pub answer_delivered: bool,
    /// Time from the submission to the outcome (ms).
    pub latency_ms: f64,
    /// Resource usage that the engine reported, if any.
    pub used: Option<ResourceUsage>,
}

/// Resources that an attempt used, as reported by its engine. A value of 0 means unknown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Thread time (ms).
    pub thread_ms: f64,
    /// Peak memory (MB).
    pub memory_mb: f64,
}

/// Event: an engine sent a note on a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressNote {
    /// Number of the query.
    pub query_id: u64,
    /// Number of the attempt within its query, from 0.
    pub attempt: usize,
    /// Kind of the note.
    pub kind: NoteKind,
    /// For `Progress`, the fraction done. For `Waiting`, 2 if the attempt waits for a load. Unused for `Spilling`.
    pub amount: f64,
}

/// Kind of a [`ProgressNote`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// A fraction of the work is done.
    Progress,
    /// The attempt spills memory to disk.
    Spilling,
    /// The attempt waits for a lock.
    Waiting,
}

/// Event: a health check completed or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthCheckEnded {
    /// Number of the engine that was checked.
    pub engine_id: u64,
    /// Outcome of the check; `Completed` if the engine answered.
    pub outcome: Outcome,
}

/// Event: another dispatcher sent a message, encoded by [`peer_codec`](crate::peer_codec).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerMessage<'a> {
    /// Number of the dispatcher that sent the message.
    pub peer: u32,
    /// Encoded message; a malformed message is ignored.
    pub content: &'a [u8],
}

/// Outcome of an attempt or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine returned a result.
    Completed,
    /// The engine returned an error.
    Error,
    /// The engine refused the attempt because it was at its capacity.
    Full,
    /// No answer arrived within the time limit.
    Timeout,
    /// No connection to the engine could be established.
    NoConnection,
    /// The connection was lost before the answer.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The attempt never started, for a reason other than its engine: it was withdrawn before it began, or this
    /// dispatcher lacked a file descriptor, a port or memory for a connection.
    Withdrawn,
}

impl Outcome {
    /// Returns whether the attempt certainly never ran.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Withdrawn
        )
    }

    /// Returns whether the engine may still be running the attempt or may have completed it.
    pub(crate) fn is_unknown(self) -> bool {
        matches!(self, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
    }
}

/// Kind of an endpoint list, or [`Failed`](Self::Failed) if none could be obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the endpoints that changed.
    Delta,
    /// All endpoints. A known endpoint that is not listed is gone.
    Snapshot,
    /// All endpoints, as last stored by this dispatcher. A current list is requested if the platform sends it only on
    /// request.
    Cached,
    /// The list could not be obtained.
    Failed,
}

/// State of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The engine accepts new queries.
    Ready,
    /// The engine completes the attempts in flight and accepts no new queries.
    Draining,
    /// The engine no longer exists.
    Gone,
}

/// One entry of an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointUpdate<'a> {
    /// Number of the engine.
    pub engine_id: u64,
    /// Name of the engine's kind.
    pub kind: &'a str,
    /// Name of the engine's zone.
    pub zone: &'a str,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Time at which the engine's process started (ms), if known.
    pub started_ms: Option<f64>,
    /// Number of the engine's cell.
    pub cell: u32,
}

/// Error: the resource group of a query is not in the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown resource group {name:?}")]
pub struct UnknownResourceGroup {
    /// Name of the resource group in the query.
    pub name: String,
}

impl UnknownResourceGroup {
    pub(crate) fn new(name: &str) -> Self {
        let name = name.to_owned();
        UnknownResourceGroup { name }
    }
}

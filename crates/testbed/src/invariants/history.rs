//! The history of queries, attempts and engines up to the current entry of a record. Times are milliseconds.

/// A query and its attempts.
#[derive(Debug, Default)]
pub(super) struct QueryHistory {
    pub class: String,
    pub asked_ms: f64,
    pub max_wait_ms: f64,
    pub key: Option<String>,
    /// The times at which the client received answers.
    pub answered_ms: Vec<f64>,
    /// Whether no answer is expected any more: the client disconnected, or the query is excluded or lost.
    pub abandoned: bool,
    /// The time at which the client disconnected.
    pub disconnected_ms: Option<f64>,
    pub attempts: Vec<Attempt>,
    /// The number of times that the query's effect was applied.
    pub effects_applied: usize,
}

impl QueryHistory {
    /// Whether the client has an answer or expects none.
    pub fn is_finished(&self) -> bool {
        self.abandoned || !self.answered_ms.is_empty()
    }

    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempt_in_flight().is_some()
    }

    /// The earliest attempt in flight.
    pub fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.end.is_none())
    }

    /// The first attempt that may have run or may still run.
    pub fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// An attempt at an engine.
#[derive(Debug)]
pub(super) struct Attempt {
    pub engine: String,
    pub arrived_ms: f64,
    pub end: Option<AttemptEnd>,
}

impl Attempt {
    /// Whether the statement may have run. An attempt in flight counts as one that may.
    pub fn may_have_run(&self) -> bool {
        self.end.is_none_or(|end| end.may_have_run)
    }
}

/// The completion, failure, rejection or cancellation of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub at_ms: f64,
    pub may_have_run: bool,
    /// Whether it is unknown if the statement ran.
    pub is_uncertain: bool,
}

impl AttemptEnd {
    /// A completion, failure or rejection that the engine reported.
    pub fn certain(at_ms: f64, may_have_run: bool) -> Self {
        AttemptEnd {
            at_ms,
            may_have_run,
            is_uncertain: false,
        }
    }

    /// A cancellation, or the loss of the connection.
    pub fn uncertain(at_ms: f64) -> Self {
        AttemptEnd {
            at_ms,
            may_have_run: true,
            is_uncertain: true,
        }
    }
}

/// An engine's entry in the endpoint list, its last start and the attempts that reached it.
#[derive(Debug, Default)]
pub(super) struct EngineHistory {
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    /// The time at which it was listed as draining or gone; none while it is listed as ready.
    pub closed_ms: Option<f64>,
    pub start: Option<EngineStart>,
    pub arrivals: Vec<Arrival>,
}

/// A start of an engine, after which it warms up.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineStart {
    pub at_ms: f64,
    pub cores: f64,
}

/// An attempt's arrival at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub at_ms: f64,
    /// The query's work on one core (ms).
    pub work_ms: f64,
}

//! The history of queries, attempts and engines up to the current entry of a record. Times are milliseconds.

/// A query and its attempts.
#[derive(Debug, Default)]
pub(super) struct QueryHistory {
    pub class: String,
    pub asked_ms: f64,
    pub max_wait_ms: f64,
    pub key: Option<String>,
    /// When answers were received.
    pub answered_ms: Vec<f64>,
    /// Whether no answer is expected any more: the client left, or its query is excluded or lost.
    pub abandoned: bool,
    /// When the client left.
    pub left_ms: Option<f64>,
    pub attempts: Vec<Attempt>,
    /// How often its effect was applied.
    pub effects_applied: usize,
}

impl QueryHistory {
    /// Whether the client has an answer or expects none.
    pub fn is_over(&self) -> bool {
        self.abandoned || !self.answered_ms.is_empty()
    }

    /// Whether an attempt has not ended yet.
    pub fn has_open_attempt(&self) -> bool {
        self.open_attempt().is_some()
    }

    /// An attempt that has not ended yet.
    pub fn open_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.end.is_none())
    }

    /// The first attempt that may have run, or may still run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
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
    /// Whether its statement may have run, which is also assumed while its end is not known.
    pub fn may_have_run(&self) -> bool {
        self.end.is_none_or(|end| end.may_have_run)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub at_ms: f64,
    pub may_have_run: bool,
    /// Whether it is unknown if the attempt ran.
    pub is_uncertain: bool,
}

impl AttemptEnd {
    /// An end that the engine reported.
    pub fn certain(at_ms: f64, may_have_run: bool) -> Self {
        AttemptEnd {
            at_ms,
            may_have_run,
            is_uncertain: false,
        }
    }

    /// An end by cancellation or with the connection.
    pub fn uncertain(at_ms: f64) -> Self {
        AttemptEnd {
            at_ms,
            may_have_run: true,
            is_uncertain: true,
        }
    }
}

/// An engine as it was listed, and what reached it.
#[derive(Debug, Default)]
pub(super) struct EngineHistory {
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    /// Since when it is listed as draining or gone.
    pub closed_ms: Option<f64>,
    pub start: Option<EngineStart>,
    pub arrivals: Vec<Arrival>,
}

/// A start of an engine, from which on it warms up.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineStart {
    pub at_ms: f64,
    pub cores: f64,
}

/// An attempt's arrival at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub at_ms: f64,
    /// Work on one core (ms).
    pub work_ms: f64,
}

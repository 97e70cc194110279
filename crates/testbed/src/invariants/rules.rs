//! The parameters of the seven rules, and their violations. Times are milliseconds.

use std::collections::HashMap;
use std::fmt;

/// Tolerance of time limits on loopback, for a busy machine (ms).
const LOOPBACK_SLACK_MS: f64 = 50.0;
/// How long after its announcement as closed an engine may still be sent to (ms).
const CLOSED_GRACE_MS: f64 = 1000.0;

/// The parameters of the rules.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Tolerance of every time limit, for delays of the machine on which the run takes place.
    pub slack_ms: f64,
    /// Up to how much after its client's time an answer counts as late instead of lost.
    pub late_answer_ms: f64,
    /// Rule 3: how long after its announcement as draining or gone an engine may still be sent to.
    pub grace_ms: f64,
    /// Rule 4; none where it does not apply.
    pub warm_up: Option<WarmUpRule>,
    /// Rule 5: how long a key cools down after an attempt whose end is unknown.
    pub cooldown_ms: f64,
    /// Rule 7; none where it does not apply.
    pub retry_budget: Option<RetryBudget>,
    /// What holds for each class, by its name in the record.
    pub classes: HashMap<String, ClassRules>,
}

/// Rule 4: within a span, an engine that is warming up sustains a multiple of its initial capacity.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// The multiple of its initial capacity that the engine sustains.
    pub multiple: f64,
    /// The initial speed as a fraction of the full speed.
    pub initial_fraction: f64,
    /// The span over which work is summed (ms).
    pub span_ms: f64,
    /// How long after its start an engine is warm (ms).
    pub warm_after_ms: f64,
}

/// Rule 7: within a span, at most `free` retries and a fraction of the queries sent in it.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// The span over which retries and queries are counted (ms).
    pub span_ms: f64,
    /// Retries that are always allowed in a span.
    pub free: f64,
    /// Additional retries for each query sent in the span.
    pub query_fraction: f64,
}

/// What a query does to data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The query changes nothing and may be retried anywhere.
    ReadOnly,
    /// The query carries a key by which engines recognise a retry.
    IdempotencyKey,
    /// A second run is a second effect.
    NonIdempotent,
}

/// Where engines recognise a retry by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// On all engines.
    All,
    /// On engines of the zone of the first attempt.
    Zone,
    /// On engines of the cell of the first attempt.
    Cell,
}

/// What holds for the queries of one class.
#[derive(Debug, Clone)]
pub struct ClassRules {
    /// What its queries do to data.
    pub effect: Effect,
    /// Where a retry is recognised by its key.
    pub dedup_scope: DedupScope,
    /// For how long a retry is recognised by its key (ms).
    pub dedup_window_ms: f64,
    /// Whether queries of one key run one after the other, in the order in which they were sent.
    pub in_order: bool,
    /// Rule 6: zones in which it may run; none where it may run in all.
    pub zones: Option<Vec<String>>,
    /// Rule 6: kinds of engine on which it may run; none where it may run on all.
    pub kinds: Option<Vec<String>>,
}

impl Rules {
    /// The rules of a run on loopback whose classes have these rules: no slow start, no cooldown of keys, and no retry
    /// budget.
    pub fn of_classes(classes: impl IntoIterator<Item = (String, ClassRules)>) -> Self {
        Rules {
            slack_ms: LOOPBACK_SLACK_MS,
            late_answer_ms: 0.0,
            grace_ms: CLOSED_GRACE_MS,
            warm_up: None,
            cooldown_ms: 0.0,
            retry_budget: None,
            classes: classes.into_iter().collect(),
        }
    }
}

impl ClassRules {
    /// A class that may run anywhere and in any order, with no dedup window.
    pub fn of(effect: Effect) -> Self {
        ClassRules {
            effect,
            dedup_scope: DedupScope::All,
            dedup_window_ms: 0.0,
            in_order: false,
            zones: None,
            kinds: None,
        }
    }
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule's number, from 1 to 7.
    pub rule: u8,
    /// Milliseconds since the start of the record.
    pub at_ms: f64,
    /// A description with the ids of query and engine.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "rule {} at {:.0} ms: {}",
            self.rule, self.at_ms, self.description
        )
    }
}

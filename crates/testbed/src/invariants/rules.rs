//! The parameters of the seven rules, and their violations. Times are milliseconds.

use std::collections::HashMap;
use std::fmt;

/// Tolerance of time limits on loopback, for scheduling delays of a busy machine (ms).
const LOOPBACK_SLACK_MS: f64 = 50.0;
/// Time after an engine was listed as draining or gone within which attempts may still be sent to it (ms).
const CLOSED_GRACE_MS: f64 = 1000.0;

/// The parameters of the rules.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Tolerance of every time limit, for scheduling delays of the machine that executes the run.
    pub slack_ms: f64,
    /// Time after the client's deadline within which an answer is accepted as late.
    pub late_answer_ms: f64,
    /// Rule 3: time after an engine was listed as draining or gone within which attempts may still be sent to it.
    pub grace_ms: f64,
    /// Rule 4; `None` if it is not checked.
    pub warm_up: Option<WarmUpRule>,
    /// Rule 5: cooldown of an ordering key after an attempt whose outcome is unknown.
    pub cooldown_ms: f64,
    /// Rule 7; `None` if it is not checked.
    pub retry_budget: Option<RetryBudget>,
    /// The rules of each class, by its name in the record.
    pub classes: HashMap<String, ClassRules>,
}

/// Rule 4: within a span, an engine that is warming up sustains a multiple of its initial capacity.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// The multiple of its initial capacity that the engine sustains.
    pub multiple: f64,
    /// The initial speed as a fraction of the full speed.
    pub initial_fraction: f64,
    /// Length of the sliding span over which work is summed (ms).
    pub span_ms: f64,
    /// Time after its start at which an engine is warm (ms).
    pub warm_after_ms: f64,
}

/// Rule 7: within a span, at most `free` retries plus a fraction of the queries sent in it.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Length of the sliding span over which retries and queries are counted (ms).
    pub span_ms: f64,
    /// Retries that are always allowed in a span.
    pub free: f64,
    /// Additional retries for each query sent in the span.
    pub query_fraction: f64,
}

/// The effect of a query on data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The query changes nothing and may be retried anywhere.
    ReadOnly,
    /// The query carries an idempotency key, by which engines recognise a retry.
    IdempotencyKey,
    /// A second run applies the effect a second time.
    NonIdempotent,
}

/// The engines that recognise a retry by its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines in the zone of the first attempt.
    Zone,
    /// The engines in the cell of the first attempt.
    Cell,
}

/// The rules for the queries of one class.
#[derive(Debug, Clone)]
pub struct ClassRules {
    /// The effect of its queries on data.
    pub effect: Effect,
    /// The engines that recognise a retry by its idempotency key.
    pub dedup_scope: DedupScope,
    /// Time within which a retry is recognised by its idempotency key (ms).
    pub dedup_window_ms: f64,
    /// Whether queries of one ordering key run one after the other, in the order in which they were sent.
    pub in_order: bool,
    /// Rule 6: zones in which its queries may run; `None` if all are allowed.
    pub zones: Option<Vec<String>>,
    /// Rule 6: kinds of engines on which its queries may run; `None` if all are allowed.
    pub kinds: Option<Vec<String>>,
}

impl Rules {
    /// The rules of a run on loopback with these classes. Slow start, the cooldown of ordering keys and the retry
    /// budget are not checked.
    pub fn for_classes(classes: impl IntoIterator<Item = (String, ClassRules)>) -> Self {
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
    /// A class that may run on all engines and in any order, with a dedup window of zero.
    pub fn for_effect(effect: Effect) -> Self {
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

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule's number, from 1 to 7.
    pub rule: u8,
    /// Milliseconds since the start of the record.
    pub at_ms: f64,
    /// A description with the ids of the query and the engine.
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

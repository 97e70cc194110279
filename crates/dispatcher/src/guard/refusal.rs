//! Why the guard refuses to let an attempt begin.

use super::violation::Rule;
use tansymux::events::Outcome;

/// Why the guard refused to let an attempt begin. The text is the name in counters and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginRefusal {
    /// The query was answered or its client left while the attempt was queued.
    #[error("query_over")]
    QueryOver,
    /// The attempt is not the one in flight for its query.
    #[error("not_current_attempt")]
    NotCurrentAttempt,
    /// The connection has carried an earlier attempt of the query, whose late replies could be mistaken for replies
    /// to this attempt.
    #[error("connection_used")]
    ConnectionUsed,
    /// The query's client has disconnected.
    #[error("client_disconnected")]
    ClientDisconnected,
    /// The query's client may have disconnected behind bytes that are not read.
    #[error("client_unknown")]
    ClientUnknown,
    /// The attempt's deadline has passed.
    #[error("deadline_passed")]
    DeadlinePassed,
    /// The attempt's start limit has passed: the latest time at which the rules let it begin, for example the end of
    /// its dedup window.
    #[error("too_late_to_begin")]
    TooLateToBegin,
    /// The engine is draining or gone.
    #[error("engine_closed")]
    EngineClosed,
    /// The engine process that the attempt was placed on has been replaced.
    #[error("engine_replaced")]
    EngineReplaced,
    /// The resource group may not use this zone or kind of engine.
    #[error("placement_forbidden")]
    PlacementForbidden,
    /// The retry budget is used up.
    #[error("retry_budget_used")]
    RetryBudgetUsed,
}

impl BeginRefusal {
    /// All reasons.
    pub const ALL: [BeginRefusal; 11] = [
        BeginRefusal::QueryOver,
        BeginRefusal::NotCurrentAttempt,
        BeginRefusal::ConnectionUsed,
        BeginRefusal::ClientDisconnected,
        BeginRefusal::ClientUnknown,
        BeginRefusal::DeadlinePassed,
        BeginRefusal::TooLateToBegin,
        BeginRefusal::EngineClosed,
        BeginRefusal::EngineReplaced,
        BeginRefusal::PlacementForbidden,
        BeginRefusal::RetryBudgetUsed,
    ];

    /// Returns the rule that the rest of the program violated by queueing the attempt. Returns `None` for reasons
    /// that can arise while the attempt is queued: a client that leaves, or time that passes.
    pub fn violated_rule(self) -> Option<Rule> {
        match self {
            BeginRefusal::QueryOver
            | BeginRefusal::ClientDisconnected
            | BeginRefusal::ClientUnknown
            | BeginRefusal::DeadlinePassed
            | BeginRefusal::TooLateToBegin => None,
            BeginRefusal::NotCurrentAttempt | BeginRefusal::ConnectionUsed => {
                Some(Rule::EffectOnce)
            }
            BeginRefusal::EngineClosed | BeginRefusal::EngineReplaced => Some(Rule::Drain),
            BeginRefusal::PlacementForbidden => Some(Rule::Placement),
            BeginRefusal::RetryBudgetUsed => Some(Rule::RetryBudget),
        }
    }

    /// Returns the outcome of an attempt that was refused for this reason. After [`Outcome::NotSent`] the admission
    /// controller ends the query; after [`Outcome::Withdrawn`] it may submit another attempt.
    pub fn outcome(self) -> Outcome {
        match self {
            BeginRefusal::ClientUnknown => Outcome::NotSent,
            _ => Outcome::Withdrawn,
        }
    }
}

//! Reasons for which an attempt may not begin.

use super::violation::Rule;

/// The reasons, and their names in counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginRefusal {
    /// The query was answered or its client left while the attempt was queued.
    #[error("query_over")]
    QueryOver,
    /// Another attempt of the query is in flight, or none.
    #[error("not_current_attempt")]
    NotCurrentAttempt,
    /// Its connection has carried an earlier attempt of the query, whose late replies would be taken for its own.
    #[error("connection_used")]
    ConnectionUsed,
    /// The attempt's deadline has passed.
    #[error("deadline_passed")]
    DeadlinePassed,
    /// The time until which the rules allowed the attempt has passed, for example the end of its dedup window.
    #[error("too_late_to_begin")]
    TooLateToBegin,
    /// The engine is draining or gone.
    #[error("engine_closed")]
    EngineClosed,
    /// The process that the attempt was placed on has been replaced by another one.
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
    pub const ALL: [BeginRefusal; 9] = [
        BeginRefusal::QueryOver,
        BeginRefusal::NotCurrentAttempt,
        BeginRefusal::ConnectionUsed,
        BeginRefusal::DeadlinePassed,
        BeginRefusal::TooLateToBegin,
        BeginRefusal::EngineClosed,
        BeginRefusal::EngineReplaced,
        BeginRefusal::PlacementForbidden,
        BeginRefusal::RetryBudgetUsed,
    ];

    /// The rule that the rest of the program violated by queueing the attempt; `None` if time, a client or the endpoint list
    /// may have changed while the attempt was queued.
    pub fn violated_rule(self) -> Option<Rule> {
        match self {
            BeginRefusal::QueryOver
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
}

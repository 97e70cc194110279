//! Why an attempt may not begin.

use super::violation::Rule;

/// The reasons, and their names in counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginRefusal {
    /// Its answer was given or its client left while it waited.
    #[error("query_over")]
    QueryOver,
    /// Another attempt of its query is in flight, or none.
    #[error("not_current_attempt")]
    NotCurrentAttempt,
    /// The client's time is over.
    #[error("deadline_passed")]
    DeadlinePassed,
    /// The rules allowed it up to a time that is over, for example the end of its dedup window.
    #[error("too_late_to_begin")]
    TooLateToBegin,
    /// Its engine drains or is gone.
    #[error("engine_closed")]
    EngineClosed,
    /// Another process than the one that it was placed on is listed now.
    #[error("engine_replaced")]
    EngineReplaced,
    /// Its group may not use this zone or kind of engine.
    #[error("placement_forbidden")]
    PlacementForbidden,
    /// The retries of the span are used up.
    #[error("retry_budget_used")]
    RetryBudgetUsed,
}

impl BeginRefusal {
    /// All reasons.
    pub const ALL: [BeginRefusal; 8] = [
        BeginRefusal::QueryOver,
        BeginRefusal::NotCurrentAttempt,
        BeginRefusal::DeadlinePassed,
        BeginRefusal::TooLateToBegin,
        BeginRefusal::EngineClosed,
        BeginRefusal::EngineReplaced,
        BeginRefusal::PlacementForbidden,
        BeginRefusal::RetryBudgetUsed,
    ];

    /// The rule that would have been broken by an attempt that should never have come so far; none where time, a client
    /// or a list may cross with an attempt that waits.
    pub fn violated_rule(self) -> Option<Rule> {
        match self {
            BeginRefusal::QueryOver
            | BeginRefusal::DeadlinePassed
            | BeginRefusal::TooLateToBegin => None,
            BeginRefusal::NotCurrentAttempt => Some(Rule::EffectOnce),
            BeginRefusal::EngineClosed | BeginRefusal::EngineReplaced => Some(Rule::Drain),
            BeginRefusal::PlacementForbidden => Some(Rule::Placement),
            BeginRefusal::RetryBudgetUsed => Some(Rule::RetryBudget),
        }
    }
}

//! The guard: decides whether an attempt's first byte may go out now, whether an answer may be written, whether a client's
//! connection may close and whether the process may end. No I/O, no clock.
//!
//! The decisions place queries by the rules; the guard stands where bytes leave and looks once more, with what is known
//! then. Its answers are permits that only it can make and that each of these steps consumes: code that has none does
//! not compile. The end of the process alone is looked at and not held up: the platform ends it anyway. What the rest of the program should never have asked for is a [`Violation`]: refused, counted by rule,
//! logged with the ids, and a panic in debug builds. docs/design/invariants.md maps each rule to its deciding place.
//!
//! Start reading at [`Guard::may_begin`].

mod ledger;
mod rate_window;
mod refusal;
mod rules;
mod violation;

pub use ledger::{AnswerPermit, ClosePermit, ConnectionLedger};
pub use refusal::BeginRefusal;
pub use rules::GuardRules;
pub use violation::{Rule, Violation, RULES};

use rate_window::RateWindow;
use std::cell::RefCell;
use tansymux::events::EndpointState;

/// Retries beyond the budget's own figures that the protocol's tolerance allows: a fraction and one retry.
const BUDGET_TOLERANCE: f64 = 1.15;

/// What is known of an attempt as its first byte is about to go out. Times are milliseconds of the program's clock.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFacts<'a> {
    /// The query in the registry; none where it is over and forgotten.
    pub query: Option<QueryFacts<'a>>,
    /// Which of the query's attempts this is, from 0.
    pub attempt: usize,
    /// When the attempt is given up.
    pub deadline_ms: f64,
    /// By when it has to begin.
    pub start_by_ms: f64,
    /// The engine as the list has it; none where it left the list.
    pub endpoint: Option<EndpointFacts<'a>>,
}

/// What the registry knows of a query.
#[derive(Debug, Clone, Copy)]
pub struct QueryFacts<'a> {
    /// Its answer was given, or its client left.
    pub is_over: bool,
    /// The attempt that is in flight, if one is.
    pub attempt_in_flight: Option<usize>,
    /// Its resource group.
    pub resource_group: &'a str,
}

/// What the list says of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EndpointFacts<'a> {
    /// Whether it takes queries.
    pub state: EndpointState,
    /// Its zone, by name.
    pub zone: &'a str,
    /// Its machine type, by name.
    pub kind: &'a str,
    /// The connection leads to the process that is listed now.
    pub is_same_process: bool,
}

/// An attempt's request may begin to go out, with this time limit. Only the guard makes one.
#[derive(Debug)]
pub struct BeginPermit {
    limit_ms: u64,
}

impl BeginPermit {
    /// How long (ms) the dispatcher will wait, as the engine is told: what is left now.
    pub fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// A permit for tests of what consumes it.
    #[cfg(test)]
    pub fn for_test(limit_ms: u64) -> Self {
        BeginPermit { limit_ms }
    }
}

/// The guard of one dispatcher.
#[derive(Debug, Default)]
pub struct Guard {
    rules: GuardRules,
    arrivals: RefCell<RateWindow>,
    retries: RefCell<RateWindow>,
}

impl Guard {
    /// A guard by these rules.
    pub fn new(rules: GuardRules) -> Self {
        let span_ms = rules.retry_budget.map_or(0.0, |budget| budget.span_ms);
        Guard {
            rules,
            arrivals: RefCell::new(RateWindow::new(span_ms)),
            retries: RefCell::new(RateWindow::new(span_ms)),
        }
    }

    /// A query was admitted: it adds to the retry budget.
    pub fn on_query_admitted(&self, now_ms: f64) {
        self.arrivals.borrow_mut().count(now_ms);
    }

    /// Whether the first byte of an attempt's request may go out now.
    ///
    /// # Errors
    /// Why not; the attempt is to be taken back then. [`BeginRefusal::violated_rule`] tells whether it should never have
    /// come so far.
    pub fn may_begin(
        &self,
        facts: &AttemptFacts,
        now_ms: f64,
    ) -> Result<BeginPermit, BeginRefusal> {
        let query = facts.query.ok_or(BeginRefusal::QueryOver)?;
        if query.is_over {
            return Err(BeginRefusal::QueryOver);
        }
        if query.attempt_in_flight != Some(facts.attempt) {
            return Err(BeginRefusal::NotCurrentAttempt);
        }
        if now_ms >= facts.deadline_ms {
            return Err(BeginRefusal::DeadlinePassed);
        }
        if now_ms >= facts.start_by_ms {
            return Err(BeginRefusal::TooLateToBegin);
        }
        let endpoint = facts.endpoint.ok_or(BeginRefusal::EngineClosed)?;
        if endpoint.state != EndpointState::Ready {
            return Err(BeginRefusal::EngineClosed);
        }
        if !endpoint.is_same_process {
            return Err(BeginRefusal::EngineReplaced);
        }
        if !self.rules.allows_placement(query.resource_group, &endpoint) {
            return Err(BeginRefusal::PlacementForbidden);
        }
        if facts.attempt > 0 && !self.has_retry_budget(now_ms) {
            return Err(BeginRefusal::RetryBudgetUsed);
        }
        let limit_ms = (facts.deadline_ms - now_ms).floor().max(1.0) as u64;
        Ok(BeginPermit { limit_ms })
    }

    /// The first byte of an attempt's request went out.
    pub fn on_attempt_begun(&self, attempt: usize, now_ms: f64) {
        if attempt > 0 {
            self.retries.borrow_mut().count(now_ms);
        }
    }

    fn has_retry_budget(&self, now_ms: f64) -> bool {
        let Some(budget) = self.rules.retry_budget else {
            return true;
        };
        let arrivals = self.arrivals.borrow_mut().sum(now_ms);
        let retries = self.retries.borrow_mut().sum(now_ms);
        let allowed = budget.free + budget.ratio * arrivals as f64;
        (retries + 1) as f64 <= BUDGET_TOLERANCE * allowed + 1.0
    }

    /// Whether the process may end, with so many queries unanswered.
    ///
    /// # Errors
    /// Queries are owed an answer.
    pub fn may_end(&self, unanswered: usize) -> Result<(), Violation> {
        if unanswered == 0 {
            return Ok(());
        }
        Err(Violation {
            rule: Rule::FinalAnswer,
            what: "the process ends while queries are owed an answer",
        })
    }
}

#[cfg(test)]
mod tests;

//! The guard: decides whether an attempt's first byte may be written, whether an answer may be written, whether a
//! client's connection may close, and whether the process may end. Performs no I/O and reads no clock.
//!
//! The admission controller ([`tansymux::control`]) follows the rules when it places a query. The guard checks them
//! again when the bytes are written, against the state at that time. Each of the first three steps consumes a permit,
//! which only the guard can create: code without a permit does not compile. The end of the process is only checked, not
//! prevented, because the platform ends the process anyway. A step that the rest of the program should never request
//! is a [`Violation`]: it is refused, counted by rule, logged with the ids, and panics in debug builds.
//! docs/design/invariants.md maps each rule to the code that enforces it.
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

use crate::client_presence::ClientPresence;
use rate_window::RateWindow;
use std::cell::RefCell;
use tansymux::events::EndpointState;

/// Factor by which the protocol allows retries to exceed the budget. One more retry is allowed on top.
const BUDGET_TOLERANCE: f64 = 1.15;

/// The state of an attempt whose first byte is about to be written. Times are milliseconds of the program's clock.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFacts<'a> {
    /// The query in the registry; `None` once it is over and removed.
    pub query: Option<QueryFacts<'a>>,
    /// Number of the attempt within its query, from 0.
    pub attempt: usize,
    /// Time at which the attempt is abandoned.
    pub deadline_ms: f64,
    /// Time before which the attempt must begin.
    pub start_by_ms: f64,
    /// The engine's entry in the endpoint list; `None` once it has left the list.
    pub endpoint: Option<EndpointFacts<'a>>,
}

/// The state of a query in the registry.
#[derive(Debug, Clone, Copy)]
pub struct QueryFacts<'a> {
    /// Whether the query was answered, or its client left.
    pub is_over: bool,
    /// Number of the attempt in flight, if there is one.
    pub attempt_in_flight: Option<usize>,
    /// Whether an earlier attempt of the query was written to this attempt's connection.
    pub is_connection_used: bool,
    /// Whether the query's client is connected.
    pub client: ClientPresence,
    /// The query's resource group.
    pub resource_group: &'a str,
}

/// The fields of an engine's entry in the endpoint list that the guard uses.
#[derive(Debug, Clone, Copy)]
pub struct EndpointFacts<'a> {
    /// The engine's state.
    pub state: EndpointState,
    /// The name of the engine's zone.
    pub zone: &'a str,
    /// The name of the engine's machine type.
    pub kind: &'a str,
    /// Whether the connection leads to the process in the current list, not to an earlier process of the engine.
    pub is_same_process: bool,
}

/// Permission to write an attempt's request, with its time limit. Only the guard creates it.
#[derive(Debug)]
pub struct BeginPermit {
    limit_ms: u64,
}

impl BeginPermit {
    /// Returns the time limit of the request (ms): the time left until the attempt's deadline.
    pub fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// Creates a permit for tests.
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
    /// Creates a guard that enforces `rules`.
    pub fn new(rules: GuardRules) -> Self {
        let span_ms = rules.retry_budget.map_or(0.0, |budget| budget.span_ms);
        Guard {
            rules,
            arrivals: RefCell::new(RateWindow::new(span_ms)),
            retries: RefCell::new(RateWindow::new(span_ms)),
        }
    }

    /// Records that a query was admitted, which adds to the retry budget.
    pub fn on_query_admitted(&self, now_ms: f64) {
        self.arrivals.borrow_mut().count(now_ms);
    }

    /// Returns the permit to write the first byte of an attempt's request now.
    ///
    /// # Errors
    /// The attempt may not begin, and must be withdrawn. [`BeginRefusal::violated_rule`] returns the rule that the
    /// rest of the program violated by requesting the attempt, if any.
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
        if query.is_connection_used {
            return Err(BeginRefusal::ConnectionUsed);
        }
        match query.client {
            ClientPresence::Connected => {}
            ClientPresence::Unknown => return Err(BeginRefusal::ClientUnknown),
            ClientPresence::Disconnected => return Err(BeginRefusal::ClientDisconnected),
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

    /// Records that the first byte of an attempt's request was written.
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

    /// Checks whether the process may end with `unanswered` queries.
    ///
    /// # Errors
    /// At least one query is not answered yet.
    pub fn may_end(&self, unanswered: usize) -> Result<(), Violation> {
        if unanswered == 0 {
            return Ok(());
        }
        Err(Violation {
            rule: Rule::FinalAnswer,
            description: "the process ends while queries are unanswered",
        })
    }
}

#[cfg(test)]
mod tests;

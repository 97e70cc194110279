//! Violations: steps that break a rule, which the rest of the program should never request.

use std::fmt;

/// The rules that the guard enforces, with their numbers in the operators' protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// One final answer per query, in time, and nothing after it.
    FinalAnswer = 1,
    /// No effect is applied twice.
    EffectOnce = 2,
    /// No new attempt on an engine that is draining or gone.
    Drain = 3,
    /// Attempts only in zones and on kinds of engine that the resource group may use.
    Placement = 6,
    /// Retries within the retry budget.
    RetryBudget = 7,
}

/// All rules that the guard enforces.
pub const RULES: [Rule; 5] = [
    Rule::FinalAnswer,
    Rule::EffectOnce,
    Rule::Drain,
    Rule::Placement,
    Rule::RetryBudget,
];

impl Rule {
    /// Returns the rule's number in the operators' protocol.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// A step that was refused because it would have violated a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The refused step.
    pub description: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "rule {}: {}",
            self.rule.number(),
            self.description
        )
    }
}

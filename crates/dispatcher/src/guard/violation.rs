//! Violations: what the rest of the program should never ask for.

use std::fmt;

/// The rules that the guard holds up, by their number in the operators' protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// One final answer, in time, and nothing after it.
    FinalAnswer = 1,
    /// No effect twice.
    EffectOnce = 2,
    /// Nothing new to an engine that drains or is gone.
    Drain = 3,
    /// Only zones and kinds that the group may use.
    Placement = 6,
    /// Retries within their budget.
    RetryBudget = 7,
}

/// All of them.
pub const RULES: [Rule; 5] = [
    Rule::FinalAnswer,
    Rule::EffectOnce,
    Rule::Drain,
    Rule::Placement,
    Rule::RetryBudget,
];

impl Rule {
    /// Its number.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// A step that was refused as it would have broken a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was refused.
    pub what: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "rule {}: {}", self.rule.number(), self.what)
    }
}

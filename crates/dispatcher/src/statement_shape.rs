//! What the analysis of a statement leaves with its query until the attempts of that have ended.
//!
//! A module below both the query registry, which carries it, and the statement classifier, which reads it.

use std::rc::Rc;
use tansymux_sql_analysis::Class;

/// A statement without its literals, and what the analysis made of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementShape {
    /// Hash of the statement's tokens with its literals left out.
    pub shape_id: u128,
    /// The class that its features give it.
    pub class: Class,
    /// The cost that its features alone give it (thread time, ms).
    pub cost_ms: f64,
}

/// A classified query whose attempt has ended.
#[derive(Debug)]
pub struct ClassifiedAttempt {
    /// What the analysis of its statement left.
    pub shape: StatementShape,
    /// The resource group that it ran in.
    pub group: Rc<str>,
    /// The attempt waited for a lock.
    pub waited: bool,
}

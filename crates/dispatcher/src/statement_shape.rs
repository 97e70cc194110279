//! The result of a statement's analysis that is kept with its query until the query's attempts have ended.
//!
//! This module is below both the query registry, which keeps the result, and the statement classifier, which uses it.

use std::rc::Rc;
use tansymux_sql_analysis::Class;

/// The shape of a statement (its tokens without literals) with the result of its analysis.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementShape {
    /// Hash of the shape.
    pub shape_id: u128,
    /// The class by the shape's features.
    pub class: Class,
    /// The cost by the shape's features alone, without learned costs (thread time, ms).
    pub cost_ms: f64,
}

/// A classified query whose attempt has ended.
#[derive(Debug)]
pub struct ClassifiedAttempt {
    /// The shape of the query's statement.
    pub shape: StatementShape,
    /// The resource group that the query ran in.
    pub group: Rc<str>,
    /// Whether the attempt waited for a table lock.
    pub waited: bool,
}

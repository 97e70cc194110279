//! Result of a statement's analysis, kept with its query until all attempts of the query have ended.
//!
//! The query registry stores the result and the statement classifier uses it; both depend on this module.

use std::rc::Rc;
use tansymux_sql_analysis::Class;

/// Shape of a statement (its tokens without literals), with the result of its analysis.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementShape {
    /// Hash of the shape.
    pub shape_id: u128,
    /// Class by the shape's features.
    pub class: Class,
    /// Cost (ms on one core) by the shape's features alone, without learned costs.
    pub cost_ms: f64,
}

/// Ended attempt of a classified query.
#[derive(Debug)]
pub struct ClassifiedAttempt {
    /// Shape of the query's statement.
    pub shape: StatementShape,
    /// Resource group that the query ran in.
    pub group: Rc<str>,
    /// Whether the attempt waited for a table lock.
    pub waited: bool,
}

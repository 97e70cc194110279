//! Syntactic features of a statement.

/// Syntactic features of a statement, including those of its subqueries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Features {
    /// Number of joined tables beyond the first of each FROM.
    pub joins: u32,
    /// Number of tables read or written.
    pub tables: u32,
    /// Number of queries within the outermost query.
    pub subqueries: u32,
    /// Number of window function calls.
    pub windows: u32,
    /// Whether the statement has GROUP BY.
    pub grouped: bool,
    /// Whether the statement has DISTINCT.
    pub distinct: bool,
    /// Whether the statement calls an aggregate function other than as a window function.
    pub aggregated: bool,
    /// Whether the statement has UNION, EXCEPT or INTERSECT.
    pub set_operation: bool,
    /// Whether the statement has ORDER BY.
    pub ordered: bool,
    /// Whether the statement has LIMIT, FETCH or TOP.
    pub limited: bool,
    /// Whether the statement has WITH RECURSIVE.
    pub recursive: bool,
    /// Whether WHERE of the outermost query requires a column to equal a literal, or one of a list of literals, for
    /// every row.
    pub point_lookup: bool,
    /// Whether any SELECT has WHERE or a semi join.
    pub filtered: bool,
}

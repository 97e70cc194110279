//! What the grammar shows of a statement.

/// Features of a statement with its subqueries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Features {
    /// Joined tables beyond the first of each FROM.
    pub joins: u32,
    /// Tables that are read or written.
    pub tables: u32,
    /// Queries within the outermost.
    pub subqueries: u32,
    /// Window functions.
    pub windows: u32,
    /// It has GROUP BY.
    pub grouped: bool,
    /// It has DISTINCT.
    pub distinct: bool,
    /// It calls an aggregate function.
    pub aggregated: bool,
    /// It has UNION, EXCEPT or INTERSECT.
    pub set_operation: bool,
    /// It has ORDER BY.
    pub ordered: bool,
    /// It has LIMIT, FETCH or TOP.
    pub limited: bool,
    /// It has WITH RECURSIVE.
    pub recursive: bool,
    /// A column must equal a literal, or one of a list, for every row.
    pub point_lookup: bool,
    /// It has WHERE.
    pub filtered: bool,
}

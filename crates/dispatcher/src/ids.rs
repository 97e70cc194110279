//! Identifiers.

use std::fmt;

/// The number of a connection to an engine, unique since the program's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Identifies an attempt of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The query's number in the registry.
    pub query_id: u64,
    /// The attempt's number within the query, from 0.
    pub number: usize,
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

//! Identifiers of connections, engines and attempts.

use std::fmt;

/// Number of a connection to an engine, unique within a run of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Number of an engine, derived from its name: 32 bits, printed as eight hex digits in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineId(pub u64);

/// Identifier of an attempt of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The query's number in the registry.
    pub query_id: u64,
    /// The attempt's number within the query, from 0.
    pub number: usize,
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

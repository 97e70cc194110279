//! Routing: maps a request's method and path to a query or a status page.

use super::protocol::{
    COUNTERS_PATH, HEALTH_PATH, LEVELS_AFTER_PATH, LEVELS_PATH, QUERY_PATH, ZONES_PATH,
};

/// The target of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Route<'a> {
    /// A query.
    Query,
    /// The health page: whether this dispatcher accepts queries.
    Health,
    /// The counters page, as text.
    Counters,
    /// The service levels page, as JSON.
    Levels {
        /// The version that the client has: it waits for a different one.
        after: Option<&'a str>,
    },
    /// The zones page, as JSON.
    Zones,
    /// A status page, requested with a method other than GET.
    MethodNotAllowed,
    /// Any other method and path.
    Unknown,
}

impl<'a> Route<'a> {
    /// The route of a method and a path. `is_statements_path` returns whether a path is the one for queries without a
    /// resource group, which the operators' file sets.
    pub fn of(method: &str, path: &'a str, is_statements_path: impl FnOnce(&str) -> bool) -> Self {
        match (method, path) {
            ("POST", _) if path.starts_with(QUERY_PATH) || is_statements_path(path) => Route::Query,
            ("GET", HEALTH_PATH) => Route::Health,
            ("GET", COUNTERS_PATH) => Route::Counters,
            ("GET", LEVELS_PATH) => Route::Levels { after: None },
            ("GET", _) if path.starts_with(LEVELS_AFTER_PATH) => Route::Levels {
                after: path.strip_prefix(LEVELS_AFTER_PATH),
            },
            ("GET", ZONES_PATH) => Route::Zones,
            (_, HEALTH_PATH | COUNTERS_PATH | LEVELS_PATH | ZONES_PATH) => Route::MethodNotAllowed,
            _ => Route::Unknown,
        }
    }
}

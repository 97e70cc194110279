//! Routing: which page or query a request is for.

use super::protocol::{
    COUNTERS_PATH, HEALTH_PATH, LEVELS_AFTER_PATH, LEVELS_PATH, QUERY_PATH, ZONES_PATH,
};

/// The target of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Route<'a> {
    /// A query.
    Query,
    /// Whether this dispatcher takes queries.
    Health,
    /// The counters, as text.
    Counters,
    /// The service levels, as JSON.
    Levels {
        /// The version that the client knows: it waits for a later one.
        after: Option<&'a str>,
    },
    /// The zones, as JSON.
    Zones,
    /// A page by another method than GET.
    MethodNotAllowed,
    /// No path of this program.
    Unknown,
}

impl<'a> Route<'a> {
    /// The route of a method and a path. `is_bare_path` returns whether a path is the operators' path for
    /// queries without a resource group.
    pub fn of(method: &str, path: &'a str, is_bare_path: impl FnOnce(&str) -> bool) -> Self {
        match (method, path) {
            ("POST", _) if path.starts_with(QUERY_PATH) || is_bare_path(path) => Route::Query,
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

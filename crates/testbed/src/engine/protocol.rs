//! The words of the engines' protocol. They are written from the published protocol and deliberately not shared with the
//! program under test, which must agree with them.

/// What a dispatcher requests of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Request {
    /// Runs a query.
    Fetch,
    /// Cancels a query.
    Abort,
    /// Requests a page of a result other than the first.
    Page,
    /// Releases a result.
    Release,
    /// Checks whether the engine answers.
    HealthCheck,
    /// A request to which the testbed's engines do not reply.
    Other,
}

impl Request {
    /// The request of a frame's first field.
    pub fn parse(word: &str) -> Self {
        match word {
            "fetch" => Request::Fetch,
            "abort" => Request::Abort,
            "more" => Request::Page,
            "done" => Request::Release,
            "alive" | "stats" => Request::HealthCheck,
            _ => Request::Other,
        }
    }
}

/// An engine's reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    /// The query is completed; its rows follow.
    Done,
    /// The engine is full; the query has not run.
    Full,
    /// The query's time was over before it ran.
    Expired,
    /// The query failed, or the engine does not have the page.
    Failed,
    /// A page of the result other than the first.
    Page,
    /// The query's progress.
    Progress,
    /// The engine is healthy.
    Healthy,
}

impl Reply {
    /// The reply's word.
    pub fn as_str(self) -> &'static str {
        match self {
            Reply::Done => "DONE",
            Reply::Full => "WAIT",
            Reply::Expired => "PAST",
            Reply::Failed => "BROKE",
            Reply::Page => "MORE",
            Reply::Progress => "TELL",
            Reply::Healthy => "FIT",
        }
    }
}

/// The fields of a reply that has none.
pub(super) const NO_FIELDS: &str = "-";
/// The name of a request's time limit in its list of fields (ms).
pub(super) const LIMIT_FIELD: &str = "limit";
/// The fields of a result that fits into one page.
pub(super) const ONE_PAGE: &str = "batches=1";

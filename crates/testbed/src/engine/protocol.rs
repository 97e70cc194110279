//! Request and reply words of the engine protocol. They follow the published protocol and are deliberately not shared
//! with the program under test, so that a deviation of the program is detected.

/// A request of a dispatcher to an engine.
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
    /// Checks whether the engine is alive.
    HealthCheck,
    /// Any other request; the testbed's engines do not reply to it.
    Other,
}

impl Request {
    /// Parses the first field of a frame.
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
    /// The query's time limit had passed before the query ran.
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
    /// The word of the reply in the protocol.
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

/// Placeholder in a reply without fields.
pub(super) const NO_FIELDS: &str = "-";
/// Name of the field with a request's time limit (ms).
pub(super) const LIMIT_FIELD: &str = "limit";
/// Fields of the reply with a result of one page.
pub(super) const ONE_PAGE: &str = "batches=1";

//! Why an engine's reply is ignored, with the names of the reasons in logs and counters.

use thiserror::Error;

/// Why an engine's reply is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IgnoredReply {
    /// Nothing with the reply's id is in flight on its connection: the reply is late, a duplicate, or has an unknown
    /// id.
    #[error("not_in_flight")]
    NotInFlight,
    /// The first page of the result had already arrived.
    #[error("duplicate_first_page")]
    DuplicateFirstPage,
    /// This page of the result had already arrived.
    #[error("duplicate_page")]
    DuplicatePage,
    /// The reply is a progress note of an unused kind, or without a finite amount.
    #[error("unused_note")]
    UnusedNote,
}

impl IgnoredReply {
    /// All reasons, in the order of their counters.
    pub const ALL: [IgnoredReply; 4] = [
        IgnoredReply::NotInFlight,
        IgnoredReply::DuplicateFirstPage,
        IgnoredReply::DuplicatePage,
        IgnoredReply::UnusedNote,
    ];
}

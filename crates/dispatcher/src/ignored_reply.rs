//! Why a reply of an engine is ignored, in logs and counters.

use thiserror::Error;

/// Why a reply of an engine has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IgnoredReply {
    /// Nothing is in flight under its id on its connection: it is late, a duplicate, or for nobody.
    #[error("not_in_flight")]
    NotInFlight,
    /// The first page arrived before.
    #[error("duplicate_first_page")]
    DuplicateFirstPage,
    /// This page arrived before.
    #[error("duplicate_page")]
    DuplicatePage,
    /// A progress note of an unused kind, or without a finite amount.
    #[error("unused_note")]
    UnusedNote,
}

impl IgnoredReply {
    /// All reasons.
    pub const ALL: [IgnoredReply; 4] = [
        IgnoredReply::NotInFlight,
        IgnoredReply::DuplicateFirstPage,
        IgnoredReply::DuplicatePage,
        IgnoredReply::UnusedNote,
    ];
}

//! Why connections end, with their names in logs and counters.

use thiserror::Error;

/// Why a client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClientClose {
    /// Its client closed or reset it.
    #[error("by_client")]
    ByClient,
    /// Nothing came on it for too long.
    #[error("idle")]
    Idle,
    /// Its entry was needed for another one.
    #[error("evicted")]
    Evicted,
    /// What came could not be used, and was answered with an error.
    #[error("refused")]
    Refused,
    /// Its last answer was given: its client or the end of the program asked for it.
    #[error("after_answer")]
    AfterAnswer,
    /// It could not be read or written.
    #[error("failed")]
    Failed,
}

impl ClientClose {
    /// All reasons.
    pub const ALL: [ClientClose; 6] = [
        ClientClose::ByClient,
        ClientClose::Idle,
        ClientClose::Evicted,
        ClientClose::Refused,
        ClientClose::AfterAnswer,
        ClientClose::Failed,
    ];
}

/// Why a connection to an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EngineClose {
    /// The engine closed it.
    #[error("by_engine")]
    ByEngine,
    /// It idled, or its engine drains, left or was replaced.
    #[error("retired")]
    Retired,
    /// What came on it could not be used.
    #[error("protocol")]
    Protocol,
    /// A request was taken back after some of its bytes were written.
    #[error("half_written")]
    HalfWritten,
    /// It was silent, and its engine accepts no other.
    #[error("unreachable")]
    Unreachable,
    /// It was silent after it had idled, and its engine accepts others.
    #[error("forgotten")]
    Forgotten,
    /// It did not come up in time.
    #[error("connect_timeout")]
    ConnectTimeout,
    /// This machine lacked what a connection needs.
    #[error("local_fault")]
    LocalFault,
    /// It was refused, reset or could not be read or written.
    #[error("failed")]
    Failed,
}

impl EngineClose {
    /// All reasons.
    pub const ALL: [EngineClose; 9] = [
        EngineClose::ByEngine,
        EngineClose::Retired,
        EngineClose::Protocol,
        EngineClose::HalfWritten,
        EngineClose::Unreachable,
        EngineClose::Forgotten,
        EngineClose::ConnectTimeout,
        EngineClose::LocalFault,
        EngineClose::Failed,
    ];
}

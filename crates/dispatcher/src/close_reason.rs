//! Reasons for which connections end, with their names in logs and counters.

use thiserror::Error;

/// Why a client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClientClose {
    /// The client closed or reset it.
    #[error("by_client")]
    ByClient,
    /// No byte arrived for too long.
    #[error("idle")]
    Idle,
    /// Its entry was needed for another connection.
    #[error("evicted")]
    Evicted,
    /// An unusable request was answered with an error.
    #[error("refused")]
    Refused,
    /// It was closed after an answer, at the client's request or during shutdown.
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
    /// It was idle for too long, or its engine is draining, gone or replaced.
    #[error("retired")]
    Retired,
    /// The engine violated the protocol.
    #[error("protocol")]
    Protocol,
    /// A request was withdrawn after some of its bytes were written.
    #[error("half_written")]
    HalfWritten,
    /// The engine sent too many replies without effect.
    #[error("flood")]
    Flood,
    /// The engine did not read the end of an attempt in time.
    #[error("end_not_read")]
    EndNotRead,
    /// It was silent, and the engine accepts no other connection.
    #[error("unreachable")]
    Unreachable,
    /// It was silent after it had idled, and the engine accepts other connections.
    #[error("forgotten")]
    Forgotten,
    /// It did not come up in time.
    #[error("connect_timeout")]
    ConnectTimeout,
    /// This machine lacked a resource for the connection.
    #[error("local_fault")]
    LocalFault,
    /// It was refused, reset or could not be read or written.
    #[error("failed")]
    Failed,
}

impl EngineClose {
    /// All reasons.
    pub const ALL: [EngineClose; 11] = [
        EngineClose::ByEngine,
        EngineClose::Retired,
        EngineClose::Protocol,
        EngineClose::HalfWritten,
        EngineClose::Flood,
        EngineClose::EndNotRead,
        EngineClose::Unreachable,
        EngineClose::Forgotten,
        EngineClose::ConnectTimeout,
        EngineClose::LocalFault,
        EngineClose::Failed,
    ];
}

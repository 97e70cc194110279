//! Why connections were closed, with the names of the reasons in logs and counters.

use thiserror::Error;

/// Why a client's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClientCloseReason {
    /// The client closed or reset the connection.
    #[error("by_client")]
    ByClient,
    /// No byte arrived within the idle timeout.
    #[error("idle")]
    Idle,
    /// The connection was closed to make room for a new one.
    #[error("evicted")]
    Evicted,
    /// A request was refused with an error: invalid, incomplete, or over a limit.
    #[error("refused")]
    Refused,
    /// The connection was closed after an answer, at the client's request or during shutdown.
    #[error("after_answer")]
    AfterAnswer,
    /// The connection could not be read or written.
    #[error("failed")]
    Failed,
}

impl ClientCloseReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [ClientCloseReason; 6] = [
        ClientCloseReason::ByClient,
        ClientCloseReason::Idle,
        ClientCloseReason::Evicted,
        ClientCloseReason::Refused,
        ClientCloseReason::AfterAnswer,
        ClientCloseReason::Failed,
    ];
}

/// Why a connection to an engine was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EngineCloseReason {
    /// The engine closed the connection.
    #[error("by_engine")]
    ByEngine,
    /// The connection was idle for too long, or its engine is draining, gone or replaced.
    #[error("retired")]
    Retired,
    /// The engine violated the protocol.
    #[error("protocol")]
    Protocol,
    /// A request was withdrawn after some of its bytes were written.
    #[error("half_written")]
    HalfWritten,
    /// The engine sent too many replies that were ignored.
    #[error("flood")]
    Flood,
    /// The engine did not read an attempt's last command (its abort or the release of its result) in time.
    #[error("end_not_read")]
    EndNotRead,
    /// The connection was silent, and new connections to the engine did not come up.
    #[error("unreachable")]
    Unreachable,
    /// The connection was silent since its reuse after idling, and a new connection to the engine came up.
    #[error("forgotten")]
    Forgotten,
    /// The connection did not come up in time.
    #[error("connect_timeout")]
    ConnectTimeout,
    /// This machine lacked a descriptor, a port or memory for the connection.
    #[error("local_fault")]
    LocalFault,
    /// The connection was refused or reset, or could not be read or written.
    #[error("failed")]
    Failed,
}

impl EngineCloseReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [EngineCloseReason; 11] = [
        EngineCloseReason::ByEngine,
        EngineCloseReason::Retired,
        EngineCloseReason::Protocol,
        EngineCloseReason::HalfWritten,
        EngineCloseReason::Flood,
        EngineCloseReason::EndNotRead,
        EngineCloseReason::Unreachable,
        EngineCloseReason::Forgotten,
        EngineCloseReason::ConnectTimeout,
        EngineCloseReason::LocalFault,
        EngineCloseReason::Failed,
    ];
}

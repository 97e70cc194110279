//! Errors that close a connection to an engine.

use super::LocalFault;
use crate::close_reason::EngineCloseReason;
use crate::engine::connection::CloseReason;
use crate::engine::protocol_error::ProtocolError;
use std::io;
use thiserror::Error;

/// Why a connection was closed, unless it was retired or the engine closed it.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The dispatcher closed the connection.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// The connection did not come up in time.
    #[error("connect timeout")]
    ConnectTimeout,
    /// A fault of this machine kept the connection from reaching its engine.
    #[error("{0}")]
    Local(LocalFault),
    /// The connection could not be opened, read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ProtocolError> for ChannelError {
    fn from(error: ProtocolError) -> Self {
        ChannelError::Closed(CloseReason::Protocol(error))
    }
}

impl ChannelError {
    /// Whether the engine violated the protocol.
    pub fn is_protocol_error(&self) -> bool {
        matches!(self, ChannelError::Closed(CloseReason::Protocol(_)))
    }

    /// Whether a fault of this machine kept the connection from reaching its engine.
    pub fn is_local_fault(&self) -> bool {
        matches!(self, ChannelError::Local(_))
    }

    /// Whether the dispatcher closed the connection, rather than the engine or the network.
    pub fn is_closed_locally(&self) -> bool {
        match self {
            ChannelError::Closed(_) => true,
            ChannelError::ConnectTimeout | ChannelError::Local(_) => false,
            ChannelError::Io(error) => error.kind() == io::ErrorKind::NotConnected,
        }
    }

    /// Whether the engine or a middlebox reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(self, ChannelError::Io(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// The close reason for logs and counters.
    pub fn close_reason(&self) -> EngineCloseReason {
        match self {
            ChannelError::Closed(CloseReason::Protocol(_)) => EngineCloseReason::Protocol,
            ChannelError::Closed(CloseReason::RequestPartlyWritten) => {
                EngineCloseReason::HalfWritten
            }
            ChannelError::Closed(CloseReason::Flood) => EngineCloseReason::Flood,
            ChannelError::Closed(CloseReason::LastCommandNotRead) => EngineCloseReason::EndNotRead,
            ChannelError::Closed(CloseReason::EngineUnreachable) => EngineCloseReason::Unreachable,
            ChannelError::Closed(CloseReason::SilentAfterReuse) => EngineCloseReason::Forgotten,
            ChannelError::ConnectTimeout => EngineCloseReason::ConnectTimeout,
            ChannelError::Local(_) => EngineCloseReason::LocalFault,
            ChannelError::Io(_) => EngineCloseReason::Failed,
        }
    }
}

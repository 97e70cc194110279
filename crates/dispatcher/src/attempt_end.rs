//! What ended an attempt, and when that proves that its engine no longer runs it.

use thiserror::Error;

/// What ended an attempt, from the point of view of this dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EndCause {
    /// The engine's final reply.
    #[error("final_reply")]
    FinalReply,
    /// The engine's first page arrived, and a later page is lost.
    #[error("result_lost")]
    ResultLost,
    /// No byte of its request was written.
    #[error("not_begun")]
    NotBegun,
    /// Its request was written in part, and its connection closes: the engine never receives all of it.
    #[error("half_written")]
    HalfWritten,
    /// Its connection did not come up.
    #[error("not_connected")]
    NotConnected,
    /// Its connection was reset.
    #[error("reset")]
    Reset,
    /// The engine ended the stream, which may be a half-close.
    #[error("end_of_stream")]
    EndOfStream,
    /// Its connection could not be read or written, for another reason than a reset.
    #[error("connection_failed")]
    ConnectionFailed,
    /// This side closed its connection.
    #[error("closed_here")]
    ClosedHere,
    /// This side aborted it.
    #[error("aborted")]
    Aborted,
}

/// When an engine is known not to run an attempt any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// At once: the engine has ended it, or never received all of it.
    AtOnce,
    /// A moment after the last command about it was written.
    AfterCommand,
    /// A moment after this side closed its connection, which gives up all that is open on it.
    AfterClose,
}

impl EndCause {
    /// When this cause proves the end.
    pub fn proof(self) -> EndProof {
        match self {
            EndCause::FinalReply
            | EndCause::NotBegun
            | EndCause::HalfWritten
            | EndCause::NotConnected
            | EndCause::Reset => EndProof::AtOnce,
            EndCause::ResultLost | EndCause::Aborted => EndProof::AfterCommand,
            EndCause::EndOfStream | EndCause::ConnectionFailed | EndCause::ClosedHere => {
                EndProof::AfterClose
            }
        }
    }

    /// All causes.
    pub const ALL: [EndCause; 10] = [
        EndCause::FinalReply,
        EndCause::ResultLost,
        EndCause::NotBegun,
        EndCause::HalfWritten,
        EndCause::NotConnected,
        EndCause::Reset,
        EndCause::EndOfStream,
        EndCause::ConnectionFailed,
        EndCause::ClosedHere,
        EndCause::Aborted,
    ];
}

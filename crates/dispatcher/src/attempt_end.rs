//! Why an attempt ended, and from when on that proves that the engine no longer runs it.

use thiserror::Error;

/// Why an attempt ended, as observed by this dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EndCause {
    /// The engine sent its final reply.
    #[error("final_reply")]
    FinalReply,
    /// The first page of the result arrived, and a later page was lost.
    #[error("result_lost")]
    ResultLost,
    /// No byte of the attempt's request was written.
    #[error("not_begun")]
    NotBegun,
    /// The request was written in part and the connection is closed, so that the engine never receives all of it.
    #[error("half_written")]
    HalfWritten,
    /// The connection did not come up.
    #[error("not_connected")]
    NotConnected,
    /// The connection was reset.
    #[error("reset")]
    Reset,
    /// The engine closed its sending side (FIN). This may be a half-close: the attempt may still run.
    #[error("end_of_stream")]
    EndOfStream,
    /// The connection could not be read or written, for a reason other than a reset.
    #[error("connection_failed")]
    ConnectionFailed,
    /// This dispatcher closed the connection.
    #[error("closed_here")]
    ClosedHere,
    /// This dispatcher aborted the attempt.
    #[error("aborted")]
    Aborted,
}

/// The point in time from which an engine is known not to run an attempt any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// Immediately: the engine has ended the attempt, or never received its whole request.
    Immediate,
    /// `END_REPORT_DELAY_MS` (engine/reports.rs) after the last command about the attempt was written: its abort, or
    /// the release of its result.
    AfterLastCommand,
    /// `END_REPORT_DELAY_MS` (engine/reports.rs) after this dispatcher closed the connection, which aborts all attempts
    /// on it.
    AfterClose,
}

impl EndCause {
    /// When this cause proves that the engine no longer runs the attempt.
    pub fn proof(self) -> EndProof {
        match self {
            EndCause::FinalReply
            | EndCause::NotBegun
            | EndCause::HalfWritten
            | EndCause::NotConnected
            | EndCause::Reset => EndProof::Immediate,
            EndCause::ResultLost | EndCause::Aborted => EndProof::AfterLastCommand,
            EndCause::EndOfStream | EndCause::ConnectionFailed | EndCause::ClosedHere => {
                EndProof::AfterClose
            }
        }
    }

    /// All causes, in the order of their counters.
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

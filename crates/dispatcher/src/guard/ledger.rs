//! Tracks the answer owed on a client's connection: each request that was read is answered exactly once, before the
//! connection closes.

use super::violation::{Rule, Violation};

/// Permission to write an answer. Only a [`ConnectionLedger`] creates it, and writing the answer consumes it.
#[derive(Debug)]
pub struct AnswerPermit {
    _made_by_ledger: (),
}

/// Permission to close the connection from this side. Only a [`ConnectionLedger`] creates it, and closing the
/// connection consumes it.
#[derive(Debug)]
pub struct ClosePermit {
    _made_by_ledger: (),
}

/// Whether an answer is owed on one client's connection.
#[derive(Debug, Default)]
pub struct ConnectionLedger {
    /// Whether a complete request was read and is not answered yet.
    is_owed: bool,
}

impl ConnectionLedger {
    /// Records that a complete request was read.
    ///
    /// # Errors
    /// The previous request is not answered yet.
    pub fn on_request(&mut self) -> Result<(), Violation> {
        if std::mem::replace(&mut self.is_owed, true) {
            return Err(Violation {
                rule: Rule::FinalAnswer,
                description: "a request is handled before the previous request is answered",
            });
        }
        Ok(())
    }

    /// Records that the client has disconnected: no answer is owed any more.
    pub fn on_client_disconnected(&mut self) {
        self.is_owed = false;
    }

    /// Returns the permit to write the answer that is owed.
    ///
    /// # Errors
    /// No answer is owed.
    pub fn may_answer(&mut self) -> Result<AnswerPermit, Violation> {
        if std::mem::replace(&mut self.is_owed, false) {
            return Ok(AnswerPermit {
                _made_by_ledger: (),
            });
        }
        Err(Violation {
            rule: Rule::FinalAnswer,
            description: "a second answer to a request",
        })
    }

    /// Returns the permit to answer an unusable request with an error, after which the connection closes.
    pub fn may_refuse(&mut self) -> AnswerPermit {
        self.is_owed = false;
        AnswerPermit {
            _made_by_ledger: (),
        }
    }

    /// Returns the permit to close the connection.
    ///
    /// # Errors
    /// A request is not answered yet.
    pub fn may_close(&self) -> Result<ClosePermit, Violation> {
        if self.is_owed {
            return Err(Violation {
                rule: Rule::FinalAnswer,
                description: "a connection closes before its request is answered",
            });
        }
        Ok(ClosePermit {
            _made_by_ledger: (),
        })
    }
}

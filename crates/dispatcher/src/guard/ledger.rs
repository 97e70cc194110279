//! What is owed on one client's connection: each request that was read is answered once before the connection closes.

use super::violation::{Rule, Violation};

/// An answer may be written. Only a ledger makes one, and writing the answer consumes it.
#[derive(Debug)]
pub struct AnswerPermit {
    _made_by_ledger: (),
}

/// The connection may be closed from this side. Only a ledger makes one, and the close consumes it.
#[derive(Debug)]
pub struct ClosePermit {
    _made_by_ledger: (),
}

/// The account of one connection.
#[derive(Debug, Default)]
pub struct ConnectionLedger {
    /// A request was read whole and is not answered.
    is_owed: bool,
}

impl ConnectionLedger {
    /// A request was read whole, and is handled now.
    ///
    /// # Errors
    /// The one before it is not answered.
    pub fn on_request(&mut self) -> Result<(), Violation> {
        if std::mem::replace(&mut self.is_owed, true) {
            return Err(Violation {
                rule: Rule::FinalAnswer,
                what: "a request is handled before the one ahead of it is answered",
            });
        }
        Ok(())
    }

    /// The client has left: nothing is owed.
    pub fn on_client_left(&mut self) {
        self.is_owed = false;
    }

    /// The answer to the request that is owed one may be written.
    ///
    /// # Errors
    /// None is owed.
    pub fn may_answer(&mut self) -> Result<AnswerPermit, Violation> {
        if std::mem::replace(&mut self.is_owed, false) {
            return Ok(AnswerPermit {
                _made_by_ledger: (),
            });
        }
        Err(Violation {
            rule: Rule::FinalAnswer,
            what: "a second answer to a request",
        })
    }

    /// What can't be read as a request may be answered with an error, after which the connection ends.
    pub fn may_refuse(&mut self) -> AnswerPermit {
        self.is_owed = false;
        AnswerPermit {
            _made_by_ledger: (),
        }
    }

    /// Whether the connection may be closed.
    ///
    /// # Errors
    /// A request is owed an answer.
    pub fn may_close(&self) -> Result<ClosePermit, Violation> {
        if self.is_owed {
            return Err(Violation {
                rule: Rule::FinalAnswer,
                what: "a connection closes while a request on it is owed an answer",
            });
        }
        Ok(ClosePermit {
            _made_by_ledger: (),
        })
    }
}

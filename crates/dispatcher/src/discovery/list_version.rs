//! The version of the accepted endpoint list: compares answers with it, and decides when a contradicting answer is
//! confirmed.

use super::reject_reason::RejectReason;

/// Maximum plausible number of list changes per engine between two answers: two drains, two departures and two
/// replacements.
const MAX_CHANGES_PER_ENGINE: usize = 6;

/// The version of the list in an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerVersion {
    /// The serial of the SOA record.
    pub serial: u32,
    /// A hash of the answer's records.
    pub fingerprint: u64,
    /// The number of the answered query.
    pub query: u64,
}

impl AnswerVersion {
    /// Whether `later` answers a later query, with the same content or a newer serial.
    fn is_confirmed_by(&self, later: &AnswerVersion) -> bool {
        let steps = later.serial.wrapping_sub(self.serial) as i32;
        let is_same = steps == 0 && later.fingerprint == self.fingerprint;
        later.query > self.query && (is_same || steps > 0)
    }
}

/// The relation of an answer to the accepted list.
pub enum Relation {
    /// The answer is newer by a plausible number of changes.
    Newer,
    /// The answer has the content of the accepted one.
    Same,
    /// The answer contradicts the list: one of the two is corrupt or outdated.
    Contradicting(RejectReason),
}

/// The version of the accepted list.
#[derive(Debug, Default)]
pub struct ListVersion {
    /// The serial of the list: the number of its latest change.
    pub serial: u32,
    /// Fingerprint of the accepted answer; `None` while the list comes from the configuration.
    fingerprint: Option<u64>,
    /// Number of the query whose answer was accepted or repeated last.
    query: u64,
    /// A contradicting answer that a later one may confirm.
    unconfirmed: Option<AnswerVersion>,
}

impl ListVersion {
    /// Compares an answer with the accepted list. `endpoints` is the total number of entries in both.
    pub fn relation(&self, answer: &AnswerVersion, endpoints: usize) -> Relation {
        let steps = self.steps_to(answer);
        let max_steps = (MAX_CHANGES_PER_ENGINE * (endpoints + 1)) as i32;
        // The list of the configuration has no fingerprint to compare with.
        let is_same = self
            .fingerprint
            .is_none_or(|known| known == answer.fingerprint);
        match steps {
            0 if is_same => Relation::Same,
            0 => Relation::Contradicting(RejectReason::RecordsDiffer),
            1.. if steps <= max_steps => Relation::Newer,
            1.. => Relation::Contradicting(RejectReason::SerialTooFarAhead),
            _ => Relation::Contradicting(RejectReason::SerialOlder),
        }
    }

    /// Returns the number of changes by which an answer is ahead of the list; 0 or negative if it is not newer.
    pub fn steps_to(&self, answer: &AnswerVersion) -> i32 {
        answer.serial.wrapping_sub(self.serial) as i32
    }

    /// Whether the answered query is not later than that of the accepted list.
    pub fn is_late(&self, answer: &AnswerVersion) -> bool {
        answer.query <= self.query
    }

    /// Returns whether a contradicting answer confirms the unconfirmed one. If not, the one to the later query is kept,
    /// to be confirmed by the answer to an even later query.
    pub fn confirm(&mut self, answer: AnswerVersion) -> bool {
        match self.unconfirmed {
            Some(first) if first.is_confirmed_by(&answer) => true,
            // A duplicate of the unconfirmed answer, or an earlier answer, does not replace it.
            Some(first) if answer.query <= first.query => false,
            _ => {
                self.unconfirmed = Some(answer);
                false
            }
        }
    }

    /// Records that the accepted answer was repeated.
    pub fn on_repeated(&mut self, answer: &AnswerVersion) {
        self.unconfirmed = None;
        self.query = self.query.max(answer.query);
        self.fingerprint = Some(answer.fingerprint);
    }

    /// Records that an answer was accepted.
    pub fn on_accepted(&mut self, answer: &AnswerVersion) {
        self.serial = answer.serial;
        self.fingerprint = Some(answer.fingerprint);
        self.query = answer.query;
        self.unconfirmed = None;
    }
}

#[cfg(test)]
mod tests;

//! Versions of the endpoint list: how an answer relates to the accepted list, and when a contradicting one is confirmed.

use super::reject_reason::RejectReason;

/// Plausible number of serial steps per engine between two answers: it drains, leaves and is replaced, twice over.
const MAX_EVENTS_PER_ENGINE: usize = 6;

/// The identity of an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSource {
    /// The serial of its SOA record.
    pub serial: u32,
    /// A hash of its records.
    pub fingerprint: u64,
    /// The number of the query that it answers.
    pub query: u64,
}

impl AnswerSource {
    /// Whether a later answer has the same content, or a newer serial.
    fn is_confirmed_by(&self, later: &AnswerSource) -> bool {
        let steps = later.serial.wrapping_sub(self.serial) as i32;
        let is_same = steps == 0 && later.fingerprint == self.fingerprint;
        later.query > self.query && (is_same || steps > 0)
    }
}

/// The relation of an answer to the accepted list.
pub enum Relation {
    /// It is newer by a plausible number of changes.
    Newer,
    /// It is the accepted answer.
    Same,
    /// It contradicts the list: one of the two is corrupt or outdated.
    Contradicting(RejectReason),
}

/// The version of the accepted list.
#[derive(Debug, Default)]
pub struct ListVersion {
    /// The serial of the list: the number of its latest change.
    pub serial: u32,
    /// Fingerprint of the accepted answer; `None` while the list comes from the configuration.
    fingerprint: Option<u64>,
    /// Number of the query that was answered by the list.
    query: u64,
    /// A contradicting answer that waits to be confirmed by a second one.
    unconfirmed: Option<AnswerSource>,
}

impl ListVersion {
    /// The relation of an answer to the list. `endpoints` is the number of engines in both together.
    pub fn relation(&self, source: &AnswerSource, endpoints: usize) -> Relation {
        let steps = self.steps_to(source);
        let max_steps = (MAX_EVENTS_PER_ENGINE * (endpoints + 1)) as i32;
        // The list of the configuration has no fingerprint to compare with.
        let is_same = self
            .fingerprint
            .is_none_or(|known| known == source.fingerprint);
        match steps {
            0 if is_same => Relation::Same,
            0 => Relation::Contradicting(RejectReason::RecordsDiffer),
            1.. if steps <= max_steps => Relation::Newer,
            1.. => Relation::Contradicting(RejectReason::SerialLeapsAhead),
            _ => Relation::Contradicting(RejectReason::SerialGoesBack),
        }
    }

    /// How many changes an answer is ahead of the list; negative or 0 if it is not newer.
    pub fn steps_to(&self, source: &AnswerSource) -> i32 {
        source.serial.wrapping_sub(self.serial) as i32
    }

    /// Whether an answer is to a query older than, or the same as, that of the list.
    pub fn is_late(&self, source: &AnswerSource) -> bool {
        source.query <= self.query
    }

    /// Whether this contradicting answer confirms the one before; otherwise it waits to be confirmed itself.
    pub fn confirm(&mut self, source: AnswerSource) -> bool {
        match self.unconfirmed {
            Some(first) if first.is_confirmed_by(&source) => true,
            // A copy of the waiting answer, or an earlier one, does not replace it.
            Some(first) if source.query <= first.query => false,
            _ => {
                self.unconfirmed = Some(source);
                false
            }
        }
    }

    /// The accepted answer was repeated.
    pub fn on_repeated(&mut self, source: &AnswerSource) {
        self.unconfirmed = None;
        self.query = self.query.max(source.query);
        self.fingerprint = Some(source.fingerprint);
    }

    /// An answer was accepted.
    pub fn on_accepted(&mut self, source: &AnswerSource) {
        self.serial = source.serial;
        self.fingerprint = Some(source.fingerprint);
        self.query = source.query;
        self.unconfirmed = None;
    }
}

#[cfg(test)]
mod tests;

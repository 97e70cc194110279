//! Reads the halt and the release from the quorum records, and writes records as the leader.

use crate::message::Answer;
use crate::rollout_plan::Release;
use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::{Id, Proposal, QuorumNode, RecordValue, HALT_KEY, RELEASE_KEY};

/// A halt that is in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ActiveHalt {
    /// Number of the halt, which a command to resume must name.
    pub number: u32,
    /// Why all disruptions are halted.
    pub reason: HaltReason,
    /// The leader that wrote the halt.
    pub by: Id,
}

impl From<ActiveHalt> for Answer {
    fn from(halt: ActiveHalt) -> Self {
        Answer::Halted {
            reason: halt.reason,
            by: halt.by,
            number: halt.number,
        }
    }
}

/// Returns the halt that is in force.
pub fn active_halt(node: &QuorumNode) -> Option<ActiveHalt> {
    match node.active(HALT_KEY)?.record.value {
        RecordValue::Halt { number, by, reason } => Some(ActiveHalt {
            number,
            reason: HaltReason::from_code_lossy(reason),
            by,
        }),
        _ => None,
    }
}

/// Returns the last release, in progress or not.
pub fn active_release(node: &QuorumNode) -> Option<Release> {
    match node.active(RELEASE_KEY)?.record.value {
        RecordValue::Release {
            number,
            to,
            from,
            stage,
        } => Some(Release {
            number,
            to,
            from,
            stage,
        }),
        _ => None,
    }
}

/// Returns the proposal that writes a release.
pub(crate) fn release_proposal(release: Release) -> Proposal {
    let value = RecordValue::Release {
        number: release.number,
        to: release.to,
        from: release.from,
        stage: release.stage,
    };
    Proposal::without_expiry(RELEASE_KEY, value)
}

/// Proposes records. A rejected proposal is not an error: the next evaluation or the retransmitted command proposes the
/// records again.
pub(crate) fn propose(node: &mut QuorumNode, proposals: &[Proposal], now_ms: f64) {
    let _ = node.propose(proposals, now_ms);
}

/// Returns `answer` if a majority has accepted the record of `key`, else [`Answer::Pending`].
pub(crate) fn when_chosen(node: &QuorumNode, key: u64, answer: Answer) -> Answer {
    if node.is_chosen(key) {
        answer
    } else {
        Answer::Pending
    }
}

/// Ends the record of `key` by a tombstone. While the tombstone is pending, it is not proposed again.
pub(crate) fn end_record(node: &mut QuorumNode, key: u64, now_ms: f64) -> Answer {
    if node.active(key).is_none() {
        return Answer::Done;
    }
    if !node.has_tombstone(key) {
        propose(node, &[Proposal::tombstone(key)], now_ms);
    }
    Answer::Pending
}

/// Halts all disruptions.
pub(crate) fn write_halt(
    node: &mut QuorumNode,
    reason: HaltReason,
    number: u32,
    now_ms: f64,
) -> Answer {
    let value = RecordValue::Halt {
        number,
        by: node.id(),
        reason: reason.code(),
    };
    propose(node, &[Proposal::without_expiry(HALT_KEY, value)], now_ms);
    when_chosen(node, HALT_KEY, Answer::Done)
}

//! The randomized round-robin order in which members are probed.

use crate::codec::MemberId;
use rand::RngExt;
use rand_pcg::Pcg32;

/// The members still to be probed in this round, in random order. Since every round probes each member once, at most
/// two rounds pass between two probes of the same member.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeRound {
    members: Vec<MemberId>,
}

impl ProbeRound {
    /// Creates a round that probes the given members in random order.
    pub(super) fn shuffled(mut members: Vec<MemberId>, rng: &mut Pcg32) -> Self {
        for last in (1..members.len()).rev() {
            let other = rng.random_range(0..=last);
            members.swap(last, other);
        }
        ProbeRound { members }
    }

    /// Removes and returns the next member to probe. Returns `None` at the end of the round.
    pub(super) fn next(&mut self) -> Option<MemberId> {
        self.members.pop()
    }

    /// Adds a member at a random position, so that the members of the group do not all probe a new member at once.
    pub(super) fn insert(&mut self, member: MemberId, rng: &mut Pcg32) {
        let position = rng.random_range(0..=self.members.len());
        self.members.insert(position, member);
    }
}

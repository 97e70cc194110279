//! The order in which members are probed.

use crate::codec::MemberId;
use rand::RngExt;
use rand_pcg::Pcg32;

/// Members still to be probed in this round, in random order: each is probed again within two rounds.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeRound {
    members: Vec<MemberId>,
}

impl ProbeRound {
    /// A round of these members in random order.
    pub(super) fn draw(mut members: Vec<MemberId>, rng: &mut Pcg32) -> Self {
        for last in (1..members.len()).rev() {
            let other = rng.random_range(0..=last);
            members.swap(last, other);
        }
        ProbeRound { members }
    }

    /// The next member to probe; `None` at the end of the round.
    pub(super) fn next(&mut self) -> Option<MemberId> {
        self.members.pop()
    }

    /// Adds a member at a random position, so that not all members probe a new one at once.
    pub(super) fn insert(&mut self, member: MemberId, rng: &mut Pcg32) {
        let position = rng.random_range(0..=self.members.len());
        self.members.insert(position, member);
    }
}

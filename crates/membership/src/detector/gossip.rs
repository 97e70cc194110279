//! Dissemination: merging of claims about members, and their piggybacking on outgoing datagrams.

use super::{SwimDetector, MAX_MEMBERS};
use crate::codec::{Gossip, MemberId, MemberState};
use crate::member::Member;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Number of transmissions of a claim per doubling of the group size; one doubling is added to the actual number.
const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0;
/// Maximum number of claims about random members in a datagram that has spare capacity.
const MAX_RANDOM_CLAIMS: usize = 2;
/// Number of protocol periods after a member was added during which a table sync is sent in every period.
const UNSETTLED_PERIODS_AFTER_JOIN: u32 = 3;
/// Half of the range of incarnations, which wrap around. An incarnation is newer than another if it is ahead by less
/// than this number.
const INCARNATION_HALF_RANGE: u32 = 0x8000_0000;

/// Whether an incarnation is newer than a reference incarnation.
fn is_newer_incarnation(incarnation: u32, reference: u32) -> bool {
    (1..INCARNATION_HALF_RANGE).contains(&incarnation.wrapping_sub(reference))
}

/// Whether a claim overrides the known state of a member: it has a newer incarnation, or the same incarnation and a
/// state with higher precedence.
fn overrides(gossip: &Gossip, known: &Member) -> bool {
    if gossip.incarnation == known.incarnation {
        return gossip.state > known.state;
    }
    is_newer_incarnation(gossip.incarnation, known.incarnation)
}

/// Claims to be transmitted, at most one per member, each with its number of remaining transmissions.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    entries: VecDeque<(Gossip, u32)>,
}

impl GossipQueue {
    /// Adds a claim at the front of the queue and removes any other claim about the same member.
    fn push(&mut self, gossip: Gossip, transmissions: u32) {
        self.entries.retain(|(queued, _)| queued.id != gossip.id);
        self.entries.push_front((gossip, transmissions));
        self.entries.truncate(MAX_MEMBERS);
    }

    /// Returns up to `count` claims, most remaining transmissions first, and counts one transmission of each. Skips
    /// claims about `excluded`.
    fn take(&mut self, count: usize, excluded: MemberId) -> Vec<Gossip> {
        self.entries
            .make_contiguous()
            .sort_by_key(|(_, remaining)| Reverse(*remaining));
        let mut selected = Vec::new();
        for (gossip, remaining) in &mut self.entries {
            if selected.len() >= count {
                break;
            }
            if gossip.id != excluded {
                selected.push(*gossip);
                *remaining -= 1;
            }
        }
        self.entries.retain(|(_, remaining)| *remaining > 0);
        selected
    }
}

impl SwimDetector {
    /// Queues a claim for dissemination.
    pub(super) fn enqueue_gossip(&mut self, gossip: Gossip) {
        let transmissions =
            (TRANSMISSIONS_PER_DOUBLING * (self.group_doublings() + 1.0)).ceil() as u32;
        self.gossip_queue.push(gossip, transmissions);
    }

    /// Returns the gossip for a datagram with room for `capacity` claims: the claim about this member first, then the
    /// queued claims with the most remaining transmissions, then claims about random members.
    pub(super) fn take_gossip(&mut self, capacity: usize) -> Vec<Gossip> {
        let own_state = if self.is_leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        };
        let mut gossip = vec![self.own_gossip(own_state)];
        let queued = self.gossip_queue.take(capacity.saturating_sub(1), self.id);
        gossip.extend(queued);
        let random_claims = MAX_RANDOM_CLAIMS
            .min(capacity.saturating_sub(gossip.len()))
            .min(self.members.len());
        for _ in 0..random_claims {
            gossip.extend(self.random_claim());
        }
        gossip
    }

    /// Returns a claim about a random member, for receivers that missed earlier gossip about it. Returns `None` if the
    /// member drawn is not present.
    fn random_claim(&mut self) -> Option<Gossip> {
        let index = self.rng.random_range(0..self.members.len());
        let member = self.members.values().nth(index)?;
        member.is_present().then(|| member.to_gossip())
    }

    /// Merges a claim into the member table, and queues it for dissemination if it changed the table.
    pub(super) fn apply_gossip(&mut self, gossip: Gossip) {
        if gossip.id == self.id {
            self.refute_if_needed(gossip);
        } else if self.members.contains_key(&gossip.id) {
            self.update_member(gossip);
        } else if gossip.state < MemberState::Dead && self.members.len() < MAX_MEMBERS {
            // Claims that an unknown member is dead or has left are ignored.
            self.add_member(gossip);
        }
    }

    fn update_member(&mut self, gossip: Gossip) {
        let Some(known) = self.members.get_mut(&gossip.id) else {
            return;
        };
        if !overrides(&gossip, known) {
            return;
        }
        let state_changed = known.state != gossip.state;
        let address_changed = known.address != gossip.address;
        known.state = gossip.state;
        known.incarnation = gossip.incarnation;
        known.address = gossip.address;
        if state_changed {
            known.state_since_ms = self.now_ms;
        }
        if state_changed || address_changed {
            self.record_change(gossip.id, gossip.state);
        }
        self.enqueue_gossip(gossip);
    }

    fn add_member(&mut self, gossip: Gossip) {
        self.members.insert(
            gossip.id,
            Member {
                id: gossip.id,
                address: gossip.address,
                state: gossip.state,
                incarnation: gossip.incarnation,
                state_since_ms: self.now_ms,
            },
        );
        self.unsettled_periods = self.unsettled_periods.max(UNSETTLED_PERIODS_AFTER_JOIN);
        self.probe_round.insert(gossip.id, &mut self.rng);
        self.record_change(gossip.id, gossip.state);
        self.enqueue_gossip(gossip);
    }

    /// Refutes a claim that this member is suspect, dead or has left, or a claim with a newer incarnation, by taking an
    /// incarnation above that of the claim. A suspicion is also evidence that this member answers slowly.
    fn refute_if_needed(&mut self, gossip: Gossip) {
        if self.is_leaving {
            return;
        }
        let challenges_this_incarnation =
            gossip.incarnation == self.incarnation && gossip.state != MemberState::Alive;
        let is_newer = is_newer_incarnation(gossip.incarnation, self.incarnation);
        if !challenges_this_incarnation && !is_newer {
            return;
        }
        self.incarnation = gossip.incarnation.wrapping_add(1);
        if challenges_this_incarnation && gossip.state == MemberState::Suspect {
            self.local_health.degrade(1);
        }
        let refutation = self.own_gossip(MemberState::Alive);
        self.enqueue_gossip(refutation);
    }
}

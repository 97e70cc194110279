//! Dissemination: how claims about members are merged and how often they are transmitted.

use super::{SwimDetector, MAX_MEMBERS};
use crate::codec::{Gossip, MemberId, MemberState};
use crate::member::Member;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Number of transmissions of a claim for each doubling of the size of the group, plus one doubling.
const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0;
/// Limit on the claims about random members in a datagram, where it has capacity.
const MAX_REMINDERS: usize = 2;
/// Number of protocol periods after a new member was found in each of which tables are synchronized.
const UNSETTLED_PERIODS_AFTER_JOIN: u32 = 3;
/// Half of the range of incarnations, which wrap around: a smaller difference means newer, any other older.
const INCARNATION_HALF_RANGE: u32 = 0x8000_0000;

/// Whether an incarnation is newer than another one.
fn is_newer_incarnation(incarnation: u32, than: u32) -> bool {
    (1..INCARNATION_HALF_RANGE).contains(&incarnation.wrapping_sub(than))
}

/// Whether a claim overrides the known state of a member: a higher incarnation, or a worse state at the same one.
fn overrides(gossip: &Gossip, known: &Member) -> bool {
    if gossip.incarnation == known.incarnation {
        return gossip.state > known.state;
    }
    is_newer_incarnation(gossip.incarnation, known.incarnation)
}

/// Claims to be transmitted, at most one for each member, each with its remaining transmissions.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    entries: VecDeque<(Gossip, u32)>,
}

impl GossipQueue {
    /// Queues a claim first, in place of any other about the same member.
    fn push(&mut self, gossip: Gossip, transmissions: u32) {
        self.entries.retain(|(queued, _)| queued.id != gossip.id);
        self.entries.push_front((gossip, transmissions));
        self.entries.truncate(MAX_MEMBERS);
    }

    /// Takes up to `count` claims, those with the most remaining transmissions first, without those about `except`.
    fn take(&mut self, count: usize, except: MemberId) -> Vec<Gossip> {
        self.entries
            .make_contiguous()
            .sort_by_key(|(_, remaining)| Reverse(*remaining));
        let mut taken = Vec::new();
        for (gossip, remaining) in &mut self.entries {
            if taken.len() >= count {
                break;
            }
            if gossip.id != except {
                taken.push(*gossip);
                *remaining -= 1;
            }
        }
        self.entries.retain(|(_, remaining)| *remaining > 0);
        taken
    }
}

impl SwimDetector {
    /// Queues a claim for dissemination.
    pub(super) fn enqueue_gossip(&mut self, gossip: Gossip) {
        let transmissions =
            (TRANSMISSIONS_PER_DOUBLING * (self.group_doublings() + 1.0)).ceil() as u32;
        self.gossip_queue.push(gossip, transmissions);
    }

    /// Gossip for a datagram with `capacity` claims: about this member, then the claims transmitted least often, then
    /// claims about random members.
    pub(super) fn take_gossip(&mut self, capacity: usize) -> Vec<Gossip> {
        let own_state = if self.is_leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        };
        let mut gossip = vec![self.own_gossip(own_state)];
        let queued = self.gossip_queue.take(capacity.saturating_sub(1), self.id);
        gossip.extend(queued);
        let reminders = MAX_REMINDERS
            .min(capacity.saturating_sub(gossip.len()))
            .min(self.members.len());
        for _ in 0..reminders {
            gossip.extend(self.draw_reminder());
        }
        gossip
    }

    /// A claim about a member drawn at random, if that member is present, for receivers that missed its gossip.
    fn draw_reminder(&mut self) -> Option<Gossip> {
        let index = self.rng.random_range(0..self.members.len());
        let member = self.members.values().nth(index)?;
        member.is_present().then(|| member.to_gossip())
    }

    /// Merges a claim into the table, and disseminates it if it is new.
    pub(super) fn apply_gossip(&mut self, gossip: Gossip) {
        if gossip.id == self.id {
            self.refute_if_needed(gossip);
        } else if self.members.contains_key(&gossip.id) {
            self.update_member(gossip);
        } else if gossip.state < MemberState::Dead && self.members.len() < MAX_MEMBERS {
            // A claim that an unknown member is dead or left is of no use.
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

    /// Refutes a claim that this member is suspect, dead or left, or has a newer incarnation, by a higher incarnation. A
    /// suspicion is also evidence that this member answers slowly.
    fn refute_if_needed(&mut self, gossip: Gossip) {
        if self.is_leaving {
            return;
        }
        let accuses_this_incarnation =
            gossip.incarnation == self.incarnation && gossip.state != MemberState::Alive;
        let is_later = is_newer_incarnation(gossip.incarnation, self.incarnation);
        if !accuses_this_incarnation && !is_later {
            return;
        }
        self.incarnation = gossip.incarnation.wrapping_add(1);
        if accuses_this_incarnation && gossip.state == MemberState::Suspect {
            self.local_health.degrade(1);
        }
        let refutation = self.own_gossip(MemberState::Alive);
        self.enqueue_gossip(refutation);
    }
}

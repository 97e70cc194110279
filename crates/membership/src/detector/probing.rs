//! Failure detection: direct and indirect probes, suspicion and its timeout.

use super::{SwimDetector, MAX_MEMBERS};
use crate::codec::{Gossip, MemberId, MemberState, Message};
use rand::RngExt;
use std::net::SocketAddr;

/// Direct pings of one member within a protocol period; from the second one on with indirect probes beside it.
const MAX_PINGS_PER_PERIOD: u32 = 3;
/// Protocol periods in a row without an answer before a member is suspected. On a network that loses three in ten,
/// one probe in thirty fails for a whole period: suspecting then, 300 members would have to spread more refutations
/// than gossip can carry.
const PERIODS_BEFORE_SUSPICION: u32 = 2;
/// A member that is dead or left is remembered for this many protocol periods, so that old gossip does not bring it
/// back.
const REMEMBERED_PERIODS: f64 = 60.0;

/// The probe under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    target: MemberId,
    sequence_number: u32,
    sent_ms: f64,
    pings: u32,
    /// Earlier periods in which it did not answer.
    missed_periods: u32,
}

/// A probe that this member makes for another one.
#[derive(Debug, Clone, Copy)]
pub(super) struct IndirectProbe {
    /// The requester's sequence number, under which the answer is passed on.
    sequence_number: u32,
    target: MemberId,
    requester: MemberId,
    pub(super) expires_ms: f64,
}

impl SwimDetector {
    /// Begins a protocol period: probes the next member, or again the one that did not answer in the last period.
    pub(super) fn begin_period(&mut self) {
        self.forget_departed();
        self.join_answers_sent = 0;
        self.sync_answers_sent = 0;
        if let Some(unanswered) = self.probe.take() {
            if self.probe_again(&unanswered) {
                return;
            }
            self.raise_local_health(1);
            self.suspect(unanswered.target);
        }
        if !self.probe_next_in_round() {
            self.draw_probe_round();
        }
    }

    /// Probes a member again that did not answer in the last period, unless it is suspected already, is gone or
    /// missed enough periods; whether it does.
    fn probe_again(&mut self, unanswered: &Probe) -> bool {
        let Some(member) = self.members.get(&unanswered.target) else {
            return false;
        };
        let missed_periods = unanswered.missed_periods + 1;
        if member.state != MemberState::Alive || missed_periods >= PERIODS_BEFORE_SUSPICION {
            return false;
        }
        let address = member.address;
        self.start_probe(unanswered.target, address, missed_periods);
        true
    }

    fn start_probe(&mut self, target: MemberId, address: SocketAddr, missed_periods: u32) {
        let sequence_number = self.send(address, Message::Ping);
        self.probe = Some(Probe {
            target,
            sequence_number,
            sent_ms: self.now_ms,
            pings: 1,
            missed_periods,
        });
    }

    /// Probes the next present member of the round; false where none is left.
    fn probe_next_in_round(&mut self) -> bool {
        while let Some(target) = self.probe_round.pop() {
            let present = self
                .members
                .get(&target)
                .filter(|member| member.is_present());
            if let Some(address) = present.map(|member| member.address) {
                self.start_probe(target, address, 0);
                return true;
            }
        }
        false
    }

    fn draw_probe_round(&mut self) {
        self.probe_round = self.present_members().map(|member| member.id).collect();
        for last in (1..self.probe_round.len()).rev() {
            let other = self.rng.random_range(0..=last);
            self.probe_round.swap(last, other);
        }
    }

    /// When a probe without an answer is repeated (ms).
    pub(super) fn probe_retry_ms(&self, probe: &Probe) -> f64 {
        if probe.pings >= MAX_PINGS_PER_PERIOD {
            return f64::INFINITY;
        }
        probe.sent_ms
            + self.config.probe_timeout_ms * self.timeout_factor() * f64::from(probe.pings)
    }

    /// Pings once more, and asks other members, drawn anew each time, to probe as well.
    pub(super) fn retry_probe_if_due(&mut self) {
        let Some(probe) = self.probe else {
            return;
        };
        if self.now_ms < self.probe_retry_ms(&probe) {
            return;
        }
        let mut candidates: Vec<SocketAddr> = self
            .present_members()
            .filter(|member| member.id != probe.target)
            .map(|member| member.address)
            .collect();
        for _ in 0..self.config.indirect_probes.min(candidates.len()) {
            let index = self.rng.random_range(0..candidates.len());
            let helper = candidates.swap_remove(index);
            let request = Message::PingRequest(probe.target);
            self.send_numbered(helper, request, probe.sequence_number);
        }
        if let Some(address) = self.address_of(probe.target) {
            self.send_numbered(address, Message::Ping, probe.sequence_number);
        }
        self.probe = Some(Probe {
            pings: probe.pings + 1,
            ..probe
        });
    }

    pub(super) fn on_ping_request(
        &mut self,
        requester: MemberId,
        target: MemberId,
        sequence_number: u32,
    ) {
        let Some(address) = self.address_of(target) else {
            return;
        };
        if self.indirect_probes.len() >= MAX_MEMBERS {
            return;
        }
        self.indirect_probes.push(IndirectProbe {
            sequence_number,
            target,
            requester,
            expires_ms: self.now_ms + self.config.period_ms,
        });
        self.send(address, Message::Ping);
    }

    pub(super) fn on_ack(&mut self, from: MemberId, sequence_number: u32) {
        if self.ends_probe(from, sequence_number) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
        }
        let answered: Vec<IndirectProbe> = self
            .indirect_probes
            .iter()
            .copied()
            .filter(|indirect| indirect.target == from)
            .collect();
        self.indirect_probes
            .retain(|indirect| indirect.target != from);
        for indirect in answered {
            if let Some(address) = self.address_of(indirect.requester) {
                let message = Message::IndirectAck(from);
                self.send_numbered(address, message, indirect.sequence_number);
            }
        }
    }

    pub(super) fn on_indirect_ack(&mut self, target: MemberId, sequence_number: u32) {
        if self.ends_probe(target, sequence_number) {
            self.probe = None;
        }
    }

    fn ends_probe(&self, target: MemberId, sequence_number: u32) -> bool {
        self.probe
            .is_some_and(|probe| probe.target == target && probe.sequence_number == sequence_number)
    }

    // ---- Suspicion ----

    fn suspect(&mut self, id: MemberId) {
        let Some(member) = self.members.get(&id) else {
            return;
        };
        if member.state != MemberState::Alive {
            return;
        }
        let address = member.address;
        let suspicion = Gossip {
            state: MemberState::Suspect,
            ..member.to_gossip()
        };
        self.apply_gossip(suspicion);
        // The ping carries the suspicion to the member at once, so that it can refute.
        self.send(address, Message::Ping);
    }

    /// How long a member is suspected before it is considered dead (ms).
    pub(super) fn suspicion_timeout_ms(&self) -> f64 {
        self.config.suspicion_multiplier
            * self.group_doublings()
            * self.config.period_ms
            * self.timeout_factor()
    }

    pub(super) fn expire_suspicions(&mut self) {
        let timeout_ms = self.suspicion_timeout_ms();
        let mut expired = Vec::new();
        for member in self.members.values() {
            let suspected_ms = self.now_ms - member.state_since_ms;
            if member.state == MemberState::Suspect && suspected_ms >= timeout_ms {
                expired.push(Gossip {
                    state: MemberState::Dead,
                    ..member.to_gossip()
                });
            }
        }
        for gossip in expired {
            self.apply_gossip(gossip);
        }
    }

    fn forget_departed(&mut self) {
        let now_ms = self.now_ms;
        let remembered_ms = REMEMBERED_PERIODS * self.config.period_ms;
        self.members.retain(|_, member| {
            member.is_present() || now_ms - member.state_since_ms < remembered_ms
        });
    }
}

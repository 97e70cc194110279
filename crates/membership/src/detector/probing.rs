//! Failure detection: direct and indirect probes, suspicion and its timeout.

use super::probe_round::ProbeRound;
use super::{SwimDetector, MAX_MEMBERS};
use crate::codec::{Gossip, MemberId, MemberState, Message};
use rand::RngExt;
use std::net::SocketAddr;

/// Maximum number of direct pings to the probe target in a protocol period. Indirect probes are requested together with
/// each ping except the first.
const MAX_PINGS_PER_PERIOD: u32 = 3;
/// Number of consecutive protocol periods without an answer after which a member is suspected. With 1, the refutations
/// in a large group on a lossy network would exceed the capacity of gossip.
const PERIODS_BEFORE_SUSPICION: u32 = 2;
/// Retention of a member that is dead or has left, in protocol periods. It prevents outdated gossip from adding the
/// member again.
const RETENTION_PERIODS: f64 = 60.0;

/// The probe in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    target: MemberId,
    sequence_number: u32,
    sent_ms: f64,
    pings: u32,
    /// Number of consecutive previous periods in which the target did not answer.
    missed_periods: u32,
}

/// A probe that this member sends on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct IndirectProbe {
    /// The sequence number of the ping request, repeated in the indirect ack.
    sequence_number: u32,
    /// The sequence number of this member's ping to the target.
    ping_number: u32,
    target: MemberId,
    requester: MemberId,
    pub(super) expires_ms: f64,
}

impl IndirectProbe {
    /// Whether an ack of the target acknowledges the ping sent for this request, or a later ping. An ack of an earlier
    /// ping does not show that the target still answers.
    fn is_answered_by(&self, sequence_number: u32) -> bool {
        sequence_number.wrapping_sub(self.ping_number) as i32 >= 0
    }
}

impl SwimDetector {
    /// Begins a protocol period. An unanswered probe of the last period is repeated if that is allowed; otherwise its
    /// target is suspected, and the next member of the round is probed. At the end of a round, this period starts no
    /// probe, and the order of the next round is drawn.
    pub(super) fn begin_period(&mut self) {
        self.purge_departed_members();
        self.join_answers_sent = 0;
        self.sync_answers_sent = 0;
        if let Some(unanswered) = self.probe.take() {
            if self.probe_again(&unanswered) {
                return;
            }
            self.local_health.degrade(1);
            self.suspect(unanswered.target);
        }
        if !self.probe_next_in_round() {
            let present = self.present_members().map(|member| member.id).collect();
            self.probe_round = ProbeRound::shuffled(present, &mut self.rng);
        }
    }

    /// Starts another probe of a member that did not answer in the last period. Returns false, without a probe, if the
    /// member is unknown, is not alive, or has reached [`PERIODS_BEFORE_SUSPICION`].
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

    /// Probes the next present member of the round. Returns false at the end of the round.
    fn probe_next_in_round(&mut self) -> bool {
        while let Some(target) = self.probe_round.next() {
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

    /// Returns the time at which a probe is retried if it is still unanswered (ms).
    pub(super) fn probe_retry_ms(&self, probe: &Probe) -> f64 {
        if probe.pings >= MAX_PINGS_PER_PERIOD {
            return f64::INFINITY;
        }
        probe.sent_ms
            + self.config.probe_timeout_ms
                * self.local_health.timeout_factor()
                * f64::from(probe.pings)
    }

    /// Repeats the ping of the probe in progress and requests indirect probes from random members, newly drawn for each
    /// retry.
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
            let intermediary = candidates.swap_remove(index);
            let request = Message::PingRequest(probe.target);
            self.send_numbered(intermediary, request, probe.sequence_number);
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
        let ping_number = self.send(address, Message::Ping);
        self.indirect_probes.push(IndirectProbe {
            sequence_number,
            ping_number,
            target,
            requester,
            expires_ms: self.now_ms + self.config.period_ms,
        });
    }

    pub(super) fn on_ack(&mut self, from: MemberId, sequence_number: u32) {
        if self.answers_current_probe(from, sequence_number) {
            self.probe = None;
            self.local_health.improve();
        }
        let is_answered = |indirect: &mut IndirectProbe| {
            indirect.target == from && indirect.is_answered_by(sequence_number)
        };
        let answered = self.indirect_probes.extract_if(.., is_answered);
        for indirect in answered.collect::<Vec<_>>() {
            if let Some(address) = self.address_of(indirect.requester) {
                let message = Message::IndirectAck(from);
                self.send_numbered(address, message, indirect.sequence_number);
            }
        }
    }

    pub(super) fn on_indirect_ack(&mut self, target: MemberId, sequence_number: u32) {
        if self.answers_current_probe(target, sequence_number) {
            self.probe = None;
        }
    }

    fn answers_current_probe(&self, target: MemberId, sequence_number: u32) -> bool {
        self.probe
            .is_some_and(|probe| probe.target == target && probe.sequence_number == sequence_number)
    }

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
        // The ping carries the suspicion to the member immediately, so that the member can refute it.
        self.send(address, Message::Ping);
    }

    /// Returns the time for which a member is suspected before it is declared dead (ms).
    pub(super) fn suspicion_timeout_ms(&self) -> f64 {
        self.config.suspicion_multiplier
            * self.group_doublings()
            * self.config.period_ms
            * self.local_health.timeout_factor()
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

    fn purge_departed_members(&mut self) {
        let now_ms = self.now_ms;
        let retention_ms = RETENTION_PERIODS * self.config.period_ms;
        self.members.retain(|_, member| {
            member.is_present() || now_ms - member.state_since_ms < retention_ms
        });
    }
}

//! Handling of messages from other members and from clients.

use super::FleetNode;
use crate::codec;
use crate::member_agent::{Destination, Gossip};
use crate::message::{Command, Message, Report};
use crate::quorum_records::propose;
use crate::rollout_controller::RolloutController;
use tansymux_coordination::{
    DisruptionReason, Event, Id, LeasedRecord, Proposal, RecordValue, Role,
};
use tansymux_membership::{MemberState, UserMessage};

/// Maximum number of messages with records in one answer.
const MAX_GOSSIP_MESSAGES: usize = 4;
/// Interval at which the first record of gossip advances by one (ms), so that later answers contain records that did
/// not fit into this one.
const GOSSIP_ROTATION_INTERVAL_MS: usize = 7;

impl FleetNode {
    /// Handles a user message that membership received.
    pub(super) fn on_user_message(&mut self, message: UserMessage) {
        let UserMessage {
            from,
            address,
            content,
        } = message;
        if !codec::is_rollout_message(&content) {
            self.on_voter_message(from, &content);
            return;
        }
        let Ok(message) = codec::decode(&content) else {
            return;
        };
        let is_member = self
            .detector
            .state(from)
            .is_some_and(MemberState::is_present);
        match message {
            Message::Hello { call } => self.agent.on_hello(call, address, self.now_ms),
            Message::Call {
                call,
                nonce,
                command,
            } => self
                .agent
                .on_call(call, nonce, command, address, self.now_ms),
            // A sender that is not a member may only make client calls.
            message if is_member => self.on_message(from, message),
            _ => {}
        }
    }

    fn on_voter_message(&mut self, from: Id, content: &[u8]) {
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        if let Ok(message) = tansymux_coordination::codec::decode(content) {
            quorum.handle(Event::Received { from, message }, self.now_ms);
        }
    }

    /// Handles a message from a member, which may be this member itself.
    pub(super) fn on_message(&mut self, from: Id, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Report(report) => self.on_report(from, &report),
            Message::Gossip {
                leader,
                tick,
                records,
            } => {
                let gossip = Gossip {
                    from,
                    leader,
                    tick,
                    records,
                };
                self.agent.on_gossip(gossip, now_ms);
            }
            Message::RecordsRequest => self.send_records(from),
            Message::Records { records } => self.restore_records(&records),
            Message::Command { call, command } => self.on_command(from, call, command),
            Message::Answer { call, answer } => self.agent.on_answer(call, answer, now_ms),
            Message::ZoneReport(report) => {
                let (Some(zones), Some(quorum)) = (&mut self.zones, &self.quorum) else {
                    return;
                };
                if let Some(plan) = zones.on_report(&self.controller, quorum, from, &report, now_ms)
                {
                    self.send(Destination::Member(from), &Message::ZonePlan(plan));
                }
            }
            Message::ZonePlan(plan) => {
                if let Some(zones) = &mut self.zones {
                    zones.on_plan(&plan, now_ms);
                }
            }
            Message::Hello { .. } | Message::Nonce { .. } | Message::Call { .. } => {}
        }
    }

    fn send_records(&mut self, to: Id) {
        let records: Vec<LeasedRecord> = self.agent.records(self.now_ms).collect();
        for chunk in records
            .chunks(codec::MAX_RECORDS_PER_MESSAGE)
            .take(MAX_GOSSIP_MESSAGES)
        {
            let message = Message::Records {
                records: chunk.to_vec(),
            };
            self.send(Destination::Member(to), &message);
        }
    }

    fn on_command(&mut self, from: Id, call: u64, command: Command) {
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        let is_zone_command = matches!(
            command,
            Command::EvacuateZone { .. } | Command::ReturnToZone { .. } | Command::ListZones
        );
        let answer = match &mut self.zones {
            Some(zones) if is_zone_command => {
                zones.on_command(&self.controller, quorum, command, self.now_ms)
            }
            _ => self.controller.on_command(quorum, command, self.now_ms),
        };
        self.send(Destination::Member(from), &Message::Answer { call, answer });
    }

    /// Handles a member's report to a voter. The answer names the leader and contains records that the member lacks.
    fn on_report(&mut self, from: Id, report: &Report) {
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        let now_ms = self.now_ms;
        quorum.observe_round(report.round);
        self.controller.on_report(quorum, from, *report, now_ms);
        let leader = quorum.leader().unwrap_or(0);
        let is_quarantined = matches!(quorum.role(), Role::Quarantined { .. });
        let differs = quorum.digest() != report.digest;
        let mut records: Vec<LeasedRecord> = Vec::new();
        if differs && !is_quarantined {
            records.extend(quorum.records());
        }
        if !records.is_empty() {
            let first = (now_ms as usize / GOSSIP_ROTATION_INTERVAL_MS) % records.len();
            records.rotate_left(first);
        }
        let should_request = quorum.is_leader(now_ms)
            && self
                .controller
                .should_request_records(quorum, from, differs, now_ms);
        self.send_gossip(from, leader, &records);
        if should_request {
            self.send(Destination::Member(from), &Message::RecordsRequest);
        }
    }

    /// Sends gossip with `records` to a member; one message is sent even if there are no records.
    fn send_gossip(&mut self, to: Id, leader: Id, records: &[LeasedRecord]) {
        let tick = RolloutController::tick(self.now_ms);
        let mut chunks: Vec<&[LeasedRecord]> = records
            .chunks(codec::MAX_RECORDS_PER_MESSAGE)
            .take(MAX_GOSSIP_MESSAGES)
            .collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        for chunk in chunks {
            let message = Message::Gossip {
                leader,
                tick,
                records: chunk.to_vec(),
            };
            self.send(Destination::Member(to), &message);
        }
    }

    /// Restores records that a member still has and the voters have lost. The leader writes records without expiry
    /// again, and writes tombstones for all others, such as leases.
    fn restore_records(&mut self, records: &[LeasedRecord]) {
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        for LeasedRecord { record, .. } in records {
            let is_lost = !quorum.contains_key(record.key) && !record.is_tombstone();
            if !quorum.is_leader(self.now_ms) || !is_lost {
                continue;
            }
            let proposal = if does_not_expire(&record.value) {
                Proposal::without_expiry(record.key, record.value)
            } else {
                Proposal::tombstone(record.key)
            };
            propose(quorum, &[proposal], self.now_ms);
        }
    }
}

/// Whether a record is restored without expiry. The record of a lost member that left has a term when it is first
/// written; its value does not show that, so it is restored without expiry too.
fn does_not_expire(value: &RecordValue) -> bool {
    match value {
        RecordValue::Halt { .. } | RecordValue::Release { .. } | RecordValue::Zone { .. } => true,
        RecordValue::Disruption { reason, .. } => {
            matches!(reason, DisruptionReason::Drain | DisruptionReason::Lost)
        }
        RecordValue::Tombstone => false,
    }
}

//! One whole member of a fleet: membership, voter, rollout controller, its own reports and the calls of clients.

use crate::codec;
use crate::member_agent::{AgentAction, Destination, Gossip, MemberAgent, MemberStatus};
use crate::message::{Command, Message, Report};
use crate::rollout_controller::{propose, RolloutConfig, RolloutController};
use crate::zone_coordinator::ZoneCoordinator;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::{
    Action, DisruptionReason, Event, Id, LeasedRecord, Proposal, QuorumConfig, QuorumNode, Record,
    RecordValue, Role, UnitKind,
};
use tansymux_membership::{
    member_id_of, Event as MembershipEvent, Keys, MemberState, SwimDetector, UserMessage,
};

/// Datagrams of records that answer one report.
const MAX_GOSSIP_MESSAGES: usize = 4;
/// Messages to itself may cause more of them, this many rounds in one poll.
const MAX_LOCAL_ROUNDS: usize = 4;
/// Gossip begins at another record every so many milliseconds: what one datagram leaves out, a later one brings.
const GOSSIP_ROTATION_MS: usize = 7;

/// What a member is given at its start.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The address that other members reach it at.
    pub address: SocketAddr,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Failure detection.
    pub membership: tansymux_membership::Config,
    /// Timing of the voters.
    pub quorum: QuorumConfig,
    /// Keys of the datagrams.
    pub keys: Keys,
    /// No voter ever voted before: the first start of an installation.
    pub fresh: bool,
    /// The restart lease under which it is started, so that it is known to be back; 0: none.
    pub grant_id: u64,
    /// Rollouts and disruption budgets.
    pub rollout: RolloutConfig,
    /// The zone of this member, and how the fleet evacuates zones; none: each member decides for itself.
    pub zones: Option<(u32, tansymux_zone_evacuation::Config)>,
}

/// What happened to a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetEvent<'a> {
    /// A datagram came.
    DatagramReceived {
        /// Its sender.
        from: SocketAddr,
        /// Its bytes.
        datagram: &'a [u8],
    },
    /// The dispatcher is about to stop: the others are told at once.
    LeaveRequested,
}

/// What a member wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Send a datagram. It may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// Its bytes.
        datagram: Vec<u8>,
    },
}

/// One member. Drive it with [`FleetNode::handle`] and [`FleetNode::poll`].
#[derive(Debug, Clone)]
pub struct FleetNode {
    detector: SwimDetector,
    /// Only voters have one.
    quorum: Option<QuorumNode>,
    controller: RolloutController,
    agent: MemberAgent,
    zones: Option<ZoneCoordinator>,
    /// Messages to itself.
    local_messages: Vec<Message>,
    now_ms: f64,
    outbox: VecDeque<FleetAction>,
    next_poll_ms: f64,
    /// The timers ran, and their actions are being handed out.
    draining: bool,
}

impl FleetNode {
    /// A member at its start. `seed` has to be drawn at each start.
    pub fn new(config: &FleetConfig, now_ms: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let id = member_id_of(&config.name);
        let voters: Vec<Id> = config
            .voters
            .iter()
            .map(|name| member_id_of(name))
            .collect();
        let detector = SwimDetector::new(
            &config.name,
            config.address,
            0,
            config.membership.clone(),
            config.keys.clone(),
            rng.random(),
        );
        let quorum = voters.contains(&id).then(|| {
            let seed = rng.random();
            let round = (now_ms / 1000.0) as u32;
            QuorumNode::new(
                id,
                &voters,
                config.quorum,
                now_ms,
                config.fresh,
                round,
                seed,
            )
        });
        let agent = MemberAgent::new(id, &voters, config.grant_id, rng.random());
        let zones = config.zones.clone().map(|(own_zone, zone_config)| {
            let seed = rng.random();
            ZoneCoordinator::new(own_zone, zone_config, agent.session(), now_ms, seed)
        });
        FleetNode {
            detector,
            quorum,
            controller: RolloutController::new(config.rollout.clone()),
            agent,
            zones,
            local_messages: Vec::new(),
            now_ms,
            outbox: VecDeque::new(),
            next_poll_ms: now_ms,
            draining: false,
        }
    }

    /// Its number.
    pub fn id(&self) -> Id {
        self.detector.id()
    }

    /// Its session: drawn at each start.
    pub fn session(&self) -> u32 {
        self.agent.session()
    }

    /// Membership as this member knows it.
    pub fn detector(&self) -> &SwimDetector {
        &self.detector
    }

    /// Its voter, if it is one.
    pub fn quorum(&self) -> Option<&QuorumNode> {
        self.quorum.as_ref()
    }

    /// Its copy of the records, and its reports.
    pub fn agent(&self) -> &MemberAgent {
        &self.agent
    }

    /// What its voter does at present, if it is one.
    pub fn role(&self) -> Option<Role> {
        self.quorum.as_ref().map(QuorumNode::role)
    }

    /// Takes over what may change while it runs.
    pub fn set_config(
        &mut self,
        rollout: RolloutConfig,
        keys: Keys,
        zones: Option<tansymux_zone_evacuation::Config>,
    ) {
        self.controller.set_config(rollout);
        if let (Some(coordinator), Some(config)) = (&mut self.zones, zones) {
            coordinator.set_config(config);
        }
        self.detector.set_keys(keys);
    }

    /// Takes over what this dispatcher says of itself from now on.
    pub fn set_status(&mut self, status: MemberStatus) {
        self.agent.set_status(status);
    }

    /// Takes over the engines of its endpoint list.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        self.controller.set_engines(engines);
        if let Some(zones) = &mut self.zones {
            zones.set_engines(engines);
        }
    }

    /// Takes over what this dispatcher observes of zones. `is_isolated`: it takes itself for cut off.
    pub fn observe_zones(
        &mut self,
        evidence: Vec<tansymux_zone_evacuation::Evidence>,
        is_isolated: bool,
    ) {
        if let Some(zones) = &mut self.zones {
            zones.observe(evidence, is_isolated);
        }
    }

    /// How a zone may be used from here: by own judgement where the fleet agreed on nothing.
    pub fn use_of(&self, zone: u32) -> tansymux_zone_evacuation::ZoneUse {
        match &self.zones {
            Some(zones) => zones.follower.zone_use(zone, self.now_ms),
            None => tansymux_zone_evacuation::ZoneUse::LocalDecision,
        }
    }

    /// The zones of the fleet, where they are configured.
    pub fn zones(&self) -> Option<&ZoneCoordinator> {
        self.zones.as_ref()
    }

    /// Why an engine is unavailable by agreement of the fleet, if it is.
    pub fn engine_disruption(&self, engine: Id) -> Option<DisruptionReason> {
        let engine_key = Record::unit_key(UnitKind::Engine, engine);
        self.agent
            .unavailable_engines(self.now_ms)
            .find(|(key, _)| *key == engine_key)
            .map(|(_, reason)| reason)
    }

    /// How many engines are unavailable by agreement of the fleet.
    pub fn unavailable_engine_count(&self) -> usize {
        self.agent.unavailable_engines(self.now_ms).count()
    }

    /// Takes in an event. What follows from it is given by [`FleetNode::poll`].
    pub fn handle(&mut self, event: FleetEvent, now_ms: f64) {
        match event {
            FleetEvent::DatagramReceived { from, datagram } => {
                self.now_ms = self.now_ms.max(now_ms);
                let received = MembershipEvent::DatagramReceived {
                    from,
                    bytes: datagram,
                };
                self.detector.handle(received, self.now_ms);
                while let Some(message) = self.detector.next_user_message() {
                    self.on_user_message(message);
                }
            }
            FleetEvent::LeaveRequested => {
                self.detector
                    .handle(MembershipEvent::LeaveRequested, now_ms);
            }
        }
    }

    /// A message that came in a datagram of membership.
    fn on_user_message(&mut self, message: UserMessage) {
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
            // A client that is no member may call, and nothing else.
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

    /// A message of a member, this one included.
    fn on_message(&mut self, from: Id, message: Message) {
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
                if let Some(plan) = zones.on_report(&self.controller, quorum, from, report, now_ms)
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

    /// A member's report to a voter: the answer names the leader, and brings records that the member lacks.
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
            let first = (now_ms as usize / GOSSIP_ROTATION_MS) % records.len();
            records.rotate_left(first);
        }
        let requests_records = quorum.is_leader(now_ms)
            && self
                .controller
                .should_request_records(quorum, from, differs, now_ms);
        self.send_gossip(from, leader, &records);
        if requests_records {
            self.send(Destination::Member(from), &Message::RecordsRequest);
        }
    }

    /// Sends records to a member, or no record in one message.
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

    /// Records that a member still knows and the voters have lost: those without an end are written anew. Leases end by
    /// themselves, and are ended.
    fn restore_records(&mut self, records: &[LeasedRecord]) {
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        for LeasedRecord { record, .. } in records {
            let is_lost = !quorum.holds(record.key) && !record.is_tombstone();
            if !quorum.is_leader(self.now_ms) || !is_lost {
                continue;
            }
            let proposal = if has_no_end(&record.value) {
                Proposal::lasting(record.key, record.value)
            } else {
                Proposal::tombstone(record.key)
            };
            propose(quorum, &[proposal], self.now_ms);
        }
    }

    fn send(&mut self, to: Destination, message: &Message) {
        match to {
            Destination::Member(id) if id == self.detector.id() => {
                self.local_messages.push(message.clone());
            }
            Destination::Member(id) => {
                self.detector.send_user_message(id, &codec::encode(message));
            }
            Destination::Client(address) => {
                self.detector
                    .send_user_message_to(address, &codec::encode(message));
            }
        }
    }

    /// The next action that is due; none: nothing before [`FleetNode::next_poll_ms`]. Call it until it gives none.
    pub fn poll(&mut self, now_ms: f64) -> Option<FleetAction> {
        if !self.draining {
            self.draining = true;
            self.run_timers(now_ms);
        }
        let action = self.outbox.pop_front();
        self.draining = action.is_some();
        action
    }

    /// When to poll again (ms), if no event comes before.
    pub fn next_poll_ms(&self) -> f64 {
        self.next_poll_ms
    }

    fn run_timers(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        let now_ms = self.now_ms;
        self.next_poll_ms = f64::INFINITY;
        self.poll_quorum();
        self.poll_agent();
        self.poll_zones();
        for _ in 0..MAX_LOCAL_ROUNDS {
            for message in std::mem::take(&mut self.local_messages) {
                self.on_message(self.detector.id(), message);
            }
        }
        let output = self.detector.poll(now_ms);
        self.wake_at(output.next_poll_ms);
        for sent in output.datagrams {
            self.outbox.push_back(FleetAction::Send {
                to: sent.to,
                datagram: sent.bytes,
            });
        }
    }

    fn wake_at(&mut self, next_ms: f64) {
        self.next_poll_ms = self.next_poll_ms.min(next_ms);
    }

    fn poll_quorum(&mut self) {
        let now_ms = self.now_ms;
        let Some(quorum) = &mut self.quorum else {
            return;
        };
        while let Some(Action::Send { to, message }) = quorum.poll(now_ms) {
            let datagram = tansymux_coordination::codec::encode(&message);
            self.detector.send_user_message(to, &datagram);
        }
        let own_id = self.detector.id();
        let members = self.detector.members();
        let members = members.map(|member| (member.id, member.state));
        self.controller
            .set_members(members.chain([(own_id, MemberState::Alive)]));
        self.controller.evaluate(quorum, now_ms);
        if let Some(zones) = &mut self.zones {
            let members = self.detector.members();
            let members = members.map(|member| (member.id, member.is_present()));
            let members = members.chain([(own_id, true)]);
            zones.evaluate(&self.controller, quorum, members, now_ms);
        }
        // A voter's own agent knows what the voter holds.
        self.agent.merge(quorum.records(), now_ms);
        let next_ms = quorum.next_poll_ms();
        self.wake_at(next_ms);
    }

    fn poll_agent(&mut self) {
        while let Some(AgentAction::Send { to, message }) = self.agent.poll(self.now_ms) {
            self.send(to, &message);
        }
        self.wake_at(self.agent.next_poll_ms());
    }

    fn poll_zones(&mut self) {
        let now_ms = self.now_ms;
        let leader = self.agent.leader(now_ms);
        let Some(zones) = &mut self.zones else {
            return;
        };
        let report = zones.poll(now_ms);
        let next_ms = zones.next_poll_ms();
        self.wake_at(next_ms);
        if let (Some(report), Some(leader)) = (report, leader) {
            self.send(Destination::Member(leader), &Message::ZoneReport(report));
        }
    }
}

/// Whether a record lasts until it is ended.
fn has_no_end(value: &RecordValue) -> bool {
    match value {
        RecordValue::Halt { .. } | RecordValue::Release { .. } | RecordValue::Zone { .. } => true,
        RecordValue::Disruption { reason, .. } => {
            matches!(reason, DisruptionReason::Drain | DisruptionReason::Lost)
        }
        RecordValue::Tombstone => false,
    }
}

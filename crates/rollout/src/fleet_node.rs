//! A member of a fleet: combines membership, the voter, the rollout controller, the agent and the zone coordinator.

mod interface;
mod messages;

use crate::codec;
use crate::member_agent::{AgentAction, Destination, MemberAgent, MemberStatus};
use crate::message::Message;
use crate::rollout_config::RolloutConfig;
use crate::rollout_controller::RolloutController;
use crate::zone_coordinator::ZoneCoordinator;
pub use interface::{FleetAction, FleetConfig, FleetEvent, ZoneEvacuation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::{
    Action, DisruptionReason, Id, Outbox, QuorumNode, Record, Role, UnitKind, VoterMemory,
    VoterStart,
};
use tansymux_membership::{
    member_id_of, Event as MembershipEvent, Keys, MemberState, SwimDetector,
};

/// Maximum number of rounds in one poll that handle the member's messages to itself. Messages sent in a round are
/// handled in the next round.
const MAX_LOCAL_ROUNDS: usize = 4;

/// A member. Drive it with [`FleetNode::handle`] and [`FleetNode::poll`].
#[derive(Debug, Clone)]
pub struct FleetNode {
    detector: SwimDetector,
    /// `Some` at voters only.
    quorum: Option<QuorumNode>,
    controller: RolloutController,
    agent: MemberAgent,
    zones: Option<ZoneCoordinator>,
    /// Messages from the member to itself that have not been handled yet.
    local_messages: Vec<Message>,
    now_ms: f64,
    outbox: Outbox<FleetAction>,
    next_poll_ms: f64,
}

impl FleetNode {
    /// Creates a member at its start. `seed` must be drawn at random at each start.
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
        let quorum = voters
            .contains(&id)
            .then(|| new_voter(config, &voters, now_ms, rng.random()));
        let agent = MemberAgent::new(id, &voters, config.grant_id, rng.random());
        let zones = config.zones.clone().map(|evacuation| {
            let seed = rng.random();
            let ZoneEvacuation { local_zone, config } = evacuation;
            ZoneCoordinator::new(local_zone, config, agent.session(), now_ms, seed)
        });
        FleetNode {
            detector,
            quorum,
            controller: RolloutController::new(config.rollout.clone()),
            agent,
            zones,
            local_messages: Vec::new(),
            now_ms,
            outbox: Outbox::default(),
            next_poll_ms: now_ms,
        }
    }

    /// The member's identifier.
    pub fn id(&self) -> Id {
        self.detector.id()
    }

    /// The member's session, drawn at random at each start.
    pub fn session(&self) -> u32 {
        self.agent.session()
    }

    /// The failure detector with this member's view of the membership.
    pub fn detector(&self) -> &SwimDetector {
        &self.detector
    }

    /// The voter, if the member is one.
    pub fn quorum(&self) -> Option<&QuorumNode> {
        self.quorum.as_ref()
    }

    /// The agent, with the member's copies of the quorum records.
    pub fn agent(&self) -> &MemberAgent {
        &self.agent
    }

    /// The current role of the voter, if the member is one.
    pub fn role(&self) -> Option<Role> {
        self.quorum.as_ref().map(QuorumNode::role)
    }

    /// Replaces the part of the configuration that can change at run time.
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

    /// Replaces the dispatcher status that the next reports contain.
    pub fn set_status(&mut self, status: MemberStatus) {
        self.agent.set_status(status);
    }

    /// Replaces the known engines by those of this dispatcher's endpoint list.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        self.controller.set_engines(engines);
        if let Some(zones) = &mut self.zones {
            zones.set_engines(engines);
        }
    }

    /// Replaces this dispatcher's observations of zones. `is_isolated`: whether the dispatcher reaches no zone.
    pub fn observe_zones(
        &mut self,
        evidence: Vec<tansymux_zone_evacuation::Evidence>,
        is_isolated: bool,
    ) {
        if let Some(zones) = &mut self.zones {
            zones.observe(evidence, is_isolated);
        }
    }

    /// Returns how this member may use a zone by the fleet's decision. If the fleet has not decided on the zone, the
    /// local decision applies.
    pub fn zone_use(&self, zone: u32) -> tansymux_zone_evacuation::ZoneUse {
        match &self.zones {
            Some(zones) => zones.follower.zone_use(zone, self.now_ms),
            None => tansymux_zone_evacuation::ZoneUse::LocalDecision,
        }
    }

    /// The zone coordinator; `None` if zone evacuation is not configured.
    pub fn zones(&self) -> Option<&ZoneCoordinator> {
        self.zones.as_ref()
    }

    /// The reason of an engine's disruption record; `None` if there is no such record in force.
    pub fn engine_disruption(&self, engine: Id) -> Option<DisruptionReason> {
        let engine_key = Record::unit_key(UnitKind::Engine, engine);
        self.agent
            .unavailable_engines(self.now_ms)
            .find(|(key, _)| *key == engine_key)
            .map(|(_, reason)| reason)
    }

    /// Number of engines with a disruption record in force.
    pub fn unavailable_engine_count(&self) -> usize {
        self.agent.unavailable_engines(self.now_ms).count()
    }

    /// Handles an event. [`FleetNode::poll`] returns the resulting actions.
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

    /// Returns the next action. Call this function until it returns `None`, which means that nothing more is due before
    /// [`FleetNode::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<FleetAction> {
        if self.outbox.begin_poll() {
            self.run_timers(now_ms);
        }
        self.outbox.pop()
    }

    /// When to poll next (ms), unless an event arrives earlier.
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
        for datagram in output.datagrams {
            self.outbox.push(FleetAction::Send {
                to: datagram.to,
                datagram: datagram.bytes,
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
        // A voter's agent copies all records of the voter.
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

fn new_voter(config: &FleetConfig, voters: &[Id], now_ms: f64, seed: u64) -> QuorumNode {
    let start = VoterStart {
        memory: if config.fresh {
            VoterMemory::NeverVoted
        } else {
            VoterMemory::MayBeLost
        },
        round: (now_ms / 1000.0) as u32,
        seed,
    };
    let id = member_id_of(&config.name);
    QuorumNode::new(id, voters, config.quorum, start, now_ms)
}

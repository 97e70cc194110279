//! One member of a fleet, whole: membership, the voters, the leader's decisions, its own reports and calls.

use crate::agent::{MemberAgent, Own, To};
use crate::message::{self, Command, Message, Report};
use crate::steward::{RolloutController, Told};
use crate::zoned::Zoned;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use tansymux_coordination::limits::Unit;
use tansymux_coordination::wire::Counted;
use tansymux_coordination::{Id, Kind, QuorumNode, Record, Stand, Terms, Value, Why};
use tansymux_membership::{member_id_of, Event, Keys, MemberState, SwimDetector, UserMessage};

/// Datagrams that tell one member what it does not know, for each of its reports.
const MAX_NEWS: usize = 4;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub address: SocketAddr,
    /// Names of the voters.
    pub voters: Vec<String>,
    pub membership: tansymux_membership::Config,
    pub terms: Terms,
    pub keys: Keys,
    /// Whether no voter ever voted before: the first start of an installation.
    pub fresh: bool,
    /// The turn under which it is started, so that it is known to be back; 0: none.
    pub turn: u64,
    pub told: Told,
    /// Zones left and returned to as a fleet, seen from this one; none: each judges for itself.
    pub zones: Option<(u32, tansymux_zone_evacuation::Config)>,
}

#[derive(Debug, Clone)]
pub struct Fleet {
    group: SwimDetector,
    council: Option<QuorumNode>,
    steward: RolloutController,
    agent: MemberAgent,
    zoned: Option<Zoned>,
    /// Messages to itself.
    own: Vec<Message>,
    now: f64,
}

impl Fleet {
    /// `seed`: drawn anew at each start.
    pub fn new(settings: &Settings, now: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let id = member_id_of(&settings.name);
        let voters: Vec<Id> = settings
            .voters
            .iter()
            .map(|name| member_id_of(name))
            .collect();
        let keys = settings.keys.clone();
        let membership = settings.membership.clone();
        let group = SwimDetector::new(
            &settings.name,
            settings.address,
            0,
            membership,
            keys,
            rng.random(),
        );
        let council = voters.contains(&id).then(|| {
            let seed = rng.random();
            let round = (now / 1000.0) as u32;
            QuorumNode::new(
                id,
                &voters,
                settings.terms,
                now,
                settings.fresh,
                round,
                seed,
            )
        });
        let agent = MemberAgent::new(id, &voters, settings.turn, rng.random());
        let steward = RolloutController::new(settings.told.clone());
        let zoned = settings.zones.clone().map(|(own, definition)| {
            Zoned::new(own, definition, agent.session(), now, rng.random())
        });
        Fleet {
            group,
            council,
            steward,
            agent,
            zoned,
            own: Vec::new(),
            now,
        }
    }

    pub fn id(&self) -> Id {
        self.group.id()
    }

    pub fn session(&self) -> u32 {
        self.agent.session()
    }

    pub fn group(&self) -> &SwimDetector {
        &self.group
    }

    pub fn council(&self) -> Option<&QuorumNode> {
        self.council.as_ref()
    }

    pub fn agent(&self) -> &MemberAgent {
        &self.agent
    }

    pub fn stand(&self) -> Option<Stand> {
        self.council.as_ref().map(QuorumNode::stand)
    }

    /// Takes on what the operators' file says now.
    pub fn set(&mut self, told: Told, keys: Keys, zones: Option<tansymux_zone_evacuation::Config>) {
        self.steward.set(told);
        if let (Some(zoned), Some(definition)) = (&mut self.zoned, zones) {
            zoned.set(definition);
        }
        self.group.set_keys(keys);
    }

    /// What this dispatcher says of itself from now on.
    pub fn says(&mut self, own: Own) {
        self.agent.set(own);
    }

    /// The engines as its list tells them.
    pub fn engines(&mut self, engines: &[Unit]) {
        self.steward.engines(engines);
        if let Some(zoned) = &mut self.zoned {
            zoned.engines(engines);
        }
    }

    /// What this dispatcher sees of zones; `alone`: it takes itself for cut off.
    pub fn sees(&mut self, evidence: Vec<tansymux_zone_evacuation::Evidence>, alone: bool) {
        if let Some(zoned) = &mut self.zoned {
            zoned.sees(evidence, alone);
        }
    }

    /// How a zone may be used from here: by own judgement where nothing is agreed on.
    pub fn use_of(&self, zone: u32) -> tansymux_zone_evacuation::ZoneUse {
        self.zoned
            .as_ref()
            .map_or(tansymux_zone_evacuation::ZoneUse::LocalDecision, |zoned| {
                zoned.guide.zone_use(zone, self.now)
            })
    }

    pub fn zoned(&self) -> Option<&Zoned> {
        self.zoned.as_ref()
    }

    /// Whether an engine is out by agreement, and why.
    pub fn engine_out(&self, engine: Id) -> Option<Why> {
        let place = Record::key_of(Kind::Engine, engine);
        self.agent
            .engines_out(self.now)
            .find(|(key, _)| *key == place)
            .map(|(_, why)| why)
    }

    /// How many engines are out by agreement.
    pub fn engines_out(&self) -> usize {
        self.agent.engines_out(self.now).count()
    }

    /// Says that this member goes.
    pub fn leave(&mut self, now: f64) {
        self.group.handle(Event::LeaveRequested, now);
    }

    pub fn handle(&mut self, now: f64, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.group
            .handle(Event::DatagramReceived { from, bytes }, self.now);
        while let Some(carried) = self.group.next_user_message() {
            self.takes(carried);
        }
    }

    fn takes(&mut self, carried: UserMessage) {
        let UserMessage {
            from,
            address,
            content,
        } = carried;
        if !message::is_one(&content) {
            if let (Some(council), Some(message)) = (
                &mut self.council,
                tansymux_coordination::wire::read(&content),
            ) {
                council.handle(self.now, from, message);
            }
            return;
        }
        let Some(message) = message::read(&content) else {
            return;
        };
        // Who is no member may call, and nothing else.
        let member = self
            .group
            .state(from)
            .is_some_and(|state| state.is_present());
        match message {
            Message::Hello { call } => self.agent.hello(self.now, address, call),
            Message::Call {
                call,
                nonce,
                command,
            } => self.agent.called(self.now, address, call, nonce, command),
            message if member => self.hears(from, message),
            _ => {}
        }
    }

    fn hears(&mut self, from: Id, message: Message) {
        let now = self.now;
        match message {
            Message::Report(report) => self.reported(from, &report),
            Message::Gossip {
                leader,
                tick,
                records,
            } => self.agent.news(now, from, leader, tick, records),
            Message::Want => {
                let all: Vec<Counted> = self.agent.records(now).collect();
                for some in all.chunks(message::RECORDS).take(MAX_NEWS) {
                    self.send(
                        To::Member(from),
                        &Message::Hand {
                            records: some.to_vec(),
                        },
                    );
                }
            }
            Message::Hand { records } => self.handed(records),
            Message::Command { call, command } => {
                let Some(council) = &mut self.council else {
                    return;
                };
                let answer = match (&mut self.zoned, command) {
                    (
                        Some(zoned),
                        Command::Leave { .. } | Command::ReturnTo { .. } | Command::Zones,
                    ) => zoned.command(now, &self.steward, council, command),
                    _ => self.steward.command(now, council, command),
                };
                self.send(To::Member(from), &Message::Answer { call, answer });
            }
            Message::Answer { call, answer } => self.agent.answered(now, call, answer),
            Message::ZonesTold(told) => {
                let (Some(zoned), Some(council)) = (&mut self.zoned, &self.council) else {
                    return;
                };
                if let Some(plan) = zoned.told(now, &self.steward, council, from, told) {
                    self.send(To::Member(from), &Message::ZonePlan(plan));
                }
            }
            Message::ZonePlan(plan) => {
                if let Some(zoned) = &mut self.zoned {
                    zoned.planned(now, &plan);
                }
            }
            Message::Hello { .. } | Message::Nonce { .. } | Message::Call { .. } => {}
        }
    }

    /// A member's report to a voter: it is told who leads and what it does not know.
    fn reported(&mut self, from: Id, report: &Report) {
        let Some(council) = &mut self.council else {
            return;
        };
        let now = self.now;
        council.heard_of(report.round);
        self.steward.report(now, council, from, *report);
        let leader = council.leader().unwrap_or(0);
        let recalls = matches!(council.stand(), Stand::Recalls { .. });
        let mut records: Vec<Counted> = Vec::new();
        if council.digest() != report.digest && !recalls {
            records.extend(council.records());
            // Anywhere first: what one datagram leaves out, the next brings.
            let at = if records.is_empty() {
                0
            } else {
                (now as usize / 7) % records.len()
            };
            records.rotate_left(at);
        }
        // What it still knows after it was told all, this leader has forgotten: by a restart of voters one after the
        // other. A new leader asks at once, before it decides anything.
        let differs = council.digest() != report.digest;
        let wants = council.leads(now) && self.steward.wants(now, council, from, differs);
        let tick = RolloutController::tick(now);
        let news = |records: &[Counted]| Message::Gossip {
            leader,
            tick,
            records: records.to_vec(),
        };
        let all: Vec<Message> = if records.is_empty() {
            vec![news(&[])]
        } else {
            records
                .chunks(message::RECORDS)
                .take(MAX_NEWS)
                .map(news)
                .collect()
        };
        all.iter()
            .for_each(|message| self.send(To::Member(from), message));
        if wants {
            self.send(To::Member(from), &Message::Want);
        }
    }

    /// What a member still knows and the voters have forgotten: what must last is written anew. Turns end by
    /// themselves and are not.
    fn handed(&mut self, records: Vec<Counted>) {
        let Some(council) = &mut self.council else {
            return;
        };
        let lasts = |value: &Value| match value {
            Value::Halt { .. } | Value::Release { .. } | Value::Zone { .. } => true,
            Value::Out { why, .. } => matches!(why, Why::Drain | Why::Lost),
            Value::Over => false,
        };
        for (record, _) in records {
            let known = council.records().any(|(known, _)| known.key == record.key);
            if council.leads(self.now) && !known && !record.is_over() {
                let value = if lasts(&record.value) {
                    record.value
                } else {
                    Value::Over
                };
                council.write(self.now, &[(record.key, value, None)]);
            }
        }
    }

    fn send(&mut self, to: To, message: &Message) {
        match to {
            To::Member(id) if id == self.group.id() => self.own.push(message.clone()),
            To::Member(id) => drop(self.group.send_user_message(id, &message::write(message))),
            To::Address(address) => drop(
                self.group
                    .send_user_message_to(address, &message::write(message)),
            ),
        }
    }

    /// What time brings; datagrams to send, and when to call again.
    pub fn poll(&mut self, now: f64) -> (Vec<(SocketAddr, Vec<u8>)>, f64) {
        self.now = self.now.max(now);
        let now = self.now;
        let mut next = f64::INFINITY;
        if let Some(council) = &mut self.council {
            let (messages, at) = council.poll(now);
            next = next.min(at);
            for (to, message) in messages {
                self.group
                    .send_user_message(to, &tansymux_coordination::wire::write(&message));
            }
            let members = self.group.members().map(|member| (member.id, member.state));
            self.steward
                .members(members.chain([(self.group.id(), MemberState::Alive)]));
            self.steward.look(now, council);
            if let Some(zoned) = &mut self.zoned {
                let members = self.group.members().map(|m| (m.id, m.is_present()));
                zoned.look(
                    now,
                    &self.steward,
                    council,
                    members.chain([(self.group.id(), true)]),
                );
            }
            // A voter knows itself what it keeps.
            self.agent.learns(now, council.records());
        }
        let (messages, at) = self.agent.poll(now);
        next = next.min(at);
        for (to, message) in messages {
            self.send(to, &message);
        }
        let leader = self.agent.leader(now);
        if let Some(zoned) = &mut self.zoned {
            let (told, at) = zoned.tells(now);
            next = next.min(at);
            if let (Some(told), Some(leader)) = (told, leader) {
                self.send(To::Member(leader), &Message::ZonesTold(told));
            }
        }
        // What it tells itself may have it tell itself more, and that ends.
        for _ in 0..4 {
            for message in std::mem::take(&mut self.own) {
                let own = self.group.id();
                self.hears(own, message);
            }
        }
        let output = self.group.poll(now);
        let datagrams = output.datagrams.into_iter();
        let datagrams = datagrams.map(|datagram| (datagram.to, datagram.bytes));
        (datagrams.collect(), next.min(output.next_poll_ms))
    }
}

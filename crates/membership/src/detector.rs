//! The SWIM failure detector of one member.
//!
//! [`SwimDetector::handle`] takes what arrives and [`SwimDetector::poll`] what time brings; both queue datagrams that
//! `poll` returns. The steps stand in the submodules: `probing` (direct and indirect probes, suspicion), `gossip`
//! (claims about members and how they spread) and `table_sync` (joining and anti-entropy).

mod gossip;
mod probing;
mod table_sync;

use crate::authenticator::{DatagramAuthenticator, Keys};
use crate::codec::{self, Datagram, Gossip, MemberId, MemberState, Message};
use crate::config::Config;
use crate::member::{Member, StateChange, UserMessage};
use gossip::GossipQueue;
use probing::{IndirectProbe, Probe};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Members that are kept, those included that are dead and not yet forgotten.
pub const MAX_MEMBERS: usize = 1024;
/// Highest local health multiplier (Lifeguard): timeouts are up to nine times as long.
const MAX_LOCAL_HEALTH: u32 = 8;
/// State changes that are kept for display.
const MAX_HISTORY: usize = 128;
/// User messages that wait to be taken.
const MAX_QUEUED_USER_MESSAGES: usize = 1024;
/// Protocol periods for which tables are synchronized in each one after the start.
const INITIAL_UNSETTLED_PERIODS: u32 = 10;
/// A gap of this many protocol periods between two polls means that this process was paused.
const PAUSE_PERIODS: f64 = 2.0;

/// What a detector reacts to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event<'a> {
    /// A datagram arrived. What cannot be decoded or is not authentic is ignored.
    DatagramReceived {
        /// The address that it came from.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// This member leaves; the datagrams that the next poll returns tell the others.
    LeaveRequested,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDatagram {
    /// Where it goes.
    pub to: SocketAddr,
    /// Its bytes, sealed.
    pub bytes: Vec<u8>,
}

/// The result of a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollOutput {
    /// Datagrams to be sent, in order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// When to poll next at the latest (ms).
    pub next_poll_ms: f64,
}

/// The SWIM failure detector of one member. All times in milliseconds of the caller's clock.
#[derive(Debug, Clone)]
pub struct SwimDetector {
    id: MemberId,
    address: SocketAddr,
    incarnation: u32,
    leaving: bool,
    config: Config,
    authenticator: DatagramAuthenticator,
    rng: Pcg32,
    /// All known members but this one.
    members: BTreeMap<MemberId, Member>,
    /// Members still to be probed in this round, in random order: none waits for more than two rounds.
    probe_round: Vec<MemberId>,
    probe: Option<Probe>,
    /// Probes that this member makes for others.
    indirect_probes: Vec<IndirectProbe>,
    next_period_ms: f64,
    next_join_ms: f64,
    next_sync_ms: f64,
    /// Protocol periods for which tables are still synchronized in each.
    unsettled_periods: u32,
    /// Datagrams that answered table syncs in this period.
    sync_answers_sent: usize,
    /// Datagrams that answered joins in this period.
    join_answers_sent: usize,
    user_messages: VecDeque<UserMessage>,
    sequence_number: u32,
    /// Lifeguard's local health multiplier: grows with missed answers and with suspicions this member had to refute.
    local_health: u32,
    gossip_queue: GossipQueue,
    history: Vec<StateChange>,
    now_ms: f64,
    outbox: Vec<OutgoingDatagram>,
}

impl SwimDetector {
    /// `name` stays the same over restarts; `last_incarnation` is the last one known of it, 0 if none is; `seed` is
    /// drawn anew at each start.
    pub fn new(
        name: &str,
        address: SocketAddr,
        last_incarnation: u32,
        config: Config,
        keys: Keys,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let session = rng.random();
        SwimDetector {
            id: codec::member_id_of(name),
            address,
            incarnation: last_incarnation.wrapping_add(1),
            leaving: false,
            config,
            authenticator: DatagramAuthenticator::new(keys, session),
            rng,
            members: BTreeMap::new(),
            probe_round: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            next_period_ms: f64::NEG_INFINITY,
            next_join_ms: f64::NEG_INFINITY,
            next_sync_ms: f64::NEG_INFINITY,
            unsettled_periods: INITIAL_UNSETTLED_PERIODS,
            sync_answers_sent: 0,
            join_answers_sent: 0,
            user_messages: VecDeque::new(),
            sequence_number: 0,
            local_health: 0,
            gossip_queue: GossipQueue::default(),
            history: Vec::new(),
            now_ms: f64::NEG_INFINITY,
            outbox: Vec::new(),
        }
    }

    /// This member's identifier.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// This member's incarnation, to be kept over a restart.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// All known members but this one, in order of their identifiers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that count as running, this one included.
    pub fn present_count(&self) -> usize {
        self.present_members().count() + 1
    }

    /// The state of another member; `None` if it is not known.
    pub fn state(&self, id: MemberId) -> Option<MemberState> {
        self.members.get(&id).map(|member| member.state)
    }

    /// The last state changes, oldest first.
    pub fn history(&self) -> &[StateChange] {
        &self.history
    }

    /// Lifeguard's local health multiplier, from 0 (healthy): timeouts are `1 + local_health` times as long.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Replaces the keys of the datagrams.
    pub fn set_keys(&mut self, keys: Keys) {
        self.authenticator.set_keys(keys);
    }

    /// Takes an event. Answers wait for the next [`SwimDetector::poll`].
    pub fn handle(&mut self, event: Event<'_>, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::DatagramReceived { from, bytes } => self.receive(from, bytes),
            Event::LeaveRequested => self.leave(),
        }
    }

    /// Runs what is due; returns what is to be sent and when to poll again.
    pub fn poll(&mut self, now_ms: f64) -> PollOutput {
        if self.was_paused(now_ms) {
            self.recover_from_pause(now_ms);
        }
        self.now_ms = self.now_ms.max(now_ms);
        if !self.leaving {
            self.join_if_due();
            self.sync_tables_if_due();
            self.retry_probe_if_due();
            self.expire_suspicions();
            if self.now_ms >= self.next_period_ms {
                self.next_period_ms = self.now_ms + self.config.period_ms;
                self.begin_period();
            }
        }
        let now_ms = self.now_ms;
        self.indirect_probes
            .retain(|indirect| indirect.expires_ms > now_ms);
        PollOutput {
            datagrams: std::mem::take(&mut self.outbox),
            next_poll_ms: self.next_poll_ms(),
        }
    }

    fn next_poll_ms(&self) -> f64 {
        let next_retry_ms = match &self.probe {
            Some(probe) => self.probe_retry_ms(probe),
            None => f64::INFINITY,
        };
        next_retry_ms
            .min(self.next_period_ms)
            .min(self.next_sync_ms)
            .max(self.now_ms + 1.0)
    }

    /// Sends a message of another protocol to a member; whether it is present and the message fits.
    pub fn send_user_message(&mut self, to: MemberId, content: &[u8]) -> bool {
        match self.members.get(&to) {
            Some(member) if member.is_present() => {
                let address = member.address;
                self.send_user_message_to(address, content)
            }
            _ => false,
        }
    }

    /// Sends a message of another protocol to an address, as in answer to one that is no member; whether it fits.
    pub fn send_user_message_to(&mut self, to: SocketAddr, content: &[u8]) -> bool {
        match codec::encode_user_message(self.id, content) {
            Some(bytes) => {
                self.seal_and_queue(to, bytes);
                true
            }
            None => false,
        }
    }

    /// The next message that another protocol sent to this member.
    pub fn next_user_message(&mut self) -> Option<UserMessage> {
        self.user_messages.pop_front()
    }

    // ---- Events ----

    fn leave(&mut self) {
        self.leaving = true;
        let farewell = self.own_gossip(MemberState::Left);
        self.enqueue_gossip(farewell);
        let receivers: Vec<SocketAddr> = self
            .present_members()
            .take(2 * self.config.indirect_probes + 2)
            .map(|member| member.address)
            .collect();
        for receiver in receivers {
            self.send(receiver, Message::Ping);
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        if bytes.len() > codec::MAX_DATAGRAM_LEN {
            return;
        }
        let Some(sender) = codec::peek_sender(bytes) else {
            return;
        };
        if sender == self.id {
            return;
        }
        let Some(opened) = self.authenticator.open(sender, bytes) else {
            return;
        };
        if let Some(content) = codec::decode_user_message(opened) {
            self.queue_user_message(sender, from, content);
            return;
        }
        let Ok(datagram) = codec::decode(opened) else {
            return;
        };
        for gossip in &datagram.gossip {
            self.apply_gossip(*gossip);
        }
        self.answer(from, &datagram);
    }

    fn queue_user_message(&mut self, from: MemberId, address: SocketAddr, content: &[u8]) {
        if self.user_messages.len() < MAX_QUEUED_USER_MESSAGES {
            self.user_messages.push_back(UserMessage {
                from,
                address,
                content: content.to_vec(),
            });
        }
    }

    fn answer(&mut self, from: SocketAddr, datagram: &Datagram) {
        let sequence_number = datagram.sequence_number;
        match datagram.message {
            Message::Ping => self.send_numbered(from, Message::Ack, sequence_number),
            Message::Join => self.answer_join(from, sequence_number),
            Message::Ack => self.on_ack(datagram.sender, sequence_number),
            Message::IndirectAck(subject) => self.on_indirect_ack(subject, sequence_number),
            Message::TableSync(digests) => self.answer_table_sync(from, &digests),
            Message::PingRequest(subject) => {
                self.on_ping_request(datagram.sender, subject, sequence_number);
            }
        }
    }

    // ---- Helpers of all steps ----

    /// A pause of this process says nothing about the others: it lowers its own health instead of suspecting them.
    fn was_paused(&self, now_ms: f64) -> bool {
        now_ms - self.now_ms > PAUSE_PERIODS * self.config.period_ms && self.now_ms.is_finite()
    }

    fn recover_from_pause(&mut self, now_ms: f64) {
        self.raise_local_health(2);
        self.probe = None;
        let earliest_start_ms = now_ms - self.suspicion_timeout_ms() / 2.0;
        for member in self.members.values_mut() {
            if member.state == MemberState::Suspect {
                member.state_since_ms = member.state_since_ms.max(earliest_start_ms);
            }
        }
    }

    fn raise_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    fn own_gossip(&self, state: MemberState) -> Gossip {
        Gossip {
            id: self.id,
            address: self.address,
            state,
            incarnation: self.incarnation,
        }
    }

    fn present_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_present())
    }

    /// The address of a known member, in whichever state.
    fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        self.members.get(&id).map(|member| member.address)
    }

    /// Factor on timeouts by the local health multiplier.
    fn timeout_factor(&self) -> f64 {
        1.0 + f64::from(self.local_health)
    }

    /// log2 of the size of the group, which SWIM's dissemination and suspicion times grow with.
    fn group_doublings(&self) -> f64 {
        (self.members.len() as f64 + 2.0).log2()
    }

    fn record_change(&mut self, id: MemberId, state: MemberState) {
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(StateChange {
            at_ms: self.now_ms,
            id,
            state,
        });
    }

    /// Sends a message under the next sequence number, which it returns.
    fn send(&mut self, to: SocketAddr, message: Message) -> u32 {
        self.sequence_number = self.sequence_number.wrapping_add(1);
        self.send_numbered(to, message, self.sequence_number);
        self.sequence_number
    }

    /// Sends a message under a given sequence number, with as much gossip as fits.
    fn send_numbered(&mut self, to: SocketAddr, message: Message, sequence_number: u32) {
        let gossip = self.take_gossip(codec::gossip_capacity(message));
        self.send_datagram(to, message, sequence_number, gossip);
    }

    fn send_datagram(
        &mut self,
        to: SocketAddr,
        message: Message,
        sequence_number: u32,
        gossip: Vec<Gossip>,
    ) {
        let bytes = codec::encode(&Datagram {
            message,
            sender: self.id,
            sequence_number,
            gossip,
        });
        self.seal_and_queue(to, bytes);
    }

    fn seal_and_queue(&mut self, to: SocketAddr, mut bytes: Vec<u8>) {
        self.authenticator.seal(&mut bytes);
        self.outbox.push(OutgoingDatagram { to, bytes });
    }
}

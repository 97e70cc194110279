//! The SWIM failure detector of one member.
//!
//! [`SwimDetector::handle`] processes received datagrams and [`SwimDetector::poll`] runs the timers. Both queue
//! outgoing datagrams, which `poll` returns. The submodules implement the parts of the protocol: `probing` (direct and
//! indirect probes, suspicion), `gossip` (dissemination) and `table_sync` (joining and anti-entropy).

mod gossip;
mod interface;
mod local_health;

mod probe_round;
mod probing;
mod table_sync;
mod transport;

use crate::authenticator::{DatagramAuthenticator, Keys};
use crate::codec::{self, Datagram, Gossip, MemberId, MemberState, Message};
use crate::config::Config;
use crate::member::{Member, StateChange, UserMessage};
use gossip::GossipQueue;
pub use interface::{Event, OutgoingDatagram, PollOutput};
use local_health::LocalHealth;
use probe_round::ProbeRound;
use probing::{IndirectProbe, Probe};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use transport::Transport;

/// Maximum number of members in the table, including retained members that are dead or have left.
pub const MAX_MEMBERS: usize = 1024;
/// Maximum number of state changes in the history.
const MAX_HISTORY: usize = 128;
/// Maximum number of queued user messages.
const MAX_QUEUED_USER_MESSAGES: usize = 1024;
/// Number of protocol periods after the start during which a table sync is sent in every period.
const INITIAL_UNSETTLED_PERIODS: u32 = 10;
/// Time between two polls beyond which this process is considered paused, in protocol periods.
const PAUSE_PERIODS: f64 = 2.0;
/// Increase of the local health multiplier after a pause.
const PAUSE_HEALTH_PENALTY: u32 = 2;

/// The SWIM failure detector of one member. All times are milliseconds on the caller's clock.
#[derive(Debug, Clone)]
pub struct SwimDetector {
    id: MemberId,
    address: SocketAddr,
    incarnation: u32,
    /// Whether this member has announced that it leaves.
    is_leaving: bool,
    config: Config,
    transport: Transport,
    rng: Pcg32,
    /// All known members except this one.
    members: BTreeMap<MemberId, Member>,
    probe_round: ProbeRound,
    probe: Option<Probe>,
    /// Probes that this member sends on behalf of other members.
    indirect_probes: Vec<IndirectProbe>,
    next_period_ms: f64,
    next_join_ms: f64,
    next_sync_ms: f64,
    /// Number of remaining protocol periods during which a table sync is sent in every period.
    unsettled_periods: u32,
    /// Number of datagrams sent in response to table syncs in this period.
    sync_answers_sent: usize,
    /// Number of datagrams with member tables sent in response to joins in this period.
    join_answers_sent: usize,
    user_messages: VecDeque<UserMessage>,
    local_health: LocalHealth,
    gossip_queue: GossipQueue,
    history: Vec<StateChange>,
    now_ms: f64,
}

impl SwimDetector {
    /// Creates a detector. `name` must stay the same across restarts. `last_incarnation` is the stored incarnation of
    /// the previous run, or 0 if there is none. `seed` must be drawn at random at each start.
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
        let id = codec::member_id_of(name);
        SwimDetector {
            id,
            address,
            incarnation: last_incarnation.wrapping_add(1),
            is_leaving: false,
            config,
            transport: Transport::new(id, DatagramAuthenticator::new(keys, session), seed as u32),
            rng,
            members: BTreeMap::new(),
            probe_round: ProbeRound::default(),
            probe: None,
            indirect_probes: Vec::new(),
            next_period_ms: f64::NEG_INFINITY,
            next_join_ms: f64::NEG_INFINITY,
            next_sync_ms: f64::NEG_INFINITY,
            unsettled_periods: INITIAL_UNSETTLED_PERIODS,
            sync_answers_sent: 0,
            join_answers_sent: 0,
            user_messages: VecDeque::new(),
            local_health: LocalHealth::default(),
            gossip_queue: GossipQueue::default(),
            history: Vec::new(),
            now_ms: f64::NEG_INFINITY,
        }
    }

    /// Returns this member's identifier.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns this member's incarnation, to be stored for the next start.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns all known members except this one, ordered by identifier.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members that count as running, including this one.
    pub fn present_count(&self) -> usize {
        self.present_members().count() + 1
    }

    /// Returns the state of another member, or `None` if the member is unknown.
    pub fn state(&self, id: MemberId) -> Option<MemberState> {
        self.members.get(&id).map(|member| member.state)
    }

    /// Returns the most recent state changes, oldest first.
    pub fn history(&self) -> &[StateChange] {
        &self.history
    }

    /// Returns Lifeguard's local health multiplier; 0 means healthy. Timeouts are multiplied by `1 + local_health`.
    pub fn local_health(&self) -> u32 {
        self.local_health.multiplier()
    }

    /// Replaces the keys that authenticate datagrams.
    pub fn set_keys(&mut self, keys: Keys) {
        self.transport.set_keys(keys);
    }

    /// Handles an event. The next [`SwimDetector::poll`] returns the resulting datagrams.
    pub fn handle(&mut self, event: Event<'_>, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::DatagramReceived { from, bytes } => self.receive(from, bytes),
            Event::LeaveRequested => self.leave(),
        }
    }

    /// Runs the timers that are due. Returns the datagrams to send and the time of the next poll.
    pub fn poll(&mut self, now_ms: f64) -> PollOutput {
        if self.was_paused(now_ms) {
            self.recover_from_pause(now_ms);
        }
        self.now_ms = self.now_ms.max(now_ms);
        if !self.is_leaving {
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
            datagrams: self.transport.take(),
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

    /// Sends a user message to a member. Returns false if the member is not present or the message does not fit in a
    /// datagram.
    pub fn send_user_message(&mut self, to: MemberId, content: &[u8]) -> bool {
        match self.members.get(&to) {
            Some(member) if member.is_present() => {
                let address = member.address;
                self.send_user_message_to(address, content)
            }
            _ => false,
        }
    }

    /// Sends a user message to an address, for example that of a client. Returns false if the message does not fit in a
    /// datagram.
    pub fn send_user_message_to(&mut self, to: SocketAddr, content: &[u8]) -> bool {
        self.transport.push_user_message(to, content)
    }

    /// Removes and returns the oldest user message received.
    pub fn next_user_message(&mut self) -> Option<UserMessage> {
        self.user_messages.pop_front()
    }

    fn leave(&mut self) {
        self.is_leaving = true;
        let departure = self.own_gossip(MemberState::Left);
        self.enqueue_gossip(departure);
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
        let Some(opened) = self.transport.open(sender, bytes) else {
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
        self.on_message(from, &datagram);
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

    /// Handles the request or response in a datagram.
    fn on_message(&mut self, from: SocketAddr, datagram: &Datagram) {
        let sequence_number = datagram.sequence_number;
        match datagram.message {
            Message::Ping => self.send_numbered(from, Message::Ack, sequence_number),
            Message::Join => self.answer_join(from, sequence_number),
            Message::Ack => self.on_ack(datagram.sender, sequence_number),
            Message::IndirectAck(target) => self.on_indirect_ack(target, sequence_number),
            Message::TableSync(digests) => self.answer_table_sync(from, &digests),
            Message::PingRequest(target) => {
                self.on_ping_request(datagram.sender, target, sequence_number);
            }
        }
    }

    /// Whether this process was paused since the last event or poll.
    fn was_paused(&self, now_ms: f64) -> bool {
        now_ms - self.now_ms > PAUSE_PERIODS * self.config.period_ms && self.now_ms.is_finite()
    }

    /// Abandons the probe in progress and extends suspicions: after a pause of this process, missing responses are not
    /// evidence against other members.
    fn recover_from_pause(&mut self, now_ms: f64) {
        self.local_health.degrade(PAUSE_HEALTH_PENALTY);
        self.probe = None;
        let min_suspected_since_ms = now_ms - self.suspicion_timeout_ms() / 2.0;
        for member in self.members.values_mut() {
            if member.state == MemberState::Suspect {
                member.state_since_ms = member.state_since_ms.max(min_suspected_since_ms);
            }
        }
    }

    /// Returns a claim about this member.
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

    /// Returns the address of a known member, regardless of its state.
    fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        self.members.get(&id).map(|member| member.address)
    }

    /// Returns the binary logarithm of the group size plus one. The group includes this member and the members that are
    /// retained after they died or left. SWIM's dissemination and suspicion times are proportional to this logarithm.
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

    /// Sends a request with a new sequence number. Returns the sequence number.
    fn send(&mut self, to: SocketAddr, message: Message) -> u32 {
        let sequence_number = self.transport.next_sequence_number();
        self.send_numbered(to, message, sequence_number);
        sequence_number
    }

    /// Sends a message with the given sequence number and as much gossip as fits.
    fn send_numbered(&mut self, to: SocketAddr, message: Message, sequence_number: u32) {
        let gossip = self.take_gossip(codec::gossip_capacity(message));
        self.transport.push(to, message, sequence_number, gossip);
    }
}

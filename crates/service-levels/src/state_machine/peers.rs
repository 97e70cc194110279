//! Reports of peers, and the schedule of own messages.

use super::LONG_AGO_MS;
use crate::codec::PeerReport;

/// Lifetime of a peer's report (ms).
const PEER_LIFETIME_MS: f64 = 20_000.0;
/// Interval of messages (ms); a change is sent at once.
const MESSAGE_INTERVAL_MS: f64 = 4000.0;
/// Interval of messages of a new instance, which request the depths of its peers (ms). Within one interval, one message
/// answers all new instances.
const STARTUP_MESSAGE_INTERVAL_MS: f64 = 800.0;
/// Maximum number of peers.
const MAX_PEERS: usize = 1024;
/// Half of the range of sequence numbers, which wrap around: a smaller difference means newer.
const SEQUENCE_HALF_RANGE: u16 = 0x8000;
/// Highest sequence number that is accepted as that of a restarted peer.
const MAX_RESTARTED_SEQUENCE: u16 = 2;

/// A peer's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Peer {
    pub number: u32,
    pub report: PeerReport,
    pub received_ms: f64,
}

/// The last report of each peer.
#[derive(Debug, Clone)]
pub(super) struct PeerReports {
    peers: Vec<Peer>,
    /// Number of peers at the last call of [`PeerReports::detect_loss`].
    previous_count: usize,
    /// Time of the last loss of a peer.
    lost_ms: f64,
}

impl PeerReports {
    /// Without peers.
    pub fn new() -> Self {
        PeerReports {
            peers: Vec::new(),
            previous_count: 0,
            lost_ms: LONG_AGO_MS,
        }
    }

    /// All peers with their last reports.
    pub fn all(&self) -> &[Peer] {
        &self.peers
    }

    /// Number of peers.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Number of peers at the last call of [`PeerReports::detect_loss`].
    pub fn previous_count(&self) -> usize {
        self.previous_count
    }

    /// Time of the last loss of a peer (ms).
    pub fn lost_ms(&self) -> f64 {
        self.lost_ms
    }

    /// Records a peer's report, unless a newer one is known or there are too many peers.
    pub fn record(&mut self, peer: u32, report: PeerReport, now_ms: f64) {
        let has_room = self.peers.len() < MAX_PEERS;
        match self.peers.iter_mut().find(|known| known.number == peer) {
            Some(known) if is_newer(report.sequence_number, known.report.sequence_number) => {
                known.report = report;
                known.received_ms = now_ms;
            }
            Some(_) => {}
            None if has_room => self.peers.push(Peer {
                number: peer,
                report,
                received_ms: now_ms,
            }),
            None => {}
        }
    }

    /// Removes peers whose last report is older than [`PEER_LIFETIME_MS`].
    pub fn remove_expired(&mut self, now_ms: f64) {
        self.peers
            .retain(|peer| now_ms - peer.received_ms < PEER_LIFETIME_MS);
    }

    /// Records the time if there are fewer peers than at the last call. The lost peer may have been the reason for the
    /// level in force, so a step back must be wanted anew from then on.
    pub fn detect_loss(&mut self, now_ms: f64) {
        if self.peers.len() < self.previous_count {
            self.lost_ms = now_ms;
        }
        self.previous_count = self.peers.len();
    }

    /// The depths in force at the peers, sorted.
    pub fn depths(&self) -> Vec<usize> {
        let mut depths: Vec<usize> = self
            .peers
            .iter()
            .map(|peer| usize::from(peer.report.depth))
            .collect();
        depths.sort_unstable();
        depths
    }

    /// The depths that the peers' own signals call for.
    pub fn wanted_depths(&self) -> Vec<usize> {
        self.peers
            .iter()
            .map(|peer| usize::from(peer.report.wanted_depth))
            .collect()
    }
}

fn is_newer(sequence_number: u16, than: u16) -> bool {
    let ahead = sequence_number.wrapping_sub(than);
    (1..SEQUENCE_HALF_RANGE).contains(&ahead) || sequence_number <= MAX_RESTARTED_SEQUENCE
}

/// When messages to peers are sent, and their sequence numbers.
#[derive(Debug, Clone)]
pub(super) struct MessageSchedule {
    sent_ms: f64,
    sequence_number: u16,
}

impl MessageSchedule {
    /// The first message is due at once.
    pub fn new() -> Self {
        MessageSchedule {
            sent_ms: LONG_AGO_MS,
            sequence_number: 0,
        }
    }

    /// Time of the last message (ms); long ago if one is due at once.
    pub fn sent_ms(&self) -> f64 {
        self.sent_ms
    }

    /// Whether a message is due. `is_settled`: this instance has chosen its initial depth.
    pub fn is_due(&self, is_settled: bool, now_ms: f64) -> bool {
        let interval_ms = if is_settled {
            MESSAGE_INTERVAL_MS
        } else {
            STARTUP_MESSAGE_INTERVAL_MS
        };
        now_ms - self.sent_ms >= interval_ms
    }

    /// Records that a message is sent now, and returns its sequence number.
    pub fn next_sequence_number(&mut self, now_ms: f64) -> u16 {
        self.sent_ms = now_ms;
        self.sequence_number = self.sequence_number.wrapping_add(1);
        self.sequence_number
    }

    /// Makes the next message due at once.
    pub fn send_at_once(&mut self) {
        self.sent_ms = LONG_AGO_MS;
    }

    /// Answers a new instance with the next message. Several of them, or one that asks repeatedly, get one message for
    /// each [`STARTUP_MESSAGE_INTERVAL_MS`].
    pub fn answer_new_instance(&mut self, now_ms: f64) {
        if now_ms - self.sent_ms >= STARTUP_MESSAGE_INTERVAL_MS {
            self.send_at_once();
        }
    }
}

//! Reports of peers, and the schedule of messages to them.

use super::DISTANT_PAST_MS;
use crate::codec::PeerReport;

/// Time after which a peer's report expires (ms).
const PEER_LIFETIME_MS: f64 = 20_000.0;
/// Interval between messages (ms). A change of level is sent immediately.
const MESSAGE_INTERVAL_MS: f64 = 4000.0;
/// Interval between the messages of a new instance, which request the depths of its peers (ms). Peers reply to all new
/// instances with at most one message per interval.
const STARTUP_MESSAGE_INTERVAL_MS: f64 = 800.0;
/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 1024;
/// Half of the range of sequence numbers, which wrap around: a number ahead by less than this is newer.
const SEQUENCE_HALF_RANGE: u16 = 0x8000;
/// Sequence numbers up to this one count as newer than any other, since a restarted peer counts from 1 again.
const MAX_RESTARTED_SEQUENCE: u16 = 2;

/// The last report of a peer.
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
    /// Number of peers at the previous call of [`PeerReports::detect_loss`].
    previous_count: usize,
    /// Time at which the last loss of a peer was detected (ms).
    lost_ms: f64,
}

impl PeerReports {
    /// Creates an empty set of reports.
    pub fn new() -> Self {
        PeerReports {
            peers: Vec::new(),
            previous_count: 0,
            lost_ms: DISTANT_PAST_MS,
        }
    }

    /// Returns the last report of each peer.
    pub fn all(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the number of peers with a current report.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of peers at the previous call of [`PeerReports::detect_loss`].
    pub fn previous_count(&self) -> usize {
        self.previous_count
    }

    /// Returns the time at which the last loss of a peer was detected (ms).
    pub fn lost_ms(&self) -> f64 {
        self.lost_ms
    }

    /// Records the report of a peer, unless a newer one is known or [`MAX_PEERS`] is reached.
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

    /// Records a loss if there are fewer peers than at the previous call. The lost peer may have wanted the level in
    /// force, so the time for which a lower depth must be wanted starts again at the loss.
    pub fn detect_loss(&mut self, now_ms: f64) {
        if self.peers.len() < self.previous_count {
            self.lost_ms = now_ms;
        }
        self.previous_count = self.peers.len();
    }

    /// Returns the depths in force at the peers, sorted.
    pub fn depths(&self) -> Vec<usize> {
        let mut depths: Vec<usize> = self
            .peers
            .iter()
            .map(|peer| usize::from(peer.report.depth))
            .collect();
        depths.sort_unstable();
        depths
    }

    /// Returns the depths that the peers' own signals require.
    pub fn wanted_depths(&self) -> Vec<usize> {
        self.peers
            .iter()
            .map(|peer| usize::from(peer.report.wanted_depth))
            .collect()
    }
}

/// Returns whether a sequence number is newer than the last known one, or may be that of a restarted peer.
fn is_newer(sequence_number: u16, last_known: u16) -> bool {
    let ahead = sequence_number.wrapping_sub(last_known);
    (1..SEQUENCE_HALF_RANGE).contains(&ahead) || sequence_number <= MAX_RESTARTED_SEQUENCE
}

/// The schedule of messages to peers, and their sequence numbers.
#[derive(Debug, Clone)]
pub(super) struct MessageSchedule {
    sent_ms: f64,
    sequence_number: u16,
}

impl MessageSchedule {
    /// Creates a schedule whose first message is due immediately.
    pub fn new() -> Self {
        MessageSchedule {
            sent_ms: DISTANT_PAST_MS,
            sequence_number: 0,
        }
    }

    /// Returns the time of the last message (ms); [`DISTANT_PAST_MS`] if a message is due immediately.
    pub fn sent_ms(&self) -> f64 {
        self.sent_ms
    }

    /// Returns whether a message is due. `is_settled` tells whether this instance has chosen its initial depth.
    pub fn is_due(&self, is_settled: bool, now_ms: f64) -> bool {
        let interval_ms = if is_settled {
            MESSAGE_INTERVAL_MS
        } else {
            STARTUP_MESSAGE_INTERVAL_MS
        };
        now_ms - self.sent_ms >= interval_ms
    }

    /// Records that a message is sent, and returns its sequence number.
    pub fn next_sequence_number(&mut self, now_ms: f64) -> u16 {
        self.sent_ms = now_ms;
        self.sequence_number = self.sequence_number.wrapping_add(1);
        self.sequence_number
    }

    /// Makes the next message due immediately.
    pub fn make_due(&mut self) {
        self.sent_ms = DISTANT_PAST_MS;
    }

    /// Makes the next message due in reply to a new instance, unless the last message is younger than
    /// [`STARTUP_MESSAGE_INTERVAL_MS`]: one message replies to several instances and to repeated requests.
    pub fn request_reply_to_new_instance(&mut self, now_ms: f64) {
        if now_ms - self.sent_ms >= STARTUP_MESSAGE_INTERVAL_MS {
            self.make_due();
        }
    }
}

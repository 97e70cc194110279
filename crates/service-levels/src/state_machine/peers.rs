//! What dispatchers report to each other.

use super::{LevelStateMachine, LONG_AGO_MS};
use crate::codec::{self, PeerReport, DEPTH_UNKNOWN};

/// How long a peer's report counts (ms).
const PEER_LIFETIME_MS: f64 = 20_000.0;
/// Interval of reports (ms); a change is reported at once.
const MESSAGE_INTERVAL_MS: f64 = 4000.0;
/// Interval at which a new instance asks for the depths of its peers (ms), and in which one answer serves all who ask.
const STARTUP_MESSAGE_INTERVAL_MS: f64 = 800.0;
/// Limit on the number of peers.
const MAX_PEERS: usize = 1024;
/// Half of the range of sequence numbers, which wrap around: a difference below is newer.
const SEQUENCE_HALF_RANGE: u16 = 0x8000;
/// Sequence numbers up to here come from a peer that restarted.
const MAX_RESTARTED_SEQUENCE: u16 = 2;

/// A peer's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Peer {
    pub(super) number: u32,
    pub(super) report: PeerReport,
    pub(super) received_ms: f64,
}

impl LevelStateMachine {
    /// The message that is due to peers, if one is: after a change at once, else every few seconds. A new instance
    /// asks for the others' depths.
    pub fn poll_message(&mut self, now_ms: f64) -> Option<[u8; codec::MESSAGE_LEN]> {
        let interval_ms = if self.is_settled {
            MESSAGE_INTERVAL_MS
        } else {
            STARTUP_MESSAGE_INTERVAL_MS
        };
        if now_ms - self.message_sent_ms < interval_ms || self.config.levels.is_empty() {
            return None;
        }
        self.message_sent_ms = now_ms;
        self.sequence_number = self.sequence_number.wrapping_add(1);
        let depth = if self.is_settled {
            depth_byte(self.depth)
        } else {
            DEPTH_UNKNOWN
        };
        Some(codec::encode(PeerReport {
            config_fingerprint: self.config_fingerprint,
            depth,
            wanted_depth: depth_byte(self.wanted_depth()),
            sequence_number: self.sequence_number,
        }))
    }

    /// Takes a peer's message. One with another configuration, or older than what is known, is ignored.
    pub fn handle_peer_message(&mut self, peer: u32, content: &[u8], now_ms: f64) {
        let Ok(report) = codec::decode(content) else {
            return;
        };
        if report.config_fingerprint != self.config_fingerprint {
            return;
        }
        let now_ms = now_ms.max(self.now_ms);
        if report.depth == DEPTH_UNKNOWN {
            self.answer_new_instance(now_ms);
            return;
        }
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

    /// A new instance is answered with the next message, and does not count before it has begun. Many of them, or one
    /// that asks without end, are answered together.
    fn answer_new_instance(&mut self, now_ms: f64) {
        if now_ms - self.message_sent_ms >= STARTUP_MESSAGE_INTERVAL_MS {
            self.message_sent_ms = LONG_AGO_MS;
        }
    }

    pub(super) fn forget_silent_peers(&mut self) {
        let now_ms = self.now_ms;
        self.peers
            .retain(|peer| now_ms - peer.received_ms < PEER_LIFETIME_MS);
    }

    /// A peer that is lost may have been what kept a level in force: from here on what else is known must hold anew.
    pub(super) fn note_lost_peers(&mut self) {
        if self.peers.len() < self.previous_peer_count {
            self.peer_lost_ms = self.now_ms;
        }
        self.previous_peer_count = self.peers.len();
    }

    /// The depths in force at the peers, sorted.
    pub(super) fn reported_depths(&self) -> Vec<usize> {
        let mut depths: Vec<usize> = self
            .peers
            .iter()
            .map(|peer| usize::from(peer.report.depth))
            .collect();
        depths.sort_unstable();
        depths
    }

    pub(super) fn depths_wanted_by_peers(&self) -> Vec<usize> {
        self.peers
            .iter()
            .map(|peer| usize::from(peer.report.wanted_depth))
            .collect()
    }
}

/// A depth as a message holds it: below [`DEPTH_UNKNOWN`].
fn depth_byte(depth: usize) -> u8 {
    depth.min(usize::from(DEPTH_UNKNOWN) - 1) as u8
}

fn is_newer(sequence_number: u16, than: u16) -> bool {
    let ahead = sequence_number.wrapping_sub(than);
    (1..SEQUENCE_HALF_RANGE).contains(&ahead) || sequence_number <= MAX_RESTARTED_SEQUENCE
}

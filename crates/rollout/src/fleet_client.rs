//! Client that sends one command to one member of the fleet. It does no I/O.

use crate::codec;
use crate::message::{Answer, Command, Message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_coordination::Id;
use tansymux_membership::codec as membership_codec;
use tansymux_membership::{DatagramAuthenticator, Keys};

/// Retransmission interval of an unanswered message (ms).
const RETRY_INTERVAL_MS: f64 = 200.0;
/// Time after which an unanswered call times out (ms).
const CALL_TIMEOUT_MS: f64 = 6000.0;

/// An action of a client, to be executed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientAction {
    /// Send a datagram to the called member. It may be lost.
    Send {
        /// The bytes.
        datagram: Vec<u8>,
    },
}

/// A call: the client requests a nonce from the member, then sends the command with it.
#[derive(Debug, Clone)]
pub struct FleetClient {
    id: Id,
    authenticator: DatagramAuthenticator,
    call: u64,
    nonce: Option<u64>,
    command: Command,
    started_ms: f64,
    next_poll_ms: f64,
    answer: Option<Answer>,
}

impl FleetClient {
    /// Creates a call that starts at `now_ms`. `seed` must be drawn at random for each call.
    pub fn new(keys: Keys, command: Command, now_ms: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let id = rng.random();
        let call = rng.random();
        FleetClient {
            id,
            authenticator: DatagramAuthenticator::new(keys, rng.random()),
            call,
            nonce: None,
            command,
            started_ms: now_ms,
            next_poll_ms: now_ms,
            answer: None,
        }
    }

    /// The answer; [`Answer::NoLeader`] if the call timed out, `None` while it is in progress.
    pub fn answer(&self) -> Option<Answer> {
        self.answer
    }

    /// Handles a datagram. Datagrams that do not answer this call are ignored.
    pub fn handle(&mut self, datagram: &[u8]) {
        let Some(sender) = membership_codec::peek_sender(datagram) else {
            return;
        };
        let content = self.authenticator.open(sender, datagram);
        let Some(content) = content.and_then(membership_codec::decode_user_message) else {
            return;
        };
        match codec::decode(content) {
            Ok(Message::Nonce { call, nonce }) if call == self.call && self.nonce.is_none() => {
                self.nonce = Some(nonce);
                self.next_poll_ms = f64::NEG_INFINITY;
            }
            Ok(Message::Answer { call, answer }) if call == self.call && self.answer.is_none() => {
                self.answer = Some(answer);
            }
            _ => {}
        }
    }

    /// Returns the next action; `None`: nothing is due before [`FleetClient::next_poll_ms`], or the call is over.
    pub fn poll(&mut self, now_ms: f64) -> Option<ClientAction> {
        if now_ms - self.started_ms >= CALL_TIMEOUT_MS {
            self.answer.get_or_insert(Answer::NoLeader);
        }
        if self.answer.is_some() || now_ms < self.next_poll_ms {
            return None;
        }
        self.next_poll_ms = now_ms + RETRY_INTERVAL_MS;
        let message = match self.nonce {
            None => Message::Hello { call: self.call },
            Some(nonce) => Message::Call {
                call: self.call,
                nonce,
                command: self.command,
            },
        };
        let mut datagram =
            membership_codec::encode_user_message(self.id, &codec::encode(&message))?;
        self.authenticator.seal(&mut datagram);
        Some(ClientAction::Send { datagram })
    }

    /// When to poll next (ms).
    pub fn next_poll_ms(&self) -> f64 {
        self.next_poll_ms
    }
}

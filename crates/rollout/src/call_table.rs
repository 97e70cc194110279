//! Table of the client calls in progress at a member.

use crate::message::{Answer, Command};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// Maximum number of calls in the table, including those whose command has not arrived yet.
const MAX_CALLS: usize = 64;
/// Retention of a call (ms). A retransmission within this time gets the stored answer.
const RETENTION_MS: f64 = 20_000.0;
/// Retransmission interval of a command to the leader (ms).
const RETRY_INTERVAL_MS: f64 = 250.0;
/// Time after which an unanswered call times out (ms).
const CALL_TIMEOUT_MS: f64 = 4000.0;

/// A command to the leader, with the time of its next transmission.
#[derive(Debug, Clone, Copy)]
struct PendingCommand {
    command: Command,
    next_send_ms: f64,
}

/// A client's call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    id: u64,
    nonce: u64,
    /// The client's address.
    pub(crate) from: SocketAddr,
    /// When the command arrived; before that, when the nonce was drawn (ms).
    started_ms: f64,
    /// `None` before the command arrived.
    command: Option<PendingCommand>,
    pub(crate) answer: Option<Answer>,
}

impl Call {
    pub(crate) fn has_timed_out(&self, now_ms: f64) -> bool {
        now_ms - self.started_ms >= CALL_TIMEOUT_MS
    }
}

/// Commands that are due for transmission, and calls that timed out.
#[derive(Debug, Default)]
pub(crate) struct DueCalls {
    /// Identifiers of calls, each with the command to send to the leader.
    pub(crate) commands: Vec<(u64, Command)>,
    /// Identifiers of the calls that timed out.
    pub(crate) timed_out: Vec<u64>,
    /// When the next command is due for transmission (ms).
    pub(crate) next_ms: f64,
}

/// Table of at most [`MAX_CALLS`] calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallTable {
    calls: Vec<Call>,
}

impl CallTable {
    /// Returns the nonce of a call, drawn at its first message; `None`: the table is full.
    pub(crate) fn nonce_for(
        &mut self,
        id: u64,
        from: SocketAddr,
        now_ms: f64,
        rng: &mut Pcg32,
    ) -> Option<u64> {
        self.calls
            .retain(|entry| now_ms - entry.started_ms < RETENTION_MS);
        if let Some(entry) = self.calls.iter().find(|entry| entry.id == id) {
            return Some(entry.nonce);
        }
        if self.calls.len() >= MAX_CALLS {
            return None;
        }
        let nonce = rng.random();
        self.calls.push(Call {
            id,
            nonce,
            from,
            started_ms: now_ms,
            command: None,
            answer: None,
        });
        Some(nonce)
    }

    /// Stores the command of a call if the nonce is right. Returns the answer if the call already has one.
    pub(crate) fn start(
        &mut self,
        id: u64,
        nonce: u64,
        command: Command,
        from: SocketAddr,
        now_ms: f64,
    ) -> Option<Answer> {
        let entry = self
            .calls
            .iter_mut()
            .find(|entry| entry.id == id && entry.nonce == nonce)?;
        entry.from = from;
        if entry.command.is_none() {
            entry.started_ms = now_ms;
            entry.command = Some(PendingCommand {
                command,
                next_send_ms: now_ms,
            });
        }
        entry.answer
    }

    /// Returns the call if it has no answer yet.
    pub(crate) fn pending(&mut self, id: u64) -> Option<&mut Call> {
        self.calls
            .iter_mut()
            .find(|entry| entry.id == id && entry.answer.is_none())
    }

    /// Returns the commands that are due, scheduling their next transmission, and the calls that timed out.
    pub(crate) fn take_due(&mut self, now_ms: f64) -> DueCalls {
        let mut due = DueCalls {
            next_ms: f64::INFINITY,
            ..DueCalls::default()
        };
        for entry in &mut self.calls {
            if entry.answer.is_some() {
                continue;
            }
            let has_timed_out = entry.has_timed_out(now_ms);
            let Some(pending) = &mut entry.command else {
                continue;
            };
            if has_timed_out {
                due.timed_out.push(entry.id);
            } else if now_ms >= pending.next_send_ms {
                pending.next_send_ms = now_ms + RETRY_INTERVAL_MS;
                due.commands.push((entry.id, pending.command));
            }
            due.next_ms = due.next_ms.min(pending.next_send_ms);
        }
        due
    }
}

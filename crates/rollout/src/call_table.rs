//! The clients' calls in progress at a member.

use crate::message::{Answer, Command};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// Limit on the calls in progress, nonces without a call included.
const MAX_CALLS: usize = 64;
/// Retention of a call (ms), so that its answer can be sent again.
const RETENTION_MS: f64 = 20_000.0;
/// Interval between two attempts to send a command to the leader (ms).
const RETRY_INTERVAL_MS: f64 = 250.0;
/// Time after which a call without an answer has timed out (ms).
const CALL_TIMEOUT_MS: f64 = 4000.0;

/// A command to the leader that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct PendingCommand {
    command: Command,
    next_attempt_ms: f64,
}

/// A client's call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    call: u64,
    nonce: u64,
    pub(crate) from: SocketAddr,
    /// When the nonce was drawn; once the command arrived, the time of that.
    since_ms: f64,
    /// `None` before the command arrived.
    command: Option<PendingCommand>,
    pub(crate) answer: Option<Answer>,
}

impl Call {
    pub(crate) fn has_timed_out(&self, now_ms: f64) -> bool {
        now_ms - self.since_ms >= CALL_TIMEOUT_MS
    }
}

/// Commands to send and calls that timed out.
#[derive(Debug, Default)]
pub(crate) struct DueCalls {
    /// Calls, with the commands to send to the leader.
    pub(crate) commands: Vec<(u64, Command)>,
    pub(crate) timed_out: Vec<u64>,
    /// When the next command is due (ms).
    pub(crate) next_ms: f64,
}

/// At most [`MAX_CALLS`] calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallTable {
    calls: Vec<Call>,
}

impl CallTable {
    /// The nonce of a call, drawn at its first message; `None`: the table is full.
    pub(crate) fn nonce_for(
        &mut self,
        call: u64,
        from: SocketAddr,
        now_ms: f64,
        rng: &mut Pcg32,
    ) -> Option<u64> {
        self.calls
            .retain(|known| now_ms - known.since_ms < RETENTION_MS);
        if let Some(known) = self.calls.iter().find(|known| known.call == call) {
            return Some(known.nonce);
        }
        if self.calls.len() >= MAX_CALLS {
            return None;
        }
        let nonce = rng.random();
        self.calls.push(Call {
            call,
            nonce,
            from,
            since_ms: now_ms,
            command: None,
            answer: None,
        });
        Some(nonce)
    }

    /// Stores the command of a call, if the nonce is right. Returns the answer, if it arrived before.
    pub(crate) fn start(
        &mut self,
        call: u64,
        nonce: u64,
        command: Command,
        from: SocketAddr,
        now_ms: f64,
    ) -> Option<Answer> {
        let known = self
            .calls
            .iter_mut()
            .find(|known| known.call == call && known.nonce == nonce)?;
        known.from = from;
        if known.command.is_none() {
            known.since_ms = now_ms;
            known.command = Some(PendingCommand {
                command,
                next_attempt_ms: now_ms,
            });
        }
        known.answer
    }

    /// A call that has no answer yet.
    pub(crate) fn pending(&mut self, call: u64) -> Option<&mut Call> {
        self.calls
            .iter_mut()
            .find(|known| known.call == call && known.answer.is_none())
    }

    /// The commands that are due, which count as sent, and the calls that timed out.
    pub(crate) fn take_due(&mut self, now_ms: f64) -> DueCalls {
        let mut due = DueCalls {
            next_ms: f64::INFINITY,
            ..DueCalls::default()
        };
        for known in &mut self.calls {
            if known.answer.is_some() {
                continue;
            }
            let has_timed_out = known.has_timed_out(now_ms);
            let Some(pending) = &mut known.command else {
                continue;
            };
            if has_timed_out {
                due.timed_out.push(known.call);
            } else if now_ms >= pending.next_attempt_ms {
                pending.next_attempt_ms = now_ms + RETRY_INTERVAL_MS;
                due.commands.push((known.call, pending.command));
            }
            due.next_ms = due.next_ms.min(pending.next_attempt_ms);
        }
        due
    }
}

//! Writes decisions as actions of the wire. Deadlines are rounded down and timers up, so that no deadline is later and
//! no timer is earlier than decided.

use crate::fields::US_PER_MS;
use crate::vocabulary::action;
use base64::prelude::{Engine, BASE64_STANDARD};
use std::fmt::Arguments;
use std::io::Write;
use tansymux::events::{AttemptLimits, DecisionSink};

/// Tolerance for floating-point errors when times are converted to microseconds (us).
const ROUNDING_TOLERANCE_US: f64 = 1e-3;

/// The actions of one dispatcher.
pub struct Reply<'a> {
    /// The buffer that actions are written to.
    pub output: &'a mut Vec<u8>,
    /// Number of the dispatcher.
    pub dispatcher: u64,
}

impl Reply<'_> {
    /// Writes an action: its word, the dispatcher, and the other fields.
    fn write(&mut self, action: &str, fields: Arguments) {
        // Writing to a Vec cannot fail.
        let _ = writeln!(self.output, "{action} {} {fields}", self.dispatcher);
    }
}

/// Converts a time (ms) to whole microseconds, rounded down. A time within [`ROUNDING_TOLERANCE_US`] below a whole
/// microsecond counts as that microsecond.
fn micros_down(ms: f64) -> u64 {
    (ms.max(0.0) * US_PER_MS + ROUNDING_TOLERANCE_US).floor() as u64
}

/// Converts a time (ms) to whole microseconds, rounded up. A time within [`ROUNDING_TOLERANCE_US`] above a whole
/// microsecond counts as that microsecond.
fn micros_up(ms: f64) -> u64 {
    (ms.max(0.0) * US_PER_MS - ROUNDING_TOLERANCE_US).ceil() as u64
}

impl DecisionSink for Reply<'_> {
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        let deadline_us = micros_down(limits.deadline_ms);
        self.write(
            action::SUBMIT,
            format_args!("{query_id} {engine_id} {deadline_us}"),
        );
    }

    fn reject(&mut self, query_id: u64, retry_after_ms: f64) {
        let retry_after_us = micros_down(retry_after_ms);
        self.write(action::REJECT, format_args!("{query_id} {retry_after_us}"));
    }

    fn fail(&mut self, query_id: u64) {
        self.write(action::FAIL, format_args!("{query_id}"));
    }

    fn cancel(&mut self, query_id: u64, attempt: usize) {
        self.write(action::CANCEL, format_args!("{query_id} {attempt}"));
    }

    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64) {
        self.write(
            action::GRANT,
            format_args!("{query_id} {priority} {memory_mb:.3}"),
        );
    }

    fn check_health(&mut self, engine_id: u64) {
        self.write(action::CHECK_HEALTH, format_args!("{engine_id}"));
    }

    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        let content = BASE64_STANDARD.encode(content);
        match peer {
            Some(peer) => self.write(action::SEND_TO_PEER, format_args!("{peer} {content}")),
            None => self.write(
                action::SEND_TO_PEER,
                format_args!("{} {content}", action::ALL_PEERS),
            ),
        }
    }

    fn set_timer(&mut self, delay_ms: f64, handle: u64) {
        let delay_us = micros_up(delay_ms);
        self.write(action::SET_TIMER, format_args!("{delay_us} {handle}"));
    }

    fn watch_endpoints(&mut self) {
        self.write(action::WATCH_ENDPOINTS, format_args!("1"));
    }
}

#[cfg(test)]
mod tests;

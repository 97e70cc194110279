//! Prints decisions as the wire's actions. Times are rounded so that no deadline comes later than it was decided, and no
//! timer earlier.

use base64::prelude::{Engine, BASE64_STANDARD};
use std::io::Write;
use tansymux::events::{AttemptLimits, DecisionSink};

/// The actions of one instance.
pub struct Reply<'a> {
    /// Where they are printed.
    pub to: &'a mut Vec<u8>,
    /// Number of the instance.
    pub dispatcher: u64,
}

macro_rules! action {
    ($reply:expr, $($format:tt)*) => {{
        // Writing to a Vec cannot fail.
        let _ = writeln!($reply.to, $($format)*);
    }};
}

/// A time (ms) in whole microseconds, rounded down; what is short of one by rounding of floats counts as whole.
fn micros_down(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0 + 1e-3).floor() as u64
}

/// A time (ms) in whole microseconds, rounded up.
fn micros_up(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0 - 1e-3).ceil() as u64
}

impl DecisionSink for Reply<'_> {
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        action!(
            self,
            "try {} {query_id} {engine_id} {}",
            self.dispatcher,
            micros_down(limits.deadline_ms)
        );
    }
    fn reject(&mut self, query_id: u64, retry_after_ms: f64) {
        action!(
            self,
            "not_now {} {query_id} {}",
            self.dispatcher,
            micros_down(retry_after_ms)
        );
    }
    fn fail(&mut self, query_id: u64) {
        action!(self, "error {} {query_id}", self.dispatcher);
    }
    fn cancel(&mut self, query_id: u64, attempt: usize) {
        action!(
            self,
            "abort_attempt {} {query_id} {attempt}",
            self.dispatcher
        );
    }
    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64) {
        action!(
            self,
            "allot {} {query_id} {priority} {memory_mb:.3}",
            self.dispatcher
        );
    }
    fn check_health(&mut self, engine_id: u64) {
        action!(self, "sound_out {} {engine_id}", self.dispatcher);
    }
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        let content = BASE64_STANDARD.encode(content);
        match peer {
            Some(peer) => action!(self, "share {} {peer} {content}", self.dispatcher),
            None => action!(self, "share {} all {content}", self.dispatcher),
        }
    }
    fn set_timer(&mut self, delay_ms: f64, handle: u64) {
        action!(
            self,
            "notify_me {} {} {handle}",
            self.dispatcher,
            micros_up(delay_ms)
        );
    }
    fn watch_endpoints(&mut self) {
        action!(self, "track {} 1", self.dispatcher);
    }
}

#[cfg(test)]
mod tests;

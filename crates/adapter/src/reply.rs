//! Prints decisions as the wire's actions. Rounds times so that none comes later than it was meant,
//! and no timer earlier.

use base64::prelude::{Engine, BASE64_STANDARD};
use std::io::Write;
use tansymux::events::{AttemptLimits, DecisionSink};

pub struct Reply<'a> {
    pub to: &'a mut Vec<u8>,
    pub dispatcher: u64,
}

macro_rules! action {
    ($reply:expr, $($format:tt)*) => {{
        // Writing to a Vec cannot fail.
        let _ = writeln!($reply.to, $($format)*);
    }};
}

fn up_to(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0 + 1e-3).floor() as u64
}

fn at_least(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0 - 1e-3).ceil() as u64
}

impl DecisionSink for Reply<'_> {
    fn submit(&mut self, id: u64, engine_id: u64, limits: AttemptLimits) {
        action!(
            self,
            "try {} {id} {engine_id} {}",
            self.dispatcher,
            up_to(limits.deadline_ms)
        );
    }
    fn reject(&mut self, id: u64, retry_after_ms: f64) {
        action!(
            self,
            "not_now {} {id} {}",
            self.dispatcher,
            up_to(retry_after_ms)
        );
    }
    fn fail(&mut self, id: u64) {
        action!(self, "error {} {id}", self.dispatcher);
    }
    fn cancel(&mut self, id: u64, attempt: usize) {
        action!(self, "abort_attempt {} {id} {attempt}", self.dispatcher);
    }
    fn grant(&mut self, id: u64, priority: u8, memory: f64) {
        action!(
            self,
            "allot {} {id} {priority} {memory:.3}",
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
    fn set_timer(&mut self, delay: f64, handle: u64) {
        action!(
            self,
            "notify_me {} {} {handle}",
            self.dispatcher,
            at_least(delay)
        );
    }
    fn watch_endpoints(&mut self) {
        action!(self, "track {} 1", self.dispatcher);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_time_out_later_and_no_timer_earlier_than_meant() {
        let mut to = Vec::new();
        let mut reply = Reply {
            to: &mut to,
            dispatcher: 3,
        };
        let until = |until| AttemptLimits {
            deadline_ms: until,
            start_by_ms: until,
            side_effect_free: true,
        };
        reply.submit(7, 9, until(1000.0019));
        reply.set_timer(2.0001, 1);
        reply.submit(7, 9, until(8492.25));
        reply.set_timer(20.0, 1);
        let text = String::from_utf8(to).unwrap();
        assert_eq!(
            text,
            "try 3 7 9 1000001\nnotify_me 3 2001 1\ntry 3 7 9 8492250\nnotify_me 3 20000 1\n"
        );
    }
}

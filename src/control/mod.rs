//! All decisions: which engine runs a query, what is rejected, migrated, cancelled or failed.
//!
//! A program calls [`Control::run_round`] once a round; its [`EventSource`] calls the handlers with what came
//! in, and decisions go straight into the [`DecisionSink`]. Times are milliseconds; "rule N" is the
//! platform's rule of that number. docs/design.md gives reasons and, unless a constant says otherwise, its
//! source.

mod admission;
mod completion;
mod dispatch;
mod endpoints;
mod peer_load;
mod periodic;
mod placement;
mod pressure;
mod retry;
#[cfg(test)]
mod tests;

use crate::events::{DecisionSink, HealthCheckEnded};
pub use crate::model::{Control, EventSource};

impl Control {
    /// One round at `now_ms`: all events that came in, then the periodic checks where they are due.
    pub fn run_round(
        &mut self,
        now_ms: f64,
        source: &mut dyn EventSource,
        out: &mut dyn DecisionSink,
    ) {
        self.now_ms = now_ms;
        self.slow_start.begin_round(now_ms);
        source.deliver(self, out);
        self.run_periodic_checks(out);
        self.set_timer(out);
    }

    /// A health check ended.
    pub fn on_health_check_ended(&mut self, event: &HealthCheckEnded) {
        if let Some(engine) = self.find_engine(event.engine_id) {
            let health = &mut self.engines[engine].health;
            health.record_health_check(event.outcome, self.now_ms);
        }
    }
}

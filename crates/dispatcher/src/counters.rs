//! Counters of what was taken in, sent and answered.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::events::Outcome;

#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Writes the lines of a part.
pub type Line = Box<dyn Fn(&mut String)>;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $label:literal),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Lines of parts that are on.
            pub extra_reports: RefCell<Vec<Line>>,
            /// How attempts ended, in the order of `OUTCOMES`.
            pub attempts_by_outcome: [Counter; OUTCOMES.len()],
        }

        impl Counters {
            fn plain(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$(($label, self.$name.get())),*].into_iter()
            }
        }
    };
}

const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Completed, "finished"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::Timeout, "timeout"),
    (Outcome::NoConnection, "no_connection"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

counters! {
    /// Queries: taken = finished + rejected + failed + vanished + those in hand without an answer.
    admitted: "taken",
    completed: "finished",
    rejected: "deferred",
    failed: "killed",
    client_disconnects: "vanished",
    /// Requests that never became a query, and answers that could not be written out.
    requests_rejected: "requests_rejected",
    answer_write_failures: "answers_not_written",
    client_connections: "connections_from_clients",
    /// Clients' connections closed to make room for others.
    client_connections_evicted: "connections_evicted",
    engine_connections_opened: "connections_to_engines",
    /// Those that did not come up in their time; some came later.
    connect_timeouts: "connections_late",
    connects_after_timeout: "connections_late_up",
    /// Those that ended because what came could not be read or used, or stopped short.
    protocol_errors: "connections_spoilt",
    /// Those that ended as soon as something went out on them after they had idled.
    idle_connections_lost: "connections_lost_idle",
    /// Attempts = the sum of their ends + those that are out.
    attempts: "submissions",
    health_checks: "probes",
    endpoint_updates: "lists",
    /// Answers of the name service that could not be used or were not believed.
    endpoint_updates_rejected: "lists_passed_over",
    dns_queries: "lookups",
    config_reloads: "configurations_read",
    operator_config_reloads: "operator_files_read",
    peer_messages_sent: "messages_sent",
    peer_messages_received: "messages_heard",
    rounds: "rounds",
}

impl Counters {
    pub fn count_outcome(&self, outcome: Outcome) {
        if let Some(n) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.attempts_by_outcome[n].increment();
        }
    }

    /// One line each: name and count, then what is in hand and out.
    pub fn report(&self, in_flight: usize) -> String {
        let mut text = String::new();
        for (name, count) in self.plain() {
            let _ = writeln!(text, "{name} {count}");
        }
        for ((_, name), count) in OUTCOMES.iter().zip(&self.attempts_by_outcome) {
            let _ = writeln!(text, "submissions_{name} {}", count.get());
        }
        let ended: u64 = self.attempts_by_outcome.iter().map(Counter::get).sum();
        let answered = [
            &self.completed,
            &self.rejected,
            &self.failed,
            &self.client_disconnects,
        ]
        .map(Counter::get);
        let _ = writeln!(
            text,
            "submissions_out {}",
            self.attempts.get().saturating_sub(ended)
        );
        let _ = writeln!(
            text,
            "unanswered {}",
            self.admitted.get().saturating_sub(answered.iter().sum())
        );
        let _ = writeln!(text, "in_hand {in_flight}");
        let _ = writeln!(text, "log_lines_left_out {}", crate::log::left_out());
        self.extra_reports
            .borrow()
            .iter()
            .for_each(|line| line(&mut text));
        text
    }
}

#[cfg(test)]
mod tests;

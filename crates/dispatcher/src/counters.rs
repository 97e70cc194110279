//! Counters of what was taken in, sent and answered.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::events::Outcome;

#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
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
            $($(#[$doc])* pub $name: Count,)*
            /// Lines of parts that are on.
            pub more: RefCell<Vec<Line>>,
            /// How attempts ended, in the order of `OUTCOMES`.
            pub ended: [Count; OUTCOMES.len()],
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
    taken: "taken",
    finished: "finished",
    rejected: "deferred",
    failed: "killed",
    vanished: "vanished",
    /// Requests that never became a query, and answers that could not be written out.
    requests_rejected: "requests_rejected",
    answers_not_written: "answers_not_written",
    connections_from_clients: "connections_from_clients",
    /// Clients' connections closed to make room for others.
    connections_evicted: "connections_evicted",
    connections_to_engines: "connections_to_engines",
    /// Those that did not come up in their time; some came later.
    connections_late: "connections_late",
    connections_late_up: "connections_late_up",
    /// Those that ended because what came could not be read or used, or stopped short.
    connections_spoilt: "connections_spoilt",
    /// Those that ended as soon as something went out on them after they had idled.
    connections_lost_idle: "connections_lost_idle",
    /// Attempts = the sum of their ends + those that are out.
    attempts: "submissions",
    probes: "probes",
    lists: "lists",
    /// Answers of the name service that could not be used or were not believed.
    lists_passed_over: "lists_passed_over",
    lookups: "lookups",
    configurations_read: "configurations_read",
    operator_files_read: "operator_files_read",
    messages_sent: "messages_sent",
    messages_heard: "messages_heard",
    rounds: "rounds",
}

impl Counters {
    pub fn ended(&self, outcome: Outcome) {
        if let Some(n) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.ended[n].add();
        }
    }

    /// One line each: name and count, then what is in hand and out.
    pub fn report(&self, in_flight: usize) -> String {
        let mut text = String::new();
        for (name, count) in self.plain() {
            let _ = writeln!(text, "{name} {count}");
        }
        for ((_, name), count) in OUTCOMES.iter().zip(&self.ended) {
            let _ = writeln!(text, "submissions_{name} {}", count.get());
        }
        let ended: u64 = self.ended.iter().map(Count::get).sum();
        let answered =
            [&self.finished, &self.rejected, &self.failed, &self.vanished].map(Count::get);
        let _ = writeln!(
            text,
            "submissions_out {}",
            self.attempts.get().saturating_sub(ended)
        );
        let _ = writeln!(
            text,
            "unanswered {}",
            self.taken.get().saturating_sub(answered.iter().sum())
        );
        let _ = writeln!(text, "in_hand {in_flight}");
        let _ = writeln!(text, "log_lines_left_out {}", crate::log::left_out());
        self.more.borrow().iter().for_each(|line| line(&mut text));
        text
    }
}

#[cfg(test)]
mod tests;

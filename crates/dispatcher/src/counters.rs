//! Counters of queries, connections and messages since the program's start. Operators' tools read a counter's printed
//! name, which therefore differs from the name of its field in places.

use crate::attempt_end::EndCause;
use crate::close_reason::{ClientClose, EngineClose};
use crate::guard::{BeginRefusal, Rule, RULES};
use crate::ignored_reply::IgnoredReply;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::events::{EndReason, Outcome};

/// A count of events.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Appends the lines of a subsystem's own counters.
pub type Report = Box<dyn Fn(&mut String)>;

/// How attempts end, with the printed names.
const OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Completed, "finished"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::Timeout, "timeout"),
    (Outcome::NoConnection, "no_connection"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
    (Outcome::Withdrawn, "withdrawn"),
];

/// Declares `Counters`: each counter's doc, field and printed name, in the order of printing.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $label:literal),* $(,)?) => {
        /// All counters of the program.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Reports of subsystems that have counters of their own, printed after all others.
            pub extra_reports: RefCell<Vec<Report>>,
            /// Attempts that ended, in the order of `OUTCOMES`.
            attempts_by_outcome: [Counter; OUTCOMES.len()],
            /// Attempts that ended, in the order of `EndCause::ALL`.
            attempts_by_cause: [Counter; EndCause::ALL.len()],
            /// Retries, by what ended the attempt before, in the order of `EndCause::ALL`.
            retries_by_cause: [Counter; EndCause::ALL.len()],
            /// Replies of engines without effect, in the order of `IgnoredReply::ALL`.
            ignored_replies: [Counter; IgnoredReply::ALL.len()],
            /// Attempts that the guard refused, in the order of `BeginRefusal::ALL`.
            begin_refusals: [Counter; BeginRefusal::ALL.len()],
            /// Queries that ended without a result, in the order of `EndReason::ALL`.
            end_reasons: [Counter; EndReason::ALL.len()],
            /// Clients' connections that ended, in the order of `ClientClose::ALL`.
            client_closes: [Counter; ClientClose::ALL.len()],
            /// Connections to engines that ended, in the order of `EngineClose::ALL`.
            engine_closes: [Counter; EngineClose::ALL.len()],
            /// Violations, in the order of `RULES`.
            violations: [Counter; RULES.len()],
        }

        impl Counters {
            /// Printed name and count of each plain counter.
            fn plain(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$(($label, self.$name.get())),*].into_iter()
            }
        }
    };
}

counters! {
    /// Queries admitted: the sum of those completed, rejected, failed and left by their clients, and of those that have
    /// no answer yet.
    admitted: "taken",
    /// Queries answered with a result.
    completed: "finished",
    /// Queries rejected with a retry time.
    rejected: "deferred",
    /// Queries answered with a final error.
    failed: "killed",
    /// Queries whose clients left before the answer.
    client_disconnects: "vanished",
    /// Requests that were refused before they became a query.
    requests_rejected: "requests_rejected",
    /// Answers that could not be written to their clients.
    answer_write_failures: "answers_not_written",
    /// Connections accepted from clients.
    client_connections: "connections_from_clients",
    /// Clients' connections that were evicted for others.
    client_connections_evicted: "connections_evicted",
    /// Connections opened to engines.
    engine_connections_opened: "connections_to_engines",
    /// Connections to engines that were not up within the connect timeout.
    connect_timeouts: "connections_late",
    /// Connections to engines that came up after the connect timeout.
    connects_after_timeout: "connections_late_up",
    /// Connections to engines that ended because the engine violated the protocol.
    protocol_errors: "connections_spoilt",
    /// Idle connections to engines that were lost when they were reused.
    idle_connections_lost: "connections_lost_idle",
    /// Connects to engines that failed for a fault of this machine, and were retried.
    local_connect_faults: "connects_failed_here",
    /// Connections to engines that had to wait for a descriptor, at the limit of open connections.
    waits_for_descriptor: "connections_waited",
    /// Attempts begun: the sum of those that ended, by outcome, and of those in flight.
    attempts: "submissions",
    /// Ends of attempts that were not in flight, which the engine side should never report.
    ends_ignored: "ends_ignored",
    /// Health checks that the decisions requested.
    health_checks: "probes",
    /// Endpoint lists applied.
    endpoint_updates: "lists",
    /// Answers of the name service that were unusable or not accepted.
    endpoint_updates_rejected: "lists_passed_over",
    /// Queries sent to the name service.
    dns_queries: "lookups",
    /// Valid configurations read while running.
    config_reloads: "configurations_read",
    /// Valid operators' files read while running.
    operator_config_reloads: "operator_files_read",
    /// Messages sent to other dispatchers.
    peer_messages_sent: "messages_sent",
    /// Messages received from other dispatchers.
    peer_messages_received: "messages_heard",
    /// Rounds of the decisions.
    rounds: "rounds",
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn count_outcome(&self, outcome: Outcome) {
        for ((known, _), counter) in OUTCOMES.iter().zip(&self.attempts_by_outcome) {
            if *known == outcome {
                counter.increment();
            }
        }
    }

    /// Counts what ended an attempt.
    pub fn count_end_cause(&self, cause: EndCause) {
        count_in(&EndCause::ALL, &self.attempts_by_cause, cause);
    }

    /// Counts a retry by what ended the attempt before.
    pub fn count_retry_after(&self, cause: EndCause) {
        count_in(&EndCause::ALL, &self.retries_by_cause, cause);
    }

    /// Counts a reply of an engine that has no effect.
    pub fn count_ignored_reply(&self, reason: IgnoredReply) {
        count_in(&IgnoredReply::ALL, &self.ignored_replies, reason);
    }

    /// Counts an attempt that the guard refused.
    pub fn count_begin_refusal(&self, refusal: BeginRefusal) {
        count_in(&BeginRefusal::ALL, &self.begin_refusals, refusal);
    }

    /// Counts a query that ended without a result.
    pub fn count_end_reason(&self, reason: EndReason) {
        count_in(&EndReason::ALL, &self.end_reasons, reason);
    }

    /// Counts the end of a client's connection.
    pub fn count_client_close(&self, close: ClientClose) {
        count_in(&ClientClose::ALL, &self.client_closes, close);
    }

    /// Counts the end of a connection to an engine.
    pub fn count_engine_close(&self, close: EngineClose) {
        count_in(&EngineClose::ALL, &self.engine_closes, close);
    }

    /// Counts a violation.
    pub fn count_violation(&self, rule: Rule) {
        count_in(&RULES, &self.violations, rule);
    }

    /// All counters as text, a line each with name and count; then the attempts in flight, the queries without an
    /// answer and those `in_flight` in the registry.
    pub fn report(&self, in_flight: usize) -> String {
        let mut text = String::new();
        for (name, count) in self.plain() {
            write_line(&mut text, name, count);
        }
        let out = &mut text;
        write_group(out, &OUTCOMES, &self.attempts_by_outcome, |(_, name)| {
            format!("submissions_{name}")
        });
        write_group(out, &EndCause::ALL, &self.attempts_by_cause, |cause| {
            format!("attempts_ended_{cause}")
        });
        write_group(out, &EndCause::ALL, &self.retries_by_cause, |cause| {
            format!("retries_after_{cause}")
        });
        write_group(out, &IgnoredReply::ALL, &self.ignored_replies, |reason| {
            format!("replies_ignored_{reason}")
        });
        write_group(out, &BeginRefusal::ALL, &self.begin_refusals, |refusal| {
            format!("not_begun_{refusal}")
        });
        write_group(out, &EndReason::ALL, &self.end_reasons, |reason| {
            format!("ended_{}", reason.name())
        });
        write_group(out, &ClientClose::ALL, &self.client_closes, |close| {
            format!("client_closed_{close}")
        });
        write_group(out, &EngineClose::ALL, &self.engine_closes, |close| {
            format!("engine_closed_{close}")
        });
        write_group(out, &RULES, &self.violations, |rule| {
            format!("violations_rule_{}", rule.number())
        });
        write_line(&mut text, "submissions_out", self.attempts_in_flight());
        write_line(&mut text, "unanswered", self.unanswered());
        write_line(&mut text, "in_hand", in_flight as u64);
        write_line(
            &mut text,
            "log_lines_left_out",
            crate::log::suppressed_lines(),
        );
        for report in self.extra_reports.borrow().iter() {
            report(&mut text);
        }
        text
    }

    fn attempts_in_flight(&self) -> u64 {
        let ended: u64 = self.attempts_by_outcome.iter().map(Counter::get).sum();
        self.attempts.get().saturating_sub(ended)
    }

    fn unanswered(&self) -> u64 {
        let answered = self.completed.get()
            + self.rejected.get()
            + self.failed.get()
            + self.client_disconnects.get();
        self.admitted.get().saturating_sub(answered)
    }
}

/// Increments the counter of `value`.
fn count_in<T: PartialEq + Copy>(known: &[T], counters: &[Counter], value: T) {
    let counter = known
        .iter()
        .zip(counters)
        .find(|(known, _)| **known == value);
    if let Some((_, counter)) = counter {
        counter.increment();
    }
}

/// Appends the lines of counters that belong to the values `known`, each with its name.
fn write_group<T>(
    text: &mut String,
    known: &[T],
    counters: &[Counter],
    name: impl Fn(&T) -> String,
) {
    for (value, counter) in known.iter().zip(counters) {
        write_line(text, &name(value), counter.get());
    }
}

fn write_line(text: &mut String, name: &str, count: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{name} {count}");
}

#[cfg(test)]
mod tests;

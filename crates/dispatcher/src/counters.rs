//! Counters of queries, connections and messages since the start of the program. Operators' tools read the printed
//! names, which therefore stay as they are, and differ from the names of the fields in places.

use crate::attempt_end::EndCause;
use crate::close_reason::{ClientCloseReason, EngineCloseReason};
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

    /// Returns the count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Appends the lines of a subsystem's counters to the text.
pub type Report = Box<dyn Fn(&mut String)>;

/// The outcomes of attempts, with their printed names.
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

/// Declares `Counters` from the doc comment, field and printed name of each counter, in the order of printing.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $label:literal),* $(,)?) => {
        /// All counters of the program.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Reports of the subsystems' counters, printed after all other counters.
            pub extra_reports: RefCell<Vec<Report>>,
            /// Ended attempts by outcome, in the order of `OUTCOMES`.
            attempts_by_outcome: [Counter; OUTCOMES.len()],
            /// Ended attempts by cause, in the order of `EndCause::ALL`.
            attempts_by_cause: [Counter; EndCause::ALL.len()],
            /// Retries by the cause that ended the previous attempt, in the order of `EndCause::ALL`.
            retries_by_cause: [Counter; EndCause::ALL.len()],
            /// Ignored replies of engines by reason, in the order of `IgnoredReply::ALL`.
            ignored_replies: [Counter; IgnoredReply::ALL.len()],
            /// Attempts that the guard refused by reason, in the order of `BeginRefusal::ALL`.
            begin_refusals: [Counter; BeginRefusal::ALL.len()],
            /// Queries that ended without a result by reason, in the order of `EndReason::ALL`.
            end_reasons: [Counter; EndReason::ALL.len()],
            /// Closed connections of clients by reason, in the order of `ClientCloseReason::ALL`.
            client_closes: [Counter; ClientCloseReason::ALL.len()],
            /// Closed connections to engines by reason, in the order of `EngineCloseReason::ALL`.
            engine_closes: [Counter; EngineCloseReason::ALL.len()],
            /// Violations by rule, in the order of `RULES`.
            violations: [Counter; RULES.len()],
        }

        impl Counters {
            /// Returns the printed name and the count of each counter that is not part of a group.
            fn plain(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$(($label, self.$name.get())),*].into_iter()
            }
        }
    };
}

counters! {
    /// Queries admitted. Equals the sum of the queries completed, rejected and failed, those whose clients left, and
    /// those that are not answered yet.
    admitted: "taken",
    /// Queries answered with a result.
    completed: "finished",
    /// Queries rejected with a time after which to retry.
    rejected: "deferred",
    /// Queries answered with a final error.
    failed: "killed",
    /// Queries whose clients left before the answer.
    client_disconnects: "vanished",
    /// Requests rejected before they were admitted as queries.
    requests_rejected: "requests_rejected",
    /// Queries rejected before they were admitted, because their clients may have disconnected behind unread bytes.
    rejected_behind_unread: "requests_rejected_unread",
    /// Queries that failed because there was no memory for their results.
    results_without_memory: "results_without_memory",
    /// Answers that could not be written to their clients.
    answer_write_failures: "answers_not_written",
    /// Connections accepted from clients.
    client_connections: "connections_from_clients",
    /// Connections of clients that were closed to make room for others.
    client_connections_evicted: "connections_evicted",
    /// Connections opened to engines.
    engine_connections_opened: "connections_to_engines",
    /// Connections to engines that were not established within the connect timeout.
    connect_timeouts: "connections_late",
    /// Connections to engines that were established after the connect timeout.
    connects_after_timeout: "connections_late_up",
    /// Connections to engines that were closed because the engine violated the protocol.
    protocol_errors: "connections_spoilt",
    /// Idle connections to engines that turned out to be lost when they were reused.
    idle_connections_lost: "connections_lost_idle",
    /// Connects to engines that failed because of a fault of this machine, and were retried.
    local_connect_faults: "connects_failed_here",
    /// Connections to engines that waited for a descriptor at the limit of open connections.
    waits_for_descriptor: "connections_waited",
    /// Attempts begun. Equals the number of ended attempts, summed over all outcomes, plus the attempts in flight.
    attempts: "submissions",
    /// Outcomes that the engine side reported for attempts that were not in flight. It should never report one.
    ends_ignored: "ends_ignored",
    /// Health checks that the admission controller requested.
    health_checks: "probes",
    /// Endpoint lists applied.
    endpoint_updates: "lists",
    /// Answers of the name service that were unusable or not accepted.
    endpoint_updates_rejected: "lists_passed_over",
    /// Queries sent to the name service.
    dns_queries: "lookups",
    /// Valid configurations read by reloads.
    config_reloads: "configurations_read",
    /// Valid operators' files read by reloads.
    operator_config_reloads: "operator_files_read",
    /// Messages sent to other dispatchers.
    peer_messages_sent: "messages_sent",
    /// Messages received from other dispatchers.
    peer_messages_received: "messages_heard",
    /// Rounds of the admission controller.
    rounds: "rounds",
}

impl Counters {
    /// Counts an ended attempt by its outcome.
    pub fn count_outcome(&self, outcome: Outcome) {
        for ((known, _), counter) in OUTCOMES.iter().zip(&self.attempts_by_outcome) {
            if *known == outcome {
                counter.increment();
            }
        }
    }

    /// Counts an ended attempt by its cause.
    pub fn count_end_cause(&self, cause: EndCause) {
        count_in(&EndCause::ALL, &self.attempts_by_cause, cause);
    }

    /// Counts a retry by the cause that ended the previous attempt.
    pub fn count_retry_after(&self, cause: EndCause) {
        count_in(&EndCause::ALL, &self.retries_by_cause, cause);
    }

    /// Counts an ignored reply of an engine.
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

    /// Counts a closed connection of a client.
    pub fn count_client_close(&self, close: ClientCloseReason) {
        count_in(&ClientCloseReason::ALL, &self.client_closes, close);
    }

    /// Counts a closed connection to an engine.
    pub fn count_engine_close(&self, close: EngineCloseReason) {
        count_in(&EngineCloseReason::ALL, &self.engine_closes, close);
    }

    /// Counts a violation.
    pub fn count_violation(&self, rule: Rule) {
        count_in(&RULES, &self.violations, rule);
    }

    /// Returns all counters as text, one line per counter with its name and count. After the counters come the
    /// attempts in flight, the unanswered queries, and `in_flight`, the number of queries in the registry.
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
        write_group(out, &ClientCloseReason::ALL, &self.client_closes, |close| {
            format!("client_closed_{close}")
        });
        write_group(out, &EngineCloseReason::ALL, &self.engine_closes, |close| {
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
fn count_in<T: PartialEq + Copy>(values: &[T], counters: &[Counter], value: T) {
    let counter = values
        .iter()
        .zip(counters)
        .find(|(candidate, _)| **candidate == value);
    if let Some((_, counter)) = counter {
        counter.increment();
    }
}

/// Appends one line per counter. `name` returns the printed name of a counter from its value in `values`.
fn write_group<T>(
    text: &mut String,
    values: &[T],
    counters: &[Counter],
    name: impl Fn(&T) -> String,
) {
    for (value, counter) in values.iter().zip(counters) {
        write_line(text, &name(value), counter.get());
    }
}

fn write_line(text: &mut String, name: &str, count: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{name} {count}");
}

#[cfg(test)]
mod tests;

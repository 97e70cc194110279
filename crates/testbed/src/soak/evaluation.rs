//! Evaluates a run by its record: each process against the rules, the fleet against the slow-start budget.

use super::clients::{CLASSES, MEAN_WORK_MS};
use super::plan::{PlannedFault, SoakFault};
use super::site::{
    COLD_FROM, DEDUP_WINDOW_MS, DRAIN_GRACE_MS, MULTIPLE, RETRY_FREE, RETRY_RATIO, RETRY_SPAN_MS,
    SPAN_MS, WARM_AFTER_MS,
};
use super::world::World;
use super::{SoakCounts, SoakOutcome};
use crate::invariants::{
    find_slow_start_violations, find_violations, ClassRules, Effect, RetryBudget, Rules, Violation,
    WarmUpRule,
};
use crate::record::{Entry, EventKind};
use std::collections::BTreeMap;

/// What the name service has to tell counts as told after this time, whether or not it arrived (protocol).
const ANNOUNCED_AFTER_MS: f64 = 7000.0;
/// How much later than its limit an event may come on a busy machine.
const SLACK_MS: f64 = 100.0;
/// Up to this late an answer only earns nothing.
const LATE_ANSWER_MS: f64 = 500.0;
/// A query that was asked within this time (ms) before or after its dispatcher was stopped may have come while it was.
const STALL_MARGIN_MS: f64 = 100.0;

impl World {
    /// What was seen, and what broke.
    pub(super) fn outcome(&self) -> SoakOutcome {
        let entries = self.context.record.entries();
        let mut violations = self.dispatcher_violations(&entries);
        let rule = WarmUpRule {
            multiple: MULTIPLE,
            initial_fraction: COLD_FROM,
            span_ms: SPAN_MS,
            warm_after_ms: WARM_AFTER_MS,
        };
        violations.extend(find_slow_start_violations(&entries, &rule, MEAN_WORK_MS));
        violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let mut counts = count(&entries);
        let tables = self.places.iter().map(|place| place.shim().table());
        counts.failed_calls = tables.map(|table| table.injected_in_all()).sum();
        SoakOutcome {
            plan: self.plan.clone(),
            entries,
            violations,
            counts,
            max_lag_ms: 0.0,
        }
    }

    /// Each process keeps the rules for itself: its part of the record is its queries, and what all share.
    fn dispatcher_violations(&self, entries: &[Entry]) -> Vec<Violation> {
        let mut parts: BTreeMap<&str, Vec<Entry>> = BTreeMap::new();
        for entry in entries {
            if let Some(id) = query_id(&entry.event) {
                parts.entry(&id[..PROCESS_DIGITS]).or_default();
            }
        }
        for entry in entries {
            match query_id(&entry.event) {
                Some(id) => {
                    if let Some(part) = parts.get_mut(&id[..PROCESS_DIGITS]) {
                        part.push(entry.clone());
                    }
                }
                None => parts.values_mut().for_each(|part| part.push(entry.clone())),
            }
        }
        let rules = self.rules();
        let stalled = stalled_queries(entries);
        let mut violations: Vec<Violation> = Vec::new();
        for part in parts.values() {
            for violation in find_violations(part, &rules) {
                let is_known = violations
                    .iter()
                    .any(|known| known.description == violation.description);
                let came_while_stopped = stalled
                    .iter()
                    .any(|id| violation.description.contains(id.as_str()));
                let is_excused = came_while_stopped
                    || self.is_excused(&violation)
                    || other_attempt_ends_at_once(&violation, part);
                if !is_known && !is_excused {
                    violations.push(violation);
                }
            }
        }
        violations
    }

    /// An abort that a link swallowed leaves the attempt running at its engine: the dispatcher has given it up.
    fn is_excused(&self, violation: &Violation) -> bool {
        let swallows = |planned: &PlannedFault| {
            matches!(
                planned.fault,
                SoakFault::CutToEngine(_) | SoakFault::ForgetIdle(_) | SoakFault::CutFromEngine(_)
            )
        };
        violation.rule == 2
            && violation
                .description
                .contains("while another attempt was out")
            && self.plan.faults.iter().any(swallows)
    }

    /// Whether the name service is silent or slow at times.
    pub(super) fn hides_list(&self) -> bool {
        self.plan.faults.iter().any(|planned| {
            matches!(
                planned.fault,
                SoakFault::SilentNames | SoakFault::SlowNames(_)
            )
        })
    }

    fn rules(&self) -> Rules {
        let announced_after_ms = if self.hides_list() {
            ANNOUNCED_AFTER_MS
        } else {
            0.0
        };
        let classes = CLASSES.iter().map(|class| {
            let effect = match class.effect {
                "read_like" => Effect::ReadOnly,
                "non_idempotent" => Effect::NonIdempotent,
                _ => Effect::IdempotencyKey,
            };
            let rules = ClassRules {
                dedup_window_ms: DEDUP_WINDOW_MS,
                ..ClassRules::of(effect)
            };
            (class.name.to_owned(), rules)
        });
        Rules {
            slack_ms: SLACK_MS,
            late_answer_ms: LATE_ANSWER_MS,
            grace_ms: DRAIN_GRACE_MS + announced_after_ms,
            warm_up: None,
            cooldown_ms: 0.0,
            retry_budget: Some(RetryBudget {
                span_ms: RETRY_SPAN_MS,
                free: RETRY_FREE,
                query_fraction: RETRY_RATIO,
            }),
            classes: classes.collect(),
        }
    }
}

/// A link that is reset shows it to the dispatcher a moment before the engine: the other attempt had been given up when the
/// next one began, within the time that the protocol allows for both to be seen.
fn other_attempt_ends_at_once(violation: &Violation, entries: &[Entry]) -> bool {
    if !violation
        .description
        .contains("while another attempt was out")
    {
        return false;
    }
    entries.iter().any(|entry| {
        let is_soon = entry.at_ms >= violation.at_ms && entry.at_ms < violation.at_ms + SLACK_MS;
        let EventKind::GivenUp { id, .. } = &entry.event else {
            return false;
        };
        is_soon && violation.description.contains(id.as_str())
    })
}

/// The queries that came to a dispatcher while it was stopped: when, it can't know, so that nothing that counts from there
/// is judged.
fn stalled_queries(entries: &[Entry]) -> Vec<String> {
    let mut stalls = Vec::new();
    for entry in entries {
        if let EventKind::Stalled {
            dispatcher,
            from_ms,
        } = &entry.event
        {
            stalls.push((dispatcher, *from_ms, entry.at_ms));
        }
    }
    let mut ids = Vec::new();
    for entry in entries {
        let EventKind::Asked { id, .. } = &entry.event else {
            continue;
        };
        let number = usize::from_str_radix(&id[..4], 16).unwrap_or(0);
        let name = format!("n{}", number.wrapping_sub(1));
        let is_within = |&(dispatcher, from_ms, to_ms): &(&String, f64, f64)| {
            *dispatcher == name
                && entry.at_ms > from_ms - STALL_MARGIN_MS
                && entry.at_ms < to_ms + STALL_MARGIN_MS
        };
        if stalls.iter().any(is_within) {
            ids.push(id.clone());
        }
    }
    ids
}

/// Digits of a query's id that name its dispatcher and the process at its place.
const PROCESS_DIGITS: usize = 6;

fn query_id(event: &EventKind) -> Option<&str> {
    match event {
        EventKind::Asked { id, .. }
        | EventKind::Answered { id, .. }
        | EventKind::Left { id }
        | EventKind::Lost { id, .. }
        | EventKind::Excused { id }
        | EventKind::Arrived { id, .. }
        | EventKind::Told { id, .. }
        | EventKind::Applied { id, .. }
        | EventKind::Ended { id, .. }
        | EventKind::GivenUp { id, .. } => Some(id),
        EventKind::Listed { .. }
        | EventKind::Started { .. }
        | EventKind::DispatcherFailed { .. }
        | EventKind::Stalled { .. }
        | EventKind::Fault { .. } => None,
    }
}

fn count(entries: &[Entry]) -> SoakCounts {
    let mut counts = SoakCounts::default();
    for entry in entries {
        match &entry.event {
            EventKind::Asked { .. } => counts.asked += 1,
            EventKind::Answered { status: 200, .. } => counts.completed += 1,
            EventKind::Answered {
                status: 429 | 503, ..
            } => counts.rejected += 1,
            EventKind::Answered { .. } => counts.failed += 1,
            EventKind::Left { .. } | EventKind::Excused { .. } => counts.left += 1,
            EventKind::Arrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

//! Evaluates a run by its record: each process is checked against the rules, the fleet against the slow-start budget.

use super::clients::{CLASSES, MEAN_WORK_MS};
use super::environment::Environment;
use super::plan::{PlannedFault, SoakFault};
use super::site::{DEDUP_WINDOW_MS, DRAIN_GRACE_MS, RETRY_BUDGET, WARM_UP};
use super::{SoakCounts, SoakOutcome};
use crate::invariants::{
    find_slow_start_violations, find_violations, ClassRules, Rules, Violation, ANOTHER_ATTEMPT,
};
use crate::record::{Entry, EventKind};
use std::collections::BTreeMap;

/// How long after a change of the endpoint list dispatchers must know it, whether or not it arrived (ms; protocol).
const ANNOUNCED_AFTER_MS: f64 = 7000.0;
/// How much later than its limit an event may be on a busy machine (ms).
const SLACK_MS: f64 = 100.0;
/// How long after the next attempt began an engine may notice that the one before was given up (ms; protocol).
const CROSSING_ENDS_MS: f64 = 50.0;
/// Up to how much after its client's time an answer counts as late instead of lost (ms).
const LATE_ANSWER_MS: f64 = 500.0;
/// A query that was sent within this time before or after its dispatcher's stop may have arrived during it (ms).
const STALL_MARGIN_MS: f64 = 100.0;

impl Environment {
    /// The outcome of the run: its record, its violations and its counts.
    pub(super) fn outcome(&self) -> SoakOutcome {
        let entries = self.context.record.entries();
        let mut violations = self.dispatcher_violations(&entries);
        violations.extend(find_slow_start_violations(&entries, &WARM_UP, MEAN_WORK_MS));
        violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let mut counts = count(&entries);
        let tables = self.slots.iter().map(|slot| slot.shim().table());
        counts.failed_calls = tables.map(|table| table.injected_in_all()).sum();
        SoakOutcome {
            plan: self.plan.clone(),
            entries,
            violations,
            counts,
            max_lag_ms: 0.0,
        }
    }

    /// Checks the rules for each process on its part of the record: the entries of its queries, and those of no query.
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
                let is_excluded = came_while_stopped
                    || self.is_excluded(&violation)
                    || other_attempt_ends_at_once(&violation, part);
                if !is_known && !is_excluded {
                    violations.push(violation);
                }
            }
        }
        violations
    }

    /// Whether a violation is excluded because a link may have swallowed a cancellation: the attempt then still runs at
    /// its engine, although the dispatcher has cancelled it.
    fn is_excluded(&self, violation: &Violation) -> bool {
        let swallows = |planned: &PlannedFault| match planned.fault {
            SoakFault::CutToEngine(engine)
            | SoakFault::ForgetIdle(engine)
            | SoakFault::CutFromEngine(engine) => {
                let ran_there = format!("{ANOTHER_ATTEMPT} at s-{engine}");
                // Engines that replaced the first one of the slot have a suffix.
                let (exact, replaced) = (ran_there.clone(), format!("{ran_there}-"));
                violation.description.ends_with(&exact) || violation.description.contains(&replaced)
            }
            _ => false,
        };
        violation.rule == 2 && self.plan.faults.iter().any(swallows)
    }

    /// Whether the plan delays or silences the name service.
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
            let rules = ClassRules {
                dedup_window_ms: DEDUP_WINDOW_MS,
                ..ClassRules::of(class.effect)
            };
            (class.name.to_owned(), rules)
        });
        Rules {
            slack_ms: SLACK_MS,
            late_answer_ms: LATE_ANSWER_MS,
            grace_ms: DRAIN_GRACE_MS + announced_after_ms,
            warm_up: None,
            cooldown_ms: 0.0,
            retry_budget: Some(RETRY_BUDGET),
            classes: classes.collect(),
        }
    }
}

/// Whether a violation is excluded because the other attempt ended right after the next one began: the dispatcher sees
/// the reset of a link shortly before the engine does, within the time that the protocol allows.
fn other_attempt_ends_at_once(violation: &Violation, entries: &[Entry]) -> bool {
    if !violation.description.contains(ANOTHER_ATTEMPT) {
        return false;
    }
    entries.iter().any(|entry| {
        let until_ms = violation.at_ms + CROSSING_ENDS_MS;
        let is_soon = entry.at_ms >= violation.at_ms && entry.at_ms < until_ms;
        let EventKind::GivenUp { id, .. } = &entry.event else {
            return false;
        };
        is_soon && violation.description.contains(id.as_str())
    })
}

/// The queries that arrived at a dispatcher while it was stopped. It cannot know when they arrived, so that their time
/// limits are not checked.
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

/// Digits of a query's id that name its dispatcher and the process at its slot.
const PROCESS_DIGITS: usize = 6;

fn query_id(event: &EventKind) -> Option<&str> {
    match event {
        EventKind::Asked { id, .. }
        | EventKind::Answered { id, .. }
        | EventKind::Left { id }
        | EventKind::Lost { id, .. }
        | EventKind::WrongRows { id, .. }
        | EventKind::Excluded { id }
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
            EventKind::Left { .. } | EventKind::Excluded { .. } => counts.left += 1,
            EventKind::Arrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

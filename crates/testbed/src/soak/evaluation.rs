//! Evaluates a run by its record: checks each process against the rules and the fleet against the slow-start budget.

use super::clients::{CLASSES, MEAN_WORK_MS};
use super::deployment::{DEDUP_WINDOW_MS, DRAIN_GRACE_MS, RETRY_BUDGET, WARM_UP};
use super::environment::Environment;
use super::plan::{PlannedFault, SoakFault};
use super::{SoakCounts, SoakOutcome};
use crate::invariants::{
    find_slow_start_violations, find_violations, ClassRules, Rules, Violation, CONCURRENT_ATTEMPT,
};
use crate::record::{Entry, EventKind};
use std::collections::BTreeMap;

/// Time after a change of the endpoint list within which dispatchers apply it, even if updates are lost (ms; protocol).
const LIST_UPDATE_LIMIT_MS: f64 = 7000.0;
/// Tolerance of every time limit, for scheduling delays of a busy machine (ms).
const SLACK_MS: f64 = 100.0;
/// Time after the next attempt's start within which an engine may still notice that the previous attempt was cancelled
/// (ms; protocol).
const CANCELLATION_DELAY_MS: f64 = 50.0;
/// Time after the client's deadline within which an answer is accepted as late (ms).
const LATE_ANSWER_MS: f64 = 500.0;
/// Time before and after a dispatcher's stall within which a sent query may have arrived during the stall (ms).
const STALL_MARGIN_MS: f64 = 100.0;

impl Environment {
    /// The outcome of the run: its record, violations and counts. The caller sets the longest wake-up delay.
    pub(super) fn outcome(&self) -> SoakOutcome {
        let entries = self.context.record.entries();
        let mut violations = self.dispatcher_violations(&entries);
        violations.extend(find_slow_start_violations(&entries, &WARM_UP, MEAN_WORK_MS));
        violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let mut counts = count_events(&entries);
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

    /// Checks the rules for each process on its part of the record: the entries of its queries, and all entries that
    /// belong to no query.
    fn dispatcher_violations(&self, entries: &[Entry]) -> Vec<Violation> {
        let mut parts: BTreeMap<&str, Vec<Entry>> = BTreeMap::new();
        for entry in entries {
            if let Some(id) = query_id(&entry.event) {
                parts.entry(&id[..PROCESS_ID_DIGITS]).or_default();
            }
        }
        for entry in entries {
            match query_id(&entry.event) {
                Some(id) => {
                    if let Some(part) = parts.get_mut(&id[..PROCESS_ID_DIGITS]) {
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
                let is_duplicate = violations
                    .iter()
                    .any(|other| other.description == violation.description);
                let arrived_during_stall = stalled
                    .iter()
                    .any(|id| violation.description.contains(id.as_str()));
                let is_excluded = arrived_during_stall
                    || self.may_have_lost_cancellation(&violation)
                    || other_attempt_ends_immediately(&violation, part);
                if !is_duplicate && !is_excluded {
                    violations.push(violation);
                }
            }
        }
        violations
    }

    /// Whether a violation is excluded because a link may have dropped a cancellation: the attempt then still runs at
    /// its engine, although the dispatcher has cancelled it.
    fn may_have_lost_cancellation(&self, violation: &Violation) -> bool {
        let loses_cancellation = |planned: &PlannedFault| match planned.fault {
            SoakFault::CutToEngine(engine)
            | SoakFault::ForgetIdle(engine)
            | SoakFault::CutFromEngine(engine) => {
                let at_engine = format!("{CONCURRENT_ATTEMPT} at s-{engine}");
                // The ids of engines that replaced the slot's first engine have a suffix.
                let (first, replacement) = (at_engine.clone(), format!("{at_engine}-"));
                violation.description.ends_with(&first)
                    || violation.description.contains(&replacement)
            }
            _ => false,
        };
        violation.rule == 2 && self.plan.faults.iter().any(loses_cancellation)
    }

    /// Whether the plan delays or silences the name service.
    pub(super) fn delays_endpoint_list(&self) -> bool {
        self.plan.faults.iter().any(|planned| {
            matches!(
                planned.fault,
                SoakFault::SilentNames | SoakFault::SlowNames(_)
            )
        })
    }

    fn rules(&self) -> Rules {
        let list_update_ms = if self.delays_endpoint_list() {
            LIST_UPDATE_LIMIT_MS
        } else {
            0.0
        };
        let classes = CLASSES.iter().map(|class| {
            let rules = ClassRules {
                dedup_window_ms: DEDUP_WINDOW_MS,
                ..ClassRules::for_effect(class.effect)
            };
            (class.name.to_owned(), rules)
        });
        Rules {
            slack_ms: SLACK_MS,
            late_answer_ms: LATE_ANSWER_MS,
            grace_ms: DRAIN_GRACE_MS + list_update_ms,
            warm_up: None,
            cooldown_ms: 0.0,
            retry_budget: Some(RETRY_BUDGET),
            classes: classes.collect(),
        }
    }
}

/// Whether a violation is excluded because one of the two concurrent attempts was cancelled right after the new one
/// began: the dispatcher detects the reset of a link shortly before the engine does, within the time that the protocol
/// allows.
fn other_attempt_ends_immediately(violation: &Violation, entries: &[Entry]) -> bool {
    if !violation.description.contains(CONCURRENT_ATTEMPT) {
        return false;
    }
    entries.iter().any(|entry| {
        let until_ms = violation.at_ms + CANCELLATION_DELAY_MS;
        let is_within_delay = entry.at_ms >= violation.at_ms && entry.at_ms < until_ms;
        let EventKind::GivenUp { id, .. } = &entry.event else {
            return false;
        };
        is_within_delay && violation.description.contains(id.as_str())
    })
}

/// The ids of queries that may have arrived at a dispatcher while SIGSTOP suspended it. The dispatcher cannot know when
/// such a query arrived, so violations by these queries are not counted.
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
        let dispatcher_number = usize::from_str_radix(&id[..4], 16).unwrap_or(0);
        let name = format!("n{}", dispatcher_number.wrapping_sub(1));
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

/// Number of leading digits of a query id that identify its dispatcher and the process in its slot.
const PROCESS_ID_DIGITS: usize = 6;

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

fn count_events(entries: &[Entry]) -> SoakCounts {
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

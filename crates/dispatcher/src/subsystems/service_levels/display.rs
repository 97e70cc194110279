//! Service levels for people: the JSON of `/_levels`, and the log line of a change.

use serde_json::{json, Value};
use tansymux_service_levels::{Change, LevelStateMachine, Why};

/// What `/_levels` answers while no levels are defined.
pub fn disabled() -> Value {
    json!({"level": "full", "depth": 0, "version": 0, "defined": false})
}

/// What `/_levels` answers: the level in force and why, what would change it, totals and the history, latest first.
pub fn to_json(machine: &LevelStateMachine, now_ms: f64) -> Value {
    let shown = machine.shown();
    let history: Vec<Value> = machine
        .history()
        .iter()
        .rev()
        .map(|change| change_json(machine, change))
        .collect();
    let latest = machine.history().last();
    json!({
        "level": shown.name,
        "depth": shown.depth,
        "version": machine.version(),
        "defined": true,
        "since": shown.since,
        "for_ms": (now_ms - shown.since).round(),
        "why": latest.map(|change| change_json(machine, change)),
        "wants": machine.name_of(shown.wants),
        "peers_heard": shown.heard,
        "pinned_until": shown.pinned_until,
        "would_enter": terms_json(&shown.would_enter),
        "would_leave": terms_json(&shown.would_leave),
        "times": totals_json(machine),
        "history": history,
    })
}

/// Time (ms) in each level, and how often it was entered.
fn totals_json(machine: &LevelStateMachine) -> Vec<Value> {
    let (times, changes) = machine.totals();
    let mut totals = Vec::new();
    for (depth, time_ms) in times.iter().enumerate() {
        let changes = depth.checked_sub(1).map(|level| changes[level]);
        totals.push(json!({
            "level": machine.name_of(depth),
            "ms": time_ms.round(),
            "changes": changes,
        }));
    }
    totals
}

fn terms_json(terms: &[(String, f64, f64, bool, f64, f64)]) -> Vec<Value> {
    let mut items = Vec::new();
    for (signal, reading, threshold, is_met, held_ms, needed_ms) in terms {
        items.push(json!({
            "signal": signal,
            "reads": finite_or_null(*reading),
            "turns_at": threshold,
            "on": is_met,
            "held_ms": held_ms,
            "needed_ms": needed_ms,
        }));
    }
    items
}

/// JSON has no NaN and no infinity.
fn finite_or_null(value: f64) -> Value {
    if value.is_finite() {
        json!(value)
    } else {
        Value::Null
    }
}

fn change_json(machine: &LevelStateMachine, change: &Change) -> Value {
    json!({
        "at": change.at,
        "from": machine.name_of(change.from),
        "to": machine.name_of(change.to),
        "why": reason_text(&change.why),
    })
}

/// Logs a change of level.
pub fn log_change(machine: &LevelStateMachine, change: &Change) {
    let from = machine.name_of(change.from);
    let to = machine.name_of(change.to);
    let reason = reason_text(&change.why);
    tracing::warn!(from, to, reason, "service level changed");
}

/// A reason in the words of `/_levels`.
fn reason_text(reason: &Why) -> String {
    match reason {
        Why::Signals(terms) => {
            let texts: Vec<String> = terms
                .iter()
                .map(|(signal, reading)| format!("{signal} reads {reading:.3}"))
                .collect();
            texts.join(", ")
        }
        Why::Peers { heard, wants } => {
            format!("{heard} peers are heard, and the middle wants depth {wants}")
        }
        Why::Pinned => "pinned by operators".into(),
        Why::Start { heard: 0 } => "own signals at the start".into(),
        Why::Start { heard } => format!("{heard} peers told of it at the start"),
        Why::Redefined => "other definitions".into(),
    }
}

//! JSON for `/_levels`, and the log line for a change of level. Keys and texts are those of the operators' pages.

use serde_json::{json, Value};
use tansymux_service_levels::{LevelChange, LevelStateMachine, Reason, TriggerStatus};

/// Returns the response body of `/_levels` while no levels are defined.
pub fn disabled() -> Value {
    json!({"level": "full", "depth": 0, "version": 0, "defined": false})
}

/// Returns the response body of `/_levels`: the level in force and its reason, the triggers that would change it,
/// totals, and the history from the latest change to the oldest.
pub fn to_json(machine: &LevelStateMachine, now_ms: f64) -> Value {
    let status = machine.status();
    let history: Vec<Value> = machine
        .history()
        .iter()
        .rev()
        .map(|change| change_json(machine, change))
        .collect();
    let latest = machine.history().last();
    json!({
        "level": status.level_name,
        "depth": status.depth,
        "version": machine.version(),
        "defined": true,
        "since": status.since_ms,
        "for_ms": (now_ms - status.since_ms).round(),
        "why": latest.map(|change| change_json(machine, change)),
        "wants": machine.level_name(status.wanted_depth),
        "peers_heard": status.peer_count,
        "pinned_until": status.pinned_until_ms,
        "would_enter": triggers_json(&status.enter_triggers),
        "would_leave": triggers_json(&status.leave_triggers),
        "times": totals_json(machine),
        "history": history,
    })
}

/// Returns the time (ms) at each level, and the number of changes of each level.
fn totals_json(machine: &LevelStateMachine) -> Vec<Value> {
    let times = machine.time_at_depth_ms();
    let changes = machine.change_counts();
    let mut totals = Vec::new();
    for (depth, time_ms) in times.iter().enumerate() {
        let changes = depth.checked_sub(1).map(|level| changes[level]);
        totals.push(json!({
            "level": machine.level_name(depth),
            "ms": time_ms.round(),
            "changes": changes,
        }));
    }
    totals
}

fn triggers_json(triggers: &[TriggerStatus]) -> Vec<Value> {
    let mut items = Vec::new();
    for trigger in triggers {
        items.push(json!({
            "signal": trigger.signal,
            "reads": finite_or_null(trigger.reading),
            "turns_at": trigger.threshold,
            "on": trigger.is_on,
            "held_ms": trigger.held_ms,
            "needed_ms": trigger.required_ms,
        }));
    }
    items
}

/// Returns the number, or `null` for NaN and infinity, which JSON cannot represent.
fn finite_or_null(value: f64) -> Value {
    if value.is_finite() {
        json!(value)
    } else {
        Value::Null
    }
}

fn change_json(machine: &LevelStateMachine, change: &LevelChange) -> Value {
    json!({
        "at": change.at_ms,
        "from": machine.level_name(change.from),
        "to": machine.level_name(change.to),
        "why": reason_text(&change.reason),
    })
}

/// Logs a change of level.
pub fn log_change(machine: &LevelStateMachine, change: &LevelChange) {
    let from = machine.level_name(change.from);
    let to = machine.level_name(change.to);
    let reason = reason_text(&change.reason);
    tracing::warn!(from, to, reason, "service level changed");
}

fn reason_text(reason: &Reason) -> String {
    match reason {
        Reason::Signals(readings) => {
            let texts: Vec<String> = readings
                .iter()
                .map(|item| format!("{} reads {:.3}", item.signal, item.reading))
                .collect();
            texts.join(", ")
        }
        Reason::Peers {
            peers,
            wanted_depth,
        } => {
            format!("{peers} peers are heard, and the middle wants depth {wanted_depth}")
        }
        Reason::Pinned => "pinned by operators".into(),
        Reason::Startup { peers: 0 } => "own signals at the start".into(),
        Reason::Startup { peers } => format!("{peers} peers told of it at the start"),
        Reason::Reconfigured => "other definitions".into(),
    }
}

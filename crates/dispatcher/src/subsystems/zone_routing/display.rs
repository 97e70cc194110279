//! JSON for `/_halls`, and the log line for a change of a zone's state. Keys and texts are those of the operators'
//! pages; they do not change with the names in the code.

use serde_json::{json, Map, Value};
use tansymux_zone_routing::{ZoneChange, ZonePlan, ZoneState};

/// Returns the response body of `/_halls` while zone routing is off.
pub fn disabled() -> Value {
    json!({"defined": false})
}

/// Contents of `/_halls`.
pub struct ZoneReport<'a> {
    /// Time of the response (ms).
    pub now_ms: f64,
    /// Local zone of this dispatcher.
    pub local_zone: &'a str,
    /// Whether this dispatcher reaches no zone, and so considers itself cut off.
    pub is_isolated: bool,
    /// Result of [`zone_json`] for each zone.
    pub zones: Vec<Value>,
    /// Changes of zones' states, oldest first.
    pub history: &'a [ZoneChange],
}

/// Returns the response body of `/_halls`.
pub fn to_json(report: &ZoneReport) -> Value {
    let history: Vec<Value> = report.history.iter().rev().map(change_json).collect();
    json!({
        "defined": true,
        "own": report.local_zone,
        "alone": report.is_isolated,
        "now": report.now_ms,
        "halls": report.zones,
        "history": history,
    })
}

/// Returns the entry of one zone in `/_halls`.
pub fn zone_json(zone: &ZonePlan, groups: &[String], spilled_threads: f64) -> Value {
    let fraction = match zone.state {
        ZoneState::Recovering(fraction) => json!(fraction),
        ZoneState::Healthy | ZoneState::Unreachable => Value::Null,
    };
    let mut ranks = Map::new();
    for (group, rank) in groups.iter().zip(&zone.ranks) {
        ranks.insert(group.clone(), json!(rank));
    }
    let spill_limit = if zone.spill_threads.is_finite() {
        json!(zone.spill_threads)
    } else {
        Value::Null
    };
    json!({
        "hall": zone.name,
        "state": state_text(zone.state),
        "part": fraction,
        "rank": ranks,
        "spilled_threads": spilled_threads,
        "spill_most": spill_limit,
    })
}

fn change_json(change: &ZoneChange) -> Value {
    json!({
        "at": change.at_ms,
        "hall": change.zone,
        "state": state_text(change.state),
        "why": change.reason.to_string(),
    })
}

/// Logs a change of a zone's state.
pub fn log_change(change: &ZoneChange) {
    let zone = &change.zone;
    let state = state_text(change.state);
    let reason = change.reason;
    tracing::warn!(zone, %state, %reason, "zone state changed");
}

fn state_text(state: ZoneState) -> &'static str {
    match state {
        ZoneState::Healthy => "well",
        ZoneState::Unreachable => "cut",
        ZoneState::Recovering(_) => "climbing",
    }
}

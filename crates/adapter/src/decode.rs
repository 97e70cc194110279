//! Events of the wire as typed events of the core. One function a kind; each reads all fields before it calls the core.

use crate::batch::{Census, Event};
use crate::error::LineError;
use crate::fields::{parse_number, to_millis, Fields};
use crate::vocabulary::{parse_list_kind, parse_note_kind, parse_outcome, parse_state, EventKind};
use base64::prelude::{Engine, BASE64_STANDARD};
use tansymux::control::Control;
use tansymux::events::{
    AttemptEnded, DecisionSink, EndpointUpdate, HealthCheckEnded, PeerMessage, ProgressNote,
    QueryArrived, ResourceUsage, StatementTraits,
};

/// Fields of an event at most, the instance included.
const MAX_EVENT_FIELDS: usize = 12;
/// Fields of a census entry at most.
const MAX_ENTRY_FIELDS: usize = 9;
/// Bit of a query's flags: the estimate of its cost is there.
const HAS_ESTIMATE: u32 = 1;
/// An attempt's bill holds thread time (ms) above these bits, and memory below them, in units of 4 MB.
const BILL_MEMORY_BITS: u32 = 12;
const BILL_MEMORY_UNIT_MB: f64 = 4.0;

/// Hands an event over to the instance's decisions.
pub fn deliver(
    event: &Event,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let mut fields = Fields::new(event.fields, MAX_EVENT_FIELDS);
    fields.required("dispatcher")?;
    match event.kind {
        EventKind::Update => deliver_update(fields, event.census.as_deref(), control, out),
        EventKind::Inbound => deliver_query(fields, control, out),
        EventKind::ClosedAttempt => deliver_attempt_end(fields, control, out),
        EventKind::StatusNote => deliver_note(fields, control),
        EventKind::PingResult => deliver_health_check(fields, control),
        EventKind::Vanished => {
            let query_id = fields.number("txn")?;
            fields.finish()?;
            control.on_client_gone(query_id, out);
            Ok(())
        }
        EventKind::Peer => deliver_peer_message(fields, control),
        // A timer only makes the round come.
        EventKind::DeadlineHit => {
            fields.number::<u64>("handle")?;
            fields.finish()
        }
        // No streams here: an answer that has begun says nothing that its end will not.
        EventKind::First => fields.number::<u64>("txn").map(drop),
        // Starts and stops are taken out before.
        EventKind::Enlist => Err(LineError::unknown_token("event", "enlist")),
        EventKind::PowerOff => Err(LineError::unknown_token("event", "power_off")),
    }
}

fn deliver_update(
    mut fields: Fields,
    census: Option<&Census>,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let kind = parse_list_kind(fields.required("form")?)?;
    fields.number::<u64>("rev")?;
    fields.required("slot").ok();
    fields.finish()?;
    control.begin_update(kind);
    if let Some(census) = census {
        for (index, entry) in census.text.lines().enumerate() {
            let delivered = deliver_endpoint(entry, control);
            delivered.map_err(|source| LineError::CensusEntry {
                line: census.first_line + index + 1,
                source: Box::new(source),
            })?;
        }
    }
    control.finish_update(kind, out);
    Ok(())
}

fn deliver_endpoint(entry: &str, control: &mut Control) -> Result<(), LineError> {
    let mut fields = Fields::new(entry, MAX_ENTRY_FIELDS);
    fields.required("m")?;
    let kind = fields.required("family-type")?;
    let zone = fields.required("rack-zone")?;
    let state = parse_state(fields.required("status")?)?;
    let started_micros: u64 = fields.optional_number("start-time-us")?.unwrap_or(0);
    let cell = fields.optional_number("pod")?.unwrap_or(0);
    let engine_id = fields.number("node")?;
    fields.optional_number::<f64>("capacity-hint")?;
    fields.finish()?;
    control.upsert_endpoint(&EndpointUpdate {
        engine_id,
        kind,
        zone,
        state,
        started_ms: (started_micros > 0).then(|| to_millis(started_micros)),
        cell,
    });
    Ok(())
}

fn deliver_query(
    mut fields: Fields,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let query_id = fields.number("txn")?;
    let group = fields.required("cls")?;
    let tenant = fields.optional("account")?.unwrap_or("");
    let key = fields.optional("object")?.map(parse_key).transpose()?;
    let deadline_ms = fields.millis("due-us")?;
    let cost_micros = fields.optional_number("plan-cost-us")?.unwrap_or(0);
    let memory_mb = fields.optional_number("est-memory-mb")?.unwrap_or(0.0);
    let tables: f64 = fields.optional_number("tables")?.unwrap_or(0.0);
    let flags: u32 = fields.optional_number("flags")?.unwrap_or(0);
    fields.finish()?;
    let mut estimated_cost_ms = 0.0;
    if flags & HAS_ESTIMATE != 0 {
        estimated_cost_ms = to_millis(cost_micros);
    }
    let query = QueryArrived {
        query_id,
        group,
        tenant,
        key,
        deadline_ms,
        estimated_cost_ms,
        memory_mb,
        tables: tables as u32,
        statement: StatementTraits::UNKNOWN,
    };
    control.on_query_arrived(&query, out)?;
    Ok(())
}

/// An ordering key, in hexadecimal digits.
fn parse_key(text: &str) -> Result<u64, LineError> {
    u64::from_str_radix(text, 16).map_err(|_| LineError::NotAKey {
        text: text.to_owned(),
    })
}

fn deliver_attempt_end(
    mut fields: Fields,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let query_id = fields.number("txn")?;
    let answer_delivered = fields.flag("complete")?;
    let attempt = fields.number("round-no")?;
    let bill: u64 = fields.optional_number("bill")?.unwrap_or(0);
    let outcome = parse_outcome(fields.required("state-code")?)?;
    let engine_id = fields.number("node")?;
    let latency_ms = fields.millis("latency-us")?;
    check_report(&mut fields)?;
    let memory_units = bill & ((1 << BILL_MEMORY_BITS) - 1);
    let used = ResourceUsage {
        thread_ms: (bill >> BILL_MEMORY_BITS) as f64,
        memory_mb: memory_units as f64 * BILL_MEMORY_UNIT_MB,
    };
    let event = AttemptEnded {
        query_id,
        attempt,
        engine_id,
        outcome,
        answer_delivered,
        latency_ms,
        used: Some(used),
    };
    control.on_attempt_ended(&event, out);
    Ok(())
}

fn deliver_note(mut fields: Fields, control: &mut Control) -> Result<(), LineError> {
    let query_id = fields.number("txn")?;
    let amount = fields.number("amount")?;
    let kind = parse_note_kind(fields.number("sort")?)?;
    let attempt = fields.number("round-no")?;
    fields.number::<u64>("node")?;
    fields.finish()?;
    control.on_progress_note(&ProgressNote {
        query_id,
        attempt,
        kind,
        amount,
    });
    Ok(())
}

fn deliver_health_check(mut fields: Fields, control: &mut Control) -> Result<(), LineError> {
    let outcome = parse_outcome(fields.required("state-code")?)?;
    let engine_id = fields.number("node")?;
    fields.number::<u64>("latency-us")?;
    check_report(&mut fields)?;
    control.on_health_check_ended(&HealthCheckEnded { engine_id, outcome });
    Ok(())
}

fn deliver_peer_message(mut fields: Fields, control: &mut Control) -> Result<(), LineError> {
    let peer = fields.number("origin-peer")?;
    let text = fields.required("content")?;
    let content = match text {
        "-" => Ok(Vec::new()),
        text => BASE64_STANDARD.decode(text),
    };
    fields.finish()?;
    let content = content.map_err(|_| LineError::NotBase64 {
        text: text.to_owned(),
    })?;
    control.on_peer_message(&PeerMessage {
        peer,
        content: &content,
    });
    Ok(())
}

/// An engine's load report, the last field: it is checked and not used.
fn check_report(fields: &mut Fields) -> Result<(), LineError> {
    let report = fields.optional("report")?.unwrap_or("");
    for pair in report.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            let text = pair.to_owned();
            return Err(LineError::ReportWithoutName { text });
        };
        parse_number::<f64>(value, name)?;
    }
    fields.finish()
}

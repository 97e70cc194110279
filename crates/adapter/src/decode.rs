//! Decodes events of the wire into events of the admission controller. Each kind has one function, which parses all
//! fields before it calls the admission controller.

use crate::batch::{EndpointList, Event};
use crate::error::LineError;
use crate::fields::{parse_number, to_millis, Fields};
use crate::vocabulary::{
    field, line, parse_list_kind, parse_note_kind, parse_outcome, parse_state, EventKind, NO_VALUE,
    START_EVENT, STOP_EVENT,
};
use base64::prelude::{Engine, BASE64_STANDARD};
use tansymux::control::Control;
use tansymux::events::{
    AttemptEnded, DecisionSink, EndpointUpdate, HealthCheckEnded, PeerMessage, ProgressNote,
    QueryArrived, ResourceUsage, StatementTraits,
};

/// Maximum number of fields of an event, the dispatcher included.
const MAX_EVENT_FIELDS: usize = 12;
/// Maximum number of fields of an endpoint list's entry.
const MAX_ENTRY_FIELDS: usize = 9;
/// Bit of a query's flags: the query has an estimate of its cost.
const HAS_ESTIMATE: u32 = 1;
/// Number of low bits that hold the memory in an attempt's resource usage. The bits above hold the thread time (ms).
const USED_MEMORY_BITS: u32 = 12;
/// Unit of memory in an attempt's resource usage (MB).
const USED_MEMORY_UNIT_MB: f64 = 4.0;

/// Decodes an event and passes it to the dispatcher's admission controller.
pub fn deliver(
    event: &Event,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let mut fields = Fields::new(event.fields, MAX_EVENT_FIELDS);
    fields.required(field::DISPATCHER)?;
    match event.kind {
        EventKind::EndpointUpdate => {
            deliver_update(fields, event.endpoint_list.as_deref(), control, out)
        }
        EventKind::QueryArrived => deliver_query(fields, control, out),
        EventKind::AttemptEnded => deliver_attempt_end(fields, control, out),
        EventKind::ProgressNote => deliver_note(fields, control),
        EventKind::HealthCheckEnded => deliver_health_check(fields, control),
        EventKind::ClientDisconnected => {
            let query_id = fields.number(field::QUERY_ID)?;
            fields.finish()?;
            control.on_client_disconnected(query_id, out);
            Ok(())
        }
        EventKind::PeerMessage => deliver_peer_message(fields, control),
        // A due timer only triggers the round, which runs in any case.
        EventKind::TimerDue => {
            fields.number::<u64>(field::HANDLE)?;
            fields.finish()
        }
        // Results are not streamed, so the first bytes have no effect.
        EventKind::FirstBytes => fields.number::<u64>(field::QUERY_ID).map(drop),
        // `Host` handles the start and stop of a dispatcher before it delivers events.
        EventKind::Start => Err(LineError::unknown_token("event", START_EVENT)),
        EventKind::Stop => Err(LineError::unknown_token("event", STOP_EVENT)),
    }
}

fn deliver_update(
    mut fields: Fields,
    endpoint_list: Option<&EndpointList>,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let kind = parse_list_kind(fields.required(field::LIST_KIND)?)?;
    fields.number::<u64>(field::REVISION)?;
    // A failed update has no slot. Any other slot was resolved to `endpoint_list` when the batch was read.
    fields.required(field::SLOT).ok();
    fields.finish()?;
    control.begin_update(kind);
    if let Some(list) = endpoint_list {
        for (index, entry) in list.text.lines().enumerate() {
            let delivered = deliver_endpoint(entry, control);
            delivered.map_err(|source| LineError::ListEntry {
                line: list.first_line + index + 1,
                source: Box::new(source),
            })?;
        }
    }
    control.finish_update(kind, out);
    Ok(())
}

fn deliver_endpoint(entry: &str, control: &mut Control) -> Result<(), LineError> {
    let mut fields = Fields::new(entry, MAX_ENTRY_FIELDS);
    fields.required(line::ENDPOINT)?;
    let kind = fields.required(field::ENGINE_KIND)?;
    let zone = fields.required(field::ZONE)?;
    let state = parse_state(fields.required(field::ENGINE_STATE)?)?;
    let started_micros: u64 = fields.optional_number(field::STARTED_US)?.unwrap_or(0);
    let cell = fields.optional_number(field::CELL)?.unwrap_or(0);
    let engine_id = fields.number(field::ENGINE_ID)?;
    fields.optional_number::<f64>(field::CAPACITY_HINT)?;
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
    let query_id = fields.number(field::QUERY_ID)?;
    let group = fields.required(field::GROUP)?;
    let tenant = fields.optional(field::TENANT)?.unwrap_or("");
    let key = fields.optional(field::KEY)?.map(parse_key).transpose()?;
    let deadline_ms = fields.millis(field::DEADLINE_US)?;
    let cost_micros = fields.optional_number(field::COST_US)?.unwrap_or(0);
    let memory_mb = fields.optional_number(field::MEMORY_MB)?.unwrap_or(0.0);
    let tables: f64 = fields.optional_number(field::TABLES)?.unwrap_or(0.0);
    let flags: u32 = fields.optional_number(field::FLAGS)?.unwrap_or(0);
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

/// Parses an ordering key of hexadecimal digits.
fn parse_key(text: &str) -> Result<u64, LineError> {
    u64::from_str_radix(text, 16).map_err(|_| LineError::InvalidKey {
        text: text.to_owned(),
    })
}

fn deliver_attempt_end(
    mut fields: Fields,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), LineError> {
    let query_id = fields.number(field::QUERY_ID)?;
    let answer_delivered = fields.flag(field::ANSWER_DELIVERED)?;
    let attempt = fields.number(field::ATTEMPT)?;
    let used: u64 = fields.optional_number(field::USED)?.unwrap_or(0);
    let outcome = parse_outcome(fields.required(field::OUTCOME)?)?;
    let engine_id = fields.number(field::ENGINE_ID)?;
    let latency_ms = fields.millis(field::LATENCY_US)?;
    check_report(&mut fields)?;
    let event = AttemptEnded {
        query_id,
        attempt,
        engine_id,
        outcome,
        answer_delivered,
        latency_ms,
        used: Some(resource_usage(used)),
    };
    control.on_attempt_ended(&event, out);
    Ok(())
}

/// Unpacks an attempt's resource usage from its wire form, a single number.
fn resource_usage(used: u64) -> ResourceUsage {
    let memory_units = used & ((1 << USED_MEMORY_BITS) - 1);
    ResourceUsage {
        thread_ms: (used >> USED_MEMORY_BITS) as f64,
        memory_mb: memory_units as f64 * USED_MEMORY_UNIT_MB,
    }
}

fn deliver_note(mut fields: Fields, control: &mut Control) -> Result<(), LineError> {
    let query_id = fields.number(field::QUERY_ID)?;
    let amount = fields.number(field::AMOUNT)?;
    let kind = parse_note_kind(fields.number(field::NOTE_KIND)?)?;
    let attempt = fields.number(field::ATTEMPT)?;
    fields.number::<u64>(field::ENGINE_ID)?;
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
    let outcome = parse_outcome(fields.required(field::OUTCOME)?)?;
    let engine_id = fields.number(field::ENGINE_ID)?;
    fields.number::<u64>(field::LATENCY_US)?;
    check_report(&mut fields)?;
    control.on_health_check_ended(&HealthCheckEnded { engine_id, outcome });
    Ok(())
}

fn deliver_peer_message(mut fields: Fields, control: &mut Control) -> Result<(), LineError> {
    let peer = fields.number(field::PEER)?;
    let text = fields.required(field::CONTENT)?;
    let content = match text {
        NO_VALUE => Ok(Vec::new()),
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

/// Validates an engine's load report, which is the last field. Its values are not used.
fn check_report(fields: &mut Fields) -> Result<(), LineError> {
    let report = fields.optional(field::REPORT)?.unwrap_or("");
    for pair in report.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            let text = pair.to_owned();
            return Err(LineError::ReportWithoutName { text });
        };
        parse_number::<f64>(value, name)?;
    }
    fields.finish()
}

//! Runs batches: passes the events of each dispatcher to its admission controller as one round.

use crate::batch::{read_clock, read_events, EndpointLists, Event};
use crate::decode;
use crate::error::{InputError, LineError};
use crate::fields::Fields;
use crate::reply::Reply;
use crate::vocabulary::{field, line, EventKind};
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tansymux::control::{Control, EventSource};
use tansymux::events::DecisionSink;
use tansymux::settings;

/// Number of fields of a dispatcher's start event: dispatcher, seed and settings.
const START_FIELDS: usize = 3;

/// All dispatchers that the simulator started, and the endpoint lists that it sent.
#[derive(Default)]
pub struct Host {
    dispatchers: BTreeMap<u64, Control>,
    endpoint_lists: EndpointLists,
}

impl Host {
    /// Processes one batch (all lines except `end`), and writes the actions and the closing line to `output`.
    ///
    /// # Errors
    /// The first invalid line. The contents of `output` are incomplete then.
    pub fn process_batch(&mut self, batch: &[u8], output: &mut Vec<u8>) -> Result<(), InputError> {
        let text = std::str::from_utf8(batch).map_err(|_| LineError::NotUtf8.at(0))?;
        let mut lines = text.lines().enumerate();
        let now_ms = read_clock(lines.next())?;
        let events = read_events(lines, &mut self.endpoint_lists)?;
        for &dispatcher in &events.order {
            let mut reply = Reply { output, dispatcher };
            self.run_dispatcher(now_ms, events.of(dispatcher), &mut reply)?;
        }
        output.extend_from_slice(line::FINISHED.as_bytes());
        output.push(b'\n');
        Ok(())
    }

    /// Runs the events of one dispatcher in a batch. Events before its last stop or start are dropped, because they
    /// belong to an earlier incarnation.
    fn run_dispatcher(
        &mut self,
        now_ms: f64,
        events: &[Event],
        reply: &mut Reply,
    ) -> Result<(), InputError> {
        let dispatcher = reply.dispatcher;
        let mut events = events;
        if let Some(stop) = last_index(events, EventKind::Stop) {
            self.dispatchers.remove(&dispatcher);
            events = &events[stop + 1..];
        }
        if let Some(start) = last_index(events, EventKind::Start) {
            let control = start_dispatcher(events[start].fields);
            let control = control.map_err(|error| error.at(events[start].line))?;
            self.dispatchers.insert(dispatcher, control);
            events = &events[start + 1..];
        }
        let Some(first) = events.first() else {
            return Ok(());
        };
        let Some(control) = self.dispatchers.get_mut(&dispatcher) else {
            return Err(LineError::DispatcherNotStarted { dispatcher }.at(first.line));
        };
        run_round(control, now_ms, events, reply)
    }
}

/// Index of the last event of a kind.
fn last_index(events: &[Event], kind: EventKind) -> Option<usize> {
    events.iter().rposition(|event| event.kind == kind)
}

fn start_dispatcher(fields: &str) -> Result<Control, LineError> {
    let mut fields = Fields::new(fields, START_FIELDS);
    fields.required(field::DISPATCHER)?;
    let seed = fields.number(field::SEED)?;
    let settings = settings::parse_pairs(fields.required(field::SETTINGS)?)?;
    Ok(Control::new(seed, &settings)?)
}

/// Runs a round. A panic of the admission controller is reported in the reply, and ends only this round.
fn run_round(
    control: &mut Control,
    now_ms: f64,
    events: &[Event],
    reply: &mut Reply,
) -> Result<(), InputError> {
    let mut round = Round {
        events,
        error: None,
    };
    let run = AssertUnwindSafe(|| control.run_round(now_ms, &mut round, reply));
    if catch_unwind(run).is_err() {
        let dispatcher = reply.dispatcher;
        // Writing to a Vec cannot fail.
        let _ = writeln!(
            reply.output,
            "{} {dispatcher} the decisions panicked, see standard error",
            line::FAULT
        );
    }
    round.error.map_or(Ok(()), Err)
}

/// The events of a dispatcher in a batch, and the error of the first invalid event. Events after the invalid one are
/// not delivered.
struct Round<'a> {
    events: &'a [Event<'a>],
    error: Option<InputError>,
}

impl EventSource for Round<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        for event in self.events {
            if let Err(error) = decode::deliver(event, control, out) {
                self.error = Some(error.at(event.line));
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;

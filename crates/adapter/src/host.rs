//! Plays batches: gives each instance's events to its own decisions as one round.

use crate::batch::{read_clock, read_events, Censuses, Event};
use crate::decode;
use crate::error::{InputError, LineError};
use crate::fields::Fields;
use crate::reply::Reply;
use crate::vocabulary::EventKind;
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tansymux::control::{Control, EventSource};
use tansymux::events::DecisionSink;
use tansymux::settings;

/// All dispatchers that the simulator started, and the censuses that they were given.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Control>,
    censuses: Censuses,
}

impl Host {
    /// Answers one batch (all lines but `end`) with the actions and the closing line.
    ///
    /// # Errors
    /// The first line that cannot be used. What `to` holds by then is of no use.
    pub fn answer(&mut self, batch: &[u8], to: &mut Vec<u8>) -> Result<(), InputError> {
        let text = std::str::from_utf8(batch).map_err(|_| LineError::NotUtf8.at(0))?;
        let mut lines = text.lines().enumerate();
        let now_ms = read_clock(lines.next())?;
        let events = read_events(lines, &mut self.censuses)?;
        for &dispatcher in &events.order {
            let mut reply = Reply { to, dispatcher };
            self.play(now_ms, events.of(dispatcher), &mut reply)?;
        }
        to.extend_from_slice(b"finished\n");
        Ok(())
    }

    /// Plays one instance's events of a batch. What lies before its last stop concerns the stopped one only.
    fn play(&mut self, now_ms: f64, events: &[Event], reply: &mut Reply) -> Result<(), InputError> {
        let dispatcher = reply.dispatcher;
        let mut events = events;
        if let Some(stop) = last(events, EventKind::PowerOff) {
            self.instances.remove(&dispatcher);
            events = &events[stop + 1..];
        }
        if let Some(start) = last(events, EventKind::Enlist) {
            let control = start_instance(events[start].fields);
            let control = control.map_err(|error| error.at(events[start].line))?;
            self.instances.insert(dispatcher, control);
            events = &events[start + 1..];
        }
        let Some(first) = events.first() else {
            return Ok(());
        };
        let Some(control) = self.instances.get_mut(&dispatcher) else {
            return Err(LineError::NotEnlisted { dispatcher }.at(first.line));
        };
        run_round(control, now_ms, events, reply)
    }
}

fn last(events: &[Event], kind: EventKind) -> Option<usize> {
    events.iter().rposition(|event| event.kind == kind)
}

fn start_instance(fields: &str) -> Result<Control, LineError> {
    let mut fields = Fields::new(fields, 3);
    fields.required("dispatcher")?;
    let seed = fields.number("nonce64")?;
    let settings = settings::parse_pairs(fields.required("profile-data")?)?;
    Ok(Control::new(seed, &settings)?)
}

/// Runs a round; a panic of the decisions is reported as a fault and ends the round only.
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
            reply.to,
            "fault {dispatcher} the decisions panicked, see standard error"
        );
    }
    round.error.map_or(Ok(()), Err)
}

/// An instance's events of a batch, and the first that could not be used: none after it is delivered.
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

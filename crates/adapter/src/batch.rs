//! The lines of a batch: endpoint lists ("censuses"), which events refer to by slot, and events, by instance.

use crate::error::{InputError, LineError};
use crate::fields::{parse_number, to_millis, Fields};
use crate::vocabulary::EventKind;
use std::collections::BTreeMap;
use std::iter::Enumerate;
use std::rc::Rc;
use std::str::Lines;

/// Slots for censuses, by the wire.
const CENSUS_SLOTS: usize = 16;

/// The form of an update that brings no list.
const FAILED_LIST: &str = "X";

/// The lines of a batch with their numbers, counted from 0.
pub type BatchLines<'a> = Enumerate<Lines<'a>>;

/// One census: its entry lines as they came, and the line of the batch that the first one is on.
pub struct Census {
    /// The entries, each ended by a line feed.
    pub text: String,
    /// Line of the first entry, counted from 0.
    pub first_line: usize,
}

/// The censuses by slot. They stay from batch to batch.
#[derive(Default)]
pub struct Censuses([Option<Rc<Census>>; CENSUS_SLOTS]);

/// One event of an instance, its fields not yet read.
pub struct Event<'a> {
    /// Its line of the batch, counted from 0.
    pub line: usize,
    /// What it is about.
    pub kind: EventKind,
    /// The fields after the first word.
    pub fields: &'a str,
    /// The census that it refers to.
    pub census: Option<Rc<Census>>,
}

/// The events of a batch by instance, each instance's in order; and the instances in the order of their first event.
#[derive(Default)]
pub struct Events<'a> {
    by_dispatcher: BTreeMap<u64, Vec<Event<'a>>>,
    /// Instances in the order of their first event.
    pub order: Vec<u64>,
}

impl<'a> Events<'a> {
    /// The events of an instance, in order.
    pub fn of(&self, dispatcher: u64) -> &[Event<'a>] {
        self.by_dispatcher
            .get(&dispatcher)
            .map_or(&[], Vec::as_slice)
    }

    fn push(&mut self, dispatcher: u64, event: Event<'a>) {
        let events = self.by_dispatcher.entry(dispatcher).or_default();
        if events.is_empty() {
            self.order.push(dispatcher);
        }
        events.push(event);
    }
}

/// Reads a batch's first line: its clock (ms).
pub fn read_clock(first: Option<(usize, &str)>) -> Result<f64, InputError> {
    let text = first.map_or("", |(_, text)| text);
    match split_first(text) {
        ("batch", clock) => {
            let micros = parse_number(clock, "clock").map_err(|error| error.at(0))?;
            Ok(to_millis(micros))
        }
        _ => {
            let found = text.to_owned();
            Err(LineError::BatchExpected { found }.at(0))
        }
    }
}

/// Reads the lines after the first: keeps censuses, and sorts events by instance.
pub fn read_events<'a>(
    mut lines: BatchLines<'a>,
    censuses: &mut Censuses,
) -> Result<Events<'a>, InputError> {
    let mut events = Events::default();
    while let Some((line, text)) = lines.next() {
        let (token, fields) = split_first(text);
        if token == "census" {
            let stored = censuses.store(line, fields, &mut lines);
            stored.map_err(|error| error.at(line))?;
            continue;
        }
        let event = read_event(line, token, fields, censuses);
        let (dispatcher, event) = event.map_err(|error| error.at(line))?;
        events.push(dispatcher, event);
    }
    Ok(events)
}

/// Reads which instance an event concerns, and which census it refers to.
fn read_event<'a>(
    line: usize,
    token: &str,
    fields: &'a str,
    censuses: &Censuses,
) -> Result<(u64, Event<'a>), LineError> {
    let kind = EventKind::parse(token)?;
    let dispatcher = parse_number(split_first(fields).0, "dispatcher")?;
    let mut census = None;
    if kind == EventKind::Update {
        let mut fields = Fields::new(fields, 4);
        fields.required("dispatcher")?;
        let form = fields.required("form")?;
        fields.required("rev")?;
        if form != FAILED_LIST {
            census = Some(censuses.find(fields.number("slot")?)?);
        }
    }
    let event = Event {
        line,
        kind,
        fields,
        census,
    };
    Ok((dispatcher, event))
}

/// A line's first word, and what follows it.
fn split_first(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

impl Censuses {
    /// Reads a census and its entries, and keeps it in its slot.
    fn store(
        &mut self,
        line: usize,
        fields: &str,
        lines: &mut BatchLines,
    ) -> Result<(), LineError> {
        let mut fields = Fields::new(fields, 2);
        let slot: usize = fields.number("slot")?;
        let entries: usize = fields.number("entries")?;
        fields.finish()?;
        if slot >= CENSUS_SLOTS {
            let max = CENSUS_SLOTS - 1;
            return Err(LineError::CensusSlotTooHigh { slot, max });
        }
        let mut text = String::new();
        for _ in 0..entries {
            match lines.next() {
                Some((_, entry)) if entry.starts_with("m ") => {
                    text.push_str(entry);
                    text.push('\n');
                }
                _ => return Err(LineError::CensusTooShort { entries }),
            }
        }
        let first_line = line + 1;
        self.0[slot] = Some(Rc::new(Census { text, first_line }));
        Ok(())
    }

    /// The census in a slot.
    fn find(&self, slot: usize) -> Result<Rc<Census>, LineError> {
        let census = self.0.get(slot).and_then(Clone::clone);
        census.ok_or(LineError::NoCensus { slot })
    }
}

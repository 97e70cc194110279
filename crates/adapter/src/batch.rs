//! Reads the lines of a batch: stores endpoint lists by slot, and groups events by dispatcher.

use crate::error::{InputError, LineError};
use crate::fields::{parse_number, to_millis, Fields};
use crate::vocabulary::{field, line, EventKind, FAILED_LIST};
use std::collections::BTreeMap;
use std::iter::Enumerate;
use std::rc::Rc;
use std::str::Lines;

/// Number of slots for endpoint lists that the protocol defines.
const LIST_SLOTS: usize = 16;
/// Number of fields of an update: dispatcher, kind, revision and slot.
const MAX_UPDATE_FIELDS: usize = 4;
/// Number of fields of the first line of an endpoint list: slot and number of entries.
const MAX_LIST_FIELDS: usize = 2;

/// The lines of a batch with their numbers, counted from 0.
pub type BatchLines<'a> = Enumerate<Lines<'a>>;

/// An endpoint list, whose entries are not yet parsed.
pub struct EndpointList {
    /// The lines of the entries, each ended by a line feed.
    pub text: String,
    /// Line of the first entry in the batch, counted from 0.
    pub first_line: usize,
}

/// The endpoint lists by slot. They persist across batches.
#[derive(Default)]
pub struct EndpointLists([Option<Rc<EndpointList>>; LIST_SLOTS]);

/// An event for a dispatcher, whose fields are not yet parsed.
pub struct Event<'a> {
    /// The event's line in the batch, counted from 0.
    pub line: usize,
    /// The kind of the event.
    pub kind: EventKind,
    /// The fields after the first word.
    pub fields: &'a str,
    /// The endpoint list that the event refers to.
    pub endpoint_list: Option<Rc<EndpointList>>,
}

/// The events of a batch, grouped by dispatcher and in order within each group.
#[derive(Default)]
pub struct Events<'a> {
    by_dispatcher: BTreeMap<u64, Vec<Event<'a>>>,
    /// The dispatchers in the order of their first event.
    pub order: Vec<u64>,
}

impl<'a> Events<'a> {
    /// The events of a dispatcher, in order.
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

/// Reads the first line of a batch, and returns the time of the batch (ms).
pub fn read_clock(first: Option<(usize, &str)>) -> Result<f64, InputError> {
    let text = first.map_or("", |(_, text)| text);
    match split_first(text) {
        (line::BATCH, clock) => {
            let micros = parse_number(clock, field::CLOCK).map_err(|error| error.at(0))?;
            Ok(to_millis(micros))
        }
        _ => {
            let found = text.to_owned();
            Err(LineError::BatchExpected { found }.at(0))
        }
    }
}

/// Reads the lines after the first: stores endpoint lists, and groups events by dispatcher.
pub fn read_events<'a>(
    mut lines: BatchLines<'a>,
    endpoint_lists: &mut EndpointLists,
) -> Result<Events<'a>, InputError> {
    let mut events = Events::default();
    while let Some((number, text)) = lines.next() {
        let (token, fields) = split_first(text);
        if token == line::ENDPOINT_LIST {
            let stored = endpoint_lists.store(number, fields, &mut lines);
            stored.map_err(|error| error.at(number))?;
            continue;
        }
        let event = read_event(number, token, fields, endpoint_lists);
        let (dispatcher, event) = event.map_err(|error| error.at(number))?;
        events.push(dispatcher, event);
    }
    Ok(events)
}

/// Reads the dispatcher of an event, and looks up the endpoint list that the event refers to.
fn read_event<'a>(
    line: usize,
    token: &str,
    fields: &'a str,
    endpoint_lists: &EndpointLists,
) -> Result<(u64, Event<'a>), LineError> {
    let kind = EventKind::parse(token)?;
    let dispatcher = parse_number(split_first(fields).0, field::DISPATCHER)?;
    let mut endpoint_list = None;
    if kind == EventKind::EndpointUpdate {
        let mut fields = Fields::new(fields, MAX_UPDATE_FIELDS);
        fields.required(field::DISPATCHER)?;
        let list_kind = fields.required(field::LIST_KIND)?;
        fields.required(field::REVISION)?;
        if list_kind != FAILED_LIST {
            endpoint_list = Some(endpoint_lists.find(fields.number(field::SLOT)?)?);
        }
    }
    let event = Event {
        line,
        kind,
        fields,
        endpoint_list,
    };
    Ok((dispatcher, event))
}

/// Splits a line into its first word and the rest.
fn split_first(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

impl EndpointLists {
    /// Reads the entries of an endpoint list, and stores the list in its slot.
    fn store(
        &mut self,
        line: usize,
        fields: &str,
        lines: &mut BatchLines,
    ) -> Result<(), LineError> {
        let mut fields = Fields::new(fields, MAX_LIST_FIELDS);
        let slot: usize = fields.number(field::SLOT)?;
        let entries: usize = fields.number(field::ENTRIES)?;
        fields.finish()?;
        if slot >= LIST_SLOTS {
            let max = LIST_SLOTS - 1;
            return Err(LineError::ListSlotTooHigh { slot, max });
        }
        let mut text = String::new();
        for _ in 0..entries {
            match lines.next() {
                Some((_, entry)) if is_list_entry(entry) => {
                    text.push_str(entry);
                    text.push('\n');
                }
                _ => return Err(LineError::ListTooShort { entries }),
            }
        }
        let first_line = line + 1;
        self.0[slot] = Some(Rc::new(EndpointList { text, first_line }));
        Ok(())
    }

    /// The endpoint list in a slot.
    fn find(&self, slot: usize) -> Result<Rc<EndpointList>, LineError> {
        let list = self.0.get(slot).and_then(Clone::clone);
        list.ok_or(LineError::EmptyListSlot { slot })
    }
}

/// Whether a line is an entry of an endpoint list.
fn is_list_entry(text: &str) -> bool {
    text.strip_prefix(line::ENDPOINT)
        .is_some_and(|rest| rest.starts_with(' '))
}

//! Converts the records of an answer into entries of the endpoint list. Pure functions.

use super::protocol::{endpoint_state, EngineAttribute};
use crate::dns::{Answer, Srv};
use crate::query_registry::EndpointEntry;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use tansymux::events::EndpointState;

/// The first two labels of a host name, which identify an engine.
pub struct HostName<'a> {
    /// The id of the engine.
    pub id: &'a str,
    /// The name of its zone.
    pub zone: &'a str,
}

impl<'a> HostName<'a> {
    /// Parses a host name. Returns `None` if it has fewer than two labels.
    pub fn parse(name: &'a str) -> Option<Self> {
        let mut labels = name.split('.');
        let id = labels.next()?;
        let zone = labels.next()?;
        Some(HostName { id, zone })
    }
}

/// Returns the endpoint list entry of an SRV record. `started_ms` is Unix time, as announced. An address or kind that
/// is missing from the answer is copied from `known`, the engine's current entry; a missing cell becomes 0.
pub fn entry_of(
    answer: &Answer,
    srv: &Srv,
    engine_id: u64,
    zone: &str,
    known: Option<&EndpointEntry>,
) -> EndpointEntry {
    let mut addresses = answer.addresses.iter();
    let address = addresses.find(|address| address.name == srv.target);
    let mut texts = answer.texts.iter();
    let text = texts.find(|text| text.name == srv.target);
    let attributes = text.map_or([].as_slice(), |text| text.strings.as_slice());
    let kind = EngineAttribute::Kind
        .find(attributes)
        .or(known.map(|entry| entry.kind.as_str()));
    let cell = EngineAttribute::Cell
        .find(attributes)
        .and_then(|cell| cell.parse().ok());
    let started = EngineAttribute::Started
        .find(attributes)
        .and_then(|ms| ms.parse().ok());
    let address = address.map(|address| SocketAddr::from((address.ip, srv.port)));
    EndpointEntry {
        engine_id,
        address: address.or(known.and_then(|entry| entry.address)),
        kind: kind.unwrap_or("").to_owned(),
        zone: zone.to_owned(),
        cell: cell.unwrap_or(0),
        state: endpoint_state(srv.priority),
        started_ms: started.filter(|ms| *ms > 0.0),
    }
}

/// Merges several entries of an engine into the first, which becomes draining if any of the entries is.
pub fn merge_duplicates(entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let mut merged: Vec<EndpointEntry> = Vec::new();
    let mut seen_ids = FxHashSet::default();
    for entry in entries {
        if seen_ids.insert(entry.engine_id) {
            merged.push(entry);
        } else if entry.state == EndpointState::Draining {
            let mut merged = merged.iter_mut();
            if let Some(first) = merged.find(|first| first.engine_id == entry.engine_id) {
                first.state = EndpointState::Draining;
            }
        }
    }
    merged
}

/// Drops entries whose address belongs to a more recently started engine: the older engine no longer exists, and its
/// attempts would reach the newer one.
pub fn drop_superseded(entries: &mut Vec<EndpointEntry>) {
    let mut newest_start: FxHashMap<SocketAddr, f64> = FxHashMap::default();
    for entry in entries.iter() {
        if let Some(address) = entry.address {
            let newest = newest_start.entry(address).or_insert(0.0);
            *newest = newest.max(start_of(entry));
        }
    }
    entries.retain(|entry| {
        let newest = entry.address.and_then(|address| newest_start.get(&address));
        newest.is_none_or(|newest| start_of(entry) >= *newest)
    });
}

/// Returns the start time of the engine (ms), 0 if unknown.
pub fn start_of(entry: &EndpointEntry) -> f64 {
    entry.started_ms.unwrap_or(0.0)
}

/// Returns a hash of the answer's records, independent of their order.
pub fn fingerprint(answer: &Answer) -> u64 {
    let mut sum = 0_u64;
    for srv in &answer.srv {
        sum = sum.wrapping_add(hash_of(&(srv.priority, srv.port, &srv.target)));
    }
    for address in &answer.addresses {
        sum = sum.wrapping_add(hash_of(address));
    }
    for text in &answer.texts {
        sum = sum.wrapping_add(hash_of(text));
    }
    sum
}

fn hash_of(record: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    record.hash(&mut hasher);
    hasher.finish()
}

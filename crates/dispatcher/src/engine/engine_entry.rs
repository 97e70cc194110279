//! One engine of the endpoint list, and the choice among the connections to it.

use super::channel::{Channel, EngineProcess};
use super::channel_request::ChannelRequest;
use super::connection::{ConnectionState, IdleReuse, Suitability};
use crate::guard::EndpointFacts;
use crate::query_registry::EndpointEntry;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::EndpointState;

/// A reuse after idling that was abandoned before any frame arrived on its connection. The connection counts as lost if
/// the engine soon sends a frame on another one.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectedReuse {
    pub reuse: IdleReuse,
    /// When it was abandoned (ms).
    pub since_ms: f64,
}

/// Whether an update of the endpoint list concerns the process that the connections lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessChange {
    /// The same process is listed.
    Unchanged,
    /// The process has left the list, moved or restarted.
    Replaced,
}

/// An engine of the endpoint list and the connections to it.
pub(super) struct Engine {
    engine_id: u64,
    address: Option<SocketAddr>,
    zone: String,
    kind: String,
    state: EndpointState,
    /// Start time of its process (ms), if the endpoint list has it.
    started_ms: Option<f64>,
    /// Whether the engine has left the endpoint list.
    is_gone: bool,
    /// Consecutive connects that timed out.
    late_connects: u32,
    /// When the last frame from the engine arrived (ms).
    last_frame_ms: f64,
    suspected_reuse: Option<SuspectedReuse>,
    channels: Vec<Rc<Channel>>,
}

impl Engine {
    /// An engine without connections.
    pub fn new(entry: &EndpointEntry) -> Self {
        Engine {
            engine_id: entry.engine_id,
            address: entry.address,
            zone: entry.zone.clone(),
            kind: entry.kind.clone(),
            state: entry.state,
            started_ms: entry.started_ms,
            is_gone: false,
            late_connects: 0,
            last_frame_ms: f64::NEG_INFINITY,
            suspected_reuse: None,
            channels: Vec::new(),
        }
    }

    // ---- Endpoint list ----

    /// Applies an entry of the endpoint list.
    pub fn update(&mut self, entry: &EndpointEntry) -> ProcessChange {
        self.is_gone = entry.state == EndpointState::Gone;
        self.zone.clone_from(&entry.zone);
        self.kind.clone_from(&entry.kind);
        self.state = entry.state;
        let moved = entry.address.is_some() && entry.address != self.address;
        let restarted = entry.started_ms.is_some() && entry.started_ms != self.started_ms;
        if !(self.is_gone || moved || restarted) {
            return ProcessChange::Unchanged;
        }
        self.address = entry.address.or(self.address);
        self.started_ms = entry.started_ms;
        ProcessChange::Replaced
    }

    /// The engine's number.
    pub fn engine_id(&self) -> u64 {
        self.engine_id
    }

    /// Where the engine listens, if the endpoint list has it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// The name of the engine's zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Whether the engine is listed as taking queries.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// The process that is listed now.
    pub fn process(&self) -> EngineProcess {
        EngineProcess {
            address: self.address,
            started_ms: self.started_ms,
        }
    }

    /// The engine's entry in the endpoint list, compared with the process that a connection leads to.
    pub fn facts(&self, channel: &Channel) -> EndpointFacts<'_> {
        EndpointFacts {
            state: self.state,
            zone: &self.zone,
            kind: &self.kind,
            is_same_process: channel.process == self.process(),
        }
    }

    // ---- Connections ----

    /// The connections to the engine.
    pub fn channels(&self) -> &[Rc<Channel>] {
        &self.channels
    }

    /// Adds a connection.
    pub fn add_channel(&mut self, channel: Rc<Channel>) {
        self.channels.push(channel);
    }

    /// Removes a closed connection.
    pub fn remove_channel(&mut self, channel: &Rc<Channel>) {
        self.channels.retain(|other| !Rc::ptr_eq(other, channel));
    }

    /// Whether the engine has left the endpoint list and its last connection has closed.
    pub fn is_removable(&self) -> bool {
        self.is_gone && self.channels.is_empty()
    }

    /// Whether a connect is under way, within its timeout.
    pub fn is_connecting(&self) -> bool {
        let mut channels = self.channels.iter();
        channels.any(|channel| channel.connection.borrow().state() == ConnectionState::Connecting)
    }

    /// Whether any connection was reused after idling and has been silent since.
    pub fn has_reuse_in_silence(&self) -> bool {
        let mut channels = self.channels.iter();
        channels.any(|channel| channel.connection.borrow().is_reused_in_silence())
    }

    /// The most suitable of the connections that accept an attempt with this id and have carried no other attempt of its
    /// query.
    pub fn best_channel(
        &self,
        request: &ChannelRequest,
        now_ms: f64,
        trusted_idle_ms: f64,
        max_streams: usize,
    ) -> Option<Candidate> {
        let candidate_of = |channel: &Rc<Channel>| {
            let connection = channel.connection.borrow();
            let is_used = request.used_connections.contains(&channel.id);
            if is_used || !connection.accepts(request.id, max_streams) {
                return None;
            }
            Some(Candidate {
                channel: channel.clone(),
                suitability: connection.suitability(now_ms, trusted_idle_ms),
                in_flight: connection.in_flight(),
                is_connecting: !connection.is_up(),
                last_used_ms: connection.last_used_ms(),
            })
        };
        let candidates = self.channels.iter().filter_map(candidate_of);
        candidates.min_by(Candidate::compare)
    }

    /// Whether another connection than `channel` is unused and either up or within its connect timeout.
    pub fn has_spare_beside(&self, channel: &Rc<Channel>) -> bool {
        self.channels.iter().any(|other| {
            let connection = other.connection.borrow();
            !Rc::ptr_eq(other, channel)
                && connection.is_unused()
                && connection.state() != ConnectionState::Late
        })
    }

    // ---- Health ----

    /// Consecutive connects that timed out.
    pub fn late_connects(&self) -> u32 {
        self.late_connects
    }

    /// Counts a connect that timed out.
    pub fn record_late_connect(&mut self) {
        self.late_connects += 1;
    }

    /// A connection came up.
    pub fn on_connected(&mut self) {
        self.late_connects = 0;
    }

    /// A frame arrived. Returns the reuse that was suspected until now.
    pub fn on_frame(&mut self, now_ms: f64) -> Option<SuspectedReuse> {
        self.last_frame_ms = now_ms;
        self.suspected_reuse.take()
    }

    /// Whether a frame arrived after `since_ms`, on any connection.
    pub fn has_frame_since(&self, since_ms: f64) -> bool {
        self.last_frame_ms > since_ms
    }

    /// Suspects a reuse that was given up without any frame.
    pub fn suspect(&mut self, suspected: SuspectedReuse) {
        self.suspected_reuse = Some(suspected);
    }
}

/// A connection that accepts an attempt, with the properties by which it is ranked.
pub(super) struct Candidate {
    pub channel: Rc<Channel>,
    pub suitability: Suitability,
    in_flight: usize,
    is_connecting: bool,
    last_used_ms: f64,
}

impl Candidate {
    /// Orders by suitability, then fewest in flight, then up before connecting, then most recently used: surplus
    /// connections idle and can be closed.
    fn compare(&self, other: &Candidate) -> Ordering {
        self.suitability
            .cmp(&other.suitability)
            .then(self.in_flight.cmp(&other.in_flight))
            .then(self.is_connecting.cmp(&other.is_connecting))
            .then(other.last_used_ms.total_cmp(&self.last_used_ms))
    }
}

#[cfg(test)]
mod tests;

//! One engine of the endpoint list, with its connections and the selection among them.

use super::channel::{Channel, EngineProcess};
use super::channel_request::ChannelRequest;
use super::connection::{ConnectionState, IdleReuse, Suitability};
use crate::guard::EndpointFacts;
use crate::query_registry::EndpointEntry;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::EndpointState;

/// The reuse of an idle connection whose attempt was abandoned before any frame arrived. The connection counts as
/// lost if the engine sends a frame on another connection within `SUSPICION_WINDOW_MS` (see [`super::silence`]).
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectedReuse {
    pub reuse: IdleReuse,
    /// When the attempt was abandoned (ms).
    pub abandoned_ms: f64,
}

/// The effect of an endpoint list update on the engine's process.
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
    /// Start time of the engine's process (ms), if the endpoint list contains it.
    started_ms: Option<f64>,
    /// Whether the engine has left the endpoint list.
    is_gone: bool,
    /// Number of consecutive connects that timed out.
    consecutive_connect_timeouts: u32,
    /// When the last frame from the engine arrived (ms); minus infinity if none has.
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
            consecutive_connect_timeouts: 0,
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

    /// Number of the engine.
    pub fn engine_id(&self) -> u64 {
        self.engine_id
    }

    /// Address on which the engine listens, if the endpoint list contains it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Name of the engine's zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Whether the endpoint list states that the engine is ready for queries.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// The engine's process, as currently listed.
    pub fn process(&self) -> EngineProcess {
        EngineProcess {
            address: self.address,
            started_ms: self.started_ms,
        }
    }

    /// The engine's entry in the endpoint list, and whether `channel` leads to the process listed there.
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

    /// Whether a connect is in progress, within its timeout.
    pub fn is_connecting(&self) -> bool {
        let mut channels = self.channels.iter();
        channels.any(|channel| channel.connection.borrow().state() == ConnectionState::Connecting)
    }

    /// Whether any connection has been silent since its reuse after idling and has an attempt or health check in
    /// flight.
    pub fn has_silent_reuse(&self) -> bool {
        let mut channels = self.channels.iter();
        channels.any(|channel| channel.connection.borrow().is_silent_since_reuse())
    }

    /// The most suitable connection that accepts the request and has carried no earlier attempt of its query; `None` if
    /// there is none.
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

    /// Whether a connection other than `channel` is unused, and either up or within its connect timeout.
    pub fn has_spare_other_than(&self, channel: &Rc<Channel>) -> bool {
        self.channels.iter().any(|other| {
            let connection = other.connection.borrow();
            !Rc::ptr_eq(other, channel)
                && connection.is_unused()
                && connection.state() != ConnectionState::ConnectTimedOut
        })
    }

    // ---- Health ----

    /// Number of consecutive connects that timed out.
    pub fn consecutive_connect_timeouts(&self) -> u32 {
        self.consecutive_connect_timeouts
    }

    /// Counts a connect that timed out.
    pub fn record_connect_timeout(&mut self) {
        self.consecutive_connect_timeouts += 1;
    }

    /// Records that a connection came up.
    pub fn on_connected(&mut self) {
        self.consecutive_connect_timeouts = 0;
    }

    /// Records that a frame arrived. Takes and returns the suspected reuse.
    pub fn on_frame(&mut self, now_ms: f64) -> Option<SuspectedReuse> {
        self.last_frame_ms = now_ms;
        self.suspected_reuse.take()
    }

    /// Whether a frame has arrived on any connection after `since_ms`.
    pub fn has_frame_since(&self, since_ms: f64) -> bool {
        self.last_frame_ms > since_ms
    }

    /// Records a reuse whose connection may be lost.
    pub fn set_suspected_reuse(&mut self, suspected: SuspectedReuse) {
        self.suspected_reuse = Some(suspected);
    }
}

/// A connection that accepts a request, with the properties by which connections are ranked.
pub(super) struct Candidate {
    pub channel: Rc<Channel>,
    pub suitability: Suitability,
    in_flight: usize,
    is_connecting: bool,
    last_used_ms: f64,
}

impl Candidate {
    /// Compares by suitability, then by the number in flight, then up before connecting, then most recently used first.
    /// The last criterion lets surplus connections idle, so that they can be closed.
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

//! Client side: accepts connections, parses queries from them, and writes their answers.
//!
//! This module owns the client connections and their read buffers. It only checks whether a request is valid; the query
//! is admitted to the [`QueryRegistry`], which returns its answer. Start reading at [`ClientFrontend::accept`]
//! (listener.rs), then `Session::run` (session.rs). docs/design/life-cycle.md has the states of a connection, and the
//! events in each. [`protocol`] defines the names of the client protocol.

mod admission_limits;
mod answer_writer;
mod connection_table;
mod http;
mod inbound;
mod listener;
mod phase;
mod protocol;
mod read_memory;
mod reader;
mod receive_half;
mod request;
mod request_error;
mod route;
mod session;
mod status_pages;

pub use admission_limits::AdmissionLimits;

use crate::clock::Clock;
use crate::notify::Notify;
use crate::query_registry::QueryRegistry;
use crate::subsystems::service_levels::ServiceLevels;
use crate::subsystems::statement_classifier::StatementClassifier;
use crate::subsystems::zone_routing::ZoneRouting;
use connection_table::ConnectionTable;
use phase::FrontendPhase;
use reader::Reader;
use status_pages::StatusPages;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The client side: the listener's phase, the connections and the status pages.
pub struct ClientFrontend {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    limits: AdmissionLimits,
    pages: StatusPages,
    table: ConnectionTable,
    reader: Reader,
    phase: Cell<FrontendPhase>,
    /// Wakes the listener when [`FrontendPhase::Closing`] is entered.
    closing_started: Notify,
}

impl ClientFrontend {
    /// A client side that does not listen yet.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        limits: AdmissionLimits,
        classifier: Rc<StatementClassifier>,
        levels: Rc<ServiceLevels>,
        zones: Rc<ZoneRouting>,
    ) -> Self {
        let pages = StatusPages {
            registry: registry.clone(),
            clock,
            classifier,
            levels,
            zones,
            spilled_threads: RefCell::default(),
        };
        ClientFrontend {
            registry,
            clock,
            table: ConnectionTable::new(limits.max_connections),
            reader: Reader::new(&limits),
            limits,
            pages,
            phase: Cell::default(),
            closing_started: Notify::default(),
        }
    }

    /// Reports this dispatcher as healthy on the health page from now on.
    pub fn start_serving(&self) {
        self.phase.set(FrontendPhase::Serving);
    }

    /// Reports this dispatcher as draining on the health page from now on. Requests are still served.
    pub fn start_draining(&self) {
        self.phase.set(FrontendPhase::Draining);
    }

    /// Stops accepting connections after those in the backlog, and half-closes idle connections.
    pub fn start_closing(&self) {
        self.phase.set(FrontendPhase::Closing);
        self.closing_started.notify();
        self.table.close_idle();
    }

    /// Whether no connection is open, and none will be accepted.
    pub fn is_closed(&self) -> bool {
        self.phase.get() == FrontendPhase::ListenerClosed && self.table.count() == 0
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.table.count()
    }

    /// Zone names, and the number of low-lane threads that spilled into each, for the zones page. The caller keeps them
    /// up to date.
    pub fn spilled_threads(&self) -> &RefCell<Vec<(String, f64)>> {
        &self.pages.spilled_threads
    }
}

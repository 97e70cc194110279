//! The subsystems: statement classification, service levels, zone routing and the fleet. Each subsystem converts the
//! dispatcher's events into the input of its package, and passes the result to the admission controller ([`Control`])
//! or to peers. No subsystem places or rejects a query.
//!
//! # Interface
//! A subsystem is off until the operators' file defines it. The subsystems share these methods; each omits the methods
//! that do not apply to it:
//!
//! | method | called | returns |
//! | --- | --- | --- |
//! | `new(settings, ..)` | once, at the start | the subsystem, turned off |
//! | `reconfigure(definition, now_ms, ..)` | at the start, and at SIGHUP if the file is valid | |
//! | `on_endpoints(entries, now_ms)` | at each endpoint list update, with the changed entries | |
//! | `on_attempt_ended(event, now_ms)` | when an attempt completes, fails or is cancelled | |
//! | `on_peer_message(message, now_ms)` | at each peer message | whether the message is for this subsystem |
//! | `tick(now_ms, ..)` | in each round; acts at a fixed interval | messages and endpoint changes that are due |
//! | `write_counters(text)` | for `/_counters` and at the program's end | appends its counters; none while off |
//! | `to_json(now_ms, ..)` | for the subsystem's HTTP path | its state |
//!
//! Times are in milliseconds on the program's clock. `now_ms` follows the event in the parameters; methods that do not
//! need the time omit it. [`Subsystems`] holds all four subsystems and passes each event to them in a fixed order. The
//! program has one thread, so state is in `Cell` and `RefCell`. No borrow is held during a call to another subsystem,
//! except when zone routing calls the fleet, which never calls back.

mod endpoint_list;
pub mod fleet;
pub mod service_levels;
pub mod statement_classifier;
pub mod zone_routing;

use crate::query_registry::{EndpointEntry, QueryRegistry};
use crate::statement_shape::ClassifiedAttempt;
use fleet::FleetService;
use service_levels::ServiceLevels;
use statement_classifier::StatementClassifier;
use std::rc::Rc;
use tansymux::control::Control;
use tansymux::events::{AttemptEnded, PeerMessage};
use tansymux_operator_config::Operator;
use zone_routing::ZoneRouting;

/// The four subsystems. The client side shares three of them.
pub struct Subsystems {
    /// Classification of statements and their costs.
    pub statements: Rc<StatementClassifier>,
    /// Service levels (graceful degradation).
    pub levels: Rc<ServiceLevels>,
    /// Zone health by this dispatcher's evidence, and the routing plan.
    pub zones: Rc<ZoneRouting>,
    /// Fleet membership; `None` if the operators' file defined no fleet at the start.
    pub fleet: Option<Rc<FleetService>>,
}

impl Subsystems {
    /// Applies a valid operators' file. The fleet is reconfigured separately.
    pub fn reconfigure(&self, operator: &Operator, now_ms: f64, control: &mut Control) {
        self.statements.reconfigure(operator.statements.as_ref());
        self.levels
            .reconfigure(operator.levels.as_ref(), now_ms, control);
        self.zones
            .reconfigure(operator.halls.as_ref(), now_ms, control);
    }

    /// Passes an endpoint list update to the subsystems. The fleet comes first, because it sets entries of
    /// engines that it has drained to the state `Draining`.
    pub fn on_endpoints(&self, endpoints: &mut [EndpointEntry], now_ms: f64) {
        if let Some(fleet) = &self.fleet {
            fleet.on_endpoints(endpoints);
        }
        self.statements.on_endpoints(endpoints);
        self.zones.on_endpoints(endpoints, now_ms);
    }

    /// Passes an ended attempt to the subsystems. `statement`: classification of the query's statement; `None` if it
    /// was not classified.
    pub fn on_attempt_ended(
        &self,
        event: &AttemptEnded,
        statement: Option<&ClassifiedAttempt>,
        now_ms: f64,
    ) {
        self.zones.on_attempt_ended(event, now_ms);
        if let Some(fleet) = &self.fleet {
            fleet.on_attempt_ended(event, now_ms);
        }
        if let Some(statement) = statement {
            self.statements.on_attempt_ended(event, statement, now_ms);
        }
    }

    /// Passes a peer message to the subsystems. Returns false if the message is for the admission controller instead.
    pub fn on_peer_message(&self, message: &PeerMessage, now_ms: f64) -> bool {
        self.levels.on_peer_message(message, now_ms) || self.zones.on_peer_message(message, now_ms)
    }

    /// Returns all counters as text.
    pub fn counters(&self, registry: &QueryRegistry) -> String {
        counters(registry, &self.statements, &self.levels, &self.zones)
    }
}

/// Returns all counters as text: those of the registry (with the fleet's), of statements, of service levels and of
/// zones.
pub fn counters(
    registry: &QueryRegistry,
    statements: &StatementClassifier,
    levels: &ServiceLevels,
    zones: &ZoneRouting,
) -> String {
    let mut text = registry.counters.report(registry.in_flight());
    statements.write_counters(&mut text);
    levels.write_counters(&mut text);
    zones.write_counters(&mut text);
    text
}

//! The subsystems: statement classification, service levels, zone routing and the fleet. Each converts events of the
//! program into the input of its own package, and passes the result to the decisions or to peers. None of them places
//! or rejects a query.
//!
//! # Interface
//! Every subsystem is off until the operators' file defines it. All have the same methods, except those that have no
//! meaning for a subsystem:
//!
//! | method | called | returns |
//! | --- | --- | --- |
//! | `new(settings, ..)` | once, at the start | the subsystem, off |
//! | `reconfigure(definition, now_ms, ..)` | at the start, and at SIGHUP with a valid file | |
//! | `on_endpoints(entries, now_ms)` | at each endpoint list update, with the changed entries | |
//! | `on_attempt_ended(event, now_ms)` | at the end of each attempt | |
//! | `on_peer_message(message, now_ms)` | at each message of a peer | whether the message is for this subsystem |
//! | `tick(now_ms, ..)` | in each round; the subsystem keeps its own interval | messages and endpoint changes that are due |
//! | `write_counters(text)` | for `/_counters` and at the end of the program | its lines; none while off |
//! | `to_json(now_ms, ..)` | for its HTTP path | its state |
//!
//! Times are milliseconds on the program's clock. `now_ms` follows the event in the parameters, and is left out where a
//! subsystem does not need it. [`Subsystems`] holds all four and passes each event on in a fixed order. The program has
//! one thread: state is in `Cell` and `RefCell`, and no borrow is held during a call to another subsystem. The one
//! exception is the call from zone routing to the fleet, which never calls back.

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
    /// Graceful degradation.
    pub levels: Rc<ServiceLevels>,
    /// Health of zones by this dispatcher's evidence, and the routing plan.
    pub zones: Rc<ZoneRouting>,
    /// Membership of a fleet, where the operators' file defined one at the start.
    pub fleet: Option<Rc<FleetService>>,
}

impl Subsystems {
    /// Applies a valid operators' file.
    pub fn reconfigure(&self, operator: &Operator, now_ms: f64, control: &mut Control) {
        self.statements.reconfigure(operator.statements.as_ref());
        self.levels
            .reconfigure(operator.levels.as_ref(), now_ms, control);
        self.zones
            .reconfigure(operator.halls.as_ref(), now_ms, control);
    }

    /// Passes on entries of an endpoint list. The fleet is first, since it marks the engines that it drained.
    pub fn on_endpoints(&self, endpoints: &mut [EndpointEntry], now_ms: f64) {
        if let Some(fleet) = &self.fleet {
            fleet.on_endpoints(endpoints);
        }
        self.statements.on_endpoints(endpoints);
        self.zones.on_endpoints(endpoints, now_ms);
    }

    /// Passes on the end of an attempt. `statement`: the classification of the query's statement, if it was classified.
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

    /// Whether a subsystem handled the message; otherwise it is for the decisions.
    pub fn on_peer_message(&self, message: &PeerMessage, now_ms: f64) -> bool {
        self.levels.on_peer_message(message, now_ms) || self.zones.on_peer_message(message, now_ms)
    }

    /// All counters as text.
    pub fn counters(&self, registry: &QueryRegistry) -> String {
        counters(registry, &self.statements, &self.levels, &self.zones)
    }
}

/// All counters as text: those of the registry, of statements, of levels and of zones. The fleet's are among the
/// registry's.
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

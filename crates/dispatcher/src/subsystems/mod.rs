//! What is fed beside the decisions: statement classification, service levels, zone routing and the fleet. Each turns
//! events of the program into what its own package needs, and hands the result to the decisions or to peers. None
//! places or rejects a query.
//!
//! # One form
//! Every subsystem is off until the operators' file defines it, and has the same verbs, as far as they mean something
//! for it:
//!
//! | verb | called | gives |
//! | --- | --- | --- |
//! | `new(settings, ..)` | once, at the start | the subsystem, off |
//! | `reconfigure(definition, now_ms, ..)` | at the start, and at SIGHUP with a file that was checked | |
//! | `on_endpoints(entries, now_ms)` | at each endpoint list update, with the entries that changed | |
//! | `on_attempt_ended(event, now_ms)` | at the end of each attempt | |
//! | `on_peer_message(message, now_ms)` | at each message of a peer | whether the message is this subsystem's |
//! | `tick(now_ms, ..)` | each round; it keeps its own interval | what is to be done: messages, endpoint changes |
//! | `write_counters(text)` | for `/_counters` and at the end | its lines; none while off |
//! | `to_json(now_ms, ..)` | for its path | its state |
//!
//! Times are milliseconds on the program's clock; `now_ms` comes behind what happened, and is left out where a subsystem
//! does not need it. [`Subsystems`] holds the four and passes each event to those that want
//! it, always in the same order. The program is one thread: state is in `Cell` and `RefCell`, and no borrow is held over
//! a call to another subsystem but from zone routing to the fleet, which never calls back.

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
    /// Classes and costs of statements.
    pub statements: Rc<StatementClassifier>,
    /// Graceful degradation.
    pub levels: Rc<ServiceLevels>,
    /// Health of zones as this dispatcher sees it, and the routing plan.
    pub zones: Rc<ZoneRouting>,
    /// Membership of a fleet, where the operators' file defined one at the start.
    pub fleet: Option<Rc<FleetService>>,
}

impl Subsystems {
    /// Applies an operators' file that was checked.
    pub fn reconfigure(&self, operator: &Operator, now_ms: f64, control: &mut Control) {
        self.statements.reconfigure(operator.statements.as_ref());
        self.levels
            .reconfigure(operator.levels.as_ref(), now_ms, control);
        self.zones
            .reconfigure(operator.halls.as_ref(), now_ms, control);
    }

    /// Passes entries of an endpoint list on. The fleet marks engines that it drained as draining, so it comes first.
    pub fn on_endpoints(&self, endpoints: &mut [EndpointEntry], now_ms: f64) {
        if let Some(fleet) = &self.fleet {
            fleet.on_endpoints(endpoints);
        }
        self.statements.on_endpoints(endpoints);
        self.zones.on_endpoints(endpoints, now_ms);
    }

    /// `statement`: what the query's statement was read as, where it was read.
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

    /// Whether the message was one of a subsystem's; else it is the decisions'.
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

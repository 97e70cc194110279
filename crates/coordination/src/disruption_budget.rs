//! The disruption budget: decides whether one more unit may become unavailable.
//!
//! It limits the unavailable units of the fleet, of each zone and of each version, by count and by fraction. It also
//! requires that the remaining units can carry the load, and a minimum interval between disruptions. Requests of
//! members and of operators follow the same rules.

use crate::record::{DisruptionReason, Id, UnitKind};
use tansymux_codec::wire_enum;

/// Default limit on the fraction of a fleet that may be unavailable.
const DEFAULT_MAX_FRACTION: f64 = 0.1;
/// Default limit on the utilization of the remaining capacity.
const DEFAULT_MAX_UTILIZATION: f64 = 0.9;

/// A limit on unavailable units: the smaller of a count and a fraction. If neither is set, there is no limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// Limit on the number of units.
    pub max_count: Option<u32>,
    /// Limit as a fraction of the units in its scope (fleet, zone or version), rounded down to a whole number, at least
    /// one.
    pub max_fraction: Option<f64>,
}

impl Limit {
    /// Maximum number of unavailable units among `total`; `None`: no limit.
    pub fn resolve(&self, total: usize) -> Option<usize> {
        let max_count = self.max_count.map(|count| count as usize);
        let by_fraction = self
            .max_fraction
            .map(|fraction| ((fraction * total as f64) as usize).max(1));
        match (max_count, by_fraction) {
            (Some(count), Some(by_fraction)) => Some(count.min(by_fraction)),
            (count, by_fraction) => count.or(by_fraction),
        }
    }
}

/// The limits for one kind of unit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DisruptionBudget {
    /// Limit for all units of the fleet.
    pub fleet: Limit,
    /// Limit for each zone.
    pub zone: Limit,
    /// Limit for each version.
    pub version: Limit,
    /// Minimum interval between two disruptions (ms).
    pub min_interval_ms: f64,
    /// Limit on the observed load, as a fraction of the remaining capacity.
    pub max_utilization: f64,
}

impl Default for DisruptionBudget {
    fn default() -> Self {
        DisruptionBudget {
            fleet: Limit {
                max_count: None,
                max_fraction: Some(DEFAULT_MAX_FRACTION),
            },
            zone: Limit::default(),
            version: Limit::default(),
            min_interval_ms: 0.0,
            max_utilization: DEFAULT_MAX_UTILIZATION,
        }
    }
}

/// A known dispatcher or engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unit {
    /// The unit's identifier.
    pub id: Id,
    /// The unit's zone.
    pub zone: u32,
    /// The unit's version.
    pub version: u32,
    /// Whether the unit has been observed to serve.
    pub available: bool,
    /// The load that the unit can carry: 1 for a dispatcher, cores for an engine.
    pub capacity: f64,
}

/// A disruption on record: granted to a request, or observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disruption {
    /// The unit.
    pub id: Id,
    /// The reason why the unit is unavailable.
    pub reason: DisruptionReason,
    /// Identifies the request that was granted.
    pub grant_id: u64,
}

/// A request to make one more unit unavailable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DisruptionRequest {
    /// The unit.
    pub id: Id,
    /// Dispatcher or engine.
    pub kind: UnitKind,
    /// The reason why the unit is to become unavailable.
    pub reason: DisruptionReason,
    /// Random identifier drawn by the requester. A repeated request has the same identifier.
    pub grant_id: u64,
}

wire_enum! {
    /// The scope of a limit of the budget.
    pub enum Scope {
        /// The limit for the fleet.
        Fleet = 0,
        /// The limit for the unit's zone.
        Zone = 1,
        /// The limit for the unit's version.
        Version = 2,
    }
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The unit may become unavailable.
    Granted,
    /// The same request was granted before.
    AlreadyGranted,
    /// A limit is reached; retry later.
    BudgetExhausted {
        /// The scope of the exhausted limit.
        scope: Scope,
        /// Number of unavailable units in that scope.
        unavailable: usize,
        /// Maximum number of unavailable units in that scope.
        max_unavailable: usize,
    },
    /// The minimum interval since the last disruption has not passed; retry later.
    TooSoon {
        /// Time until a retry may succeed (ms).
        wait_ms: f64,
    },
    /// Another disruption of the unit is on record.
    AlreadyOut {
        /// The reason of that disruption.
        reason: DisruptionReason,
    },
    /// The remaining units could not carry the load.
    InsufficientCapacity {
        /// The observed load.
        load: f64,
        /// The capacity that would remain.
        remaining: f64,
    },
    /// The unit is not known.
    UnknownUnit,
}

wire_enum! {
    /// The reason why all disruptions are halted.
    pub enum HaltReason {
        /// An operator's command.
        Operator = 0,
        /// The released dispatchers perform worse than the others.
        CanaryWorse = 1,
        /// Lost members alone exhaust the budget.
        BudgetExhausted = 2,
        /// Members were lost during a release.
        MembersLost = 3,
        /// The canaries had too little traffic for a comparison.
        Inconclusive = 4,
    }
}

impl HaltReason {
    /// The reason with this wire code. An unknown code, sent by a later version, is decoded as
    /// [`HaltReason::Operator`]: an operator has to resume after such a halt too.
    pub fn from_code_lossy(code: u8) -> HaltReason {
        HaltReason::from_code(code).unwrap_or(HaltReason::Operator)
    }

    /// The text that `tansymux fleet` prints. Scripts may parse it.
    pub fn description(self) -> &'static str {
        match self {
            HaltReason::Operator => "by hand",
            HaltReason::CanaryWorse => "the released do worse than the others",
            HaltReason::BudgetExhausted => "failures have used the limit up",
            HaltReason::MembersLost => "members were lost",
            HaltReason::Inconclusive => "the first few were too few to tell",
        }
    }
}

/// Number of unavailable units, and of all units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitCount {
    /// Units that are unavailable.
    pub unavailable: usize,
    /// All units, available or not.
    pub total: usize,
}

/// The state of all units of one kind.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// All known units.
    pub units: &'a [Unit],
    /// The disruptions on record.
    pub disruptions: &'a [Disruption],
    /// Time of the last granted disruption (ms).
    pub last_granted_ms: f64,
    /// The observed load of all units, on the scale of [`Unit::capacity`].
    pub load: f64,
}

impl FleetView<'_> {
    /// Whether a unit counts as unavailable: it has a disruption on record, or has not been observed to serve.
    pub fn is_unavailable(&self, unit: &Unit) -> bool {
        !unit.available
            || self
                .disruptions
                .iter()
                .any(|disruption| disruption.id == unit.id)
    }

    /// Counts the known units that satisfy a condition.
    pub fn count(&self, condition: impl Fn(&Unit) -> bool) -> UnitCount {
        let mut count = UnitCount {
            unavailable: 0,
            total: 0,
        };
        for unit in self.units.iter().filter(|unit| condition(unit)) {
            count.total += 1;
            count.unavailable += usize::from(self.is_unavailable(unit));
        }
        count
    }

    /// Counts all units, including units known only from a disruption on record.
    pub fn count_all(&self) -> UnitCount {
        let known = self.count(|_| true);
        let unlisted = self.unlisted_disruptions();
        UnitCount {
            unavailable: known.unavailable + unlisted,
            total: known.total + unlisted,
        }
    }

    /// Number of disruptions on record whose unit is not known.
    fn unlisted_disruptions(&self) -> usize {
        self.disruptions
            .iter()
            .filter(|disruption| !self.units.iter().any(|unit| unit.id == disruption.id))
            .count()
    }

    /// Total capacity of the available units except `excluded`.
    fn remaining_capacity(&self, excluded: Id) -> f64 {
        self.units
            .iter()
            .filter(|unit| unit.id != excluded && !self.is_unavailable(unit))
            .map(|unit| unit.capacity)
            .sum()
    }
}

/// Decides whether one more unit may become unavailable.
pub fn evaluate(
    request: DisruptionRequest,
    budget: &DisruptionBudget,
    view: FleetView,
    now_ms: f64,
) -> Decision {
    if let Some(known) = view
        .disruptions
        .iter()
        .find(|disruption| disruption.id == request.id)
    {
        let is_repeated = known.grant_id == request.grant_id && known.reason == request.reason;
        return if is_repeated {
            Decision::AlreadyGranted
        } else {
            Decision::AlreadyOut {
                reason: known.reason,
            }
        };
    }
    let Some(unit) = view.units.iter().find(|unit| unit.id == request.id) else {
        return Decision::UnknownUnit;
    };
    if let Some(exhausted) = exhausted_limit(unit, budget, &view) {
        return exhausted;
    }
    let since_last_ms = now_ms - view.last_granted_ms;
    if since_last_ms < budget.min_interval_ms {
        return Decision::TooSoon {
            wait_ms: budget.min_interval_ms - since_last_ms,
        };
    }
    let remaining = view.remaining_capacity(unit.id);
    if view.load > 0.0 && view.load > budget.max_utilization * remaining {
        return Decision::InsufficientCapacity {
            load: view.load,
            remaining,
        };
    }
    Decision::Granted
}

/// The first limit that one more unavailable unit would exceed.
fn exhausted_limit(unit: &Unit, budget: &DisruptionBudget, view: &FleetView) -> Option<Decision> {
    // A unit that is already unavailable is part of `count.unavailable`.
    let additional = usize::from(unit.available);
    let scopes = [
        (Scope::Fleet, budget.fleet, view.count_all()),
        (
            Scope::Zone,
            budget.zone,
            view.count(|other| other.zone == unit.zone),
        ),
        (
            Scope::Version,
            budget.version,
            view.count(|other| other.version == unit.version),
        ),
    ];
    for (scope, limit, count) in scopes {
        let Some(max_unavailable) = limit.resolve(count.total) else {
            continue;
        };
        if count.unavailable + additional > max_unavailable {
            return Some(Decision::BudgetExhausted {
                scope,
                unavailable: count.unavailable,
                max_unavailable,
            });
        }
    }
    None
}

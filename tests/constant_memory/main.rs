//! The admission controller's memory does not depend on how many queries it has handled: each kind of query, with and
//! without each rule of the settings. All kinds run in one test, because the count of allocated bytes is the process's.
//!
//! `TANSYMUX_QUERIES` sets the number of queries of each kind; by default it is small enough for CI.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod heap;

use heap::allocated_bytes;
use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndReason, EndpointListKind, EndpointState,
    EndpointUpdate, Outcome, QueryArrived, StatementTraits,
};
use tansymux::settings::SettingsMap;

/// Queries of each kind by default.
const DEFAULT_QUERIES: u64 = 40_000;
/// Queries after which the memory is first measured: more than arrive within the longest span of the rules.
const WARM_UP_QUERIES: u64 = 20_000;
/// Queries that arrive in one round.
const QUERIES_PER_ROUND: u64 = 20;
/// Time between two rounds (ms): 10,000 queries per second.
const ROUND_MS: f64 = 2.0;
/// Rounds after which an attempt ends.
const ROUNDS_IN_FLIGHT: usize = 10;
/// Queries between two endpoint lists, where engines are replaced.
const QUERIES_PER_LIST: u64 = 10 * QUERIES_PER_ROUND;
/// Allowed growth (bytes) after the warm-up: hash tables and deques double at different times.
const MAX_GROWTH_BYTES: usize = 128 * 1024;

/// Settings of all cases: two dispatchers, four resource groups, no rules.
const SETTINGS: &str = "balancers=2 zone=z0 kinds=small,big family-info.cores-by-kind=8,16 \
    family-info.kind-memory-mb=4000,8000 family-info.dop=1,2,2,1 family-info.class-load=0,0,1,0 \
    family-info.class-waits=1,0,0,0 limits.max-attempts=4 limits.cancelling=1 limits.probes=0 \
    limits.max-retry-after-us=300000 services.count=4 \
    services.0.name=look services.0.effect=read_like services.0.aim-us=500000 \
    services.1.name=rep services.1.effect=read_like services.1.aim-us=2000000 \
    services.2.name=load services.2.effect=non_idempotent services.2.aim-us=4000000 \
    services.3.name=ordered services.3.effect=idempotency_key services.3.aim-us=4000000 \
    services.3.repeat-window-us=500000 services.3.dedup-scope=all services.3.in-order=1";
/// The rules of the settings, each added alone and all together.
const RULES: [&str; 4] = [
    "rules.ratio-span-us=500000 rules.extra-free=5 rules.repeat-ratio=0.2",
    "rules.fall-multiple=1.2 rules.cold-from=0.3 rules.overload-for-us=500000 rules.warm-after-us=60000000",
    "rules.settle-after-doubt-us=500000",
    "projects.count=2 projects.0.name=acme projects.0.allowance-per-s=50 projects.1.name=other \
        projects.1.allowance-per-s=50",
];

/// What distinguishes the queries of one case.
#[derive(Debug, Clone, Copy)]
enum Traffic {
    /// Each attempt completes.
    Served(&'static str),
    /// Each attempt ends with this outcome.
    Ended(&'static str, Outcome),
    /// Each client leaves while its query is in flight.
    ClientsLeave,
    /// Each query has no time left.
    Refused,
    /// Each query names a resource group that the settings do not have.
    UnknownGroups,
    /// Each query names another tenant.
    UnknownTenants,
    /// Each query reads other tables.
    NewTables,
    /// Engines are replaced by others with new zones and kinds.
    NewEngines,
}

const CASES: [Traffic; 11] = [
    Traffic::Served("look"),
    Traffic::Served("load"),
    Traffic::Served("ordered"),
    Traffic::Ended("look", Outcome::Error),
    Traffic::Ended("ordered", Outcome::Timeout),
    Traffic::ClientsLeave,
    Traffic::Refused,
    Traffic::UnknownGroups,
    Traffic::UnknownTenants,
    Traffic::NewTables,
    Traffic::NewEngines,
];

impl Traffic {
    fn group(self) -> &'static str {
        match self {
            Traffic::Served(group) | Traffic::Ended(group, _) => group,
            Traffic::Refused => "ordered",
            _ => "look",
        }
    }

    fn outcome(self) -> Outcome {
        match self {
            Traffic::Ended(_, outcome) => outcome,
            _ => Outcome::Completed,
        }
    }
}

/// An attempt that the controller submitted.
#[derive(Debug, Clone, Copy)]
struct Submitted {
    query_id: u64,
    engine_id: u64,
}

/// Collects the attempts that the controller submits.
#[derive(Default)]
struct Decisions {
    submitted: Vec<Submitted>,
    answered: u64,
}

impl DecisionSink for Decisions {
    fn submit(&mut self, query_id: u64, engine_id: u64, _limits: AttemptLimits) {
        self.submitted.push(Submitted {
            query_id,
            engine_id,
        });
    }
    fn reject(&mut self, _query_id: u64, _retry_after_ms: f64) {
        self.answered += 1;
    }
    fn fail(&mut self, _query_id: u64) {
        self.answered += 1;
    }
    fn report_end_reason(&mut self, _query_id: u64, _reason: EndReason) {}
    fn cancel(&mut self, _query_id: u64, _attempt: usize) {}
    fn grant(&mut self, _query_id: u64, _priority: u8, _memory_mb: f64) {}
    fn check_health(&mut self, _engine_id: u64) {}
    fn send_to_peer(&mut self, _peer: Option<u32>, _content: &[u8]) {}
    fn set_timer(&mut self, _delay_ms: f64, _handle: u64) {}
    fn watch_endpoints(&mut self) {}
}

/// An attempt in flight, with the number of attempts of its query before it.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    attempt: Submitted,
    number: usize,
    ends_in_round: usize,
}

/// A controller with engines, and the attempts that it has in flight.
struct Run {
    traffic: Traffic,
    control: Control,
    round: usize,
    next_query_id: u64,
    in_flight: Vec<InFlight>,
}

/// The events of one round.
struct RoundEvents<'a> {
    traffic: Traffic,
    now_ms: f64,
    first_query_id: u64,
    ended: &'a [InFlight],
}

impl EventSource for RoundEvents<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        let is_list_due = self.first_query_id % QUERIES_PER_LIST == 1;
        if matches!(self.traffic, Traffic::NewEngines) && is_list_due {
            list_engines(control, out, self.first_query_id);
        }
        for ended in self.ended {
            if matches!(self.traffic, Traffic::ClientsLeave) {
                control.on_client_disconnected(ended.attempt.query_id, out);
            }
            let outcome = self.traffic.outcome();
            let event = AttemptEnded {
                query_id: ended.attempt.query_id,
                attempt: ended.number,
                engine_id: ended.attempt.engine_id,
                outcome,
                answer_delivered: outcome == Outcome::Completed,
                latency_ms: ROUND_MS * ROUNDS_IN_FLIGHT as f64,
                used: None,
            };
            control.on_attempt_ended(&event, out);
        }
        for query_id in self.first_query_id..self.first_query_id + QUERIES_PER_ROUND {
            self.send_query(query_id, control, out);
        }
    }
}

impl RoundEvents<'_> {
    fn send_query(&self, query_id: u64, control: &mut Control, out: &mut dyn DecisionSink) {
        let unknown = format!("unknown-{query_id}");
        let is_known_group = !matches!(self.traffic, Traffic::UnknownGroups);
        let is_known_tenant = !matches!(self.traffic, Traffic::UnknownTenants);
        let time_left_ms = match self.traffic {
            Traffic::Refused => 0.0,
            _ => 8000.0,
        };
        let arrived = QueryArrived {
            query_id,
            group: if is_known_group {
                self.traffic.group()
            } else {
                &unknown
            },
            tenant: if is_known_tenant { "acme" } else { &unknown },
            key: Some(query_id),
            deadline_ms: self.now_ms + time_left_ms,
            estimated_cost_ms: 5.0,
            memory_mb: 1.0,
            tables: match self.traffic {
                Traffic::NewTables => query_id as u32,
                _ => 1,
            },
            statement: StatementTraits::UNKNOWN,
        };
        let result = control.on_query_arrived(&arrived, out);
        assert_eq!(result.is_ok(), is_known_group);
    }
}

/// Lists 20 engines, whose ids, zones and kinds contain `generation`.
fn list_engines(control: &mut Control, out: &mut dyn DecisionSink, generation: u64) {
    control.begin_update(EndpointListKind::Snapshot);
    for engine in 0..20 {
        let (kind, zone) = match generation {
            0 => ("small".to_owned(), format!("z{}", engine % 2)),
            _ => {
                let name = 100 * generation + engine;
                (format!("kind-{name}"), format!("zone-{name}"))
            }
        };
        control.upsert_endpoint(&EndpointUpdate {
            engine_id: 100 * generation + engine,
            kind: &kind,
            zone: &zone,
            state: EndpointState::Ready,
            started_ms: Some(0.0),
            cell: 0,
        });
    }
    control.finish_update(EndpointListKind::Snapshot, out);
}

impl Run {
    fn new(settings: &SettingsMap, traffic: Traffic) -> Self {
        let mut control = Control::new(7, settings).unwrap();
        list_engines(&mut control, &mut Decisions::default(), 0);
        Run {
            traffic,
            control,
            round: 0,
            next_query_id: 1,
            in_flight: Vec::new(),
        }
    }

    /// Runs rounds until `queries` queries have arrived.
    fn run_until(&mut self, queries: u64) {
        while self.next_query_id <= queries {
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        self.round += 1;
        let round = self.round;
        let has_ended = |attempt: &mut InFlight| attempt.ends_in_round <= round;
        let ended: Vec<InFlight> = self.in_flight.extract_if(.., has_ended).collect();
        let now_ms = 1e6 + ROUND_MS * round as f64;
        let mut events = RoundEvents {
            traffic: self.traffic,
            now_ms,
            first_query_id: self.next_query_id,
            ended: &ended,
        };
        let mut decisions = Decisions::default();
        self.control.run_round(now_ms, &mut events, &mut decisions);
        self.next_query_id += QUERIES_PER_ROUND;
        for attempt in decisions.submitted {
            let mut earlier = ended.iter();
            let earlier = earlier.find(|ended| ended.attempt.query_id == attempt.query_id);
            self.in_flight.push(InFlight {
                attempt,
                number: earlier.map_or(0, |earlier| earlier.number + 1),
                ends_in_round: round + ROUNDS_IN_FLIGHT,
            });
        }
    }
}

/// Runs one case, and returns the growth (bytes) after the warm-up.
fn growth(rules: &str, traffic: Traffic, queries: u64) -> usize {
    let pairs = SETTINGS.split_whitespace().chain(rules.split_whitespace());
    let settings: SettingsMap = pairs
        .map(|pair| pair.split_once('=').unwrap())
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let mut run = Run::new(&settings, traffic);
    run.run_until(WARM_UP_QUERIES);
    let before = allocated_bytes();
    run.run_until(queries);
    allocated_bytes().saturating_sub(before)
}

/// Guards against collections that grow with each query, or with each name that a client or a list contains.
#[test]
fn memory_is_constant_for_each_kind_of_query_with_and_without_each_rule() {
    let queries = std::env::var("TANSYMUX_QUERIES").ok();
    let queries = queries.map_or(DEFAULT_QUERIES, |queries| queries.parse().unwrap());
    let all_rules = RULES.join(" ");
    let mut too_large = Vec::new();
    for rules in [""].into_iter().chain(RULES).chain([all_rules.as_str()]) {
        for traffic in CASES {
            let bytes = growth(rules, traffic, queries);
            println!("{bytes:>10} bytes: {traffic:?}, rules {rules:?}");
            if bytes > MAX_GROWTH_BYTES {
                too_large.push((traffic, rules, bytes));
            }
        }
    }
    assert!(too_large.is_empty(), "{too_large:#?}");
}

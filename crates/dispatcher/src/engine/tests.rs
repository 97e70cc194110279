use super::*;
use crate::client_presence::TestClient;
use crate::clock::Clock;
use crate::query_registry::{
    AdmittedQuery, AnswerSlot, EndpointEntry, Event, QueryRegistry, QueryRequest, RequestKeys,
};
use async_executor::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansymux::events::{AttemptLimits, EndpointState, Outcome, StatementTraits};

const NO_TIME_LIMITS: AttemptLimits = AttemptLimits {
    deadline_ms: 1e15,
    start_by_ms: 1e15,
    side_effect_free: true,
};

fn engine(state: EndpointState, started_ms: Option<f64>, port: u16) -> EndpointEntry {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    EndpointEntry {
        engine_id: 7,
        address,
        kind: "std".into(),
        zone: "h".into(),
        cell: 0,
        state,
        started_ms,
    }
}

fn request() -> QueryRequest<'static> {
    QueryRequest {
        id: "00000000000000aa",
        resource_group: "look",
        tenant: "",
        statement: b"SELECT 1",
        received_ms: 0.0,
        deadline_ms: 1e15,
        estimated_cost_ms: 1.0,
        memory_mb: 1.0,
        tables: 1,
        traits: StatementTraits::UNKNOWN,
        shape: None,
        keys: RequestKeys::default(),
    }
}

/// Returns a pool with an attempt queued on a connection. The connection keeps connecting, because no task runs.
fn queued_attempt(
    limits: AttemptLimits,
) -> (Rc<QueryRegistry>, Rc<EnginePool>, u64, Rc<AnswerSlot>) {
    let settings = ConnectionSettings {
        connect_timeout_ms: 250.0,
        idle_timeout_ms: 30_000.0,
        progress_interval_ms: 0.0,
        shortest_objective_ms: 0.0,
        max_streams: 32,
        max_connections: 8,
    };
    let registry = Rc::new(QueryRegistry::default());
    let executor = Rc::new(LocalExecutor::new());
    let pool = EnginePool::new(registry.clone(), Clock::start(), executor, settings);
    pool.upsert_endpoint(&engine(EndpointState::Ready, None, 9));
    let client = TestClient::connected();
    let request = request();
    let AdmittedQuery {
        query_id: query,
        slot,
    } = registry.admit(&request, client.handle()).unwrap();
    registry.submit(query, 7, limits);
    pool.execute_commands();
    (registry, pool, query, slot)
}

/// Whether an attempt was reported as [`Outcome::Withdrawn`]: not sent, and no evidence against the engine.
fn was_withdrawn(registry: &QueryRegistry) -> bool {
    let is_withdrawal = |event: Event| {
        matches!(
            event,
            Event::AttemptEnded {
                outcome: Outcome::Withdrawn,
                ..
            }
        )
    };
    std::iter::from_fn(|| registry.next_event()).any(is_withdrawal)
}

#[test]
fn queued_attempt_is_withdrawn_when_its_engine_drains_leaves_restarts_or_moves() {
    for (update, expected) in [
        (engine(EndpointState::Ready, None, 9), false),
        (engine(EndpointState::Draining, None, 9), true),
        (engine(EndpointState::Gone, None, 9), true),
        (engine(EndpointState::Ready, Some(5.0), 9), true),
        (engine(EndpointState::Ready, None, 10), true),
    ] {
        let (registry, pool, ..) = queued_attempt(NO_TIME_LIMITS);
        pool.upsert_endpoint(&update);
        assert_eq!(was_withdrawn(&registry), expected, "{update:?}");
    }
}

#[test]
fn queued_attempt_is_withdrawn_when_its_client_leaves_or_its_query_completes() {
    let (registry, pool, query, _slot) = queued_attempt(NO_TIME_LIMITS);
    registry.client_disconnected(query);
    pool.execute_commands();
    assert!(was_withdrawn(&registry));
    let (registry, pool, query, _slot) = queued_attempt(NO_TIME_LIMITS);
    assert!(registry.answer(query, crate::query_registry::Answer::Failed));
    pool.execute_commands();
    assert!(was_withdrawn(&registry));
}

#[test]
fn queued_attempt_is_withdrawn_at_its_start_limit() {
    let (registry, pool, ..) = queued_attempt(AttemptLimits {
        start_by_ms: Clock::start().now() + 30.0,
        ..NO_TIME_LIMITS
    });
    let next_expiry_ms = pool.expire();
    assert!(!was_withdrawn(&registry));
    // `expire` returns the time at which it is due again.
    std::thread::sleep(Duration::from_secs_f64(
        (next_expiry_ms - pool.clock.now()).max(0.0) / 1000.0 + 0.001,
    ));
    pool.expire();
    assert!(was_withdrawn(&registry));
}

#[test]
fn submission_is_withdrawn_if_a_list_update_drains_or_removes_its_engine_first() {
    // The decision to submit precedes the endpoint list update, and the commands are executed after it.
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let (registry, pool, ..) = queued_attempt(NO_TIME_LIMITS);
        let connection_count = pool.connection_count();
        let client = TestClient::connected();
        let request = QueryRequest {
            id: "00000000000000bb",
            ..request()
        };
        let AdmittedQuery {
            query_id: query,
            slot: _slot,
        } = registry.admit(&request, client.handle()).unwrap();
        registry.submit(query, 7, NO_TIME_LIMITS);
        pool.upsert_endpoint(&engine(state, None, 9));
        while registry.next_event().is_some() {}
        pool.execute_commands();
        assert!(was_withdrawn(&registry), "{state:?}");
        assert_eq!(pool.connection_count(), connection_count);
    }
}

use super::*;
use crate::query_registry::{AnswerSlot, QueryRequest, RequestKeys};
use tansymux::events::StatementTraits;

const LONG: AttemptLimits = AttemptLimits {
    deadline_ms: 1e15,
    start_by_ms: 1e15,
    side_effect_free: true,
};

fn engine(status: EndpointState, started: Option<f64>, port: u16) -> EndpointEntry {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    EndpointEntry {
        engine_id: 7,
        address,
        kind: "std".into(),
        zone: "h".into(),
        cell: 0,
        status,
        started,
    }
}

/// A attempt that waits for its connection, which stays coming up, as no task runs.
fn waiting(bounds: AttemptLimits) -> (Rc<QueryRegistry>, Rc<EnginePool>, u64, Rc<AnswerSlot>) {
    let settings = ConnectionSettings {
        connect_timeout_ms: 250.0,
        idle_timeout_ms: 30_000.0,
        progress_interval_ms: 0.0,
        shortest_objective_ms: 0.0,
        max_streams: 32,
        max_connections: 8,
    };
    let (registry, executor) = (
        Rc::new(QueryRegistry::default()),
        Rc::new(LocalExecutor::new()),
    );
    let side = EnginePool::new(registry.clone(), Clock::start(), executor, settings);
    side.upsert_endpoint(&engine(EndpointState::Ready, None, 9));
    let (id, rg, tenant, statement) = ("00000000000000aa", "look", "", b"SELECT 1".as_slice());
    let (text, shape, marks) = (StatementTraits::UNKNOWN, None, RequestKeys::default());
    let (cost, memory, tables, since, due) = (1.0, 1.0, 1, 0.0, 1e15);
    let asked = QueryRequest {
        id,
        resource_group: rg,
        tenant,
        statement,
        received_ms: since,
        deadline_ms: due,
        estimated_cost_ms: cost,
        memory_mb: memory,
        tables,
        text,
        shape,
        keys: marks,
    };
    let (query, slot) = registry.admit(&asked).unwrap();
    registry.submit(query, 7, bounds);
    side.execute_commands();
    (registry, side, query, slot)
}

/// Whether its end was told, as of one that never ran.
fn taken_back(registry: &QueryRegistry) -> bool {
    let closed = |e: Event| {
        matches!(
            e,
            Event::AttemptEnded {
                outcome: Outcome::NoConnection,
                ..
            }
        )
    };
    std::iter::from_fn(|| registry.next_event()).any(closed)
}

#[test]
fn what_waits_for_a_connection_is_taken_back_when_the_list_turns_against_the_engine() {
    for (then, back) in [
        (engine(EndpointState::Ready, None, 9), false),
        (engine(EndpointState::Draining, None, 9), true),
        (engine(EndpointState::Gone, None, 9), true),
        (engine(EndpointState::Ready, Some(5.0), 9), true),
        (engine(EndpointState::Ready, None, 10), true),
    ] {
        let (registry, side, ..) = waiting(LONG);
        side.upsert_endpoint(&then);
        assert_eq!(taken_back(&registry), back, "{then:?}");
    }
}

#[test]
fn what_waits_for_a_connection_is_taken_back_when_its_query_is_over() {
    let (registry, side, query, _slot) = waiting(LONG);
    registry.client_left(query);
    side.execute_commands();
    assert!(taken_back(&registry));
    let (registry, side, query, _slot) = waiting(LONG);
    assert!(registry.answer(query, crate::query_registry::Answer::Failed));
    side.execute_commands();
    assert!(taken_back(&registry));
}

#[test]
fn what_waits_for_a_connection_is_taken_back_when_it_may_not_begin_any_more() {
    let (registry, side, ..) = waiting(AttemptLimits {
        start_by_ms: Clock::start().now() + 30.0,
        ..LONG
    });
    let next = side.expire();
    assert!(!taken_back(&registry));
    // The sweep itself tells when it is due again.
    std::thread::sleep(Duration::from_secs_f64(
        (next - side.clock.now()).max(0.0) / 1000.0 + 0.001,
    ));
    side.expire();
    assert!(taken_back(&registry));
}

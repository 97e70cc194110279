use super::completed_ids::MAX_COMPLETED_IDS;
use super::*;
use tansymux::events::StatementTraits;

const BOUNDS: AttemptLimits = AttemptLimits {
    deadline_ms: 90.0,
    start_by_ms: 90.0,
    side_effect_free: true,
};
const REQUEST: QueryRequest = QueryRequest {
    id: "9b1f03aa5c7e2d41",
    resource_group: "look",
    tenant: "acme",
    statement: b"SELECT 1",
    received_ms: 0.0,
    deadline_ms: 100.0,
    estimated_cost_ms: 1.0,
    memory_mb: 1.0,
    tables: 1,
    text: StatementTraits::UNKNOWN,
    shape: None,
    keys: RequestKeys {
        idempotency_key: None,
        ordering_key: None,
    },
};

#[test]
fn query_gets_one_answer_and_no_attempt_after_it() {
    let registry = QueryRegistry::default();
    let (query, slot) = registry.admit(&REQUEST).unwrap();
    assert_eq!(
        registry.admit(&REQUEST).map(|_| ()),
        Err(AdmissionError::InFlight)
    );
    registry.submit(query, 7, BOUNDS);
    registry.submit(query, 8, BOUNDS);
    let first = EngineCommand::Submit {
        query,
        attempt: 0,
        engine_id: 7,
        bounds: BOUNDS,
    };
    assert_eq!(registry.next_command(), Some(first));
    assert_eq!(registry.next_command(), None);
    assert!(
        registry.answer(query, Answer::Failed)
            && !registry.answer(
                query,
                Answer::Rejected {
                    retry_after_ms: 1.0
                }
            )
    );
    assert!(matches!(slot.take(), Some(Answer::Failed)));
    // What has not gone out of it by now does not any more, whatever the settings say of cancels.
    assert_eq!(
        registry.next_command(),
        Some(EngineCommand::Withdraw { query })
    );
    registry.submit(query, 7, BOUNDS);
    assert_eq!((registry.next_command(), registry.in_flight()), (None, 1));
    registry.attempt_ended(query);
    assert_eq!(registry.in_flight(), 0);
    assert_eq!(
        registry.admit(&REQUEST).map(|_| ()),
        Err(AdmissionError::AlreadySubmitted)
    );
    (0..MAX_COMPLETED_IDS).for_each(|n| {
        registry
            .completed_ids
            .borrow_mut()
            .remember(n.to_string().into())
    });
    assert!(registry.admit(&REQUEST).is_ok());
}

#[test]
fn statements_beyond_the_byte_limit_are_rejected_until_others_complete() {
    let registry = QueryRegistry::new(REQUEST.statement.len() + 1);
    let (query, _slot) = registry.admit(&REQUEST).unwrap();
    let second = QueryRequest {
        id: "9b1f03aa5c7e2d42",
        ..REQUEST
    };
    assert_eq!(
        registry.admit(&second).map(|_| ()),
        Err(AdmissionError::Overloaded)
    );
    registry.answer(query, Answer::Failed);
    assert!(registry.admit(&second).is_ok());
}

#[test]
fn query_of_a_disconnected_client_gets_no_answer() {
    let registry = QueryRegistry::default();
    let (query, slot) = registry.admit(&REQUEST).unwrap();
    registry.client_left(query);
    registry.client_left(query);
    assert!(!registry.answer(query, Answer::Failed) && slot.take().is_none());
    let events: Vec<Event> = std::iter::from_fn(|| registry.next_event()).collect();
    assert!(matches!(
        events[..],
        [Event::QueryArrived { .. }, Event::ClientLeft { .. }]
    ));
    registry.forget_if_over(query);
    assert_eq!(registry.in_flight(), 0);
}

#[test]
fn new_priority_reaches_the_attempt_in_flight() {
    let registry = QueryRegistry::default();
    let (query, _slot) = registry.admit(&REQUEST).unwrap();
    registry.grant(
        query,
        Grant {
            priority: 3,
            memory_mb: 0.0,
        },
    );
    registry.submit(query, 7, BOUNDS);
    registry.grant(
        query,
        Grant {
            priority: 1,
            memory_mb: 0.0,
        },
    );
    registry.next_command();
    assert_eq!(
        registry.next_command(),
        Some(EngineCommand::SetPriority { query, priority: 1 })
    );
}

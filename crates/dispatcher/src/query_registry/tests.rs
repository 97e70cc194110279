use super::completed_ids::MAX_COMPLETED_IDS;
use super::*;
use crate::client_presence::{ClientPresence, TestClient};
use crate::guard::{BeginRefusal, EndpointFacts};
use crate::ids::ConnectionId;
use tansymux::events::{EndpointState, StatementTraits};

const LIMITS: AttemptLimits = AttemptLimits {
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
    traits: StatementTraits::UNKNOWN,
    shape: None,
    keys: RequestKeys {
        idempotency_key: None,
        ordering_key: None,
    },
};

fn attempt_of(query_id: u64, number: usize) -> AttemptId {
    AttemptId { query_id, number }
}

#[test]
fn query_gets_one_answer_and_no_attempt_after_it() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    let AdmittedQuery { query_id, slot } = registry.admit(&REQUEST, client.handle()).unwrap();
    assert_eq!(
        registry.admit(&REQUEST, client.handle()).map(|_| ()),
        Err(AdmissionError::InFlight)
    );
    registry.submit(query_id, 7, LIMITS);
    registry.submit(query_id, 8, LIMITS);
    let first = EngineCommand::Submit {
        query_id,
        attempt: 0,
        engine_id: 7,
        limits: LIMITS,
    };
    assert_eq!(registry.next_command(), Some(first));
    assert_eq!(registry.next_command(), None);
    assert!(
        registry.answer(query_id, Answer::Failed)
            && !registry.answer(
                query_id,
                Answer::Rejected {
                    retry_after_ms: 1.0
                }
            )
    );
    assert!(matches!(slot.take(), Some(Answer::Failed)));
    // An attempt whose request is not sent yet is withdrawn, whether or not the settings allow cancels.
    assert_eq!(
        registry.next_command(),
        Some(EngineCommand::Withdraw { query_id })
    );
    registry.submit(query_id, 7, LIMITS);
    assert_eq!((registry.next_command(), registry.in_flight()), (None, 1));
    registry.attempt_ended(attempt_of(query_id, 0), EndCause::FinalReply);
    assert_eq!(registry.in_flight(), 0);
    assert_eq!(
        registry.admit(&REQUEST, client.handle()).map(|_| ()),
        Err(AdmissionError::AlreadySubmitted)
    );
    (0..MAX_COMPLETED_IDS).for_each(|n| registry.queries.remember_completed(n.to_string().into()));
    assert!(registry.admit(&REQUEST, client.handle()).is_ok());
}

#[test]
fn statements_beyond_the_byte_limit_are_rejected_until_others_complete() {
    let limits = QueryMemoryLimits {
        max_statement_bytes: REQUEST.statement.len() + 1,
        max_answer_bytes: 0,
    };
    let registry = QueryRegistry::new(limits, Guard::default(), Clock::start());
    let client = TestClient::connected();
    let AdmittedQuery {
        query_id,
        slot: _slot,
    } = registry.admit(&REQUEST, client.handle()).unwrap();
    let second = QueryRequest {
        id: "9b1f03aa5c7e2d42",
        ..REQUEST
    };
    assert_eq!(
        registry.admit(&second, client.handle()).map(|_| ()),
        Err(AdmissionError::Overloaded)
    );
    registry.answer(query_id, Answer::Failed);
    assert!(registry.admit(&second, client.handle()).is_ok());
}

#[test]
fn query_of_a_disconnected_client_gets_no_answer() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    let AdmittedQuery { query_id, slot } = registry.admit(&REQUEST, client.handle()).unwrap();
    registry.client_disconnected(query_id);
    registry.client_disconnected(query_id);
    assert!(!registry.answer(query_id, Answer::Failed) && slot.take().is_none());
    let events: Vec<Event> = std::iter::from_fn(|| registry.next_event()).collect();
    assert!(matches!(
        events[..],
        [Event::QueryArrived { .. }, Event::ClientDisconnected { .. }]
    ));
    registry.remove_if_over(query_id);
    assert_eq!(registry.in_flight(), 0);
}

#[test]
fn changed_priority_is_sent_for_the_attempt_in_flight() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    let AdmittedQuery {
        query_id,
        slot: _slot,
    } = registry.admit(&REQUEST, client.handle()).unwrap();
    registry.grant(
        query_id,
        Grant {
            priority: 3,
            memory_mb: 0.0,
        },
    );
    registry.submit(query_id, 7, LIMITS);
    registry.grant(
        query_id,
        Grant {
            priority: 1,
            memory_mb: 0.0,
        },
    );
    registry.next_command();
    assert_eq!(
        registry.next_command(),
        Some(EngineCommand::SetPriority {
            query_id,
            priority: 1
        })
    );
}

#[test]
fn retry_may_not_begin_on_a_connection_of_an_earlier_attempt() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    let AdmittedQuery {
        query_id,
        slot: _slot,
    } = registry.admit(&REQUEST, client.handle()).unwrap();
    let endpoint = EndpointFacts {
        state: EndpointState::Ready,
        zone: "h",
        kind: "std",
        is_same_process: true,
    };
    let may_begin = |attempt, connection| {
        let key = AttemptKey {
            query_id,
            attempt,
            engine_id: 7,
        };
        let begin = AttemptBegin {
            connection: ConnectionId(connection),
            deadline_ms: 90.0,
            start_by_ms: 90.0,
        };
        let permit = registry.may_begin(&key, &begin, Some(endpoint), 1.0);
        permit.map(|_| registry.on_attempt_begun(&key, begin.connection, 1.0))
    };
    registry.submit(query_id, 7, LIMITS);
    assert_eq!(may_begin(0, 1), Ok(()));
    registry.attempt_ended(attempt_of(query_id, 0), EndCause::FinalReply);
    registry.submit(query_id, 7, LIMITS);
    assert_eq!(may_begin(1, 1), Err(BeginRefusal::ConnectionUsed));
    assert_eq!(may_begin(1, 2), Ok(()));
}

#[test]
fn duplicate_outcome_of_an_attempt_does_not_end_the_next_attempt() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    let AdmittedQuery {
        query_id,
        slot: _slot,
    } = registry.admit(&REQUEST, client.handle()).unwrap();
    registry.submit(query_id, 7, LIMITS);
    let first = attempt_of(query_id, 0);
    registry.attempt_ended(first, EndCause::FinalReply);
    registry.submit(query_id, 7, LIMITS);
    registry.attempt_ended(first, EndCause::FinalReply);
    registry.record_wait(first);
    assert!(registry.is_in_flight(attempt_of(query_id, 1)) && !registry.is_in_flight(first));
    assert_eq!(
        registry.with_query(query_id, |query| query.waited),
        Some(false)
    );
    // No third attempt is submitted while the second is in flight.
    while registry.next_command().is_some() {}
    registry.submit(query_id, 7, LIMITS);
    assert_eq!(registry.next_command(), None);
}

/// Guards against queries that are admitted for a client that may have gone.
#[test]
fn query_is_admitted_only_while_its_client_is_known_to_be_connected() {
    let registry = QueryRegistry::default();
    let client = TestClient::connected();
    for (presence, error) in [
        (ClientPresence::Unknown, AdmissionError::ClientUnknown),
        (
            ClientPresence::Disconnected,
            AdmissionError::ClientDisconnected,
        ),
    ] {
        client.set_presence(presence);
        let admitted = registry.admit(&REQUEST, client.handle());
        assert_eq!(admitted.map(|_| ()), Err(error));
    }
    assert!(registry.next_event().is_none() && registry.in_flight() == 0);
    client.set_presence(ClientPresence::Connected);
    assert!(registry.admit(&REQUEST, client.handle()).is_ok());
}

/// Guards against an attempt that begins after its client has gone.
#[test]
fn attempt_of_a_client_that_is_not_known_to_be_connected_does_not_begin() {
    for (presence, refusal) in [
        (ClientPresence::Unknown, BeginRefusal::ClientUnknown),
        (
            ClientPresence::Disconnected,
            BeginRefusal::ClientDisconnected,
        ),
    ] {
        let registry = QueryRegistry::default();
        let client = TestClient::connected();
        let AdmittedQuery {
            query_id,
            slot: _slot,
        } = registry.admit(&REQUEST, client.handle()).unwrap();
        registry.submit(query_id, 7, LIMITS);
        client.set_presence(presence);
        let key = AttemptKey {
            query_id,
            attempt: 0,
            engine_id: 7,
        };
        let begin = AttemptBegin {
            connection: ConnectionId(1),
            deadline_ms: 90.0,
            start_by_ms: 90.0,
        };
        let refused = registry.may_begin(&key, &begin, None, 1.0).err();
        assert_eq!(refused, Some(refusal));
        registry.on_begin_refused(&key, refusal);
        // The query of a client that has gone is over, before the attempt's outcome is reported.
        let is_gone = presence == ClientPresence::Disconnected;
        assert_eq!(registry.is_over(query_id), is_gone);
        let events: Vec<Event> = std::iter::from_fn(|| registry.next_event()).collect();
        let is_departure = |event: &Event| matches!(event, Event::ClientDisconnected { .. });
        assert_eq!(events.iter().any(is_departure), is_gone);
    }
}

#[test]
fn query_fails_if_there_is_no_memory_for_its_result() {
    let limits = QueryMemoryLimits {
        max_statement_bytes: 1 << 20,
        max_answer_bytes: 1000,
    };
    let registry = QueryRegistry::new(limits, Guard::default(), Clock::start());
    let client = TestClient::connected();
    let AdmittedQuery { query_id, slot } = registry.admit(&REQUEST, client.handle()).unwrap();
    assert!(registry.complete(query_id, vec![vec![b'x'; 2000]]));
    assert!(matches!(slot.take(), Some(Answer::Failed)));
    assert!(!registry.complete(query_id, Pages::new()));
}

use super::*;
use tansymux::settings::RetryBudgetRule;

fn endpoint() -> EndpointFacts<'static> {
    EndpointFacts {
        state: EndpointState::Ready,
        zone: "h",
        kind: "std",
        is_same_process: true,
    }
}

fn query() -> QueryFacts<'static> {
    QueryFacts {
        is_over: false,
        attempt_in_flight: Some(0),
        is_connection_used: false,
        client: ClientPresence::Connected,
        resource_group: "look",
    }
}

fn facts() -> AttemptFacts<'static> {
    AttemptFacts {
        query: Some(query()),
        attempt: 0,
        deadline_ms: 1000.0,
        start_by_ms: 900.0,
        endpoint: Some(endpoint()),
    }
}

#[test]
fn the_time_limit_of_a_permit_is_the_time_left_until_the_deadline() {
    let permit = Guard::default().may_begin(&facts(), 399.5).unwrap();
    assert_eq!(permit.limit_ms(), 600);
}

#[test]
fn an_attempt_is_refused_if_its_query_connection_time_or_engine_forbids_it() {
    let over = QueryFacts {
        is_over: true,
        ..query()
    };
    let other = QueryFacts {
        attempt_in_flight: Some(1),
        ..query()
    };
    let reused = QueryFacts {
        is_connection_used: true,
        ..query()
    };
    let draining = EndpointFacts {
        state: EndpointState::Draining,
        ..endpoint()
    };
    let replaced = EndpointFacts {
        is_same_process: false,
        ..endpoint()
    };
    let with_query = |query| AttemptFacts { query, ..facts() };
    let with_endpoint = |endpoint| AttemptFacts {
        endpoint,
        ..facts()
    };
    let cases = [
        (with_query(None), 0.0, BeginRefusal::QueryOver),
        (with_query(Some(over)), 0.0, BeginRefusal::QueryOver),
        (
            with_query(Some(other)),
            0.0,
            BeginRefusal::NotCurrentAttempt,
        ),
        (with_query(Some(reused)), 0.0, BeginRefusal::ConnectionUsed),
        (facts(), 1000.0, BeginRefusal::DeadlinePassed),
        (facts(), 900.0, BeginRefusal::TooLateToBegin),
        (with_endpoint(None), 0.0, BeginRefusal::EngineClosed),
        (
            with_endpoint(Some(draining)),
            0.0,
            BeginRefusal::EngineClosed,
        ),
        (
            with_endpoint(Some(replaced)),
            0.0,
            BeginRefusal::EngineReplaced,
        ),
    ];
    for (facts, now_ms, refusal) in cases {
        let refused = Guard::default().may_begin(&facts, now_ms);
        assert_eq!(refused.err(), Some(refusal));
    }
}

/// Guards against an attempt that begins after its client has gone.
#[test]
fn an_attempt_is_refused_unless_its_client_is_known_to_be_connected() {
    for (client, refusal) in [
        (
            ClientPresence::Disconnected,
            BeginRefusal::ClientDisconnected,
        ),
        (ClientPresence::Unknown, BeginRefusal::ClientUnknown),
    ] {
        let query = QueryFacts { client, ..query() };
        let facts = AttemptFacts {
            query: Some(query),
            ..facts()
        };
        let refused = Guard::default().may_begin(&facts, 0.0);
        assert_eq!(refused.err(), Some(refusal));
    }
}

#[test]
fn retries_beyond_the_budget_and_its_tolerance_are_refused_until_the_window_has_passed() {
    let retry_budget = Some(RetryBudgetRule {
        span_ms: 1000.0,
        free: 2.0,
        ratio: 0.5,
    });
    let mut rules = GuardRules::default();
    rules.retry_budget = retry_budget;
    let guard = Guard::new(rules);
    (0..4).for_each(|_| guard.on_query_admitted(100.0));
    // (2 + 0.5 * 4) * 1.15 + 1 = 5.6 allows five retries.
    let retry = AttemptFacts {
        attempt: 1,
        query: Some(QueryFacts {
            attempt_in_flight: Some(1),
            ..query()
        }),
        deadline_ms: 5000.0,
        start_by_ms: 5000.0,
        ..facts()
    };
    for _ in 0..5 {
        assert!(guard.may_begin(&retry, 200.0).is_ok());
        guard.on_attempt_begun(1, 200.0);
    }
    let refused = guard.may_begin(&retry, 210.0).err();
    assert_eq!(refused, Some(BeginRefusal::RetryBudgetUsed));
    assert!(guard.may_begin(&retry, 1300.0).is_ok());
}

#[test]
fn a_request_is_answered_once_and_before_its_connection_closes() {
    let mut ledger = ConnectionLedger::default();
    assert!(ledger.may_close().is_ok() && ledger.may_answer().is_err());
    assert!(ledger.on_request().is_ok());
    assert!(ledger.may_close().is_err());
    assert!(ledger.on_request().is_err());
    assert!(ledger.may_answer().is_ok() && ledger.may_answer().is_err());
    assert!(ledger.may_close().is_ok());
    assert!(ledger.on_request().is_ok());
    ledger.on_client_disconnected();
    assert!(ledger.may_close().is_ok());
}

#[test]
fn the_process_may_end_only_when_no_answer_is_owed() {
    assert!(Guard::default().may_end(0).is_ok());
    assert!(Guard::default().may_end(1).is_err());
}

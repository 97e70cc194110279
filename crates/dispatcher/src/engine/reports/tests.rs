use super::*;

fn report(outcome: Outcome) -> AttemptReport {
    AttemptReport {
        query_id: 4,
        attempt: 0,
        outcome,
        cause: EndCause::FinalReply,
        connection: None,
        engine_id: 7,
        latency_ms: 5.0,
        pages: Pages::new(),
    }
}

#[test]
fn end_of_an_attempt_is_reported_immediately_and_of_an_abandoned_one_after_a_delay() {
    let registry = Rc::new(QueryRegistry::default());
    let reporter = Reporter::new(registry.clone(), Clock::start());
    reporter.report_ended(report(Outcome::Completed));
    assert!(matches!(
        registry.next_event(),
        Some(Event::AttemptEnded {
            outcome: Outcome::Completed,
            ..
        })
    ));
    reporter.report_abandoned(report(Outcome::Cancelled));
    let due_ms = reporter.publish_settled(0.0);
    assert!(due_ms.is_finite() && registry.next_event().is_none());
    assert_eq!(reporter.publish_settled(due_ms), f64::INFINITY);
    assert!(matches!(
        registry.next_event(),
        Some(Event::AttemptEnded {
            outcome: Outcome::Cancelled,
            ..
        })
    ));
}

#[test]
fn each_health_check_is_reported() {
    let registry = Rc::new(QueryRegistry::default());
    let reporter = Reporter::new(registry.clone(), Clock::start());
    reporter.report_health(7, Outcome::Timeout, 2);
    let events = std::iter::from_fn(|| registry.next_event());
    assert_eq!(events.count(), 2);
}

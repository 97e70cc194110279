use super::*;
use crate::engine::engine_entry::Engine;
use crate::query_registry::EndpointEntry;
use tansymux::events::{AttemptLimits, EndpointState};

fn report(outcome: Outcome, cause: EndCause) -> AttemptReport {
    AttemptReport {
        query_id: 4,
        attempt: 0,
        outcome,
        cause,
        connection: None,
        engine_id: 7,
        deadline_ms: 1e15,
        latency_ms: 5.0,
        pages: Pages::new(),
    }
}

const ATTEMPT: AttemptId = AttemptId {
    query_id: 4,
    number: 0,
};

fn reporter() -> (Rc<QueryRegistry>, Reporter) {
    let registry = Rc::new(QueryRegistry::default());
    let reporter = Reporter::new(registry.clone(), Clock::start(), Rc::default());
    (registry, reporter)
}

fn next_outcome(registry: &QueryRegistry) -> Option<Outcome> {
    match registry.next_event()? {
        Event::AttemptEnded { outcome, .. } => Some(outcome),
        _ => None,
    }
}

#[test]
fn final_reply_is_reported_immediately_and_a_local_close_after_a_delay() {
    let (registry, reporter) = reporter();
    reporter.report(report(Outcome::Completed, EndCause::FinalReply));
    assert_eq!(next_outcome(&registry), Some(Outcome::Completed));
    reporter.report(report(Outcome::Cancelled, EndCause::ClosedHere));
    let due_ms = reporter.publish_delayed(0.0);
    assert!(due_ms.is_finite() && registry.next_event().is_none());
    assert_eq!(reporter.publish_delayed(due_ms), f64::INFINITY);
    assert_eq!(next_outcome(&registry), Some(Outcome::Cancelled));
}

#[test]
fn only_resets_final_replies_and_incomplete_requests_are_reported_immediately() {
    for cause in EndCause::ALL {
        let (registry, reporter) = reporter();
        reporter.report(report(Outcome::Reset, cause));
        let is_immediate = match cause {
            EndCause::FinalReply | EndCause::Reset | EndCause::NotConnected => true,
            EndCause::NotBegun | EndCause::HalfWritten => true,
            EndCause::ResultLost | EndCause::Aborted | EndCause::ClosedHere => false,
            EndCause::EndOfStream | EndCause::ConnectionFailed => false,
        };
        assert_eq!(next_outcome(&registry).is_some(), is_immediate, "{cause}");
    }
}

#[test]
fn outcome_of_an_aborted_attempt_is_reported_after_its_abort_is_written() {
    let (registry, reporter) = reporter();
    reporter.report(report(Outcome::Cancelled, EndCause::Aborted));
    let much_later_ms = 1e9;
    assert_eq!(reporter.publish_delayed(much_later_ms), 1e15);
    assert_eq!(next_outcome(&registry), None);
    let written_ms = reporter.clock.now();
    reporter.on_last_command(ATTEMPT);
    let due_ms = reporter.publish_delayed(0.0);
    assert!(due_ms >= written_ms + END_REPORT_DELAY_MS && next_outcome(&registry).is_none());
    // A later close of the connection does not change the time of the report.
    reporter.on_last_command(ATTEMPT);
    assert_eq!(reporter.publish_delayed(0.0), due_ms);
    reporter.publish_delayed(due_ms);
    assert_eq!(next_outcome(&registry), Some(Outcome::Cancelled));
}

#[test]
fn outcome_of_an_attempt_is_reported_at_its_deadline_at_the_latest() {
    let (registry, reporter) = reporter();
    reporter.report(report(Outcome::Cancelled, EndCause::Aborted));
    let deadline_ms = reporter.clock.now() + 1000.0;
    reporter.limit_deadlines(deadline_ms);
    assert_eq!(reporter.publish_delayed(deadline_ms - 1.0), deadline_ms);
    assert_eq!(next_outcome(&registry), None);
    reporter.publish_delayed(deadline_ms);
    assert_eq!(next_outcome(&registry), Some(Outcome::Cancelled));
    // The outcome of an attempt that is aborted after its deadline is reported immediately.
    reporter.report(AttemptReport {
        deadline_ms: 0.0,
        ..report(Outcome::Timeout, EndCause::Aborted)
    });
    assert_eq!(next_outcome(&registry), Some(Outcome::Timeout));
}

#[test]
fn each_health_check_is_reported() {
    let (registry, reporter) = reporter();
    reporter.report_health(7, Outcome::Timeout, 2);
    let events = std::iter::from_fn(|| registry.next_event());
    assert_eq!(events.count(), 2);
}

fn endpoint(started_ms: f64) -> EndpointEntry {
    EndpointEntry {
        engine_id: 7,
        address: None,
        kind: "std".into(),
        zone: "h".into(),
        cell: 0,
        state: EndpointState::Ready,
        started_ms: Some(started_ms),
    }
}

#[test]
fn failure_of_a_replaced_process_does_not_count_against_its_engine() {
    let (registry, reporter) = reporter();
    let engines = reporter.engines.clone();
    engines.upsert(&endpoint(1.0));
    let process = engines.with(7, Engine::process).unwrap();
    let channel = Channel::new(ConnectionId(1), 7, process, 0.0);
    let limits = AttemptLimits {
        deadline_ms: 1e15,
        start_by_ms: 1e15,
        side_effect_free: true,
    };
    let attempt = Attempt::new(4, 0, 0.0, limits);
    let outcome_of = |outcome| {
        reporter.report_lost(&channel, &attempt, outcome, EndCause::Reset);
        next_outcome(&registry)
    };
    let failures = [Outcome::Reset, Outcome::Timeout, Outcome::NoConnection];
    assert_eq!(failures.map(outcome_of), failures.map(Some));
    engines.upsert(&endpoint(2.0));
    let neutral_outcomes = [Outcome::Cancelled, Outcome::Cancelled, Outcome::Withdrawn];
    assert_eq!(failures.map(outcome_of), neutral_outcomes.map(Some));
    reporter.report_failed_checks(&channel, Outcome::Reset, 1);
    assert!(registry.next_event().is_none());
}

use super::*;

fn source(serial: u32, fingerprint: u64, query: u64) -> AnswerSource {
    AnswerSource {
        serial,
        fingerprint,
        query,
    }
}

#[test]
fn contradicting_answer_is_confirmed_only_by_the_answer_to_a_later_query() {
    let mut version = ListVersion::default();
    version.on_accepted(&source(5, 1, 10));
    let contradicting = source(4, 2, 11);
    assert!(matches!(
        version.relation(&contradicting, 2),
        Relation::Contradicting(RejectReason::SerialGoesBack)
    ));
    assert!(!version.confirm(contradicting));
    assert!(!version.confirm(contradicting));
    assert!(version.confirm(source(4, 2, 12)));
}

#[test]
fn serial_may_advance_by_a_limited_number_of_steps_per_engine() {
    let mut version = ListVersion::default();
    version.on_accepted(&source(5, 1, 10));
    let max_steps = (MAX_EVENTS_PER_ENGINE * 3) as u32;
    assert!(matches!(
        version.relation(&source(5 + max_steps, 2, 11), 2),
        Relation::Newer
    ));
    assert!(matches!(
        version.relation(&source(6 + max_steps, 2, 11), 2),
        Relation::Contradicting(RejectReason::SerialLeapsAhead)
    ));
}

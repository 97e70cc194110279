//! Periodic checks: migrations, and attempts that cannot meet their deadlines.

use super::*;

#[test]
fn slow_attempts_migrate_as_far_as_the_retry_budget_allows() {
    let rules = "rules.ratio-span-us=10000000 rules.extra-free=1 rules.repeat-ratio=0.1";
    let mut control = dispatcher(rules, TWO_ENGINES);
    control
        .engines
        .iter_mut()
        .for_each(|engine| engine.limit.set_estimated_concurrency(100.0));
    for id in 0..20 {
        send_query(&mut control, 1.0, id, "rep", 200.0);
    }
    let migrated = run_round(&mut control, 1_001.0, |control, _| {
        (0..20).for_each(|id| {
            control.on_progress_note(&progress_note(id, 0, NoteKind::Progress, 0.05))
        })
    });
    assert_eq!(migrated.len(), 3, "{migrated:?}: 1 plus a tenth of 20");
}

#[test]
fn attempt_whose_notes_stop_migrates_even_if_it_was_nearly_complete() {
    let mut control = dispatcher("family-info.tells-every-us=1000000", TWO_ENGINES);
    send_query(&mut control, 1.0, 1, "rep", 1000.0);
    run_round(&mut control, 1_001.0, |control, _| {
        control.on_progress_note(&progress_note(1, 0, NoteKind::Progress, 0.9))
    });
    assert!(!has_decision(
        &run_round(&mut control, 2_500.0, |_, _| ()),
        "cancel"
    ));
    assert!(
        has_decision(&run_round(&mut control, 3_600.0, |_, _| ()), "cancel 1 0"),
        "its answer was lost"
    );
}

#[test]
fn attempt_that_cannot_meet_its_deadline_migrates_below_pressure_and_is_rejected_under_it() {
    for (is_pressured, expected) in [(false, "cancel 1 0"), (true, "reject 1")] {
        let mut control = dispatcher("", TWO_ENGINES);
        send_query(&mut control, 1.0, 1, "rep", 1000.0);
        let slot = slot_with_one_attempt(&control);
        if is_pressured {
            put_under_pressure(&mut control, slot);
        }
        let decisions = run_round(&mut control, 1_001.0, |control, _| {
            control.on_progress_note(&progress_note(1, 0, NoteKind::Progress, 0.02))
        });
        assert!(has_decision(&decisions, expected), "{decisions:?}");
    }
}

#[test]
fn time_spent_waiting_does_not_count_as_slow_work() {
    // The load first waits 1 s for another load. The first progress note after the wait gives no prediction; the next
    // one shows the speed.
    for (progress, stays_in_flight) in [(0.5, true), (0.0041, false)] {
        let mut control = dispatcher("", TWO_ENGINES);
        send_query(&mut control, 1.0, 1, "load", 1000.0);
        run_round(&mut control, 2.0, |control, _| {
            control.on_progress_note(&progress_note(1, 0, NoteKind::Waiting, 2.0))
        });
        let first = run_round(&mut control, 1_001.0, |control, _| {
            control.on_progress_note(&progress_note(1, 0, NoteKind::Progress, 0.004))
        });
        assert!(!has_decision(&first, "fail"), "{first:?}");
        let second = run_round(&mut control, 1_501.0, |control, _| {
            control.on_progress_note(&progress_note(1, 0, NoteKind::Progress, progress))
        });
        assert_eq!(
            !has_decision(&second, "fail 1"),
            stays_in_flight,
            "{second:?}"
        );
    }
}

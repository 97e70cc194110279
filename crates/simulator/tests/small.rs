//! The lab itself: same seeds, same runs; rules kept; a zone that is lost and comes back; and how it stands beside
//! the rig's sockets.

use tansymux_simulator::schema::Experiment;
use tansymux_simulator::{compare, experiment, report, world};

fn zone_cut(seeds: u32, seconds: f64) -> Experiment {
    let mut e = experiment::read(include_str!("../experiments/hall-cut.textproto")).unwrap();
    (e.seeds, e.seconds) = (Some(seeds), Some(seconds));
    e.class
        .iter_mut()
        .for_each(|class| class.rate = Some(class.rate() / 4.0));
    e.hall.iter_mut().for_each(|zone| zone.cores = Some(2.0));
    (e.fault.iter_mut()).for_each(|fault| (fault.begins_s, fault.ends_s) = (Some(8.0), Some(18.0)));
    e
}

#[test]
fn a_seed_plays_the_same_run_whatever_is_played_beside_it() {
    let e = zone_cut(2, 30.0);
    let (one, four) = (compare::all(&e, 1, true), compare::all(&e, 4, true));
    for (a, b) in one.iter().flatten().zip(four.iter().flatten()) {
        assert_eq!(
            (a.asked, a.in_time, a.late, a.deferred, a.killed),
            (b.asked, b.in_time, b.late, b.deferred, b.killed)
        );
    }
}

#[test]
fn a_zone_is_lost_and_regained_with_all_answered_and_spill_within_its_limit() {
    let e = zone_cut(1, 50.0);
    let o = world::run(&e, 1, 3);
    assert!(o.asked > 5000, "{}", o.asked);
    assert_eq!(
        o.in_time + o.late + o.deferred + o.killed,
        o.asked,
        "each query has one answer"
    );
    assert_eq!((o.broken, o.fell), (0, 0), "{:?}", o.first_broken);
    // A dispatcher's share is less than a report here: the limit of 0.3 of 12 cores holds over time.
    let during: Vec<f64> = o
        .samples
        .iter()
        .filter(|s| s.at > 9.0 && s.at <= 18.0)
        .map(|s| s.spilled[1])
        .collect();
    let spilled = during.iter().sum::<f64>() / during.len() as f64;
    assert!(spilled <= 0.3 * 12.0, "{spilled}");
    let threads = |from: f64, to: f64| {
        o.samples
            .iter()
            .filter(|s| s.at > from && s.at <= to)
            .map(|s| s.threads[0])
            .sum::<f64>()
    };
    assert!(
        threads(10.0, 17.5) < 0.05 * threads(1.0, 8.0),
        "nothing runs in a hall that is cut"
    );
    assert!(
        threads(42.0, 49.0) > 0.7 * threads(1.0, 8.0),
        "it is used again: {} {}",
        threads(42.0, 49.0),
        threads(1.0, 8.0)
    );
    assert!(o.full_after.is_some());
}

#[test]
fn what_is_shown_of_a_run_holds_its_figures() {
    let e = zone_cut(2, 10.0);
    let arms = compare::all(&e, 2, true);
    let table = report::table(&e, &arms);
    assert!(
        table.contains("value during faults") && table.contains("+-"),
        "{table}"
    );
    assert_eq!(report::lines(&arms).lines().count(), 2 * e.arm.len());
    let page = report::page(&e, "<experiment>", &table, &[]).unwrap();
    assert!(page.contains("&lt;experiment&gt;") && page.contains("value before"));
}

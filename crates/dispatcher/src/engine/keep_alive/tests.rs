use super::*;
use rand::{RngExt, SeedableRng};

/// What a simulated run counted.
#[derive(Default)]
struct Counts {
    reused: f64,
    lost: f64,
    opened: f64,
}

/// Reuses connections of random idle times, of which a fraction of those that idled for more than `dies_after_ms` is
/// lost.
fn simulate(seed: u64, dies_after_ms: f64, lost_fraction: f64, seconds: f64) -> Counts {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut keep_alive = KeepAlive::default();
    let mut now_ms = 0.0;
    let mut counts = Counts::default();
    while now_ms < seconds * 1000.0 {
        now_ms += rng.random_range(10.0..300.0);
        let idle_ms = 50.0 * 2.0_f64.powf(rng.random_range(0.0..8.0));
        if idle_ms >= keep_alive.max_idle_ms(now_ms) {
            counts.opened += 1.0;
            continue;
        }
        let outcome = if idle_ms > dies_after_ms && rng.random_range(0.0..1.0) < lost_fraction {
            ReuseOutcome::Lost
        } else {
            ReuseOutcome::Answered
        };
        keep_alive.record(now_ms, idle_ms, outcome);
        counts.reused += 1.0;
        if outcome == ReuseOutcome::Lost {
            counts.lost += 1.0;
        }
    }
    counts
}

#[test]
fn without_losses_every_idle_connection_is_reused() {
    assert_eq!(simulate(1, f64::INFINITY, 0.0, 60.0).opened, 0.0);
    // A single loss, as when one process ends, changes nothing for idle times with enough successes.
    let mut keep_alive = KeepAlive::default();
    (0..30).for_each(|n| keep_alive.record(f64::from(n) * 100.0, 3000.0, ReuseOutcome::Answered));
    keep_alive.record(3100.0, 500.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(3200.0), 3200.0);
}

#[test]
fn the_idle_limit_is_learned_with_few_losses() {
    for seed in 1..=20 {
        for lost_fraction in [0.28, 1.0] {
            let counts = simulate(seed, 400.0, lost_fraction, 60.0);
            let Counts { reused, lost, .. } = counts;
            assert!(
                lost <= 0.07 * (reused + lost) + 4.0,
                "{seed} {lost_fraction}: {lost} of {reused}"
            );
            assert!(reused > 50.0, "{seed} {lost_fraction}: {reused}");
        }
    }
}

#[test]
fn an_early_loss_shortens_the_idle_limit_and_time_restores_it() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.max_idle_ms(0.0), f64::INFINITY);
    keep_alive.record(100.0, 900.0, ReuseOutcome::Lost);
    // Idle times shorter than the lost one stay trusted.
    assert_eq!(keep_alive.max_idle_ms(100.0), 800.0);
    keep_alive.record(200.0, 60.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(200.0), MIN_IDLE_MS);
    assert_eq!(keep_alive.max_idle_ms(30_000.0), f64::INFINITY);
}

#[test]
fn a_loss_in_silence_is_remembered_longer_each_time_until_a_reuse_succeeds() {
    let mut keep_alive = KeepAlive::default();
    let mut now_ms = 0.0;
    let mut distrusted_for = Vec::new();
    for _ in 0..3 {
        keep_alive.record(now_ms, 600.0, ReuseOutcome::LostInSilence);
        let from_ms = now_ms;
        while keep_alive.max_idle_ms(now_ms) <= 600.0 {
            now_ms += 500.0;
        }
        distrusted_for.push(now_ms - from_ms);
    }
    assert!(distrusted_for[0] > 20_000.0, "{distrusted_for:?}");
    assert!(
        distrusted_for[1] > 1.8 * distrusted_for[0],
        "{distrusted_for:?}"
    );
    assert!(
        distrusted_for[2] > 1.8 * distrusted_for[1],
        "{distrusted_for:?}"
    );
    assert!(keep_alive.has_silent_losses());
    keep_alive.record(now_ms, 700.0, ReuseOutcome::Answered);
    assert!(!keep_alive.has_silent_losses());
}

#[test]
fn one_connection_at_a_time_tries_an_idle_time_above_the_proven_one() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.trusted_idle_ms(0.0), f64::INFINITY);
    keep_alive.begin_reuse(0.0, 900.0);
    assert_eq!(keep_alive.trusted_idle_ms(10.0), MIN_IDLE_MS);
    // What becomes of it lets the others go, and so does time.
    keep_alive.record(20.0, 900.0, ReuseOutcome::Answered);
    assert_eq!(keep_alive.trusted_idle_ms(20.0), f64::INFINITY);
    keep_alive.begin_reuse(20.0, 900.0);
    assert_eq!(keep_alive.trusted_idle_ms(20.0), f64::INFINITY);
    keep_alive.begin_reuse(30.0, 9000.0);
    assert!(keep_alive.trusted_idle_ms(30.0) >= 900.0);
    assert!(keep_alive.trusted_idle_ms(30.0) < 9000.0);
    assert_eq!(keep_alive.trusted_idle_ms(30.0 + TRIAL_MS), f64::INFINITY);
}

use super::*;
use rand::{RngExt, SeedableRng};

/// Numbers of connections in a simulated run.
#[derive(Default)]
struct Counts {
    reused: f64,
    lost: f64,
    opened: f64,
}

/// Simulates reuses of connections with random idle times. Of those that idled for more than `max_safe_idle_ms`, the
/// fraction `lost_fraction` is lost.
fn simulate(seed: u64, max_safe_idle_ms: f64, lost_fraction: f64, seconds: f64) -> Counts {
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
        let outcome = if idle_ms > max_safe_idle_ms && rng.random_range(0.0..1.0) < lost_fraction {
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
fn every_idle_connection_is_reused_if_none_is_lost() {
    assert_eq!(simulate(1, f64::INFINITY, 0.0, 60.0).opened, 0.0);
    // A single loss, as when one process exits, does not change the limit for idle times with enough successes.
    let mut keep_alive = KeepAlive::default();
    (0..30).for_each(|n| keep_alive.record(f64::from(n) * 100.0, 3000.0, ReuseOutcome::Answered));
    keep_alive.record(3100.0, 500.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(3200.0), 3200.0);
}

#[test]
fn idle_limit_is_learned_with_few_losses() {
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
fn early_loss_lowers_the_idle_limit_until_its_count_decays() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.max_idle_ms(0.0), f64::INFINITY);
    keep_alive.record(100.0, 900.0, ReuseOutcome::Lost);
    // Idle times shorter than that of the lost connection stay trusted.
    assert_eq!(keep_alive.max_idle_ms(100.0), 800.0);
    keep_alive.record(200.0, 60.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(200.0), MIN_TRUSTED_IDLE_MS);
    assert_eq!(keep_alive.max_idle_ms(30_000.0), f64::INFINITY);
}

#[test]
fn each_silent_loss_decays_more_slowly_until_a_reuse_succeeds() {
    let mut keep_alive = KeepAlive::default();
    let mut now_ms = 0.0;
    let mut distrust_durations_ms = Vec::new();
    for _ in 0..3 {
        keep_alive.record(now_ms, 600.0, ReuseOutcome::LostSilently);
        let lost_ms = now_ms;
        while keep_alive.max_idle_ms(now_ms) <= 600.0 {
            now_ms += 500.0;
        }
        distrust_durations_ms.push(now_ms - lost_ms);
    }
    assert!(
        distrust_durations_ms[0] > 20_000.0,
        "{distrust_durations_ms:?}"
    );
    assert!(
        distrust_durations_ms[1] > 1.8 * distrust_durations_ms[0],
        "{distrust_durations_ms:?}"
    );
    assert!(
        distrust_durations_ms[2] > 1.8 * distrust_durations_ms[1],
        "{distrust_durations_ms:?}"
    );
    assert!(keep_alive.has_silent_losses());
    keep_alive.record(now_ms, 700.0, ReuseOutcome::Answered);
    assert!(!keep_alive.has_silent_losses());
}

#[test]
fn only_one_connection_at_a_time_is_reused_above_the_proven_idle_time() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.trusted_idle_ms(0.0), f64::INFINITY);
    keep_alive.begin_reuse(0.0, 900.0);
    assert_eq!(keep_alive.trusted_idle_ms(10.0), MIN_TRUSTED_IDLE_MS);
    // The trial ends with its outcome, or after its timeout.
    keep_alive.record(20.0, 900.0, ReuseOutcome::Answered);
    assert_eq!(keep_alive.trusted_idle_ms(20.0), f64::INFINITY);
    keep_alive.begin_reuse(20.0, 900.0);
    assert_eq!(keep_alive.trusted_idle_ms(20.0), f64::INFINITY);
    keep_alive.begin_reuse(30.0, 9000.0);
    assert!(keep_alive.trusted_idle_ms(30.0) >= 900.0);
    assert!(keep_alive.trusted_idle_ms(30.0) < 9000.0);
    assert_eq!(
        keep_alive.trusted_idle_ms(30.0 + MAX_TRIAL_MS),
        f64::INFINITY
    );
}

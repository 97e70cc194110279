use super::*;
use rand::{RngExt, SeedableRng};

/// Where so many of those that idle_ms for more than `dies_after` are lost: uses, losses and how many had to be new.
fn play(seed: u64, dies_after: f64, part: f64, seconds: f64) -> (f64, f64, f64) {
    let (mut rng, mut keep_alive) = (rand_pcg::Pcg32::seed_from_u64(seed), KeepAlive::default());
    let (mut now, mut uses, mut lost, mut new) = (0.0, 0.0, 0.0, 0.0);
    while now < seconds * 1000.0 {
        now += rng.random_range(10.0..300.0);
        let idle_ms = 50.0 * 2.0_f64.powf(rng.random_range(0.0..8.0));
        if idle_ms >= keep_alive.max_idle_ms(now) {
            new += 1.0;
            continue;
        }
        let dies = idle_ms > dies_after && rng.random_range(0.0..1.0) < part;
        let outcome = if dies {
            ReuseOutcome::Lost
        } else {
            ReuseOutcome::Answered
        };
        keep_alive.record(now, idle_ms, outcome);
        (uses, lost) = (uses + 1.0, lost + f64::from(u8::from(dies)));
    }
    (uses, lost, new)
}

#[test]
fn without_losses_every_idle_connection_is_reused() {
    assert_eq!(play(1, f64::INFINITY, 0.0, 60.0).2, 0.0);
    // A single loss, as where one process ends, changes nothing as far as there is good experience.
    let mut keep_alive = KeepAlive::default();
    (0..30).for_each(|n| keep_alive.record(f64::from(n) * 100.0, 3000.0, ReuseOutcome::Answered));
    keep_alive.record(3100.0, 500.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(3200.0), 3200.0);
}

#[test]
fn the_idle_limit_is_learned_with_few_losses() {
    for seed in 1..=20 {
        for part in [0.28, 1.0] {
            let (uses, lost, _) = play(seed, 400.0, part, 60.0);
            assert!(
                lost <= 0.07 * (uses + lost) + 4.0,
                "{seed} {part}: {lost} of {uses}"
            );
            assert!(uses > 50.0, "{seed} {part}: {uses}");
        }
    }
}

#[test]
fn an_early_loss_shortens_the_idle_limit_and_time_restores_it() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.max_idle_ms(0.0), f64::INFINITY);
    keep_alive.record(100.0, 900.0, ReuseOutcome::Lost);
    // Shorter spans than the one that was lost stay trusted.
    assert_eq!(keep_alive.max_idle_ms(100.0), 800.0);
    keep_alive.record(200.0, 60.0, ReuseOutcome::Lost);
    assert_eq!(keep_alive.max_idle_ms(200.0), MIN_IDLE_MS);
    assert_eq!(keep_alive.max_idle_ms(30_000.0), f64::INFINITY);
}
